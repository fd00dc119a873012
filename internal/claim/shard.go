package claim

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

type opKind uint8

const (
	opAcquire opKind = iota
	opComplete
	opRelease
)

type reply struct {
	result Result
	err    error
}

// op is one operation on a shard.
type op struct {
	kind    opKind
	id      identity
	outcome Outcome
	// persistent operations are tried again until their caller gives up.
	persistent bool
	// late says that a write with this claim has an unknown outcome. It was conditional on the version
	// lateBase, so that it can arrive until the object has another version.
	late     bool
	lateBase int64
	replies  chan reply
	settled  atomic.Bool
}

// abandon ends the caller's wait. It returns false if the reply is there already.
func (o *op) abandon() bool { return o.settled.CompareAndSwap(false, true) }

// abandoned reports that the caller has given up.
func (o *op) abandoned() bool { return o.settled.Load() }

// deliver hands the reply to the caller, or returns false if the caller has given up.
func (o *op) deliver(r reply) bool {
	if !o.settled.CompareAndSwap(false, true) {
		return false
	}
	o.replies <- r
	return true
}

// shard groups the claims of one store object: while a write is in flight, new operations wait and share the next one.
type shard struct {
	claimer *Claimer
	key     string

	mu      sync.Mutex
	running bool
	pending []*op
	wake    chan struct{} // ends the pause after a failure

	// The fields below belong to the goroutine that runs the shard.
	base   objectstore.Sealed
	table  *table // nil: not cached
	again  []*op  // operations to try again after a failure
	orphan []*op  // releases of claims that no caller holds
	away   bool   // the last group was not stored
}

func newShard(c *Claimer, key string) *shard {
	return &shard{claimer: c, key: key, wake: make(chan struct{}, 1)}
}

func (s *shard) add(o *op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, o)
	if !s.running {
		s.running = true
		s.claimer.group.Go(s.run)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run commits groups until no operation is left. After a failure it pauses until there is a new
// operation, so that a claim is refused at once while the store is away.
func (s *shard) run() {
	failures := 0
	for s.hasWork() {
		// Operations that arrive during the wait join the group. The only error is the end of the claimer.
		_ = s.claimer.shared.limiter.Wait(s.claimer.ctx)
		switch {
		case s.commit(s.take()):
			failures = 0
		case s.claimer.ctx.Err() != nil:
			s.orphan = nil // the claims stay until they expire; repeats get Held
		default:
			s.pause(s.claimer.ctx, s.wake, failures)
			failures++
		}
	}
}

// hasWork returns false, and the shard stops, when no operation is left.
func (s *shard) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.pending) > 0 || len(s.again) > 0 || len(s.orphan) > 0
	return s.running
}

// take returns all waiting operations.
func (s *shard) take() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := append(s.again, s.pending...)
	s.again = nil
	s.pending = nil
	return batch
}

// pause waits with jitter until the next attempt. It returns false when ctx ended or wake was signalled first.
func (s *shard) pause(ctx context.Context, wake <-chan struct{}, attempt int) bool {
	timer := time.NewTimer(objectstore.Backoff(attempt, rand.Float64))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return false
	case <-timer.C:
		return true
	}
}

// commit brings a group into the store with one write, or fails it. It reports whether the store answered.
func (s *shard) commit(batch []*op) bool {
	ctx, cancel := context.WithTimeout(s.claimer.ctx, writeTimeout)
	defer cancel()
	batch = withoutAbandoned(batch)
	for attempt := 0; ; attempt++ {
		settled, err := s.try(ctx, batch)
		if settled {
			s.logState(nil)
			return true
		}
		if !errors.Is(err, objectstore.ErrConflict) || !s.pause(ctx, nil, attempt) || s.claimer.shared.limiter.Wait(ctx) != nil {
			s.logState(err)
			s.forget()
			s.fail(batch, err)
			return false
		}
		s.forget()
	}
}

// logState logs only changes, because an outage fails many groups.
func (s *shard) logState(err error) {
	switch {
	case err != nil && !s.away:
		s.claimer.config.Log.Warn("claims refused", "shard", s.key, "error", err)
	case err == nil && s.away:
		s.claimer.config.Log.Info("claims accepted again", "shard", s.key)
	}
	s.away = err != nil
}

// withoutAbandoned drops claims that no caller waits for; releases and outcomes are stored in any case.
func withoutAbandoned(batch []*op) []*op {
	kept := batch[:0]
	for _, o := range batch {
		if o.kind != opAcquire || !o.abandoned() {
			kept = append(kept, o)
		}
	}
	return kept
}

