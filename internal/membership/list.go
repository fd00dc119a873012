package membership

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionspoke/internal/wire"
)

const (
	// maxDigests is the number of buckets that the list keeps digests for; it is a power of two.
	maxDigests = 1024
	// maxMembers bounds the memory of the list, at about three times the design scale.
	maxMembers = 1 << 16
	// sampleAttempts bounds the search for a random member that meets a condition, per wanted member.
	sampleAttempts = 16
)

// entry is one known node.
type entry struct {
	record *wire.Member // replaced, never modified
	since  time.Time    // when the state was entered here
	// secondhand marks a DEAD or LEAVING record of a node that was not known here while it was live.
	// Only first-hand records are passed on in a sync, otherwise they would circulate for ever.
	secondhand bool
	heard      time.Time
	bundle     uint64 // newest bundle version in a datagram of the node
	position   int    // in memberList.order
}

// memberList is the table of members. It keeps the random order, the digests and the counts up to date.
type memberList struct {
	entries map[string]*entry
	order   []*entry
	next    int // position in order of the next ping
	live    int
	digests [maxDigests]uint64
	// version rises with every change that a snapshot depends on.
	version  uint64
	suspects map[string]*entry
	dead     int
}

func newList() *memberList {
	return &memberList{entries: map[string]*entry{}, suspects: map[string]*entry{}}
}

func bucketOf(nodeID string) int { return int(xxhash.Sum64String(nodeID) % maxDigests) }

// digestOf returns the share of a record in its bucket. DEAD and LEAVING records have none, so a node
// that has dropped such a record agrees with one that still keeps it.
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

// set stores a record and returns its entry, or nil when the list is full.
func (l *memberList) set(m *wire.Member, now time.Time, rng *rand.Rand) *entry {
	e := l.entries[m.NodeId]
	if e == nil {
		if len(l.entries) >= maxMembers {
			return nil
		}
		e = &entry{secondhand: !Live(m.State), position: len(l.order)}
		l.entries[m.NodeId] = e
		l.order = append(l.order, e)
		l.swap(e.position, rng.IntN(len(l.order)))
	} else {
		l.count(e.record, -1)
	}
	if e.record == nil || e.record.State != m.State {
		e.since = now
	}
	e.record = m
	e.secondhand = e.secondhand && !Live(m.State)
	l.count(m, +1)
	delete(l.suspects, m.NodeId)
	if m.State == wire.MemberState_SUSPECT {
		l.suspects[m.NodeId] = e
	}
	l.version++
	return e
}

func (l *memberList) count(m *wire.Member, sign int) {
	if Live(m.State) {
		l.live += sign
	}
	if m.State == wire.MemberState_DEAD {
		l.dead += sign
	}
	l.digests[bucketOf(m.NodeId)] ^= digestOf(m)
}

func (l *memberList) remove(e *entry) {
	l.count(e.record, -1)
	delete(l.entries, e.record.NodeId)
	delete(l.suspects, e.record.NodeId)
	last := len(l.order) - 1
	l.swap(e.position, last)
	l.order[last] = nil
	l.order = l.order[:last]
	l.version++
}

func (l *memberList) swap(i, j int) {
	l.order[i], l.order[j] = l.order[j], l.order[i]
	l.order[i].position = i
	l.order[j].position = j
}

// nextInOrder returns the next entry of the shuffled order that meets the condition, or nil. Going
// round the order bounds the time until each member has been pinged.
func (l *memberList) nextInOrder(rng *rand.Rand, ok func(*entry) bool) *entry {
	for range l.order {
		if l.next >= len(l.order) {
			l.next = 0
			rng.Shuffle(len(l.order), l.swap)
		}
		e := l.order[l.next]
		l.next++
		if ok(e) {
			return e
		}
	}
	return nil
}

// sample returns up to k different random entries that meet the condition.
func (l *memberList) sample(k int, rng *rand.Rand, ok func(*entry) bool) []*entry {
	chosen := make([]*entry, 0, k)
	for attempt := 0; len(l.order) > 0 && len(chosen) < k && attempt < sampleAttempts*k; attempt++ {
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

// folded returns the digests combined into n buckets, a power of two of at most maxDigests.
func (l *memberList) folded(n int) []uint64 {
	out := make([]uint64, n)
	for i, d := range l.digests {
		out[i%n] ^= d
	}
	return out
}

// SuspicionTimeout returns how long a member of a system of n nodes may refute a suspicion.
func SuspicionTimeout(period time.Duration, n int) time.Duration {
	scale := math.Max(1, math.Log10(float64(max(n, 1))))
	return time.Duration(suspicionFactor * scale * float64(period))
}

// suspicionFactor leaves a suspected node several round trips of gossip to refute.
const suspicionFactor = 4
