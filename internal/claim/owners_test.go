package claim

import (
	"fmt"
	"testing"
)

func newNodes(size, domains int, inStoreRegion func(i int) bool) []Node {
	var nodes []Node
	for i := range size {
		nodes = append(nodes, Node{NodeID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % domains), InStoreRegion: inStoreRegion(i)})
	}
	return nodes
}

// TestOwners guards against a number of owners that grows with the fleet, owners outside the store's region
// although nodes are in it, more than ownersPerDomain owners in one failure domain, and an owner without
// shards.
func TestOwners(t *testing.T) {
	never := func(int) bool { return false }
	cases := map[string]struct {
		nodes []Node
		want  int
	}{
		"none":                              {nil, 0},
		"one":                               {newNodes(1, 1, never), 1},
		"one domain":                        {newNodes(100, 1, never), ownersPerDomain},
		"two domains":                       {newNodes(100, 2, never), maxOwners},
		"fifteen domains":                   {newNodes(23000, 15, never), maxOwners},
		"few nodes in the store's region":   {newNodes(1000, 4, func(i int) bool { return i < 2 }), 2},
		"two domains in the store's region": {newNodes(1000, 15, func(i int) bool { return i%15 < 2 }), maxOwners},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := selectOwners(c.nodes)
			if len(got) != c.want {
				t.Fatalf("%d owners, want %d", len(got), c.want)
			}
			perDomain, anyInStoreRegion, ownedShards := map[string]int{}, false, map[string]int{}
			for _, n := range c.nodes {
				anyInStoreRegion = anyInStoreRegion || n.InStoreRegion
			}
			for _, n := range got {
				if perDomain[n.FailureDomain]++; perDomain[n.FailureDomain] > ownersPerDomain || n.InStoreRegion != anyInStoreRegion {
					t.Errorf("more than ownersPerDomain in a failure domain, or in the wrong region: %+v", got)
				}
			}
			for shard := range shardCount {
				if len(got) > 0 {
					ownedShards[rankOwners(got, "ordre", shard)[0].NodeID]++
				}
			}
			if len(ownedShards) != len(got) {
				t.Errorf("shards by owner: %v; want some for each owner", ownedShards)
			}
		})
	}
}

// TestOwnerRemovalKeepsOtherShards guards against the removal of one owner that moves shards between the
// remaining owners.
func TestOwnerRemovalKeepsOtherShards(t *testing.T) {
	owners := selectOwners(newNodes(100, 2, func(int) bool { return false }))
	for shard := range shardCount {
		before := rankOwners(owners, "ordre", shard)
		after := rankOwners(owners[1:], "ordre", shard)
		if before[0].NodeID != owners[0].NodeID && after[0].NodeID != before[0].NodeID {
			t.Errorf("shard %d moved from %s to %s", shard, before[0].NodeID, after[0].NodeID)
		}
	}
}
