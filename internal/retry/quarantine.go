package retry

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionspoke/internal/wire"
)

// FingerprintSize is the length of a fingerprint in bytes.
const FingerprintSize = 16

// Fingerprint identifies requests that are equal in method, host, target, client account and body.
type Fingerprint [FingerprintSize]byte

// String returns the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Bytes returns the fingerprint as it is sent in messages.
func (f Fingerprint) Bytes() []byte { return f[:] }

// ParseFingerprint returns the fingerprint in b, or false when b is too short. A longer digest is
// truncated.
func ParseFingerprint(b []byte) (f Fingerprint, ok bool) {
	if len(b) < FingerprintSize {
		return f, false
	}
	copy(f[:], b)
	return f, true
}

// Digest computes the fingerprint of a request while its body is read; the body is written to it. The
// hash is cryptographic, so that a caller cannot craft a request that puts another caller's request
// into quarantine.
type Digest struct{ h hash.Hash }

// NewDigest starts the fingerprint of a request. target is the host and the path with the query.
func NewDigest(method, target string) *Digest {
	d := &Digest{sha256.New()}
	d.writeField(method)
	d.writeField(target)
	return d
}

// writeField writes a length prefix before the text, so that different field values never give the same
// hash input.
func (d *Digest) writeField(s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = d.h.Write(size[:])
	_, _ = io.WriteString(d.h, s)
}

// Write implements io.Writer. It never fails.
func (d *Digest) Write(p []byte) (int, error) { return d.h.Write(p) }

// Sum returns the fingerprint of the data written so far.
func (d *Digest) Sum() Fingerprint {
	f, _ := ParseFingerprint(d.h.Sum(nil))
	return f
}

// CallerFingerprint returns the fingerprint of the requests of one caller that have the fingerprint f.
func CallerFingerprint(f Fingerprint, caller string) Fingerprint {
	d := &Digest{sha256.New()}
	_, _ = d.Write(f[:])
	d.writeField(caller)
	return d.Sum()
}

// FingerprintOf returns the fingerprint of a request with a complete body.
func FingerprintOf(method, target string, body []byte) Fingerprint {
	d := NewDigest(method, target)
	_, _ = d.Write(body)
	return d.Sum()
}

// Limits of the quarantine table.
const (
	maxQuarantineEntries = 4096
	// maxVictims bounds the crashed processes stored for one fingerprint.
	maxVictims = 8
	// maxRecordEntries bounds the entries of a record in the store.
	maxRecordEntries = 256
	// maxEntryLifetime bounds the expiry time of entries from other nodes.
	maxEntryLifetime = 24 * time.Hour
)

// Trials of requests in quarantine.
const (
	// maxTrials is the number of trials that may follow the last response to a request.
	maxTrials = 3
	// firstTrialDelay is the time from the last crash to the first trial. It gives a response elsewhere the time to end the
	// quarantine. Each further trial follows the one before, or its crash, after trialDelayFactor times the delay.
	firstTrialDelay  = time.Second
	trialDelayFactor = 8
)

// Quarantine counts the backend servers that crashed while they ran a request, and refuses the request
// after too many crashes. Single requests are let through as trials, since only a response can show that a request
// crashes nothing. It is safe for concurrent use.
type Quarantine struct {
	mu         sync.Mutex
	crashLimit int
	duration   time.Duration
	entries    map[Fingerprint]*entry
	// entryCount is len(entries). RecordSuccess reads it to skip the lock in the usual case of an empty table.
	entryCount atomic.Int32
}

type entry struct {
	victims         []uint64 // hashes of the backend server processes that crashed, the latest last
	clearedVictims  []uint64 // those of victims that crashed before the latest response to the request
	reportedCrashes uint32   // crash count from other nodes, which may list fewer processes
	// trials counts the trials of all nodes, clearedTrials those before the latest response to the request.
	trials, clearedTrials uint32
	expires               time.Time
}

// trialDelay returns the time from the last crash or trial to the next trial, or false if no trial may follow.
func (e *entry) trialDelay() (time.Duration, bool) {
	used := e.trials - min(e.trials, e.clearedTrials)
	if used >= maxTrials {
		return 0, false
	}
	delay := firstTrialDelay
	for range used {
		delay *= trialDelayFactor
	}
	return delay, true
}

// crashCount returns the number of distinct crashes since the latest response to the request: one that only ran at the
// same time as another that crashes servers gets a response elsewhere. Crashes that other nodes report without listing the
// process may be the same as the listed ones, so the larger number is used and not the sum.
func (e *entry) crashCount() int {
	return max(len(e.victims)-len(e.clearedVictims), int(e.reportedCrashes))
}

