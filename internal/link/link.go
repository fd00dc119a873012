// Package link keeps one node's traffic to other regions within its share of the paid link, and leaves
// room for short work beside bulk transfers.
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
	// burstBytes may pass at once after a pause. It holds the largest write of a short request, so that
	// an idle link does not delay it.
	burstBytes = 96 << 10
	// bulkBurstBytes is one chunk of a bulk transfer.
	bulkBurstBytes = 33 << 10
)

// Budget limits the bytes that a node sends to other regions. It is safe for concurrent use.
type Budget struct {
	all  *rate.Limiter
	bulk *rate.Limiter
	// ShortBytes and LongBytes count what has been permitted, WaitNanos the time spent waiting.
	ShortBytes, LongBytes, WaitNanos atomic.Int64
}

// NewBudget returns the budget of a bundle's policy.
func NewBudget(p bundle.Policy) *Budget {
	b := &Budget{all: rate.NewLimiter(0, burstBytes), bulk: rate.NewLimiter(0, bulkBurstBytes)}
	b.SetPolicy(p)
	return b
}

// SetPolicy applies the limits of a new bundle.
func (b *Budget) SetPolicy(p bundle.Policy) {
	bytesPerSecond := p.LinkBitsPerSecond / bitsPerByte
	b.all.SetLimit(rate.Limit(bytesPerSecond))
	b.bulk.SetLimit(rate.Limit(bytesPerSecond * p.LinkBulkShare))
}

// Wait blocks until n bytes may be sent, or returns ctx's error. Long work waits for its own share
// first, so that short work never queues behind more than one chunk of it.
func (b *Budget) Wait(ctx context.Context, n int, long bool) error {
	started := time.Now()
	defer func() { b.WaitNanos.Add(int64(time.Since(started))) }()
	count := &b.ShortBytes
	if long {
		count = &b.LongBytes
		if err := waitAll(ctx, b.bulk, n); err != nil {
			return err
		}
	}
	if err := waitAll(ctx, b.all, n); err != nil {
		return err
	}
	count.Add(int64(n))
	return nil
}

func waitAll(ctx context.Context, l *rate.Limiter, n int) error {
	for n > 0 {
		part := min(n, l.Burst())
		if err := l.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}
