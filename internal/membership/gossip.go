package membership

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// retransmitFactor is λ: an update is sent λ·⌈log10(n+1)⌉ times by each node that learns it.
	retransmitFactor = 4
	// maxQueuedUpdates bounds the memory of the queue; the oldest updates are dropped first.
	maxQueuedUpdates = 4096
	// fieldOverheadBytes is the tag and the length of an embedded record of up to MaxRecordBytes.
	fieldOverheadBytes = 3
)

// retransmitLimit returns how often a node sends an update in a system of n nodes.
func retransmitLimit(n int) int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
}

type update struct {
	member   *wire.Member
	bytes    int
	sent     int
	sequence uint64
}

// gossipQueue holds the updates that still have to be spread, one for each node.
type gossipQueue struct {
	updates  map[string]*update
	sequence uint64
}

func newGossipQueue() *gossipQueue { return &gossipQueue{updates: map[string]*update{}} }

// add queues a record in place of an older one of the same node.
func (q *gossipQueue) add(m *wire.Member) {
	q.sequence++
	q.updates[m.NodeId] = &update{member: m, bytes: proto.Size(m) + fieldOverheadBytes, sequence: q.sequence}
	if len(q.updates) > maxQueuedUpdates {
		ordered := q.ordered()
		delete(q.updates, ordered[len(ordered)-1].member.NodeId)
	}
}

func (q *gossipQueue) len() int { return len(q.updates) }

// ordered returns the updates with LEAVING first, then the newest. A backlog, as after the restart of
// many nodes, must not delay the news of the moment; anti-entropy repairs what the backlog loses.
func (q *gossipQueue) ordered() []*update {
	ordered := make([]*update, 0, len(q.updates))
	for _, u := range q.updates {
		ordered = append(ordered, u)
	}
	slices.SortFunc(ordered, func(a, b *update) int {
		return cmp.Or(
			cmp.Compare(leavingRank(a), leavingRank(b)),
			cmp.Compare(b.sequence, a.sequence),
		)
	})
	return ordered
}

func leavingRank(u *update) int {
	if u.member.State == wire.MemberState_LEAVING {
		return 0
	}
	return 1
}

// take returns records of at most limitBytes in total and counts them as sent once more. Records that
// have been sent retransmits times leave the queue.
func (q *gossipQueue) take(limitBytes, retransmits int) []*wire.Member {
	if len(q.updates) == 0 {
		return nil
	}
	var chosen []*wire.Member
	for _, u := range q.ordered() {
		if u.bytes > limitBytes {
			continue
		}
		limitBytes -= u.bytes
		chosen = append(chosen, u.member)
		u.sent++
		if u.sent >= retransmits {
			delete(q.updates, u.member.NodeId)
		}
	}
	return chosen
}
