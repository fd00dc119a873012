package claim

import (
	"fmt"
	"testing"
)

func fleetOf(size, domains int, near func(i int) bool) []Node {
	var nodes []Node
	for i := range size {
		nodes = append(nodes, Node{NodeID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % domains), InStoreRegion: near(i)})
	}
	return nodes
}

// TestOwners guards against owners that grow with the fleet, that are far from the store, or that are all
// in one failure domain; and against an owner without shards.
func TestOwners(t *testing.T) {
	never := func(int) bool { return false }
	cases := map[string]struct {
		nodes []Node
		want  int
	}{
		"none":             {nil, 0},
		"one":              {fleetOf(1, 1, never), 1},
		"one domain":       {fleetOf(100, 1, never), ownersPerDomain},
		"two domains":      {fleetOf(100, 2, never), maxOwners},
		"fifteen domains":  {fleetOf(23000, 15, never), maxOwners},
		"a few near nodes": {fleetOf(1000, 4, func(i int) bool { return i < 2 }), 2},
		"a near region":    {fleetOf(1000, 15, func(i int) bool { return i%15 < 2 }), maxOwners},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := owners(c.nodes)
			if len(got) != c.want {
				t.Fatalf("%d owners, want %d", len(got), c.want)
			}
			domains, anyNear, first := map[string]int{}, false, map[string]int{}
			for _, n := range c.nodes {
				anyNear = anyNear || n.InStoreRegion
			}
			for _, n := range got {
				if domains[n.FailureDomain]++; domains[n.FailureDomain] > ownersPerDomain || n.InStoreRegion != anyNear {
					t.Errorf("owners %+v", got)
				}
			}
			for shard := range shardCount {
				if len(got) > 0 {
					first[ranked(got, "ordre", shard)[0].NodeID]++
				}
			}
			if len(first) != len(got) {
				t.Errorf("shards of the owners: %v", first)
			}
		})
	}
}

// TestOwnersMove guards against a change of the fleet that moves shards between owners that stay.
func TestOwnersMove(t *testing.T) {
	pool := owners(fleetOf(100, 2, func(int) bool { return false }))
	for shard := range shardCount {
		before := ranked(pool, "ordre", shard)
		after := ranked(pool[1:], "ordre", shard)
		if before[0].NodeID != pool[0].NodeID && after[0].NodeID != before[0].NodeID {
			t.Errorf("shard %d moved from %s to %s", shard, before[0].NodeID, after[0].NodeID)
		}
	}
}
