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

// staleStore answers stale reads; the first ones fail.
type staleStore struct {
	*objectstoretest.Store
	failing atomic.Int32
}

func (s *staleStore) GetStale(ctx context.Context, key string) (objectstore.Object, error) {
	if s.failing.Add(-1) >= 0 {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Get(ctx, key)
}

// Guards against callers that wait for the first bundle of a node which starts together with the whole fleet: its
// peers have none yet, and it follows the store only after up to 2 s.
func TestFirstBundleComesAtOnce(t *testing.T) {
	store := &staleStore{Store: objectstoretest.New()}
	store.failing.Store(1)
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
	n.settings.NodeID = lateNodeID(t)
	began := time.Now()
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	for version := uint64(0); version != 7; version, _ = n.BundleVersion() {
		if time.Since(began) > time.Second {
			t.Fatal("no bundle is in force after 1 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lateNodeID returns an ID with which a node that knows nobody follows the store late.
func lateNodeID(t *testing.T) string {
	t.Helper()
	for c := 'a'; c <= 'z'; c++ {
		n := &Node{settings: settings.Settings{NodeID: "node-" + string(c)}}
		if n.bootstrapDelay() > 1700*time.Millisecond {
			return n.settings.NodeID
		}
	}
	t.Fatal("no such ID")
	return ""
}

// Guards against nodes of another region than the store's that read a large bundle all at once over the paid link.
func TestDistanceOfTheStore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if took := shortestDial(t.Context(), l.Addr().String(), farStoreDials); took >= farStoreRTT {
		t.Errorf("a store on this machine is %s away", took)
	}
	n := &Node{ctx: t.Context()}
	n.settings.Store.URL = "http://" + l.Addr().String()
	if n.storeIsFar() {
		t.Error("a store on this machine counts as far")
	}
	_ = l.Close()
	if !n.storeIsFar() {
		t.Error("a store that takes no connection counts as near")
	}
	if n.settings.Store.URL = ""; n.storeIsFar() {
		t.Error("a store without an address counts as far")
	}
}
