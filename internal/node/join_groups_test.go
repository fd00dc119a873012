package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/node"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/settings"
)

// emptyListStore is a store whose List returns nothing, so that starting nodes find no addresses.
type emptyListStore struct{ objectstore.Store }

func (emptyListStore) List(context.Context, string) ([]objectstore.Object, error) { return nil, nil }

func startNode(t *testing.T, store objectstore.Store, seeds []string) *node.Node {
	t.Helper()
	return startNodeIn(t, "", store, seeds)
}

func startNodeIn(t *testing.T, domain string, store objectstore.Store, seeds []string) *node.Node {
	t.Helper()
	s := settings.LoopbackDefaults()
	s.Bundle.Unsigned = true
	s.Seeds = seeds
	if domain != "" {
		s.FailureDomain = domain
	}
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

// waitForMembers waits until each node knows all nodes, and fails the test after the time limit.
func waitForMembers(t *testing.T, nodes []*node.Node, within time.Duration) {
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

// Guards against separate groups that never merge: nodes that start at the same time join only among themselves and do
// not learn of the other group, although both groups write their addresses to the same object.
func TestSeparateGroupsMerge(t *testing.T) {
	store := emptyListStore{objectstoretest.New()}
	start := func(seeds ...string) *node.Node { return startNode(t, store, seeds) }
	first := start()
	nodes := []*node.Node{first, start(first.Addrs().Peer)}
	other := start()
	nodes = append(nodes, other, start(other.Addrs().Peer))
	waitForMembers(t, nodes, 15*time.Second)
}

// Guards against a starting node that joins only one of several groups although it has the addresses of all, so that
// the groups remain separate. The nodes of a fleet form such groups after a power loss.
func TestStartingNodeJoinsSeveralGroups(t *testing.T) {
	start := func(seeds ...string) *node.Node { return startNode(t, nil, seeds) }
	nodes := []*node.Node{start(), start(), start()}
	var seeds []string
	for _, n := range nodes {
		seeds = append(seeds, n.Addrs().Peer)
	}
	nodes = append(nodes, start(seeds...))
	waitForMembers(t, nodes, 10*time.Second)
}

// Guards against a fleet that stays in parts after a store outage at the start of all nodes: once a node knows one other, it no
// longer looks for those of other failure domains. The parts are drawn, and with them who learns of whom first.
func TestPartsOfAFleetMergeAfterAStoreOutage(t *testing.T) {
	domains := []string{"local-a", "local-b", "local-c"}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, seed))
			store := objectstoretest.New()
			store.SetDown(true)
			var nodes []*node.Node
			parts := make([][]string, 2+rng.IntN(2)) // addresses
			for i := range 2 * len(domains) {
				domain, part := domains[i%len(domains)], rng.IntN(len(parts))
				if seed == 0 {
					part = i % len(domains) % len(parts) // one for each domain, or two domains together
				}
				n := startNodeIn(t, domain, store, slices.Clone(parts[part]))
				parts[part] = append(parts[part], n.Addrs().Peer)
				nodes = append(nodes, n)
			}
			time.Sleep(time.Second)
			store.SetDown(false)
			waitForMembers(t, nodes, 10*time.Second)
		})
	}
}
