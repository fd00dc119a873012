package node

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
)

// staleStore supports stale reads; the first failuresLeft reads return an error.
type staleStore struct {
	*objectstoretest.Store
	failuresLeft atomic.Int32
}

func (s *staleStore) GetStale(ctx context.Context, key string) (objectstore.Object, error) {
	if s.failuresLeft.Add(-1) >= 0 {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Get(ctx, key)
}

// Guards against a node without a bundle after all nodes of a fleet have started at the same time: its peers have no
// bundle yet, and it becomes a store reader only after up to 2 s, for which its callers would have to wait.
func TestFirstBundleIsReadAtStart(t *testing.T) {
	store := &staleStore{Store: objectstoretest.New()}
	store.failuresLeft.Store(1)
	if _, err := store.Put(t.Context(), "config", []byte(`{"Version":7}`), objectstore.MustNotExist); err != nil {
		t.Fatal(err)
	}
	s := settings.LoopbackDefaults()
	s.Bundle.Unsigned = true
	n, err := New(Options{Settings: s, Store: store})
	if err != nil {
		t.Fatal(err)
	}
	n.adapter.Bundles = rollout.Source{Key: "config", Decode: func(o objectstore.Object) (*bundle.Envelope, error) {
		b := &bundle.Bundle{Services: map[string]bundle.Service{"katalog": {}}}
		if err := json.Unmarshal(o.Value, b); err != nil {
			return nil, err
		}
		return bundle.NewEnvelope(b)
	}}
	n.settings.NodeID = lateBootstrapNodeID(t)
	start := time.Now()
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	for version := uint64(0); version != 7; version, _ = n.BundleVersion() {
		if time.Since(start) > time.Second {
			t.Fatal("no bundle is in force after 1 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lateBootstrapNodeID returns a node ID whose bootstrapDelay is close to bootstrapWindow.
func lateBootstrapNodeID(t *testing.T) string {
	t.Helper()
	for c := 'a'; c <= 'z'; c++ {
		n := &Node{settings: settings.Settings{NodeID: "node-" + string(c)}}
		if n.bootstrapDelay() > 1700*time.Millisecond {
			return n.settings.NodeID
		}
	}
	t.Fatal("found no ID with a late bootstrap delay")
	return ""
}

// Guards against a store in another region that is taken for a local one: all nodes would then read a large bundle
// over the billed inter-region link at the same time.
func TestStoreIsRemote(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if took := minConnectTime(t.Context(), l.Addr().String(), storeRTTSamples); took >= minRemoteStoreRTT {
		t.Errorf("connecting to a store on this machine took %s", took)
	}
	n := &Node{ctx: t.Context()}
	n.settings.Store.URL = "http://" + l.Addr().String()
	if n.storeIsRemote() {
		t.Error("a store on this machine counts as remote")
	}
	_ = l.Close()
	if !n.storeIsRemote() {
		t.Error("a store that accepts no connection counts as local")
	}
	if n.settings.Store.URL = ""; n.storeIsRemote() {
		t.Error("a store without an address counts as remote")
	}
}
