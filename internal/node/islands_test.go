package node_test

import (
	"context"
	"testing"
	"time"

	"dandelionspoke/internal/node"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/settings"
)

// withoutLists is a store in which nodes that start find no one.
type withoutLists struct{ objectstore.Store }

func (withoutLists) List(context.Context, string) ([]objectstore.Object, error) { return nil, nil }

// Guards against groups of nodes that started at the same moment, joined only among themselves, and never learn of
// the other group although both write their addresses to the same object.
func TestGroupsFindEachOther(t *testing.T) {
	store := withoutLists{objectstoretest.New()}
	start := func(seeds ...string) *node.Node {
		s := settings.Default()
		s.Bundle.Unsigned = true
		s.Seeds = seeds
		n, err := node.New(node.Options{Settings: s, Store: store})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		return n
	}
	first := start()
	nodes := []*node.Node{first, start(first.Addrs().Peer)}
	other := start()
	nodes = append(nodes, other, start(other.Addrs().Peer))
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for n.Health().LiveMembers != len(nodes) {
			if time.Now().After(deadline) {
				t.Fatalf("node %s knows %d of %d nodes", n.ID(), n.Health().LiveMembers, len(nodes))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
