package claim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/objectstoretest"
)

// BenchmarkClaims measures keyed requests (a claim and its outcome) against a store that takes 3 ms a call.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []struct{ claimers, shards, concurrency int }{
		{1, 1, 1}, {1, 1, 16}, {1, 1, 128}, {1, 1, 1024}, {1, 16, 128}, {1, 1024, 128},
		{32, 1, 384}, {32, 4, 384}, {32, 16, 384}, {32, 64, 384}, {32, 1024, 384},
	} {
		name := fmt.Sprintf("claimers=%d/shards=%d/concurrency=%d", load.claimers, load.shards, load.concurrency)
		b.Run(name, func(b *testing.B) {
			store := objectstoretest.New()
			store.SetCallDelay(3 * time.Millisecond)
			var claimers []KeyClaimer
			for range load.claimers {
				c := newClaimer(store)
				c.shards = load.shards
				claimers = append(claimers, c)
				b.Cleanup(c.Close)
			}
			b.ResetTimer()
			reportClaims(b, store, claimers, load.concurrency)
		})
	}
}

// BenchmarkRouted measures keyed requests through routers against a store that takes 3 ms a call, beside
// claims made by the node that gets the request. Both may make 200 writes/s in all; zero is no bound.
func BenchmarkRouted(b *testing.B) {
	for _, load := range []struct {
		nodes, shards, concurrency int
		routed                     bool
		writes                     float64
	}{
		{1, 1024, 16, false, 200}, {8, 1024, 128, false, 200}, {32, 1024, 512, false, 200},
		{1, 64, 16, true, 200}, {8, 64, 128, true, 200}, {32, 64, 512, true, 200},
		{32, 1024, 512, false, 0}, {32, 64, 512, true, 0}, {32, 64, 2048, true, 200},
		{32, 16, 512, true, 200}, {32, 256, 512, true, 200}, {32, 1024, 512, true, 200},
	} {
		name := fmt.Sprintf("nodes=%d/shards=%d/callers=%d/routed=%t/bound=%.0f", load.nodes, load.shards, load.concurrency, load.routed, load.writes)
		b.Run(name, func(b *testing.B) {
			store := objectstoretest.New()
			store.SetCallDelay(3 * time.Millisecond)
			writers := load.nodes
			if load.routed {
				writers = min(load.nodes, maxOwners)
			}
			w := newNetwork(store, load.nodes, load.nodes, load.shards, load.writes/float64(writers))
			b.Cleanup(w.close)
			var keys []KeyClaimer
			for i, r := range w.routers {
				if !load.routed {
					w.views[i] = nil // no owner: the node claims itself
				}
				keys = append(keys, r.For("ordre"))
			}
			b.ResetTimer()
			reportClaims(b, store, keys, load.concurrency)
		})
	}
}

func reportClaims(b *testing.B, store *objectstoretest.Store, keys []KeyClaimer, concurrency int) {
	started := time.Now()
	refused := claimAll(b, keys, concurrency)
	elapsed := time.Since(started)
	counts, _ := store.Counts()
	claims := float64(b.N) - float64(refused)
	b.ReportMetric(claims/elapsed.Seconds(), "claims/s")
	b.ReportMetric(float64(counts.Writes())/elapsed.Seconds(), "writes/s")
	b.ReportMetric(float64(counts.Reads())/elapsed.Seconds(), "reads/s")
	b.ReportMetric(claims/float64(counts.Writes()), "claims/write")
	b.ReportMetric(float64(refused), "refused")
}

// claimAll runs b.N keyed requests and returns how many were refused.
func claimAll(b *testing.B, claimers []KeyClaimer, concurrency int) int64 {
	var next, refused atomic.Int64
	var group sync.WaitGroup
	for worker := range concurrency {
		c := claimers[worker%len(claimers)]
		group.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				r, err := c.Acquire(b.Context(), keyName(int(i)), nil, fmt.Append(nil, i))
				if err != nil || r.Kind != Run {
					refused.Add(1)
					continue
				}
				if err := c.Complete(b.Context(), keyName(int(i)), ranOutcome("reserved")); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	return refused.Load()
}
