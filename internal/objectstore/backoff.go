package objectstore

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/sleep"
)

const (
	backoffBase = 20 * time.Millisecond
	backoffCap  = 3 * time.Second
)

// Backoff returns the delay before retry number attempt, counted from 0. The delay is uniformly distributed
// between 0 and a bound that doubles with each attempt (full jitter), so that clients that failed at the same
// time do not retry at the same time.
func Backoff(attempt int, random func() float64) time.Duration {
	bound := backoffCap
	if shift := uint(max(attempt, 0)); shift < 16 {
		bound = min(backoffBase<<shift, backoffCap)
	}
	return time.Duration(random() * float64(bound))
}

// sleepBackoff waits for the backoff delay of attempt. It returns ctx.Err() if ctx ends first.
func sleepBackoff(ctx context.Context, attempt int) error {
	if !sleep.For(ctx, Backoff(attempt, rand.Float64)) {
		return ctx.Err()
	}
	return nil
}
