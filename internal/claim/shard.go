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
	opVerify // changes nothing; see restoreClaims
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
	// persistent means that the operation is retried until its caller gives up or the Claimer is closed.
	persistent bool
	// unresolved means that a write of the claim to release has an unknown outcome. That write was
	// conditional on version unresolvedBase, so that it can take effect as long as the object has this version.
	unresolved     bool
	unresolvedBase int64
	replies        chan reply
	finished       atomic.Bool
}

// abandon records that the caller has given up. It returns false if the reply was already delivered.
func (o *op) abandon() bool { return o.finished.CompareAndSwap(false, true) }

// abandoned reports whether the caller has given up. It is meaningful only before deliver.
func (o *op) abandoned() bool { return o.finished.Load() }

// deliver sends the reply to the caller. It returns false if the caller has given up.
func (o *op) deliver(r reply) bool {
	if !o.finished.CompareAndSwap(false, true) {
		return false
	}
	o.replies <- r
	return true
}

// shard batches the operations on the claims of one store object: operations that arrive while a write is
// in flight share the next write.
type shard struct {
	claimer *Claimer
	key     string
	number  int

	mu      sync.Mutex
	running bool
	pending []*op
	wake    chan struct{} // ends the backoff after a failure

	// The fields below are used only by the goroutine of run.
	base           objectstore.Sealed // stored value that the next write replaces
	table          *table             // decoded form of base; nil if not cached
	retries        []*op              // operations to retry after a failure
	queuedReleases []*op              // releases to retry or to make for callers that have given up
	failing        bool               // the last batch was not committed
	restore        restoredShard
}

func newShard(c *Claimer, key string, number int) *shard {
	return &shard{claimer: c, key: key, number: number, wake: make(chan struct{}, 1)}
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

// run commits batches until no operation is left. After a failure it backs off, but a new operation ends
// the backoff, so that a claim is refused without delay while the store is unavailable.
func (s *shard) run() {
	failures := 0
	for s.hasWork() {
		// Operations that arrive during the wait join the batch. Wait fails only when the claimer is closed.
		_ = s.claimer.shared.limiter.Wait(s.claimer.ctx)
		switch {
		case s.commit(s.takeBatch()):
			failures = 0
		case s.claimer.ctx.Err() != nil:
			s.queuedReleases = nil // the claims remain until they expire; repeats get Held
		default:
			s.backOff(s.claimer.ctx, s.wake, failures)
			failures++
		}
	}
}

// hasWork reports whether any operation is left. If not, it marks the shard as stopped, and run must
// return.
func (s *shard) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.pending) > 0 || len(s.retries) > 0 || len(s.queuedReleases) > 0
	return s.running
}

// takeBatch removes and returns all waiting operations.
func (s *shard) takeBatch() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := append(s.retries, s.pending...)
	s.retries = nil
	s.pending = nil
	return batch
}

