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

// Backoff returns the wait before retry number attempt (from 0): uniformly random up to a bound that
// doubles with each attempt. Full jitter keeps clients that failed together from returning together.
func Backoff(attempt int, random func() float64) time.Duration {
	bound := backoffCap
	if shift := uint(max(attempt, 0)); shift < 16 {
		bound = min(backoffBase<<shift, backoffCap)
	}
	return time.Duration(random() * float64(bound))
}

// sleepBackoff waits for Backoff(attempt) and returns ctx's error when ctx ends first.
func sleepBackoff(ctx context.Context, attempt int) error {
	if !sleep.For(ctx, Backoff(attempt, rand.Float64)) {
		return ctx.Err()
	}
	return nil
}