// try applies the group to the newest known table and stores the result.
func (s *shard) try(ctx context.Context, batch []*op) (settled bool, err error) {
	fresh := s.table == nil
	if err := s.load(ctx); err != nil {
		return false, err
	}
	now := time.Now()
	next := s.table.clone()
	next.expire(now)
	replies, changed, final := s.apply(next, batch, now)
	if !changed && !fresh && !final {
		// The answers come from a cached table that another node may have replaced.
		s.forget()
		return s.try(ctx, batch)
	}
	if changed {
		payload := next.encode()
		stored, err := objectstore.PutResolved(ctx, s.claimer.config.Store, s.key, s.base, payload)
		if errors.Is(err, objectstore.ErrUnknownOutcome) {
			s.orphanRuns(batch, replies, s.base.Version)
		}
		if err != nil {
			return false, err
		}
		s.base = stored
		s.remember(next)
		if !bytes.Equal(stored.Payload, payload) {
			s.forget() // the read-back found a later write of another claimer
		}
	}
	s.orphan = nil
	s.settle(batch, replies)
	return true, nil
}

// apply runs the operations on t in order. final says that no newer table changes the replies.
func (s *shard) apply(t *table, batch []*op, now time.Time) (replies []reply, changed, final bool) {
	final = true
	for _, o := range s.orphan {
		released := t.release(o.id)
		// A write that may still arrive is stopped by any other write to the object.
		mustFence := o.late && o.lateBase == s.base.Version
		changed = changed || released || mustFence
		final = false
	}
	for _, o := range batch {
		r, wrote := s.applyOne(t, o, now)
		replies = append(replies, r)
		changed = changed || wrote
		old, found := s.table.records[o.id.key]
		final = final && o.kind == opAcquire && found && old.isFinal()
	}
	return replies, changed, final
}

func (s *shard) applyOne(t *table, o *op, now time.Time) (reply, bool) {
	retention := max(s.claimer.config.Retention(), MinRetention)
	switch o.kind {
	case opAcquire:
		result, changed, err := t.acquire(o.id, now, retention)
		return reply{result: result, err: err}, changed
	case opComplete:
		changed, err := t.complete(o.id, o.outcome, now, retention)
		return reply{err: err}, changed
	default:
		return reply{}, t.release(o.id)
	}
}

func (s *shard) load(ctx context.Context) error {
	if s.table != nil {
		return nil
	}
	if err := s.claimer.shared.layout.check(ctx, s.claimer.shards); err != nil {
		return err
	}
	sealed, err := objectstore.GetSealed(ctx, s.claimer.config.Store, s.key)
	if err != nil {
		return err
	}
	t, err := decodeTable(sealed.Payload)
	if err != nil {
		return err
	}
	s.base = sealed
	s.remember(t)
	return nil
}

// remember caches the table.
func (s *shard) remember(t *table) {
	s.forget()
	s.table = t
	s.claimer.shared.cached.Add(int64(t.size))
}

func (s *shard) forget() {
	if s.table != nil {
		s.claimer.shared.cached.Add(-int64(s.table.size))
	}
	s.table = nil
}

// settle delivers the replies. A claim whose caller has given up meanwhile is released again.
func (s *shard) settle(batch []*op, replies []reply) {
	for i, o := range batch {
		if !o.deliver(replies[i]) && o.kind == opAcquire && replies[i].result.Kind == Run {
			s.orphan = append(s.orphan, &op{kind: opRelease, id: o.id})
		}
	}
	if s.claimer.shared.cached.Load() > maxCacheBytes {
		s.forget()
	}
}

// orphanRuns remembers the claims of a write whose outcome stayed unknown. None of them leads to a run.
func (s *shard) orphanRuns(batch []*op, replies []reply, base int64) {
	for i, o := range batch {
		if o.kind == opAcquire && replies[i].result.Kind == Run {
			s.orphan = append(s.orphan, &op{kind: opRelease, id: o.id, late: true, lateBase: base})
		}
	}
}

// fail answers a group that was not stored, or whose write has an unknown outcome. Releases and
// persistent operations are tried again.
func (s *shard) fail(batch []*op, err error) {
	for _, o := range batch {
		if o.persistent && !o.abandoned() && s.claimer.ctx.Err() == nil {
			s.again = append(s.again, o)
			continue
		}
		if o.kind == opRelease {
			s.orphan = append(s.orphan, &op{kind: opRelease, id: o.id})
		}
		o.deliver(reply{err: err})
	}
}
