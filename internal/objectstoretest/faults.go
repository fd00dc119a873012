package objectstoretest

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

type faults struct {
	down             bool
	callDelay        time.Duration
	watchDelay       time.Duration
	droppedResponses int // number of further writes that take effect and return ErrUnknownOutcome
	droppedWrites    int // number of further writes that have no effect and return ErrUnknownOutcome
	delayedWrites    int // number of further writes that return ErrUnknownOutcome and take effect after writeDelay
	writeDelay       time.Duration
	// restoreBeforeWrite and restoreAfterWrite are restored before and after the effect of the next write.
	restoreBeforeWrite, restoreAfterWrite *Copy
	injectedConflicts                     int // number of further writes that have no effect and return ErrConflict
}

// Counts holds the number of calls received, by kind. A watch counts once, when it starts.
type Counts struct{ Get, List, Put, Delete, Watch int64 }

// Writes returns the number of calls that count toward the write rate.
func (c Counts) Writes() int64 { return c.Put + c.Delete }

// Reads returns the number of calls that count toward the read rate.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch }

// Counts returns the calls since the last ResetCounts, or since New, and the time elapsed since then.
func (s *Store) Counts() (Counts, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts, time.Since(s.countsSince)
}

// ResetCounts sets all counts to zero.
func (s *Store) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Counts{}
	s.countsSince = time.Now()
}

// SetDown sets whether each call fails with ErrUnavailable. SetDown(true) also ends the current watches.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	if down {
		s.endWatchesLocked()
	}
}

// SetCallDelay delays each call by d before it takes effect.
func (s *Store) SetCallDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.callDelay = d
}

// SetWatchDelay delays the events of each watch by d.
func (s *Store) SetWatchDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchDelay = d
}

// DropResponses makes the next n writes take effect but return ErrUnknownOutcome.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.droppedResponses = n
}

// DropWrites makes the next n writes have no effect and return ErrUnknownOutcome.
func (s *Store) DropWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.droppedWrites = n
}

// DelayWrites makes the next n writes return ErrUnknownOutcome at once. Each is applied after d if its
// precondition then still holds.
func (s *Store) DelayWrites(n int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delayedWrites = n
	s.faults.writeDelay = d
}

// InjectConflicts makes the next n writes return ErrConflict and have no effect.
func (s *Store) InjectConflicts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.injectedConflicts = n
}

// EndWatches ends all current watches.
func (s *Store) EndWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatchesLocked()
}

func (s *Store) endWatchesLocked() {
	close(s.watchesEnded)
	s.watchesEnded = make(chan struct{})
}

// beginCall counts a call and applies the faults that come before its effect: unavailability and delay.
func (s *Store) beginCall(ctx context.Context, counter *int64) error {
	s.mu.Lock()
	*counter++
	callDelay := s.faults.callDelay
	down := s.faults.down
	s.mu.Unlock()
	if down {
		return errors.Wrap(objectstore.ErrUnavailable, "store is down")
	}
	if callDelay > 0 && !wait(ctx, nil, callDelay) {
		return errors.Mark(errors.Wrap(ctx.Err(), "canceled during the call delay"), objectstore.ErrUnavailable)
	}
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, objectstore.ErrUnavailable)
	}
	return nil
}

// applyWrite calls effect with the lock held, subject to the faults injected into writes. It returns
// ErrUnknownOutcome if ctx ends during the call delay, as a caller that cancels a slow write does not learn its outcome.
func (s *Store) applyWrite(ctx context.Context, counter *int64, effect func() error) error {
	if err := s.beginCall(ctx, counter); err != nil {
		if ctx.Err() != nil {
			return errors.Wrap(objectstore.ErrUnknownOutcome, "call canceled")
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if consumeFault(&s.faults.injectedConflicts) {
		return errors.Wrap(objectstore.ErrConflict, "injected conflict")
	}
	if consumeFault(&s.faults.droppedWrites) {
		return errors.Wrap(objectstore.ErrUnknownOutcome, "injected loss of the write")
	}
	if consumeFault(&s.faults.delayedWrites) {
		time.AfterFunc(s.faults.writeDelay, func() { s.applyDelayed(effect) })
		return errors.Wrap(objectstore.ErrUnknownOutcome, "injected delay of the write")
	}
	s.consumeRestore(&s.faults.restoreBeforeWrite)
	err := effect()
	s.consumeRestore(&s.faults.restoreAfterWrite)
	if consumeFault(&s.faults.droppedResponses) {
		return errors.Wrap(objectstore.ErrUnknownOutcome, "injected loss of the response")
	}
	return err
}

// applyDelayed calls the effect of a write that DelayWrites has delayed.
func (s *Store) applyDelayed(effect func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The write has already returned to its caller. If the precondition fails, the store stays unchanged.
	_ = effect()
}

// consumeFault decrements *n and returns true if it is positive.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
