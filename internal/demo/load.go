package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// generator sends the workload's mix at Poisson arrivals, whatever the answers do.
type generator struct {
	workload Workload
	seed     uint64
	callers  *callers
	tally    *tally
	pending  sync.WaitGroup
	// outstanding bounds the requests in flight; arrivals above it are counted as unsent.
	outstanding chan struct{}
	unsent      int64
}

// Limits of the generated load.
const (
	maxOutstanding = 4000
	// maxRepeats is the number of times that a caller repeats a keyed request that failed.
	maxRepeats = 3
	// repeatAfter is the wait before a repeat.
	repeatAfter = 50 * time.Millisecond
	// repeatShare is the share of keyed requests that a caller sends again although they were answered.
	repeatShare = 0.1
)

// Demand has a peak in its middle part.
const (
	peakFrom   = 0.4
	peakTo     = 0.6
	peakFactor = 3
)

func newGenerator(w Workload, seed uint64, c *callers, t *tally) *generator {
	return &generator{workload: w, seed: seed, callers: c, tally: t, outstanding: make(chan struct{}, maxOutstanding)}
}

// run sends requests for the given time and returns when all are answered. rate is in requests per second outside of
// the peak.
func (g *generator) run(ctx context.Context, d time.Duration, rate float64) {
	rng := rand.New(rand.NewPCG(g.seed, 1))
	started := time.Now()
	due := started
	for n := uint64(0); due.Sub(started) < d && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(due))
		g.arrive(ctx, n, g.pickKind(rng))
		now := rate
		if part := float64(due.Sub(started)) / float64(d); part >= peakFrom && part < peakTo {
			now *= peakFactor
		}
		due = due.Add(time.Duration(rng.ExpFloat64() / now * float64(time.Second)))
	}
	g.pending.Wait()
}

func (g *generator) pickKind(rng *rand.Rand) Kind {
	total := 0.0
	for _, k := range g.workload.Kinds {
		total += k.Weight
	}
	at := rng.Float64() * total
	for _, k := range g.workload.Kinds {
		if at -= k.Weight; at < 0 {
			return k
		}
	}
	return g.workload.Kinds[0]
}

func (g *generator) arrive(ctx context.Context, n uint64, k Kind) {
	select {
	case g.outstanding <- struct{}{}:
	default:
		g.unsent++
		return
	}
	g.pending.Go(func() {
		defer func() { <-g.outstanding }()
		rng := rand.New(rand.NewPCG(g.seed, n+2))
		k.Calls = numberedAll(k.Calls, rng)
		g.perform(ctx, newOperation(fmt.Sprintf("%s-%d-%d", k.Name, g.seed, n), k, rng), rng)
	})
}

// perform sends an operation and, when it is keyed, repeats it after a failure and now and then after a success.
func (g *generator) perform(ctx context.Context, o operation, rng *rand.Rand) {
	work := o.kind.Work.Sample(rng.NormFloat64())
	started := time.Now()
	r := g.callers.send(ctx, o, work, rng)
	g.tally.finish(o, r, time.Since(started))
	if !o.kind.Keyed {
		return
	}
	if r.outcome == OK && rng.Float64() < repeatShare {
		g.tally.add(o, g.callers.send(ctx, o, work, rng))
		return
	}
	for i := 0; i < maxRepeats && r.outcome != OK && ctx.Err() == nil; i++ {
		time.Sleep(repeatAfter)
		r = g.callers.send(ctx, o, work, rng)
		g.tally.add(o, r)
	}
}
