package ingress

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"dandelionspoke/internal/bundle"
)

// destinationService returns the service for the next request of a route. A split route follows a balanced sequence, in
// which any number of successive requests is close to the weights; random choices are not.
func (in *Ingress) destinationService(route *bundle.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	sequence, ok := in.splitSequences.Load(route.Name)
	if !ok {
		sequence, _ = in.splitSequences.LoadOrStore(route.Name, &splitSequence{start: in.splitStart()})
	}
	return sequence.(*splitSequence).next(route.Split)
}

// maxSplitStart bounds the start position of a sequence and so the time to reach it, which is about 5 ns a position.
const maxSplitStart = 1 << 15

// splitStart returns the position at which this node starts in the sequence of a split route. It is the node's rank in the
// fleet, so that the first requests of all nodes together form the sequence. If the rank is unknown it is random: nodes
// that start at the same time must not all start with the same destination.
func (in *Ingress) splitStart() int {
	if in.FleetRank != nil {
		if rank, ok := in.FleetRank(); ok {
			return rank % maxSplitStart
		}
	}
	return rand.IntN(maxSplitStart)
}

// splitUnit is the resolution of weights. Whole numbers keep the sequence exact however many requests it has served.
const splitUnit = 1 << 32

// splitSequence is a smooth weighted round robin: among any number of successive requests, the share of each part differs
// from its weight by about one request. The zero value starts at position 0. It is safe for concurrent use.
type splitSequence struct {
	start int // position of the first request

	mu      sync.Mutex
	parts   []bundle.WeightedService // to which shares and credits belong
	shares  []int64                  // of the parts
	credits []int64                  // what each part is behind, in the units of shares; the sum is 0
	sum     int64                    // of shares
}

// next returns the service for the next request. When the parts differ from those of the call before, the sequence begins
// again at its start.
func (s *splitSequence) next(parts []bundle.WeightedService) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.parts, parts) {
		s.reset(parts)
	}
	return s.parts[s.advance()].Service
}

func (s *splitSequence) reset(parts []bundle.WeightedService) {
	s.parts = slices.Clone(parts)
	s.shares, s.credits, s.sum = make([]int64, len(parts)), make([]int64, len(parts)), 0
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	for i, p := range parts {
		s.shares[i] = int64(math.Round(p.Weight / total * splitUnit))
		s.sum += s.shares[i]
	}
	for range s.start {
		s.advance()
	}
}

// advance moves the sequence by one position and returns the index of the part that is due.
func (s *splitSequence) advance() int {
	due := 0
	for i, share := range s.shares {
		s.credits[i] += share
		if s.credits[i] > s.credits[due] {
			due = i
		}
	}
	s.credits[due] -= s.sum
	return due
}
