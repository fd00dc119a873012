package membership

import (
	"cmp"
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

// add merges an entry: it keeps the later expiry, the higher counts of crashes and trials, and the victims and cleared victims of
// both entries. It reports whether anything changed.
func (q *quarantine) add(now time.Time, e *wire.QuarantineEntry) bool {
	if !validQuarantine(now, e) {
		return false
	}
	key := string(e.Fingerprint)
	current := q.entries[key]
	if current == nil && len(q.entries) >= maxQuarantineEntries && !q.evictBelow(e) {
		return false
	}
	merged := proto.CloneOf(e)
	previous := &wire.QuarantineEntry{}
	if current != nil {
		previous = current.entry
	}
	merged.Deaths = max(e.Deaths, previous.Deaths)
	merged.ExpiresUnixMs = max(e.ExpiresUnixMs, previous.ExpiresUnixMs)
	merged.Victims, merged.ClearedVictims = mergeVictims(e, previous)
	merged.Trials, merged.ClearedTrials = max(e.Trials, previous.Trials), max(e.ClearedTrials, previous.ClearedTrials)
	merged.Cleared = len(merged.Victims) > 0 && len(merged.ClearedVictims) == len(merged.Victims)
	if current != nil && proto.Equal(merged, current.entry) {
		return false
	}
	q.entries[key] = &trackedEntry{entry: merged}
	q.unsent[key] = q.entries[key]
	return true
}

// countingVictims returns the number of victims of an entry that still count.
func countingVictims(e *wire.QuarantineEntry) int { return len(e.GetVictims()) - len(clearedOf(e)) }

// evictBelow removes the entry with the fewest victims that still count, the first to expire among these, to make room for e.
// It reports whether it did; an entry with as many victims as e stays.
func (q *quarantine) evictBelow(e *wire.QuarantineEntry) bool {
	lowestKey, lowest := "", (*wire.QuarantineEntry)(nil)
	for key, tracked := range q.entries {
		candidate := tracked.entry
		if lowest == nil || cmp.Or(cmp.Compare(countingVictims(candidate), countingVictims(lowest)),
			cmp.Compare(candidate.ExpiresUnixMs, lowest.ExpiresUnixMs), cmp.Compare(key, lowestKey)) < 0 {
			lowestKey, lowest = key, candidate
		}
	}
	if countingVictims(lowest) > countingVictims(e) || countingVictims(lowest) == countingVictims(e) && lowest.ExpiresUnixMs >= e.ExpiresUnixMs {
		return false
	}
	delete(q.entries, lowestKey)
	delete(q.unsent, lowestKey)
	return true
}

// mergeVictims returns the victims of both entries, limited to maxVictims, and those of them that either entry has cleared. After
// two nodes have each seen one crash caused by the same request, both must hold both victims. The result does not depend
// on the order of the entries, since nodes would otherwise send each other their versions forever. Victims that still count
// come first, so that the limit drops others.
func mergeVictims(a, b *wire.QuarantineEntry) (victims, cleared []uint64) {
	clearedSet := sortedUnion(clearedOf(a), clearedOf(b))
	isCleared := func(v uint64) bool { return slices.Contains(clearedSet, v) }
	all := sortedUnion(a.GetVictims(), b.GetVictims())
	slices.SortStableFunc(all, func(x, y uint64) int {
		switch {
		case isCleared(x) == isCleared(y):
			return 0
		case isCleared(y):
			return -1
		}
		return 1
	})
	all = all[:min(len(all), maxVictims)]
	for _, v := range all {
		if isCleared(v) {
			cleared = append(cleared, v)
		}
	}
	return all, cleared
}

// clearedOf returns the cleared victims of an entry. Nodes of earlier versions state only that all are.
func clearedOf(e *wire.QuarantineEntry) []uint64 {
	if e.GetCleared() {
		return e.GetVictims()
	}
	return e.GetClearedVictims()
}

func sortedUnion(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
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
