package retry

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
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

// Fingerprint identifies requests that are equal in method, target and body.
type Fingerprint [FingerprintSize]byte

// Bytes returns the fingerprint for a message.
func (f Fingerprint) Bytes() []byte { return f[:] }

// ParseFingerprint returns the fingerprint of a message, or false when b is too short to be one. A
// longer digest is cut.
func ParseFingerprint(b []byte) (f Fingerprint, ok bool) {
	if len(b) < FingerprintSize {
		return f, false
	}
	copy(f[:], b)
	return f, true
}

// Digest computes the fingerprint of a request while its body is read. It implements io.Writer for
// the body. The hash is a cryptographic one: a caller must not be able to build a request that puts
// another caller's request into quarantine.
type Digest struct{ h hash.Hash }

// NewDigest starts the fingerprint of a request. target is the path with the query.
func NewDigest(method, target string) *Digest {
	d := &Digest{sha256.New()}
	d.writeField(method)
	d.writeField(target)
	return d
}

// writeField writes a length before the text, so that no two pairs of fields give the same input.
func (d *Digest) writeField(s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = d.h.Write(size[:])
	_, _ = io.WriteString(d.h, s)
}

// Write implements io.Writer. It never fails.
func (d *Digest) Write(p []byte) (int, error) { return d.h.Write(p) }

// Sum returns the fingerprint of what has been written.
func (d *Digest) Sum() Fingerprint {
	f, _ := ParseFingerprint(d.h.Sum(nil))
	return f
}

// FingerprintOf returns the fingerprint of a request whose body is at hand.
func FingerprintOf(method, target string, body []byte) Fingerprint {
	d := NewDigest(method, target)
	_, _ = d.Write(body)
	return d.Sum()
}

// Limits of the quarantine's memory.
const (
	maxFingerprints = 4096
	// maxVictims bounds the endpoints remembered for one fingerprint.
	maxVictims = 8
	// maxLifetime bounds the expiry that other nodes may state.
	maxLifetime = 24 * time.Hour
)

// Quarantine counts the backend servers that died while they ran a request, and refuses the request
// once enough of them have. It is safe for concurrent use.
type Quarantine struct {
	mu      sync.Mutex
	deaths  int
	keep    time.Duration
	entries map[Fingerprint]*entry
	// size is len(entries), so that the usual case of an empty table takes no lock.
	size atomic.Int32
}

type entry struct {
	victims []uint64 // hashes of the IDs of the endpoints that died
	stated  uint32   // deaths stated by other nodes, which may name fewer victims
	expires time.Time
	// cleared is set when the request is answered after a death. Requests that only happened to run
	// beside the one that crashes a server are answered elsewhere; that one never is.
	cleared bool
}

// count is the number of distinct deaths. Those that other nodes state without naming the victims may
// be the same as the named ones, so that the larger number counts and not the sum.
func (e *entry) count() int { return max(len(e.victims), int(e.stated)) }

func (e *entry) addVictim(v uint64) {
	if len(e.victims) < maxVictims && !slices.Contains(e.victims, v) {
		e.victims = append(e.victims, v)
	}
}

// NewQuarantine returns an empty table that refuses a request for the time keep after the last of
// the given number of deaths.
func NewQuarantine(deaths int, keep time.Duration) *Quarantine {
	return &Quarantine{deaths: max(deaths, 1), keep: keep, entries: make(map[Fingerprint]*entry)}
}

// SetPolicy applies the limits of a new bundle to later deaths and refusals.
func (q *Quarantine) SetPolicy(deaths int, keep time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deaths, q.keep = max(deaths, 1), keep
}

// Refuses reports whether the request must not run.
func (q *Quarantine) Refuses(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[f]
	return e != nil && !e.cleared && now.Before(e.expires) && e.count() >= q.deaths
}

// Died records that an endpoint's backend server died while it ran the request. It returns true when
// this puts the request into quarantine.
func (q *Quarantine) RecordCrash(f Fingerprint, endpointID string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entry(f, now)
	before := e.count()
	e.addVictim(xxhash.Sum64String(endpointID))
	e.expires = now.Add(q.keep)
	return !e.cleared && before < q.deaths && e.count() >= q.deaths
}

// Succeeded records that a backend server answered the request. It returns true when the request was
// suspected before, so that other nodes should be told.
func (q *Quarantine) RecordSuccess(f Fingerprint) bool {
	if q.size.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[f]
	if e == nil || e.cleared {
		return false
	}
	e.cleared = true
	return true
}

// Merge takes over entries of other nodes. A malformed or expired entry has no effect, and an expiry
// further away than a bundle can set is cut.
func (q *Quarantine) Merge(entries []*wire.QuarantineEntry, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range entries {
		f, ok := ParseFingerprint(m.GetFingerprint())
		expires := time.UnixMilli(int64(min(m.GetExpiresUnixMs(), uint64(now.Add(maxLifetime).UnixMilli()))))
		if !ok || m.GetDeaths() == 0 || !now.Before(expires) {
			continue
		}
		e := q.entry(f, now)
		e.stated = max(e.stated, min(m.GetDeaths(), maxVictims))
		for _, v := range m.GetVictims() {
			e.addVictim(v)
		}
		e.cleared = e.cleared || m.GetCleared()
		if expires.After(e.expires) {
			e.expires = expires
		}
	}
}

// Entries returns the entries to send to other nodes, those that expire last first, at most limit.
func (q *Quarantine) Entries(now time.Time, limit int) []*wire.QuarantineEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	out := make([]*wire.QuarantineEntry, 0, len(q.entries))
	for f, e := range q.entries {
		out = append(out, &wire.QuarantineEntry{
			Fingerprint:   f.Bytes(),
			ExpiresUnixMs: uint64(e.expires.UnixMilli()),
			Deaths:        uint32(e.count()),
			Victims:       slices.Clone(e.victims),
			Cleared:       e.cleared,
		})
	}
	slices.SortFunc(out, func(a, b *wire.QuarantineEntry) int {
		return cmp.Or(cmp.Compare(b.ExpiresUnixMs, a.ExpiresUnixMs), slices.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

// Len returns the number of fingerprints in memory and of those that are refused.
func (q *Quarantine) Counts(now time.Time) (known, refused int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	for _, e := range q.entries {
		if !e.cleared && e.count() >= q.deaths {
			refused++
		}
	}
	return len(q.entries), refused
}

// entry returns the entry of f, after making room for it.
func (q *Quarantine) entry(f Fingerprint, now time.Time) *entry {
	if e := q.entries[f]; e != nil {
		if now.Before(e.expires) {
			return e
		}
		delete(q.entries, f)
	}
	if len(q.entries) >= maxFingerprints {
		q.expire(now)
	}
	if len(q.entries) >= maxFingerprints {
		q.evict()
	}
	e := &entry{}
	q.entries[f] = e
	q.size.Store(int32(len(q.entries)))
	return e
}

func (q *Quarantine) expire(now time.Time) {
	for f, e := range q.entries {
		if !now.Before(e.expires) {
			delete(q.entries, f)
		}
	}
	q.size.Store(int32(len(q.entries)))
}

// evict removes the entry with the fewest deaths, the earliest to expire among equals.
func (q *Quarantine) evict() {
	var victim Fingerprint
	var least *entry
	for f, e := range q.entries {
		if least == nil || e.count() < least.count() || (e.count() == least.count() && e.expires.Before(least.expires)) {
			victim, least = f, e
		}
	}
	delete(q.entries, victim)
}
