// Package sleep waits for a time that a context can cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends; it reports whether d has passed before the end of ctx.
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
