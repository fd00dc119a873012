package objectstoretest_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestContractInMemory(t *testing.T) {
	objectstoretest.Contract(t, func(*testing.T) (objectstore.Store, *objectstoretest.Store) {
		s := objectstoretest.New()
		return s, s
	})
}

func TestContractOverHTTP(t *testing.T) {
	objectstoretest.Contract(t, func(t *testing.T) (objectstore.Store, *objectstoretest.Store) {
		backing := objectstoretest.New()
		return newClient(t, backing, objectstore.Options{CallsPerSecond: 10000}), backing
	})
}

func newClient(t *testing.T, backing *objectstoretest.Store, options objectstore.Options) *objectstore.Client {
	t.Helper()
	return newClientWithHandler(t, backing, options)
}

func newClientWithHandler(t *testing.T, handler http.Handler, options objectstore.Options) *objectstore.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	options.BaseURL = server.URL
	client, err := objectstore.NewClient(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// TestRateLimit guards against a client that exceeds its rate limit for calls to the store.
func TestRateLimit(t *testing.T) {
	backing := objectstoretest.New()
	client := newClient(t, backing, objectstore.Options{CallsPerSecond: 0.001, Burst: 3, CallTimeout: time.Second, ReadAttempts: 1})
	for range 10 {
		_, _ = client.List(t.Context(), "") // calls above the rate limit fail without reaching the store
	}
	counts, _ := backing.Counts()
	if counts.List != 3 {
		t.Fatalf("%d calls reached the store, limit 3", counts.List)
	}
}

// TestDeletionDuringInterruption guards against missing the deletion of an object while the watch is interrupted, so
// that the object still seems to exist.
func TestDeletionDuringInterruption(t *testing.T) {
	backing := objectstoretest.New()
	client := newClient(t, backing, objectstore.Options{CallsPerSecond: 10000})
	o, err := client.Put(t.Context(), "w/a", []byte("1"), objectstore.MustNotExist)
	if err != nil {
		t.Fatal(err)
	}
	events, err := client.Watch(t.Context(), "w/", 0)
	if err != nil {
		t.Fatal(err)
	}
	<-events
	backing.EndWatches()
	if err := backing.Delete(t.Context(), "w/a", o.Version); err != nil {
		t.Fatal(err)
	}
	select {
	case e := <-events:
		if !e.Deleted || e.Object.Key != "w/a" {
			t.Fatalf("event %+v, want the deletion of w/a", e)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the deletion was not reported")
	}
}

// TestWatchIdleTimeout guards against a client that waits forever for a watch whose server has stopped responding.
func TestWatchIdleTimeout(t *testing.T) {
	backing := objectstoretest.New()
	var stalled atomic.Bool
	client := newClientWithHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == objectstore.WatchPath && stalled.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		backing.ServeHTTP(w, r)
	}), objectstore.Options{CallsPerSecond: 10000, WatchIdleTimeout: 50 * time.Millisecond})
	events, err := client.Watch(t.Context(), "w/", 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(t.Context(), "w/a", []byte("1"), objectstore.MustNotExist); err != nil {
		t.Fatal(err)
	}
	select {
	case <-events:
	case <-time.After(20 * time.Second):
		t.Fatal("no event after the first watch request stopped responding")
	}
}
