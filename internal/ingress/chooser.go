package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// Chooser picks endpoints and records what becomes of the attempts. It is safe for concurrent use.
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

// choice is the signature that balance.Picker and balance.PickHedge share.
type choice func(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int

// pick returns the position of an endpoint and the endpoint, or balance.None and nil.
func (c *Chooser) pick(svc *table.Service, exclude uint64, long bool) (int, *table.Endpoint) {
	return c.choose(c.picker.Pick, svc, exclude, long)
}

// pickHedge returns an endpoint for a second attempt, or balance.None and nil.
func (c *Chooser) pickHedge(svc *table.Service, exclude uint64, long bool) (int, *table.Endpoint) {
	return c.choose(balance.PickHedge, svc, exclude, long)
}

func (c *Chooser) choose(by choice, svc *table.Service, exclude uint64, long bool) (int, *table.Endpoint) {
	rng := c.rngs.Get().(*rand.Rand)
	i := by(now(), rng, svc, exclude, long)
	c.rngs.Put(rng)
	if i == balance.None {
		return i, nil
	}
	return i, svc.Endpoints[i]
}

// now returns the clock of table.Stats in nanoseconds.
func now() int64 { return time.Now().UnixNano() }

// observation is one attempt as the balance package sees it. Its end is recorded once.
type observation struct {
	endpoint *table.Endpoint
	started  int64
	long     bool
	once     sync.Once
}

func observe(ep *table.Endpoint, long bool) *observation {
	o := &observation{endpoint: ep, started: now(), long: long}
	balance.ObserveStart(ep.Stats, o.started, o.long)
	return o
}

func (o *observation) end(outcome balance.Outcome, load *wire.Load) {
	o.once.Do(func() {
		at := now()
		balance.ObserveResult(o.endpoint.Stats, at, time.Duration(at-o.started), outcome, o.long)
		balance.ObserveReport(o.endpoint.Stats, at, load)
	})
}

// age is the time since the attempt began.
func (o *observation) age() time.Duration { return time.Duration(now() - o.started) }
