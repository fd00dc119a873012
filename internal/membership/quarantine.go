package membership

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// maxQuarantine bounds the fingerprints kept at a time.
	maxQuarantine = 1024
	// maxFingerprintBytes bounds one fingerprint.
	maxFingerprintBytes = 64
	// maxVictims bounds the victims that an entry names.
	maxVictims = 8
	// maxQuarantineTime bounds the expiry that another node may ask for.
	maxQuarantineTime = 24 * time.Hour
)

type quarantined struct {
	entry *wire.QuarantineEntry
	sent  int
}

// quarantine spreads the fingerprints of requests that crash backend servers.
type quarantine struct {
	entries map[string]*quarantined
	unsent  map[string]*quarantined
}

func newQuarantine() *quarantine {
	return &quarantine{entries: map[string]*quarantined{}, unsent: map[string]*quarantined{}}
}

// add keeps the later expiry, the higher death count and all victims, and reports whether anything changed.
func (q *quarantine) add(now time.Time, e *wire.QuarantineEntry) bool {
	if !validQuarantine(now, e) {
		return false
	}
	key := string(e.Fingerprint)
	known := q.entries[key]
	if known == nil && len(q.entries) >= maxQuarantine {
		return false
	}
	merged := proto.CloneOf(e)
	if known != nil {
		merged.Deaths = max(e.Deaths, known.entry.Deaths)
		merged.ExpiresUnixMs = max(e.ExpiresUnixMs, known.entry.ExpiresUnixMs)
		merged.Victims = unionVictims(known.entry.Victims, e.Victims)
		merged.Cleared = e.Cleared || known.entry.Cleared
		if proto.Equal(merged, known.entry) {
			return false
		}
	}
	q.entries[key] = &quarantined{entry: merged}
	q.unsent[key] = q.entries[key]
	return true
}

// unionVictims returns the sorted union, of which at most maxVictims are kept. Two nodes that each saw one
// death of the same request must end up with both.
func unionVictims(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxVictims)]
}

func validQuarantine(now time.Time, e *wire.QuarantineEntry) bool {
	size := len(e.GetFingerprint())
	return size > 0 && size <= maxFingerprintBytes &&
		e.ExpiresUnixMs > uint64(now.UnixMilli()) &&
		e.ExpiresUnixMs <= uint64(now.Add(maxQuarantineTime).UnixMilli())
}

func (q *quarantine) pending() int { return len(q.unsent) }

// take returns entries of at most limitBytes and the bytes that they use.
func (q *quarantine) take(limitBytes, retransmits int) ([]*wire.QuarantineEntry, int) {
	var chosen []*wire.QuarantineEntry
	used := 0
	for _, key := range slices.Sorted(maps.Keys(q.unsent)) {
		e := q.unsent[key]
		size := proto.Size(e.entry) + fieldOverheadBytes
		if used+size > limitBytes {
			continue
		}
		used += size
		chosen = append(chosen, e.entry)
		e.sent++
		if e.sent >= retransmits {
			delete(q.unsent, key)
		}
	}
	return chosen, used
}

func (q *quarantine) all() []*wire.QuarantineEntry {
	out := make([]*wire.QuarantineEntry, 0, len(q.entries))
	for _, key := range slices.Sorted(maps.Keys(q.entries)) {
		out = append(out, q.entries[key].entry)
	}
	return out
}

func (q *quarantine) expire(now time.Time) {
	for key, e := range q.entries {
		if e.entry.ExpiresUnixMs <= uint64(now.UnixMilli()) {
			delete(q.entries, key)
			delete(q.unsent, key)
		}
	}
}

// AddQuarantine spreads entries. New ones are reported to Output.Quarantined here as well.
func (n *Node) AddQuarantine(now time.Time, entries []*wire.QuarantineEntry) {
	n.addQuarantine(now, entries)
	if n.quarant.pending() > 0 {
		n.push = max(n.push, 1)
	}
}

func (n *Node) addQuarantine(now time.Time, entries []*wire.QuarantineEntry) {
	var added []*wire.QuarantineEntry
	for _, e := range entries {
		if n.quarant.add(now, e) {
			added = append(added, n.quarant.entries[string(e.Fingerprint)].entry)
		}
	}
	if len(added) > 0 {
		n.out.Quarantined(added)
		n.push = max(n.push, 1)
	}
}

// Quarantine returns the entries in force, which must not be modified.
func (n *Node) Quarantine() []*wire.QuarantineEntry { return n.quarant.all() }
