package claim

import (
	"slices"
	"sync"
	"time"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/verdict"
)

// storeGeneration tracks the generation of the store for all shards of a process. It is safe for concurrent use.
type storeGeneration struct {
	stater objectstore.GenerationStater // nil if the store states none

	mu        sync.Mutex
	current   uint64
	known     bool
	noticedAt time.Time // when the generation was found to have risen; zero for never
	// reachedAt is the time of the first read of a shard after noticedAt; zero before it.
	reachedAt time.Time
}

func newStoreGeneration(s objectstore.Store) *storeGeneration {
	stater, _ := s.(objectstore.GenerationStater)
	return &storeGeneration{stater: stater}
}

// observe reads the generation that the store's responses have stated. fresh is false if the latest response is older than
// maxGenerationAge.
func (g *storeGeneration) observe(now time.Time) (current uint64, fresh bool) {
	if g.stater == nil {
		return 0, true
	}
	stated, known, at := g.stater.Generation()
	if !known {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known && stated > g.current {
		g.noticedAt, g.reachedAt = now, time.Time{}
	}
	g.current, g.known = max(g.current, stated), true
	return g.current, now.Sub(at) <= maxGenerationAge
}

// noticed returns the time at which the store was found to have been restored; zero for never.
func (g *storeGeneration) noticed() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.noticedAt
}

// reached records a read of a shard, and returns the time of the first one since the store was found to have been restored.
func (g *storeGeneration) reached(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reachedAt.IsZero() {
		g.reachedAt = now
	}
	return g.reachedAt
}

// maxOwnWrites is the number of own writes of a shard by which writes of others are recognised. It covers some seconds at the
// highest write rate of a node.
const maxOwnWrites = 256

// restoredShard is what a shard needs to know about a restore of the store.
type restoredShard struct {
	memory     memory
	generation uint64 // that the cached table belongs to
	// knownAt is when the table was last read or written, and foreignAt when a write of another claimer was last found.
	knownAt, foreignAt time.Time
	ownWrites          []string // tokens of the latest own writes, at most maxOwnWrites
	// noticedAt is the notice of the latest restore that the shard has taken into account, and restoredAt the time of the
	// first read after it, from which restoreWindow counts: the store may be away in between. unverifiedHold counts from
	// reachedAt, the first read of any shard after the notice, since the other owners can reach the store from then on. Counted
	// from each shard's own first read, new keys of shards that are used late would be held again and again.
	noticedAt, restoredAt, reachedAt time.Time
	// lost holds the records that were known before, in addition to memory.
	lost    map[string]record
	vouched bool // the knowledge of the shard was complete at noticedAt
}

// cacheIsCurrent reports whether the cached table belongs to the store as it is now.
func (s *shard) cacheIsCurrent(now time.Time) bool {
	if s.table == nil {
		return false
	}
	current, fresh := s.claimer.shared.generation.observe(now)
	return fresh && current == s.restore.generation
}

// noteRead records that the table has been read or written. previous is the table that was cached before; it is kept if the
// store was restored in between.
func (s *shard) noteRead(now time.Time, previous *table) {
	current, _ := s.claimer.shared.generation.observe(now)
	r := &s.restore
	if n := len(s.base.Writers); n > 0 && !slices.Contains(r.ownWrites, s.base.Writers[n-1]) {
		r.foreignAt = now
	}
	if noticed := s.claimer.shared.generation.noticed(); noticed.After(r.noticedAt) {
		r.noticedAt = noticed
		// A shard that is used for the first time long after the restore has nothing to store again.
		if !r.knownAt.IsZero() || now.Sub(noticed) <= memoryTime {
			s.noteRestore(now, current, previous)
		}
	}
	r.generation, r.knownAt = current, now
}

func (s *shard) noteRestore(now time.Time, generation uint64, previous *table) {
	r := &s.restore
	r.restoredAt, r.vouched, r.lost = now, s.vouches(r.noticedAt), nil
	r.reachedAt = s.claimer.shared.generation.reached(now)
	if previous != nil {
		r.lost = previous.records
	}
	s.claimer.config.Log.Warn("store was restored", "event", "claims_restored", "shard", s.key, "generation", generation,
		"remembered", len(r.memory.records), "cached", len(r.lost), "vouched", r.vouched)
}

