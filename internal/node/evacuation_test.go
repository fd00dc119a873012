package node_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/node"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/settings"
)

const evacuateWithin = 5 * time.Second

func newEvacuationFleet(t *testing.T, size int, store func(i int, s objectstore.Store) objectstore.Store) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.configure = func(s *settings.Settings) { s.Evacuation.Within = evacuateWithin }
	for i := range size {
		f.addNodeWithStore(i, store(i, f.store))
	}
	f.waitReady()
	return f
}

func directStore(_ int, s objectstore.Store) objectstore.Store { return s }

// refusingStore is the access of a node that the store turns away.
func refusingStore() objectstore.Store {
	s := objectstoretest.New()
	s.SetDown(true)
	return s
}

func here(n *node.Node) string { return n.Dump().(node.Dump).Evacuations.Here }

func ran(n *node.Node) int64 { return n.Metrics()["gate_ran"] }

func (f *fleet) evacuate(domain string) {
	f.t.Helper()
	if err := evacuation.Request(f.t.Context(), f.store, domain); err != nil {
		f.t.Fatal(err)
	}
}

// callers sends requests through all nodes until the returned function is called, which returns the failures.
func (f *fleet) callers() (end func() int64) {
	var stop atomic.Bool
	var failures atomic.Int64
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			for !stop.Load() {
				if status, body := f.get(n, "/preview"); status != http.StatusOK {
					failures.Add(1)
					f.t.Logf("status %d: %s", status, body)
				}
			}
		})
	}
	return func() int64 { stop.Store(true); wg.Wait(); return failures.Load() }
}

// Guards against backend servers of an evacuated domain that still get requests, although the store turns away a third of
// the nodes, against callers of that domain that are not served, and against a domain that stays without requests after the
// end.
func TestEvacuation(t *testing.T) {
	f := newEvacuationFleet(t, 6, func(i int, s objectstore.Store) objectstore.Store {
		if i%3 == 2 {
			return refusingStore()
		}
		return s
	})
	end := f.callers()
	f.evacuate("local-b")
	f.evacuate("nowhere")
	took := f.waitFor(evacuateWithin, "domain evacuated", func() bool {
		return here(f.nodes[1]) == "evacuated" && here(f.nodes[3]) == "evacuated" && here(f.nodes[5]) == "evacuated"
	})
	t.Logf("evacuated after %v", took)
	time.Sleep(100 * time.Millisecond) // running requests end
	before := []int64{ran(f.nodes[1]), ran(f.nodes[3]), ran(f.nodes[5])}
	time.Sleep(500 * time.Millisecond)
	if after := []int64{ran(f.nodes[1]), ran(f.nodes[3]), ran(f.nodes[5])}; !slices.Equal(before, after) {
		t.Errorf("requests run in the evacuated domain: %v before, %v after", before, after)
	}
	if f.nodes[0].EndpointCount("katalog") != 3 || here(f.nodes[0]) != "none" {
		t.Errorf("%d endpoints in use, want the 3 of the other domain", f.nodes[0].EndpointCount("katalog"))
	}
	if err := evacuation.End(t.Context(), f.store, "local-b"); err != nil {
		t.Fatal(err)
	}
	f.waitFor(evacuateWithin, "evacuation ended", func() bool {
		return ran(f.nodes[1]) > before[0] && ran(f.nodes[3]) > before[1] && ran(f.nodes[5]) > before[2]
	})
	if failed := end(); failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
}

