package membership

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionspoke/internal/wire"
)

const (
	// maxDigests is the number of digest buckets of the list. It is a power of two.
	maxDigests = 1024
	// countedAfter is the time in which gossip makes a member known to all others.
	countedAfter = 2 * time.Second
	// maxMembers limits the memory of the list. It is about three times the number of nodes that the system
	// is designed for.
	maxMembers = 1 << 16
	// maxSampleTries limits the random draws per requested member, since few members may meet the condition.
	maxSampleTries = 16
)

// entry is a member in the table.
type entry struct {
	record     *wire.Member // replaced, never modified
	stateSince time.Time    // when the state was entered in this table; shortenSuspicion moves it back
	// neverLive marks a DEAD or LEAVING record of a node that has not been live in this table. Syncs leave
	// such records out, since nodes would otherwise pass them to each other forever.
	neverLive     bool
	lastReceived  time.Time
	countedSince  time.Time // since when the node has been known without a LEAVING record
	bundleVersion uint64    // newest bundle version received in a datagram from the node
	orderIndex    int       // index in memberList.order
}

// counted reports whether the node has been counted as a member for so long that all others count it too.
func (e *entry) counted(now time.Time) bool {
	return !e.neverLive && e.record.State != wire.MemberState_LEAVING && now.Sub(e.countedSince) >= countedAfter
}

// memberList is the member table. It maintains the shuffled order, the digests and the counts.
type memberList struct {
	entries map[string]*entry
	order   []*entry
	cursor  int // index in order at which nextInOrder continues
	live    int
	digests [maxDigests]uint64
	// version increases with every change that affects a snapshot.
	version  uint64
	suspects map[string]*entry
	dead     int
}

func newMemberList() *memberList {
	return &memberList{entries: map[string]*entry{}, suspects: map[string]*entry{}}
}

func bucketOf(nodeID string) int { return int(xxhash.Sum64String(nodeID) % maxDigests) }

// digestOf returns the contribution of a record to the digest of its bucket. It is zero for DEAD and
// LEAVING records, so that the digests of a node that has removed such a record equal those of a node
// that still keeps it.
func digestOf(m *wire.Member) uint64 {
	if !Live(m.State) {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.NodeId)
	var inc [8]byte
	for i := range inc {
		inc[i] = byte(m.Incarnation >> (8 * i))
	}
	_, _ = d.Write(inc[:])
	return d.Sum64()
}

// set stores a record and returns its entry, or nil if the list is full.
func (l *memberList) set(m *wire.Member, now time.Time, rng *rand.Rand) *entry {
	e := l.entries[m.NodeId]
	if e == nil {
		if len(l.entries) >= maxMembers {
			return nil
		}
		e = &entry{neverLive: !Live(m.State), orderIndex: len(l.order)}
		l.entries[m.NodeId] = e
		l.order = append(l.order, e)
		l.swap(e.orderIndex, rng.IntN(len(l.order)))
	} else {
		l.addToTotals(e.record, -1)
	}
	if e.record == nil || e.record.State != m.State {
		e.stateSince = now
	}
	if e.record == nil || e.neverLive || e.record.State == wire.MemberState_LEAVING {
		e.countedSince = now
	}
	e.record = m
	e.neverLive = e.neverLive && !Live(m.State)
	l.addToTotals(m, +1)
	delete(l.suspects, m.NodeId)
	if m.State == wire.MemberState_SUSPECT {
		l.suspects[m.NodeId] = e
	}
	l.version++
	return e
}

func (l *memberList) addToTotals(m *wire.Member, sign int) {
	if Live(m.State) {
		l.live += sign
	}
	if m.State == wire.MemberState_DEAD {
		l.dead += sign
	}
	l.digests[bucketOf(m.NodeId)] ^= digestOf(m)
}

func (l *memberList) remove(e *entry) {
	l.addToTotals(e.record, -1)
	delete(l.entries, e.record.NodeId)
	delete(l.suspects, e.record.NodeId)
	last := len(l.order) - 1
	l.swap(e.orderIndex, last)
	l.order[last] = nil
	l.order = l.order[:last]
	l.version++
}

func (l *memberList) swap(i, j int) {
	l.order[i], l.order[j] = l.order[j], l.order[i]
	l.order[i].orderIndex = i
	l.order[j].orderIndex = j
}

// nextInOrder returns the next entry in the shuffled order that meets the condition, or nil. Round-robin
// selection bounds the time until every member has been pinged.
func (l *memberList) nextInOrder(rng *rand.Rand, ok func(*entry) bool) *entry {
	for range l.order {
		if l.cursor >= len(l.order) {
			l.cursor = 0
			rng.Shuffle(len(l.order), l.swap)
		}
		e := l.order[l.cursor]
		l.cursor++
		if ok(e) {
			return e
		}
	}
	return nil
}

// sample returns up to count distinct random entries that meet the condition.
func (l *memberList) sample(count int, rng *rand.Rand, ok func(*entry) bool) []*entry {
	chosen := make([]*entry, 0, count)
	for attempt := 0; len(l.order) > 0 && len(chosen) < count && attempt < maxSampleTries*count; attempt++ {
		e := l.order[rng.IntN(len(l.order))]
		if ok(e) && !contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

func contains(entries []*entry, e *entry) bool {
	for _, other := range entries {
		if other == e {
			return true
		}
	}
	return false
}

// foldedDigests combines the digests into n buckets; n is a power of two of at most maxDigests.
func (l *memberList) foldedDigests(n int) []uint64 {
	out := make([]uint64, n)
	for i, d := range l.digests {
		out[i%n] ^= d
	}
	return out
}

// SuspicionTimeout returns how long a member may take to refute a suspicion in a system of n nodes.
func SuspicionTimeout(period time.Duration, n int) time.Duration {
	scale := math.Max(1, math.Log10(float64(max(n, 1))))
	return time.Duration(suspicionFactor * scale * float64(period))
}

// suspicionFactor leaves a suspected member several gossip round trips to refute.
const suspicionFactor = 4