// backOff waits for a delay with jitter. It returns false if ctx ends or wake is signalled first.
func (s *shard) backOff(ctx context.Context, wake <-chan struct{}, attempt int) bool {
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

// commit stores the changes of a batch with one write and delivers the replies. It retries after conflicts.
// On any other error, or if it cannot retry, it passes the error to failBatch and returns false.
func (s *shard) commit(batch []*op) bool {
	ctx, cancel := context.WithTimeout(s.claimer.ctx, writeTimeout)
	defer cancel()
	batch = withoutAbandoned(batch)
	for attempt := 0; ; attempt++ {
		committed, err := s.tryCommit(ctx, batch)
		if committed {
			s.logState(nil)
			return true
		}
		if !errors.Is(err, objectstore.ErrConflict) || !s.backOff(ctx, nil, attempt) || s.claimer.shared.limiter.Wait(ctx) != nil {
			s.logState(err)
			s.dropTable()
			s.failBatch(batch, err)
			return false
		}
		s.dropTable()
	}
}

// logState logs only changes between success and failure, because many batches fail in an outage.
func (s *shard) logState(err error) {
	switch {
	case err != nil && !s.failing:
		s.claimer.config.Log.Warn("claims refused", "shard", s.key, "error", err)
	case err == nil && s.failing:
		s.claimer.config.Log.Info("claims accepted again", "shard", s.key)
	}
	s.failing = err != nil
}

// withoutAbandoned removes the Acquire operations whose callers have given up. Releases and outcomes are
// stored even if no caller waits for them.
func withoutAbandoned(batch []*op) []*op {
	kept := batch[:0]
	for _, o := range batch {
		if o.kind != opAcquire || !o.abandoned() {
			kept = append(kept, o)
		}
	}
	return kept
}

// tryCommit applies the batch to the cached table, or to the stored one if none is cached. It stores the
// result and delivers the replies.
func (s *shard) tryCommit(ctx context.Context, batch []*op) (committed bool, err error) {
	loaded, err := s.load(ctx) // from the store, in this call
	if err != nil {
		return false, err
	}
	now := time.Now()
	next := s.table.clone()
	next.expire(now)
	restored, err := s.restoreClaims(next, now)
	if err != nil {
		return false, err
	}
	replies, changed, final := s.apply(next, batch, now)
	changed = changed || restored
	if !changed && !loaded && !final {
		// The replies come from a cached table, and another node may have written a newer one.
		s.dropTable()
		return s.tryCommit(ctx, batch)
	}
	if changed {
		payload := next.encode()
		stored, err := objectstore.PutResolved(ctx, s.claimer.config.Store, s.key, s.base, payload)
		if errors.Is(err, objectstore.ErrUnknownOutcome) {
			s.addUnresolvedReleases(batch, replies, s.base.Version)
		}
		if err != nil {
			return false, err
		}
		s.base = stored
		s.cacheTable(next)
		s.remember(next, batch, replies, now)
		if !bytes.Equal(stored.Payload, payload) {
			s.dropTable() // the read-back found a later write of another claimer
		}
	}
	s.queuedReleases = nil
	s.deliverReplies(batch, replies)
	return true, nil
}

// apply runs the operations on t in order. changed reports whether t must be written; final reports
// whether the replies would be the same with any newer table.
func (s *shard) apply(t *table, batch []*op, now time.Time) (replies []reply, changed, final bool) {
	final = true
	for _, o := range s.queuedReleases {
		released := t.release(o.id)
		// A write that may still take effect is prevented by any write that changes the object's version.
		mustFence := o.unresolved && o.unresolvedBase == s.base.Version
		changed = changed || released || mustFence
		final = false
	}
	for _, o := range batch {
		r, wrote := s.applyOne(t, o, now)
		replies = append(replies, r)
		changed = changed || wrote
		existing, found := s.table.records[o.id.key]
		final = final && o.kind == opAcquire && found && existing.isFinal()
	}
	return replies, changed, final
}

func (s *shard) applyOne(t *table, o *op, now time.Time) (reply, bool) {
	retention := max(s.claimer.config.Retention(), MinRetention)
	switch o.kind {
	case opVerify:
		return reply{}, false
	case opAcquire:
		if _, found := t.records[o.id.key]; !found && s.holdsUnverified(now) {
			return reply{result: unverifiedResult()}, false
		}
		result, changed, err := t.acquire(o.id, now, retention)
		return reply{result: result, err: err}, changed
	case opComplete:
		if err := s.completeLost(t, o, now, retention); err != nil {
			return reply{err: err}, false
		}
		changed, err := t.complete(o.id, o.outcome, now, retention)
		return reply{err: err}, changed
	default:
		return reply{}, t.release(o.id)
	}
}

// load reads the table from the store, unless a cached one is current. It reports whether it has read it.
func (s *shard) load(ctx context.Context) (loaded bool, err error) {
	if s.cacheIsCurrent(time.Now()) {
		return false, nil
	}
	previous := s.table
	if err := s.claimer.shared.layout.check(ctx, s.claimer.shards, s.claimer.shared.generation); err != nil {
		return false, err
	}
	sealed, err := objectstore.GetSealed(ctx, s.claimer.config.Store, s.key)
	if err != nil {
		return false, err
	}
	t, err := decodeTable(sealed.Payload)
	if err != nil {
		return false, err
	}
	s.base = sealed
	s.cacheTable(t)
	s.noteRead(time.Now(), previous)
	return true, nil
}

func (s *shard) cacheTable(t *table) {
	s.dropTable()
	s.table = t
	s.claimer.shared.cachedBytes.Add(int64(t.size))
}

func (s *shard) dropTable() {
	if s.table != nil {
		s.claimer.shared.cachedBytes.Add(-int64(s.table.size))
	}
	s.table = nil
}

// deliverReplies delivers the replies. If the caller of a successful Acquire has given up, its claim is
// released.
func (s *shard) deliverReplies(batch []*op, replies []reply) {
	for i, o := range batch {
		if !o.deliver(replies[i]) && o.kind == opAcquire && replies[i].result.Kind == Run {
			s.queuedReleases = append(s.queuedReleases, &op{kind: opRelease, id: o.id})
		}
	}
	if s.claimer.shared.cachedBytes.Load() > maxCacheBytes {
		s.dropTable()
	}
}

// addUnresolvedReleases queues releases for the claims of a write with an unknown outcome. Their callers
// get errors, so that none of these claims leads to a run.
func (s *shard) addUnresolvedReleases(batch []*op, replies []reply, base int64) {
	for i, o := range batch {
		if o.kind == opAcquire && replies[i].result.Kind == Run {
			s.queuedReleases = append(s.queuedReleases, &op{kind: opRelease, id: o.id, unresolved: true, unresolvedBase: base})
		}
	}
}

// failBatch delivers err to the callers of a batch that was not stored, or whose write has an unknown
// outcome. It keeps persistent operations for a retry instead. Releases are also retried after their callers
// have received the error.
func (s *shard) failBatch(batch []*op, err error) {
	for _, o := range batch {
		if o.persistent && !o.abandoned() && s.claimer.ctx.Err() == nil {
			s.retries = append(s.retries, o)
			continue
		}
		if o.kind == opRelease {
			s.queuedReleases = append(s.queuedReleases, &op{kind: opRelease, id: o.id})
		}
		o.deliver(reply{err: err})
	}
}
