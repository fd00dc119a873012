package membership

import (
	"container/list"
	"math"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// retransmitFactor is the parameter λ of SWIM: each node that learns an update sends it λ·⌈log10(n+1)⌉
	// times, but at least minRetransmits times.
	retransmitFactor = 4
	// minRetransmits leaves transmissions for pings and acks after the pushes of a LEAVING update have used
	// leavingPushTicks·pushFanout of them. With a minimum of 4, one LEAVING update in 25 took over 4 s to
	// reach all of 10 nodes at 5 % packet loss.
	minRetransmits = 12
	// maxQueuedUpdates limits the memory of the queue. The oldest updates are dropped first.
	maxQueuedUpdates = 4096
	// maxSkippedUpdates limits the search for an update that still fits into a datagram.
	maxSkippedUpdates = 4
	// fieldOverheadBytes is the size of the tag and the length of an embedded record of up to MaxRecordBytes.
	fieldOverheadBytes = 3
)

// retransmitLimit returns how often a node sends an update in a system of n nodes.
func retransmitLimit(n int) int {
	return max(minRetransmits, retransmitFactor*int(math.Ceil(math.Log10(float64(n+1)))))
}

type update struct {
	member        *wire.Member
	encodedBytes  int
	transmissions int
}

// gossipQueue holds the updates that are still to be sent, one per node, in two lists with the newest
// update first. A backlog, for example after many nodes have restarted, must not delay newer updates.
// Anti-entropy repairs the loss of updates dropped from the backlog.
type gossipQueue struct {
	leaving *list.List
	others  *list.List
	byNode  map[string]*list.Element
}

func newGossipQueue() *gossipQueue {
	return &gossipQueue{leaving: list.New(), others: list.New(), byNode: map[string]*list.Element{}}
}

// add queues a record and replaces a queued record of the same node.
func (q *gossipQueue) add(m *wire.Member) {
	q.remove(m.NodeId)
	queue := q.others
	if m.State == wire.MemberState_LEAVING {
		queue = q.leaving
	}
	q.byNode[m.NodeId] = queue.PushFront(&update{member: m, encodedBytes: proto.Size(m) + fieldOverheadBytes})
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
	// Remove has no effect on the list that doesn't contain the element.
	q.leaving.Remove(e)
	q.others.Remove(e)
}

func (q *gossipQueue) len() int { return len(q.byNode) }

// take returns records of at most limitBytes in total, LEAVING records first, and counts a transmission
// of each. Records that have been sent retransmits times are removed from the queue.
func (q *gossipQueue) take(limitBytes, retransmits int) []*wire.Member {
	return q.takeFrom(limitBytes, retransmits, q.leaving, q.others)
}

// takeLeaving is like take but returns only LEAVING records.
func (q *gossipQueue) takeLeaving(limitBytes, retransmits int) []*wire.Member {
	return q.takeFrom(limitBytes, retransmits, q.leaving)
}

func (q *gossipQueue) takeFrom(limitBytes, retransmits int, queues ...*list.List) []*wire.Member {
	var chosen []*wire.Member
	for _, queue := range queues {
		skipped := 0
		for e := queue.Front(); e != nil && skipped < maxSkippedUpdates; {
			u := e.Value.(*update)
			e = e.Next()
			if u.encodedBytes > limitBytes {
				skipped++
				continue
			}
			limitBytes -= u.encodedBytes
			chosen = append(chosen, u.member)
			u.transmissions++
			if u.transmissions >= retransmits {
				q.remove(u.member.NodeId)
			}
		}
	}
	return chosen
}
