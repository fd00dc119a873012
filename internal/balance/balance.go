// Package balance chooses the endpoint of each request, keeps the figures the choice rests on, ejects
// outliers, plans probes and selects each node's subset of endpoints. It holds decision code only:
// time, randomness and inputs are arguments, and nothing here starts a goroutine or does I/O.
package balance

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/table"
)

// None is the result of a Pick that found no usable endpoint.
const None = -1

// excludable is the number of positions that an exclude mask covers.
const excludable = 64

// Picker chooses an endpoint. A Picker is safe for concurrent use.
type Picker interface {
	// Pick returns the position in svc.Endpoints of the chosen endpoint, or None.
	//
	// now is in nanoseconds on the same clock as the times in table.Stats. rng is not safe for
	// concurrent use: the caller passes one per goroutine or takes it from a pool. exclude is a
	// bitmask of positions already tried; positions from 64 on cannot be excluded. long says that
	// the request is long work. Pick changes no counter of an endpoint; the caller calls
	// ObserveStart once it sends the request.
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

// ErrUnknownPolicy is returned by New for a name that is not in Names.
var ErrUnknownPolicy = errors.New("unknown endpoint choice policy")

// Names returns the names that New accepts, baselines first.
func PolicyNames() []string {
	return []string{Random, RoundRobin, LeastRequests, P2C, Dandelionspoke}
}

// New returns a new Picker of the named policy.
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
	return i < excludable && exclude&(1<<uint(i)) != 0
}
