package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// generator is an open-loop load generator: it sends the workload's mix of requests with Poisson arrivals, regardless of
// how fast the system responds.
type generator struct {
	workload   Workload
	seed       uint64
	callers    *callers
	tally      *tally
	operations sync.WaitGroup
	// inFlight bounds the operations in flight; unsent counts arrivals that exceed the bound.
	inFlight chan struct{}
	unsent   int64
}

// Limits of the generated load.
const (
	maxInFlight = 4000
	// maxRepeats is the maximum number of times that a caller repeats a failed keyed request.
	maxRepeats = 3
	// repeatDelay is the delay before a repeat.
	repeatDelay = 50 * time.Millisecond
	// repeatProbability is the probability that a caller repeats a successful keyed request.
	repeatProbability = 0.1
)

// Start and end of the load peak as fractions of the load phase, and the factor by which it multiplies the rate.
const (
	peakStart  = 0.4
	peakEnd    = 0.6
	peakFactor = 3
)

func newGenerator(w Workload, seed uint64, c *callers, t *tally) *generator {
	return &generator{workload: w, seed: seed, callers: c, tally: t, inFlight: make(chan struct{}, maxInFlight)}
}

// run starts operations for the given duration and returns when all have ended. rate is the number of requests per
// second outside of the peak.
func (g *generator) run(ctx context.Context, d time.Duration, rate float64) {
	rng := rand.New(rand.NewPCG(g.seed, 1))
	started := time.Now()
	nextArrival := started
	for n := uint64(0); nextArrival.Sub(started) < d && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(nextArrival))
		g.startOperation(ctx, n, g.pickKind(rng))
		currentRate := rate
		if position := float64(nextArrival.Sub(started)) / float64(d); position >= peakStart && position < peakEnd {
			currentRate *= peakFactor
		}
		nextArrival = nextArrival.Add(time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second)))
	}
	g.operations.Wait()
}

func (g *generator) pickKind(rng *rand.Rand) RequestKind {
	total := 0.0
	for _, k := range g.workload.Kinds {
		total += k.Weight
	}
	remaining := rng.Float64() * total
	for _, k := range g.workload.Kinds {
		if remaining -= k.Weight; remaining < 0 {
			return k
		}
	}
	return g.workload.Kinds[0]
}

func (g *generator) startOperation(ctx context.Context, n uint64, k RequestKind) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		g.unsent++
		return
	}
	g.operations.Go(func() {
		defer func() { <-g.inFlight }()
		rng := rand.New(rand.NewPCG(g.seed, n+2))
		k.Calls = withRandomItems(k.Calls, rng)
		g.perform(ctx, newOperation(fmt.Sprintf("%s-%d-%d", k.Name, g.seed, n), k, rng), rng)
	})
}

// perform sends an operation. It repeats a keyed operation after a failure, and after a success with repeatProbability.
func (g *generator) perform(ctx context.Context, o operation, rng *rand.Rand) {
	work := o.kind.ServiceTime.Sample(rng.NormFloat64())
	started := time.Now()
	r := g.callers.send(ctx, o, work, rng)
	g.tally.addWithLatency(o, r, time.Since(started))
	if !o.kind.Keyed {
		return
	}
	if r.outcome == OK && rng.Float64() < repeatProbability {
		g.tally.add(o, g.callers.send(ctx, o, work, rng))
		return
	}
	for i := 0; i < maxRepeats && r.outcome != OK && ctx.Err() == nil; i++ {
		time.Sleep(repeatDelay)
		r = g.callers.send(ctx, o, work, rng)
		g.tally.add(o, r)
	}
}