func (e *entry) addVictim(victim uint64) {
	if slices.Contains(e.victims, victim) {
		return
	}
	if len(e.victims) >= maxVictims {
		if len(e.clearedVictims) == 0 {
			return
		}
		oldest := e.clearedVictims[0]
		e.clearedVictims = e.clearedVictims[1:]
		e.victims = slices.DeleteFunc(e.victims, func(v uint64) bool { return v == oldest })
	}
	e.victims = append(e.victims, victim)
}

// clear makes a victim no longer count. Victims that are not listed stay unknown.
func (e *entry) clear(victim uint64) {
	if slices.Contains(e.victims, victim) && !slices.Contains(e.clearedVictims, victim) {
		e.clearedVictims = append(e.clearedVictims, victim)
	}
}

// NewQuarantine returns an empty table. It refuses a request once crashLimit processes have crashed without a response
// to the request in between, until duration has passed since the last crash.
func NewQuarantine(crashLimit int, duration time.Duration) *Quarantine {
	return &Quarantine{crashLimit: max(crashLimit, 1), duration: duration, entries: make(map[Fingerprint]*entry)}
}

// SetPolicy applies the limits of a new bundle to later crashes and refusals.
func (q *Quarantine) SetPolicy(crashLimit int, duration time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashLimit, q.duration = max(crashLimit, 1), duration
}

// Refuses reports whether the request must not run, unless it is a trial.
func (q *Quarantine) Refuses(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refusedEntry(f, now) != nil
}

// refusedEntry returns the entry of a request in quarantine, or nil for another request.
func (q *Quarantine) refusedEntry(f Fingerprint, now time.Time) *entry {
	e := q.entries[f]
	if e == nil || !now.Before(e.expires) || e.crashCount() < q.crashLimit {
		return nil
	}
	return e
}

// TrialWait returns the time until a trial of a request with these fingerprints is due; it is negative if one has been due
// for that time. It returns false if no trial may follow.
func (q *Quarantine) TrialWait(fingerprints []Fingerprint, now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due time.Time
	for _, f := range fingerprints {
		e := q.refusedEntry(f, now)
		if e == nil {
			continue
		}
		delay, ok := e.trialDelay()
		if !ok {
			return 0, false
		}
		lastRun := e.expires.Add(-q.duration)
		if at := lastRun.Add(delay); at.After(due) {
			due = at
		}
	}
	return due.Sub(now), true
}

// PlanTrial returns the record to write in place of the given one, with a trial of a request with these fingerprints, or
// false if none is due. The trial is claimed once that write has succeeded; the caller then calls Merge with the result.
func (q *Quarantine) PlanTrial(record []*wire.QuarantineEntry, fingerprints []Fingerprint, now time.Time) ([]*wire.QuarantineEntry, bool) {
	q.Merge(record, now)
	if wait, ok := q.TrialWait(fingerprints, now); !ok || wait > 0 {
		return nil, false
	}
	updates := q.EntriesOf(fingerprints, now)
	for _, e := range updates {
		e.Trials++
		e.ExpiresUnixMs = max(e.ExpiresUnixMs, uint64(now.Add(q.policyDuration()).UnixMilli()))
	}
	return q.MergeRecord(record, updates, now), true
}

func (q *Quarantine) policyDuration() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.duration
}

// MergeRecord returns the entries of a record in the store and of updates that are in quarantine.
func (q *Quarantine) MergeRecord(record, updates []*wire.QuarantineEntry, now time.Time) []*wire.QuarantineEntry {
	q.mu.Lock()
	merged := NewQuarantine(q.crashLimit, q.duration)
	q.mu.Unlock()
	merged.Merge(record, now)
	merged.Merge(updates, now)
	return merged.RefusedEntries(now)
}

// RefusedEntries returns the entries in quarantine, those that expire last first, at most maxRecordEntries.
func (q *Quarantine) RefusedEntries(now time.Time) []*wire.QuarantineEntry {
	return q.selectEntries(now, maxRecordEntries, func(f Fingerprint, _ *entry) bool { return q.refusedEntry(f, now) != nil })
}

// EntriesOf returns the entries of these fingerprints.
func (q *Quarantine) EntriesOf(fingerprints []Fingerprint, now time.Time) []*wire.QuarantineEntry {
	return q.selectEntries(now, len(fingerprints), func(f Fingerprint, _ *entry) bool { return slices.Contains(fingerprints, f) })
}

// RecordCrash records that a backend server crashed while it ran the request. victim identifies the process: a server that
// crashes again after a restart counts again. RecordCrash returns true when this puts the request into quarantine.
func (q *Quarantine) RecordCrash(f Fingerprint, victim string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entryFor(f, now)
	before := e.crashCount()
	e.addVictim(xxhash.Sum64String(victim))
	e.expires = now.Add(q.duration)
	return before < q.crashLimit && e.crashCount() >= q.crashLimit
}

