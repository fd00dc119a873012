package claim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/objectstoretest"
)

// BenchmarkClaims measures keyed requests (a claim and its outcome) with a store latency of 3 ms per call.
func BenchmarkClaims(b *testing.B) {
	for _, params := range []struct{ claimers, shards, concurrency int }{
		{1, 1, 1}, {1, 1, 16}, {1, 1, 128}, {1, 1, 1024}, {1, 16, 128}, {1, 1024, 128},
		{32, 1, 384}, {32, 4, 384}, {32, 16, 384}, {32, 64, 384}, {32, 1024, 384},
	} {
		name := fmt.Sprintf("claimers=%d/shards=%d/concurrency=%d", params.claimers, params.shards, params.concurrency)
		b.Run(name, func(b *testing.B) {
			store := objectstoretest.New()
			store.SetCallDelay(3 * time.Millisecond)
			var claimers []KeyClaimer
			for range params.claimers {
				c := newClaimer(store)
				c.shards = params.shards
				claimers = append(claimers, c)
				b.Cleanup(c.Close)
			}
			b.ResetTimer()
			reportClaims(b, store, claimers, params.concurrency)
		})
	}
}

// BenchmarkRouted compares claims made through the owners of the shards with claims made by the node that
// receives the request. The store latency is 3 ms per call. writesPerSecond bounds the writes of all nodes
// together, to 200 per second in most cases; zero means no bound.
func BenchmarkRouted(b *testing.B) {
	for _, params := range []struct {
		nodes, shards, concurrency int
		routed                     bool
		writesPerSecond            float64
	}{
		{1, 1024, 16, false, 200}, {8, 1024, 128, false, 200}, {32, 1024, 512, false, 200},
		{1, 64, 16, true, 200}, {8, 64, 128, true, 200}, {32, 64, 512, true, 200},
		{32, 1024, 512, false, 0}, {32, 64, 512, true, 0}, {32, 64, 2048, true, 200},
		{32, 16, 512, true, 200}, {32, 256, 512, true, 200}, {32, 1024, 512, true, 200},
	} {
		name := fmt.Sprintf("nodes=%d/shards=%d/callers=%d/routed=%t/bound=%.0f", params.nodes, params.shards, params.concurrency, params.routed, params.writesPerSecond)
		b.Run(name, func(b *testing.B) {
			store := objectstoretest.New()
			store.SetCallDelay(3 * time.Millisecond)
			writers := params.nodes
			if params.routed {
				writers = min(params.nodes, maxOwners)
			}
			net := newNetwork(store, params.nodes, params.nodes, params.shards, params.writesPerSecond/float64(writers))
			b.Cleanup(net.close)
			var claimers []KeyClaimer
			for i, r := range net.routers {
				if !params.routed {
					net.views[i] = nil // without owners, the node makes the claims itself
				}
				claimers = append(claimers, r.For("ordre"))
			}
			b.ResetTimer()
			reportClaims(b, store, claimers, params.concurrency)
		})
	}
}

func reportClaims(b *testing.B, store *objectstoretest.Store, claimers []KeyClaimer, concurrency int) {
	started := time.Now()
	refused := claimAll(b, claimers, concurrency)
	elapsed := time.Since(started)
	counts, _ := store.Counts()
	claims := float64(b.N) - float64(refused)
	b.ReportMetric(claims/elapsed.Seconds(), "claims/s")
	b.ReportMetric(float64(counts.Writes())/elapsed.Seconds(), "writes/s")
	b.ReportMetric(float64(counts.Reads())/elapsed.Seconds(), "reads/s")
	b.ReportMetric(claims/float64(counts.Writes()), "claims/write")
	b.ReportMetric(float64(refused), "refused")
}

// claimAll sends b.N keyed requests and returns the number of those that did not get a permit.
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
