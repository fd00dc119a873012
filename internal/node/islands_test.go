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

func startNode(t *testing.T, store objectstore.Store, seeds []string) *node.Node {
	t.Helper()
	s := settings.LoopbackDefaults()
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

// awaitMembers fails the test unless each node knows all of them within a time.
func awaitMembers(t *testing.T, nodes []*node.Node, within time.Duration) {
	t.Helper()
	deadline := time.Now().Add(within)
	for _, n := range nodes {
		for n.Health().LiveMembers != len(nodes) {
			if time.Now().After(deadline) {
				t.Fatalf("node %s knows %d of %d nodes", n.ID(), n.Health().LiveMembers, len(nodes))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against groups of nodes that started at the same moment, joined only among themselves, and never learn of
// the other group although both write their addresses to the same object.
func TestGroupsFindEachOther(t *testing.T) {
	store := withoutLists{objectstoretest.New()}
	start := func(seeds ...string) *node.Node { return startNode(t, store, seeds) }
	first := start()
	nodes := []*node.Node{first, start(first.Addrs().Peer)}
	other := start()
	nodes = append(nodes, other, start(other.Addrs().Peer))
	awaitMembers(t, nodes, 15*time.Second)
}

// Guards against a starting node that joins one group and leaves the others, whose addresses it has too, unknown to it
// and to each other: after a loss of power the nodes of a fleet form such groups.
func TestStartingNodeJoinsSeveralGroups(t *testing.T) {
	start := func(seeds ...string) *node.Node { return startNode(t, nil, seeds) }
	nodes := []*node.Node{start(), start(), start()}
	var seeds []string
	for _, n := range nodes {
		seeds = append(seeds, n.Addrs().Peer)
	}
	nodes = append(nodes, start(seeds...))
	awaitMembers(t, nodes, 10*time.Second)
}
