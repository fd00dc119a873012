package ratelimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the number of nodes up to which each region has poolsSmall pool nodes; larger ones have poolsLarge.
	smallFleet = 400
	poolsSmall = 2
	poolsLarge = 4
	// poolCandidates is the number of nodes per shard and region that a node tries as pool nodes.
	poolCandidates = 4
)

// Member is a node as this node knows it.
type Member struct {
	ID, Region string
	// Alive members may be pool nodes; Spending ones may send requests to backend servers.
	Alive, Spending bool
}

// Fleet is what a node knows about the others, in the form that the Limiter needs. It is never modified.
type Fleet struct {
	Self string // ID of this node
	// Size is the number of nodes among which the rates are divided.
	Size    int
	Regions int
	// Entitled is set if this node knows the fleet. Counted is set if the others are known to count this node, so that it takes
	// part without ParticipationDelay.
	Entitled, Counted bool
	// Local holds the candidates for each shard's pool node in this node's region, best first. Remote holds, for each shard,
	// the pool nodes of the other regions.
	Local, Remote [][]string
}

// shards returns the number of shards of the accounts.
func (f *Fleet) shards() int { return len(f.Local) }

// NewFleet selects the pool nodes by rendezvous hashing among the alive members of each region. floor is the least size of
// the fleet, such as the number of nodes listed in the store; it also counts members that this node does not know yet.
func NewFleet(self, region string, members []Member, floor int, entitled, counted bool) Fleet {
	f := Fleet{Self: self, Entitled: entitled, Counted: counted}
	regions := map[string][]string{}
	for _, m := range members {
		if m.Spending {
			f.Size++
		}
		if m.Alive {
			regions[m.Region] = append(regions[m.Region], m.ID)
		}
	}
	f.Size = max(f.Size, floor, 1)
	f.Regions = max(len(regions), 1)
	shards := poolsSmall
	if f.Size > smallFleet {
		shards = poolsLarge
	}
	f.Local, f.Remote = make([][]string, shards), make([][]string, shards)
	for name, ids := range regions {
		for s := range shards {
			if name == region {
				f.Local[s] = rank(ids, s, poolCandidates)
			} else {
				f.Remote[s] = append(f.Remote[s], rank(ids, s, 1)...)
			}
		}
	}
	for s := range shards {
		slices.Sort(f.Remote[s])
	}
	return f
}

// rank returns the count IDs with the highest hashes for the shard.
func rank(ids []string, shard, count int) []string {
	type scored struct {
		id    string
		score uint64
	}
	var best []scored
	for _, id := range ids {
		var d xxhash.Digest
		d.ResetWithSeed(uint64(shard) + 1)
		_, _ = d.WriteString(id)
		s := scored{id, d.Sum64()}
		i, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
		})
		if i < count {
			best = slices.Insert(best, i, s)[:min(len(best)+1, count)]
		}
	}
	ranked := make([]string, len(best))
	for i, s := range best {
		ranked[i] = s.id
	}
	return ranked
}