// vouches reports whether this claimer knows all claims of the shard that were made before the restore noticed at the given
// time: nobody else has written it, and it has either been read or written here lately, or all claims are sent here.
func (s *shard) vouches(noticed time.Time) bool {
	r := &s.restore
	if noticed.Sub(r.foreignAt) <= vouchTime {
		return false
	}
	if !r.knownAt.IsZero() && noticed.Sub(r.knownAt) <= vouchTime {
		return true
	}
	if s.claimer.config.OwnedSince == nil {
		return false
	}
	since, owned := s.claimer.config.OwnedSince(s.claimer.config.Service, s.number)
	return owned && noticed.Sub(since) > vouchTime
}

// addOwnWrite records the token of a write of this claimer, which is the latest in writers.
func (r *restoredShard) addOwnWrite(writers []string) {
	if len(writers) == 0 {
		return
	}
	r.ownWrites = append(r.ownWrites, writers[len(writers)-1])
	r.ownWrites = r.ownWrites[max(0, len(r.ownWrites)-maxOwnWrites):]
}

// restoreClaims adds the claims that the store has lost to t while the restore is recent, and reports whether t has changed.
func (s *shard) restoreClaims(t *table, now time.Time) (bool, error) {
	r := &s.restore
	if r.restoredAt.IsZero() || now.Sub(r.restoredAt) > restoreWindow {
		r.lost = nil
		return false, nil
	}
	fromMemory, err := r.memory.restoreTo(t)
	if err != nil {
		return false, err
	}
	fromCache, err := restoreRecords(t, r.lost)
	if n := fromMemory + fromCache; n > 0 {
		s.claimer.shared.restoredClaims.Add(int64(n))
	}
	return fromMemory+fromCache > 0, err
}

// holdsUnverified reports whether a key without a claim is to be held, because it may have been claimed by another owner in
// the seconds that the store has lost.
func (s *shard) holdsUnverified(now time.Time) bool {
	r := &s.restore
	return !r.restoredAt.IsZero() && !r.vouched && now.Sub(r.reachedAt) < unverifiedHold
}

// completeLost stores the outcome of an attempt whose claim the store has lost.
func (s *shard) completeLost(t *table, o *op, now time.Time, retention time.Duration) error {
	r := &s.restore
	if _, found := t.records[o.id.key]; found || r.restoredAt.IsZero() || now.Sub(r.restoredAt) > restoreWindow {
		return nil
	}
	return t.set(record{Key: o.id.key, Digest: o.id.digest, Attempt: o.id.attempt, State: claimed, Expires: now.Add(retention).UnixMilli()})
}

// remember updates the memory after the table t, with the changes of the batch, has been stored.
func (s *shard) remember(t *table, batch []*op, replies []reply, now time.Time) {
	if s.claimer.shared.generation.stater == nil {
		return
	}
	s.restore.knownAt = now
	s.restore.addOwnWrite(s.base.Writers)
	m := &s.restore.memory
	for _, o := range s.queuedReleases {
		m.forget(o.id.key, o.id.attempt)
	}
	for i, o := range batch {
		switch {
		case o.kind == opRelease:
			m.forget(o.id.key, o.id.attempt)
		case replies[i].err != nil || o.kind == opVerify || o.kind == opAcquire && replies[i].result.Kind != Run:
		default:
			if r, found := t.records[o.id.key]; found && r.Attempt == o.id.attempt {
				m.remember(r, now)
			}
		}
	}
}

// unverifiedResult is the result of an Acquire that cannot be decided yet.
func unverifiedResult() Result { return Result{Kind: Held, Verdict: verdict.MayHaveRun} }

// Observe notices a restore of the store, of which any response of the store may have told. It then stores the claims that
// this process remembers again, in the background, and returns true.
func (s *ClaimerSet) Observe(now time.Time) bool {
	s.shared.generation.observe(now)
	// An operation of a shard may have noticed the restore before.
	noticed := s.shared.generation.noticed()
	s.mu.Lock()
	isNew := noticed.After(s.verifiedRestore)
	if isNew {
		s.verifiedRestore = noticed
	}
	s.mu.Unlock()
	if isNew {
		s.Verify()
	}
	return isNew
}

// Verify reads the shards of which this process knows claims and stores those that the store has lost, in the background.
func (s *ClaimerSet) Verify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.byService {
		c.verify()
	}
}

// InUse reports whether this process has served a claim since its start.
func (s *ClaimerSet) InUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byService) > 0
}

func (c *Claimer) verify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	for _, s := range c.openShards {
		s.add(&op{kind: opVerify, persistent: true, replies: make(chan reply, 1)})
	}
}

// RestoredClaims returns the number of claims that were stored again after the store had lost them.
func (s *ClaimerSet) RestoredClaims() int64 { return s.shared.restoredClaims.Load() }
