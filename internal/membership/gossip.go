package membership

import (
	"container/list"
	"math"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// retransmitFactor is λ: an update is sent λ·⌈log10(n+1)⌉ times by each node that learns it, but at
	// least minRetransmits times.
	retransmitFactor = 4
	// minRetransmits leaves copies for pings and acks after the pushes of a departure have used
	// leavingRepeats·pushFanout of them. With 4 copies, one departure in 25 took over 4 s among 10 nodes
	// at 5 % loss.
	minRetransmits = 12
	// maxQueuedUpdates bounds the memory of the queue; the oldest updates are dropped first.
	maxQueuedUpdates = 4096
	// maxSkipped bounds the search for a record that still fits into a datagram.
	maxSkipped = 4
	// fieldOverheadBytes is the tag and the length of an embedded record of up to MaxRecordBytes.
	fieldOverheadBytes = 3
)

// retransmitLimit returns how often a node sends an update in a system of n nodes.
func retransmitLimit(n int) int {
	return max(minRetransmits, retransmitFactor*int(math.Ceil(math.Log10(float64(n+1)))))
}

type update struct {
	member *wire.Member
	bytes  int
	sent   int
}

// gossipQueue holds the updates that still have to be spread, one for each node, in two lists with the
// newest in front. A backlog, as after the restart of many nodes, must not delay the news of the
// moment; anti-entropy repairs what the backlog loses.
type gossipQueue struct {
	leaving *list.List
	others  *list.List
	byNode  map[string]*list.Element
}

func newGossipQueue() *gossipQueue {
	return &gossipQueue{leaving: list.New(), others: list.New(), byNode: map[string]*list.Element{}}
}

// add queues a record in place of an older one of the same node.
func (q *gossipQueue) add(m *wire.Member) {
	q.remove(m.NodeId)
	queue := q.others
	if m.State == wire.MemberState_LEAVING {
		queue = q.leaving
	}
	q.byNode[m.NodeId] = queue.PushFront(&update{member: m, bytes: proto.Size(m) + fieldOverheadBytes})
	if q.len() <= maxQueuedUpdates {
		return
	}
	oldest := q.others.Back()
	if oldest == nil {
		oldest = q.leaving.Back()
	}
	q.remove(oldest.Value.(*update).member.NodeId)
}

func (q *gossipQueue) remove(nodeID string) {
	e := q.byNode[nodeID]
	if e == nil {
		return
	}
	delete(q.byNode, nodeID)
	// Remove does nothing on the list that the element is not in.
	q.leaving.Remove(e)
	q.others.Remove(e)
}

func (q *gossipQueue) len() int { return len(q.byNode) }

// take returns records of at most limitBytes in total, LEAVING first, and counts them as sent once
// more. Records that have been sent retransmits times leave the queue.
func (q *gossipQueue) take(limitBytes, retransmits int) []*wire.Member {
	return q.takeFrom(limitBytes, retransmits, q.leaving, q.others)
}

// takeLeaving is take for LEAVING records only.
func (q *gossipQueue) takeLeaving(limitBytes, retransmits int) []*wire.Member {
	return q.takeFrom(limitBytes, retransmits, q.leaving)
}

func (q *gossipQueue) takeFrom(limitBytes, retransmits int, queues ...*list.List) []*wire.Member {
	var chosen []*wire.Member
	for _, queue := range queues {
		skipped := 0
		for e := queue.Front(); e != nil && skipped < maxSkipped; {
			u := e.Value.(*update)
			e = e.Next()
			if u.bytes > limitBytes {
				skipped++
				continue
			}
			limitBytes -= u.bytes
			chosen = append(chosen, u.member)
			u.sent++
			if u.sent >= retransmits {
				q.remove(u.member.NodeId)
			}
		}
	}
	return chosen
}
