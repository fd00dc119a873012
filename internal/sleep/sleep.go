// Package sleep provides a sleep that ends early when a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits until d has elapsed or ctx ends. It reports whether d elapsed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
