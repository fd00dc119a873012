package membership

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// maxQuarantineEntries limits the number of fingerprints kept.
	maxQuarantineEntries = 1024
	// maxFingerprintBytes limits the size of a fingerprint.
	maxFingerprintBytes = 64
	// maxVictims limits the endpoints in an entry whose backend servers crashed.
	maxVictims = 8
	// maxQuarantineDuration limits how far in the future an entry may expire.
	maxQuarantineDuration = 24 * time.Hour
)

type trackedEntry struct {
	entry         *wire.QuarantineEntry
	transmissions int
}

// quarantine holds and disseminates the fingerprints of requests that crash backend servers.
type quarantine struct {
	entries map[string]*trackedEntry
	unsent  map[string]*trackedEntry
}

func newQuarantine() *quarantine {
	return &quarantine{entries: map[string]*trackedEntry{}, unsent: map[string]*trackedEntry{}}
}

// add merges an entry: it keeps the later expiry, the higher crash count, the victims of both entries, and
// Cleared if either entry has it. It reports whether anything changed.
func (q *quarantine) add(now time.Time, e *wire.QuarantineEntry) bool {
	if !validQuarantine(now, e) {
		return false
	}
	key := string(e.Fingerprint)
	current := q.entries[key]
	if current == nil && len(q.entries) >= maxQuarantineEntries {
		return false
	}
	merged := proto.CloneOf(e)
	if current != nil {
		merged.Deaths = max(e.Deaths, current.entry.Deaths)
		merged.ExpiresUnixMs = max(e.ExpiresUnixMs, current.entry.ExpiresUnixMs)
		merged.Victims = unionVictims(current.entry.Victims, e.Victims)
		merged.Cleared = e.Cleared || current.entry.Cleared
		if proto.Equal(merged, current.entry) {
			return false
		}
	}
	q.entries[key] = &trackedEntry{entry: merged}
	q.unsent[key] = q.entries[key]
	return true
}

// unionVictims returns the sorted union, limited to maxVictims. After two nodes have each seen one crash
// caused by the same request, both must hold both victims.
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
		e.ExpiresUnixMs <= uint64(now.Add(maxQuarantineDuration).UnixMilli())
}

func (q *quarantine) unsentCount() int { return len(q.unsent) }

// take returns unsent entries of at most limitBytes in total, and their size in bytes.
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
		e.transmissions++
		if e.transmissions >= retransmits {
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

// AddQuarantine adds and disseminates entries. New or changed entries are also reported to this node's
// Output.
func (n *Node) AddQuarantine(now time.Time, entries []*wire.QuarantineEntry) {
	n.addQuarantine(now, entries)
	if n.quarantine.unsentCount() > 0 {
		n.pushTicks = max(n.pushTicks, 1)
	}
}

func (n *Node) addQuarantine(now time.Time, entries []*wire.QuarantineEntry) {
	var added []*wire.QuarantineEntry
	for _, e := range entries {
		if n.quarantine.add(now, e) {
			added = append(added, n.quarantine.entries[string(e.Fingerprint)].entry)
		}
	}
	if len(added) > 0 {
		n.out.Quarantined(added)
		n.pushTicks = max(n.pushTicks, 1)
	}
}

// Quarantine returns all entries. They must not be modified.
func (n *Node) Quarantine() []*wire.QuarantineEntry { return n.quarantine.all() }