// Guards against a node that forwards requests before it knows that its domain is evacuated: it restarts with the store in
// reach, with peers alone, or with neither.
func TestRestartedNodeKnowsItsEvacuation(t *testing.T) {
	for _, test := range []struct {
		name        string
		store, peer bool
		want        string
	}{{"store", true, false, "evacuated"}, {"peers", false, true, "evacuated"}, {"neither", false, false, "unknown"}} {
		t.Run(test.name, func(t *testing.T) {
			f := newEvacuationFleet(t, 2, directStore)
			f.evacuate("local-a")
			f.waitFor(evacuateWithin, "evacuated", func() bool { return here(f.nodes[0]) == "evacuated" })
			if !test.peer {
				f.nodes = nil
			}
			store := refusingStore()
			if test.store {
				store = f.store
			}
			f.addNodeWithStore(2, store)
			restarted := f.nodes[len(f.nodes)-1]
			for started := time.Now(); time.Since(started) < 700*time.Millisecond; time.Sleep(5 * time.Millisecond) {
				if here(restarted) == "none" {
					t.Fatalf("the gate is open after %v", time.Since(started))
				}
			}
			if got := here(restarted); got != test.want {
				t.Errorf("state %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against an evacuation that is not noticed because the nodes that read the store have just been killed.
func TestEvacuationAfterTheReadersAreKilled(t *testing.T) {
	f := newEvacuationFleet(t, 8, directStore)
	var readers, others []*node.Node
	f.waitFor(5*time.Second, "store readers", func() bool {
		readers, others = nil, nil
		for _, n := range f.nodes {
			if n.Dump().(node.Dump).StoreReader {
				readers = append(readers, n)
			} else {
				others = append(others, n)
			}
		}
		return len(readers) == 6
	})
	for _, n := range readers[:5] {
		_ = n.Close()
	}
	f.evacuate("local-a")
	f.evacuate("local-b")
	f.waitFor(evacuateWithin, "all remaining nodes", func() bool {
		return !slices.ContainsFunc(append(others, readers[5]), func(n *node.Node) bool { return here(n) != "evacuated" })
	})
}

// Guards against an administration API that accepts an invalid domain, or does not request and end an evacuation.
func TestEvacuationThroughTheAdminAPI(t *testing.T) {
	f := newEvacuationFleet(t, 2, directStore)
	call := func(method, domain string) int {
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s/v1/evacuations/%s", f.nodes[0].Addrs().Admin, domain), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if status := call(http.MethodPut, "a%20b"); status != http.StatusBadRequest {
		t.Errorf("invalid domain: status %d", status)
	}
	if status := call(http.MethodPut, "local-a"); status != http.StatusOK || here(f.nodes[0]) != "evacuated" {
		t.Errorf("request: status %d, %s", status, here(f.nodes[0]))
	}
	if status := call(http.MethodDelete, "local-a"); status != http.StatusOK || here(f.nodes[0]) != "none" {
		t.Errorf("end: status %d, %s", status, here(f.nodes[0]))
	}
}

// cutOffStore is the access of a node whose calls about evacuations fail from some time on.
type cutOffStore struct {
	*objectstoretest.Store
	cut *atomic.Bool
}

// ListAt implements objectstore.PositionLister.
func (s cutOffStore) ListAt(ctx context.Context, prefix string) ([]objectstore.Object, objectstore.Position, error) {
	if s.cut.Load() {
		return nil, objectstore.Position{}, objectstore.ErrUnavailable
	}
	return s.Store.ListAt(ctx, prefix)
}

// Guards against a restarted node that forwards requests because the store, which has just been restored from a copy, lacks
// the evacuation that the other nodes know and have yet to write again.
func TestRestartAfterARestoreOfTheStore(t *testing.T) {
	var cut atomic.Bool
	f := newEvacuationFleet(t, 2, func(_ int, s objectstore.Store) objectstore.Store {
		return cutOffStore{s.(*objectstoretest.Store), &cut}
	})
	copied := f.store.Copy()
	f.evacuate("local-a")
	f.waitFor(evacuateWithin, "evacuated", func() bool { return here(f.nodes[0]) == "evacuated" && here(f.nodes[1]) == "none" })
	f.waitFor(evacuateWithin, "known everywhere", func() bool {
		return slices.Contains(f.nodes[1].Evacuations().Domains, "local-a")
	})
	cut.Store(true)
	f.store.Restore(copied)
	f.addNodeWithStore(2, f.store)
	restarted := f.nodes[2]
	for started := time.Now(); time.Since(started) < 700*time.Millisecond; time.Sleep(time.Millisecond) {
		if here(restarted) == "none" {
			t.Fatalf("the gate is open after %v: %+v; others %+v %+v", time.Since(started), restarted.Evacuations(), f.nodes[0].Evacuations(), f.nodes[1].Evacuations())
		}
	}
	if got := here(restarted); got != "evacuated" {
		t.Errorf("state %q, want evacuated", got)
	}
}
