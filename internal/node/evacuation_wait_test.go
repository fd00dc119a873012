package node

import (
	"fmt"
	"testing"
	"time"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/settings"
)

// Guards against gates that stay closed for seconds after a restart of all nodes although the store is up: nodes without access
// to the store have asked the others before these had read the evacuations.
func TestNodesWithoutStoreLearnOfEvacuationsFromLaterReaders(t *testing.T) {
	const (
		size      = 7
		callDelay = 2 * time.Second // of the store while the fleet starts
		mostLater = 2 * time.Second
	)
	store := objectstoretest.New()
	store.SetCallDelay(callDelay)
	nodes := make([]*Node, size)
	for i := range nodes {
		s := settings.LoopbackDefaults()
		s.NodeID, s.FailureDomain, s.Evacuation.Within = fmt.Sprintf("node-%d", i), "local-a", 5*time.Second
		var access objectstore.Store
		if i == 0 {
			access = store
		} else {
			s.Seeds = []string{nodes[0].Addrs().Peer}
		}
		n, err := New(Options{Settings: s, Store: access})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		nodes[i] = n
	}
	knownBy := func(deadline time.Time, n *Node) bool {
		for !n.evacuationsKnown() && time.Now().Before(deadline) {
			time.Sleep(5 * time.Millisecond)
		}
		return n.evacuationsKnown()
	}
	if !knownBy(time.Now().Add(2*callDelay), nodes[0]) {
		t.Fatal("the reader of the store does not know the evacuations")
	}
	deadline := time.Now().Add(mostLater)
	for i, n := range nodes {
		if !knownBy(deadline, n) {
			t.Errorf("node %d does not know the evacuations %v after the reader of the store", i, mostLater)
		}
	}
}
