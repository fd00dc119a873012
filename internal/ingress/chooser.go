package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// Chooser picks endpoints for attempts. It is safe for concurrent use.
type Chooser struct {
	picker balance.Picker
	rngs   sync.Pool
}

// NewChooser returns a chooser that uses picker.
func NewChooser(picker balance.Picker) *Chooser {
	c := &Chooser{picker: picker}
	c.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return c
}

// pickFunc is the signature of balance.Picker.Pick and balance.PickHedge.
type pickFunc func(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int

// pick returns an endpoint and its index in svc.Endpoints, or balance.None and nil. exclude is a bitmask of indexes.
func (c *Chooser) pick(svc *table.Service, exclude uint64, long bool) (int, *table.Endpoint) {
	return c.choose(c.picker.Pick, svc, exclude, long)
}

// pickHedge returns an endpoint for a hedge and its index, or balance.None and nil.
func (c *Chooser) pickHedge(svc *table.Service, exclude uint64, long bool) (int, *table.Endpoint) {
	return c.choose(balance.PickHedge, svc, exclude, long)
}

func (c *Chooser) choose(pickEndpoint pickFunc, svc *table.Service, exclude uint64, long bool) (int, *table.Endpoint) {
	rng := c.rngs.Get().(*rand.Rand)
	i := pickEndpoint(now(), rng, svc, exclude, long)
	c.rngs.Put(rng)
	if i == balance.None {
		return i, nil
	}
	return i, svc.Endpoints[i]
}

// now returns the current time in the unit of table.Stats.
func now() int64 { return steady.Now() }

// observation reports the start and the result of one attempt to the balance package. The result is recorded once.
type observation struct {
	endpoint  *table.Endpoint
	startedAt int64
	long      bool
	once      sync.Once
}

func startObservation(ep *table.Endpoint, long bool) *observation {
	o := &observation{endpoint: ep, startedAt: now(), long: long}
	balance.ObserveStart(ep.Stats, o.startedAt, o.long)
	return o
}

func (o *observation) end(outcome balance.Outcome, load *wire.Load) {
	o.once.Do(func() {
		at := now()
		balance.ObserveResult(o.endpoint.Stats, at, time.Duration(at-o.startedAt), outcome, o.long)
		balance.ObserveReport(o.endpoint.Stats, at, load)
	})
}

// elapsed returns the time since the start of the attempt.
func (o *observation) elapsed() time.Duration { return time.Duration(now() - o.startedAt) }
