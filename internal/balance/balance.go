// Package balance implements endpoint selection: load-balancing policies, the per-endpoint statistics they
// use, outlier ejection, probe planning and subsetting. It has no side effects beyond these statistics:
// time, randomness and inputs are arguments, and nothing here starts a goroutine or performs I/O.
package balance

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/table"
)

// None is returned by Pick when no endpoint can be used.
const None = -1

// maxExcludablePositions is the number of endpoint positions that an exclude mask covers.
const maxExcludablePositions = 64

// Picker selects an endpoint for a request. A Picker is safe for concurrent use.
type Picker interface {
	// Pick returns the position in svc.Endpoints of the selected endpoint, or None.
	//
	// now is in nanoseconds on the same clock as the times in table.Stats. rng is not safe for
	// concurrent use: the caller passes one per goroutine or takes it from a pool. exclude is a
	// bitmask of positions already tried; positions from 64 on cannot be excluded. long marks the
	// request as long work. Pick modifies no statistics; the caller calls ObserveStart when it sends
	// the request.
	Pick(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int
}

// Names of the policies.
const (
	Random         = "random"
	RoundRobin     = "round_robin"
	LeastRequests  = "least_requests"
	P2C            = "p2c"
	Dandelionspoke = "dandelionspoke"
)

// ErrUnknownPolicy is returned by New for a name that is not in PolicyNames.
var ErrUnknownPolicy = errors.New("unknown endpoint choice policy")

// PolicyNames returns the names that New accepts, the baseline policies first.
func PolicyNames() []string {
	return []string{Random, RoundRobin, LeastRequests, P2C, Dandelionspoke}
}

// New returns a new Picker that implements the named policy.
func New(name string) (Picker, error) {
	switch name {
	case Random:
		return randomPicker{}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastRequests:
		return leastRequests{}, nil
	case P2C:
		return p2c{}, nil
	case Dandelionspoke:
		return dandelionspoke{}, nil
	default:
		return nil, errors.Wrapf(ErrUnknownPolicy, "policy %q, allowed %v", name, PolicyNames())
	}
}

func excluded(exclude uint64, i int) bool {
	return i < maxExcludablePositions && exclude&(1<<uint(i)) != 0
}
