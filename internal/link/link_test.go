package link_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/link"
)

// Guards against bulk transfers that exceed their share of the bandwidth and against short requests that wait behind
// more than one chunk of a bulk transfer.
func TestBudgetLimitsRateAndReservesShareForShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, chunk = 10, 32 << 10
		policy := bundle.Policy{LinkBitsPerSecond: 4e6, LinkBulkShare: 0.5}
		b := link.NewBudget(policy)
		end := time.Now().Add(seconds * time.Second)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for time.Now().Before(end) {
					if err := b.Wait(t.Context(), chunk, true); err != nil {
						t.Error(err)
						return
					}
				}
			})
		}
		var worst time.Duration
		for time.Now().Before(end) {
			time.Sleep(50 * time.Millisecond)
			started := time.Now()
			if err := b.Wait(t.Context(), 4<<10, false); err != nil {
				t.Fatal(err)
			}
			worst = max(worst, time.Since(started))
		}
		bulk := b.LongBytes.Load()
		wg.Wait()
		bytesPerSecond := policy.LinkBitsPerSecond / 8
		// One more chunk of each transfer may be permitted at the end.
		if limit := bytesPerSecond*policy.LinkBulkShare*seconds + 9*chunk; float64(bulk) > limit {
			t.Errorf("bulk transfers sent %d bytes, limit %.0f", bulk, limit)
		}
		if oneChunk := time.Duration(float64(chunk) / bytesPerSecond * float64(time.Second)); worst > oneChunk {
			t.Errorf("a short request waited %v, longer than one bulk chunk takes (%v)", worst, oneChunk)
		}
	})
}
