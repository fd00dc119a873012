package link_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
					if err := b.Wait(t.Context(), chunk, true, 0); err != nil {
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
			if err := b.Wait(t.Context(), 4<<10, false, 0); err != nil {
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

// Guards against an urgent request that waits behind a burst of less urgent bodies on a narrow link, and against less urgent
// ones that urgent requests hold back forever.
func TestUrgentRequestsGoFirstOnANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const chunk = 32 << 10
		policy := bundle.Policy{LinkBitsPerSecond: 4e6, LinkBulkShare: 0.5}
		b := link.NewBudget(policy)
		b.SetPrioritized(true)
		oneChunk := time.Duration(chunk / (policy.LinkBitsPerSecond / 8) * float64(time.Second))
		var wg sync.WaitGroup
		var lastBody atomic.Int64
		for range 40 {
			wg.Go(func() {
				started := time.Now()
				if err := b.Wait(t.Context(), chunk, false, 2); err != nil {
					t.Error(err)
				}
				lastBody.Store(int64(time.Since(started))) // the bodies are granted one after another
			})
		}
		synctest.Wait()
		started := time.Now()
		if err := b.Wait(t.Context(), chunk, false, 0); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(started); waited > 2*oneChunk {
			t.Errorf("the urgent request waited %v, a chunk takes %v", waited, oneChunk)
		}
		// Urgent requests take the whole link from now on.
		for range 4 {
			wg.Go(func() {
				for time.Since(started) < 20*time.Second {
					_ = b.Wait(t.Context(), chunk, false, 0)
				}
			})
		}
		wg.Wait()
		if waited := time.Duration(lastBody.Load()); waited > 8*time.Second {
			t.Errorf("a less urgent body waited %v", waited)
		}
	})
}

// Guards against a change of the order of writes whose requests have one priority, and against a canceled write that
// holds back the others or takes their bytes.
func TestOnePriorityIsServedInOrderOfArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writes, size = 50, 4 << 10
		b := link.NewBudget(bundle.Policy{LinkBitsPerSecond: 8e5, LinkBulkShare: 0.5})
		if err := b.Wait(t.Context(), 96<<10, false, 1); err != nil {
			t.Fatal(err)
		}
		canceled, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		started := time.Now()
		for i := range writes {
			ctx := t.Context()
			if i%5 == 0 {
				ctx = canceled
			}
			wg.Go(func() {
				if b.Wait(ctx, size, false, 1) == nil {
					mu.Lock()
					order = append(order, i)
					mu.Unlock()
				}
			})
			synctest.Wait()
		}
		cancel()
		wg.Wait()
		if len(order) != writes*4/5 || !slices.IsSorted(order) {
			t.Errorf("order %v", order)
		}
		want := time.Duration(float64(len(order)*size) / 1e5 * float64(time.Second))
		if took := time.Since(started); took < want-time.Millisecond || took > want+50*time.Millisecond {
			t.Errorf("took %v, want %v", took, want)
		}
	})
}

// Guards against writes that go by priority although the bundle does not ask for it.
func TestWritesGoInOrderOfArrivalUnlessPrioritized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := link.NewBudget(bundle.Policy{LinkBitsPerSecond: 8e5, LinkBulkShare: 0.5})
		if err := b.Wait(t.Context(), 96<<10, false, 1); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for priority := bundle.MaxPriority; priority >= 0; priority-- {
			wg.Go(func() {
				if err := b.Wait(t.Context(), 4<<10, false, priority); err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, bundle.MaxPriority-priority)
			})
			synctest.Wait()
		}
		wg.Wait()
		if !slices.IsSorted(order) {
			t.Errorf("order of arrival %v", order)
		}
	})
}