// RecordSuccess records that a backend server responded to the request, so that earlier crashes no longer count. It returns
// true when this changes the entry, so that the caller sends the change to other nodes.
func (q *Quarantine) RecordSuccess(f Fingerprint) bool {
	if q.entryCount.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[f]
	if e == nil || e.crashCount() == 0 {
		return false
	}
	e.reportedCrashes = 0
	e.clearedTrials = e.trials
	for _, victim := range e.victims {
		e.clear(victim)
	}
	return true
}

// IsEmpty reports whether no crash is known. It takes no lock.
func (q *Quarantine) IsEmpty() bool { return q.entryCount.Load() == 0 }

// Merge adds entries from other nodes. Malformed and expired entries are ignored, and an expiry time
// beyond maxEntryLifetime is reduced to it.
func (q *Quarantine) Merge(entries []*wire.QuarantineEntry, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range entries {
		f, ok := ParseFingerprint(m.GetFingerprint())
		expires := time.UnixMilli(int64(min(m.GetExpiresUnixMs(), uint64(now.Add(maxEntryLifetime).UnixMilli()))))
		if !ok || m.GetDeaths() == 0 || !now.Before(expires) {
			continue
		}
		e := q.entryFor(f, now)
		if int(m.GetDeaths()) > len(m.GetVictims()) {
			e.reportedCrashes = max(e.reportedCrashes, min(m.GetDeaths(), maxVictims))
		}
		for _, victim := range m.GetVictims() {
			e.addVictim(victim)
		}
		for _, victim := range m.GetClearedVictims() {
			e.clear(victim)
		}
		e.trials, e.clearedTrials = max(e.trials, m.GetTrials()), max(e.clearedTrials, m.GetClearedTrials())
		if expires.After(e.expires) {
			e.expires = expires
		}
	}
}

// Entries returns the entries to send to other nodes, those that expire last first, at most limit.
func (q *Quarantine) Entries(now time.Time, limit int) []*wire.QuarantineEntry {
	return q.selectEntries(now, limit, func(Fingerprint, *entry) bool { return true })
}

// selectEntries returns the entries that selected accepts, those that expire last first, at most limit. selected is called
// with mu held.
func (q *Quarantine) selectEntries(now time.Time, limit int, selected func(Fingerprint, *entry) bool) []*wire.QuarantineEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	var out []*wire.QuarantineEntry
	for f, e := range q.entries {
		if selected(f, e) {
			out = append(out, e.toWire(f))
		}
	}
	slices.SortFunc(out, func(a, b *wire.QuarantineEntry) int {
		return cmp.Or(cmp.Compare(b.ExpiresUnixMs, a.ExpiresUnixMs), slices.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

func (e *entry) toWire(f Fingerprint) *wire.QuarantineEntry {
	return &wire.QuarantineEntry{
		Fingerprint:   f.Bytes(),
		ExpiresUnixMs: uint64(e.expires.UnixMilli()),
		// Nodes ignore entries without deaths, so that a cleared one states the crashes that it had.
		Deaths:         uint32(max(e.crashCount(), len(e.clearedVictims))),
		Victims:        slices.Clone(e.victims),
		Cleared:        e.crashCount() == 0,
		ClearedVictims: slices.Clone(e.clearedVictims),
		Trials:         e.trials,
		ClearedTrials:  e.clearedTrials,
	}
}

// Counts returns the number of fingerprints in the table and the number of those that are refused.
func (q *Quarantine) Counts(now time.Time) (known, refused int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	for _, e := range q.entries {
		if e.crashCount() >= q.crashLimit {
			refused++
		}
	}
	return len(q.entries), refused
}

// entryFor returns the entry of f. If there is none, it adds one and evicts another when the table is
// full.
func (q *Quarantine) entryFor(f Fingerprint, now time.Time) *entry {
	if e := q.entries[f]; e != nil {
		if now.Before(e.expires) {
			return e
		}
		delete(q.entries, f)
	}
	if len(q.entries) >= maxQuarantineEntries {
		q.expire(now)
	}
	if len(q.entries) >= maxQuarantineEntries {
		q.evict()
	}
	e := &entry{}
	q.entries[f] = e
	q.entryCount.Store(int32(len(q.entries)))
	return e
}

func (q *Quarantine) expire(now time.Time) {
	for f, e := range q.entries {
		if !now.Before(e.expires) {
			delete(q.entries, f)
		}
	}
	q.entryCount.Store(int32(len(q.entries)))
}

// evict removes the entry with the fewest crashes; among equals, the first to expire.
func (q *Quarantine) evict() {
	var evictedKey Fingerprint
	var evicted *entry
	for f, e := range q.entries {
		if evicted == nil || e.crashCount() < evicted.crashCount() || (e.crashCount() == evicted.crashCount() && e.expires.Before(evicted.expires)) {
			evictedKey, evicted = f, e
		}
	}
	delete(q.entries, evictedKey)
}
