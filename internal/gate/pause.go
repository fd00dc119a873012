package gate

import (
	"sync/atomic"
	"time"
)

const (
	// pauseThreshold is the time between two ticks from which the process counts as paused. A busy VM delays ticks by some
	// hundred milliseconds.
	pauseThreshold = time.Second
	// resumeHold is the time after a pause in which requests are refused: those that arrived during the pause are read
	// within it.
	resumeHold = 250 * time.Millisecond
)

// pauseDetector detects that the process has not run for a while, because it was stopped or its VM was suspended. Data that
// arrived meanwhile is read late, and its age is unknown. It is safe for concurrent use.
type pauseDetector struct {
	lastTick  atomic.Pointer[time.Time] // nil before the first tick; the detector is then inactive
	resumedAt atomic.Pointer[time.Time] // first tick after the last pause; nil for none
}

// tick must be called at short, regular intervals. It returns the length of the pause that ended, or 0.
func (d *pauseDetector) tick(now time.Time) time.Duration {
	last := d.lastTick.Swap(&now)
	if last == nil || elapsedBetween(*last, now) < pauseThreshold {
		return 0
	}
	d.resumedAt.Store(&now)
	return elapsedBetween(*last, now)
}

// justResumed reports whether data that is read now may have waited during a pause.
func (d *pauseDetector) justResumed(now time.Time) bool {
	last := d.lastTick.Load()
	if last == nil {
		return false
	}
	if elapsedBetween(*last, now) >= pauseThreshold {
		return true // the first tick after the pause is still to come
	}
	resumed := d.resumedAt.Load()
	return resumed != nil && now.Sub(*resumed) < resumeHold
}

// elapsedBetween returns the larger of the times that passed on the steady clock and on the time of day. The steady clock
// stands still while a VM is suspended. A step of the time of day looks like a pause, which costs a few moves to other gates.
func elapsedBetween(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// hasPassed reports whether a deadline has passed on the steady clock or on the time of day, for the same reason.
func hasPassed(deadline, now time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
