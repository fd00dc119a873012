package objectstoretest

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

type faults struct {
	down      bool
	slow      time.Duration
	watchLag  time.Duration
	lose      int // writes that take effect and whose answer is lost
	drop      int // writes that are lost before they take effect
	delay     int // writes whose answer is lost and that take effect after delayBy
	delayBy   time.Duration
	conflicts int
}

// Counts are the calls that the store has received, by kind. A watch counts once, when it starts.
type Counts struct{ Get, List, Put, Delete, Watch int64 }

// Writes returns the calls that count against the write rate.
func (c Counts) Writes() int64 { return c.Put + c.Delete }

// Reads returns the calls that count against the read rate.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch }

// Counts returns the calls since the last ResetCounts and the time since then.
func (s *Store) Counts() (Counts, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts, time.Since(s.since)
}

// ResetCounts sets all counters to zero.
func (s *Store) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Counts{}
	s.since = time.Now()
}

// SetDown makes each call fail with ErrUnavailable and cuts the watches.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	if down {
		s.cutLocked()
	}
}

// SetCallDelay delays each call by d before it takes effect.
func (s *Store) SetCallDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slow = d
}

// SetWatchDelay delays the events of each watch by d.
func (s *Store) SetWatchDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchLag = d
}

// DropResponses lets the next n writes take effect but return ErrUnknownOutcome.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lose = n
}

// DropWrites lets the next n writes have no effect and return ErrUnknownOutcome.
func (s *Store) DropWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.drop = n
}

// DelayWrites lets the next n writes return ErrUnknownOutcome at once and be carried out after d, if
// their condition then still holds.
func (s *Store) DelayWrites(n int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = n
	s.faults.delayBy = d
}

// InjectConflicts lets the next n writes return ErrConflict without effect.
func (s *Store) InjectConflicts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.conflicts = n
}

// EndWatches ends all present watches.
func (s *Store) EndWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutLocked()
}

func (s *Store) cutLocked() {
	close(s.cut)
	s.cut = make(chan struct{})
}

// enter counts a call and applies the faults that precede its effect.
func (s *Store) enter(ctx context.Context, counter *int64) error {
	s.mu.Lock()
	*counter++
	slow := s.faults.slow
	down := s.faults.down
	s.mu.Unlock()
	if down {
		return errors.Wrap(objectstore.ErrUnavailable, "store is down")
	}
	if slow > 0 && !wait(ctx, nil, slow) {
		return errors.Mark(errors.Wrap(ctx.Err(), "store is slow"), objectstore.ErrUnavailable)
	}
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, objectstore.ErrUnavailable)
	}
	return nil
}

// write runs the effect of a write under the lock, subject to the faults of writes. A caller that gives
// up on a slow write does not learn its outcome.
func (s *Store) write(ctx context.Context, counter *int64, effect func() error) error {
	if err := s.enter(ctx, counter); err != nil {
		if ctx.Err() != nil {
			return errors.Wrap(objectstore.ErrUnknownOutcome, "call ended")
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if take(&s.faults.conflicts) {
		return errors.Wrap(objectstore.ErrConflict, "conflict by fault")
	}
	if take(&s.faults.drop) {
		return errors.Wrap(objectstore.ErrUnknownOutcome, "write lost")
	}
	if take(&s.faults.delay) {
		time.AfterFunc(s.faults.delayBy, func() { s.late(effect) })
		return errors.Wrap(objectstore.ErrUnknownOutcome, "write delayed")
	}
	err := effect()
	if take(&s.faults.lose) {
		return errors.Wrap(objectstore.ErrUnknownOutcome, "answer lost")
	}
	return err
}

func (s *Store) late(effect func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The caller has its answer already; a condition that no longer holds leaves the store unchanged.
	_ = effect()
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
