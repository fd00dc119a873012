package claim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/platformtest"
)

// BenchmarkClaims measures keyed requests (a claim and its outcome) against a store that takes 3 ms a call.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []struct{ claimers, shards, concurrency int }{
		{1, 1, 1}, {1, 1, 16}, {1, 1, 128}, {1, 1, 1024}, {1, 16, 128}, {1, 1024, 128},
		{32, 1, 384}, {32, 4, 384}, {32, 16, 384}, {32, 64, 384}, {32, 1024, 384},
	} {
		name := fmt.Sprintf("claimers=%d/shards=%d/concurrency=%d", load.claimers, load.shards, load.concurrency)
		b.Run(name, func(b *testing.B) {
			store := platformtest.New()
			store.SetSlow(3 * time.Millisecond)
			var claimers []*Claimer
			for range load.claimers {
				c := newClaimer(store)
				c.shards = load.shards
				claimers = append(claimers, c)
				b.Cleanup(c.Close)
			}
			b.ResetTimer()
			refused := claimAll(b, claimers, load.concurrency)
			counts, elapsed := store.Counts()
			claims := float64(b.N) - float64(refused)
			b.ReportMetric(claims/elapsed.Seconds(), "claims/s")
			b.ReportMetric(float64(counts.Writes())/elapsed.Seconds(), "writes/s")
			b.ReportMetric(float64(counts.Reads())/elapsed.Seconds(), "reads/s")
			b.ReportMetric(claims/float64(counts.Writes()), "claims/write")
			b.ReportMetric(float64(refused), "refused")
		})
	}
}

// claimAll runs b.N keyed requests and returns how many were refused.
func claimAll(b *testing.B, claimers []*Claimer, concurrency int) int64 {
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
