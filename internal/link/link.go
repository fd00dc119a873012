// Package link keeps the rate at which a node sends to other regions within its share of the billed inter-region
// bandwidth, and reserves part of that share for short requests while bulk transfers are running.
package link

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dandelionspoke/internal/bundle"
)

const (
	bitsPerByte = 8
	// burstBytes is the number of bytes that may be sent at once after a pause. It is at least the largest write of a
	// short request, so that such a write is not delayed on an idle link.
	burstBytes = 96 << 10
	// bulkBurstBytes is the same limit for bulk transfers, the size of one chunk.
	bulkBurstBytes = 33 << 10
)

// Budget limits the rate at which a node sends to other regions. It is safe for concurrent use.
type Budget struct {
	total, bulk queue
	prioritized atomic.Bool
	// ShortBytes and LongBytes count the bytes permitted for short and long requests, WaitNanos the nanoseconds that
	// calls of Wait took.
	ShortBytes, LongBytes, WaitNanos atomic.Int64
}

// NewBudget returns a Budget with the limits of the policy.
func NewBudget(p bundle.Policy) *Budget {
	b := &Budget{
		total: queue{limiter: rate.NewLimiter(0, burstBytes)}, bulk: queue{limiter: rate.NewLimiter(0, bulkBurstBytes)},
	}
	b.SetPolicy(p)
	return b
}

// SetPolicy applies the limits of the policy, as after a change of bundle.
func (b *Budget) SetPolicy(p bundle.Policy) {
	bytesPerSecond := p.LinkBitsPerSecond / bitsPerByte
	b.total.setLimit(rate.Limit(bytesPerSecond))
	b.bulk.setLimit(rate.Limit(bytesPerSecond * p.LinkBulkShare))
}

// SetPrioritized controls whether the writes of more urgent requests go first. Otherwise all go in the order of arrival.
func (b *Budget) SetPrioritized(prioritized bool) { b.prioritized.Store(prioritized) }

// Wait blocks until n bytes may be sent, or returns an error when ctx ends. The bytes of long requests are first charged
// to the bulk share, so that short requests never wait behind more than one chunk of them. Among waiting writes, those of
// more urgent requests go first if SetPrioritized asks for it: priority is that of the request, from 0 (highest).
func (b *Budget) Wait(ctx context.Context, n int, long bool, priority int) error {
	if priority = min(max(priority, 0), bundle.MaxPriority); !b.prioritized.Load() {
		priority = 0
	}
	started := time.Now()
	defer func() { b.WaitNanos.Add(int64(time.Since(started))) }()
	count := &b.ShortBytes
	if long {
		count = &b.LongBytes
		if err := b.bulk.wait(ctx, n, priority); err != nil {
			return err
		}
	}
	if err := b.total.wait(ctx, n, priority); err != nil {
		return err
	}
	count.Add(int64(n))
	return nil
}
