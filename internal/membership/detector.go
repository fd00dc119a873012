package membership

import (
	"maps"
	"slices"
	"time"

	"dandelionspoke/internal/wire"
)

const (
	// indirectPings is the parameter k of SWIM: the number of members that are asked to ping a target which
	// has not answered.
	indirectPings = 3
	// directTimeoutPeriods is the time without an ack, in periods, after which indirect pings are requested.
	directTimeoutPeriods = 0.4
	// deadPingPeriods is the number of periods between two pings of DEAD members.
	deadPingPeriods = 5
	// maxOutstandingPings limits the pings that wait for an ack, including those sent on behalf of other
	// members.
	maxOutstandingPings = 512
	// maxVerifyQueue limits the members queued for a ping because another node reports a different state.
	maxVerifyQueue = 256
	// verifyPingsPerPeriod is the number of queued members that are pinged per period.
	verifyPingsPerPeriod = 8
)

// outstandingPing is a ping that has not been acknowledged.
type outstandingPing struct {
	target      *wire.Member // record when the ping was sent
	sentAt      time.Time
	relaysAsked bool     // relays have been asked for indirect pings
	relays      []string // members that may send an ack on behalf of the target
	// requester and requestSeq are set for a ping sent on behalf of another member.
	requester  string
	requestSeq uint64
}

// isCurrent reports whether a missing ack is evidence against the member as it is known now: the member
// was and still is live, in the same incarnation. A newer incarnation shows that the member has been
// running since, after a restart or the end of a drain. It must not be suspected, because its refutation
// would have to reach all members again.
func (o *outstandingPing) isCurrent(current *wire.Member) bool {
	return Live(o.target.State) && Live(current.State) && o.target.Incarnation == current.Incarnation
}

type detector struct {
	sequence    uint64
	outstanding map[uint64]*outstandingPing
	verifyQueue []string
	nextPing    time.Time
	periods     int
}

func newDetector(first time.Time) detector {
	return detector{outstanding: map[uint64]*outstandingPing{}, nextPing: first}
}

func (d *detector) clearOutstanding() { clear(d.outstanding) }

func (d *detector) queueVerification(nodeID string) {
	if len(d.verifyQueue) < maxVerifyQueue && !slices.Contains(d.verifyQueue, nodeID) {
		d.verifyQueue = append(d.verifyQueue, nodeID)
	}
}

func (n *Node) runDetector(now time.Time) {
	n.checkOutstanding(now)
	if now.Before(n.detector.nextPing) {
		return
	}
	n.detector.nextPing = now.Add(n.cfg.Period)
	n.detector.periods++
	target := n.list.nextInOrder(n.rng, func(e *entry) bool {
		return Live(e.record.State) && e.record.NodeId != n.self.NodeId
	})
	if target != nil {
		n.ping(now, target, urgent)
	}
	n.pingVerifyQueue(now)
	n.pingLeaving(now)
	if n.detector.periods%deadPingPeriods == 0 {
		n.pingDead(now)
	}
}

// ping sends a ping. If the target isn't ALIVE here, its record is attached so that it can refute.
func (n *Node) ping(now time.Time, target *entry, p priority) {
	n.sendPing(now, target, p, outstandingPing{})
}

func (n *Node) sendPing(now time.Time, target *entry, p priority, pending outstandingPing) {
	if len(n.detector.outstanding) >= maxOutstandingPings {
		return
	}
	n.detector.sequence++
	seq := n.detector.sequence
	d := &wire.Datagram{Kind: &wire.Datagram_Ping{Ping: &wire.Ping{Seq: seq}}}
	if !n.sendTo(now, target, d, p, n.nonAliveID(target)) {
		return
	}
	pending.target = target.record
	pending.sentAt = now
	n.detector.outstanding[seq] = &pending
}

// nonAliveID returns the node ID of a member that isn't ALIVE here, whose record is to be attached to a
// datagram, or "" for an ALIVE member.
func (n *Node) nonAliveID(e *entry) string {
	if e.record.State == wire.MemberState_ALIVE {
		return ""
	}
	return e.record.NodeId
}

func (n *Node) pingVerifyQueue(now time.Time) {
	for range min(verifyPingsPerPeriod, len(n.detector.verifyQueue)) {
		nodeID := n.detector.verifyQueue[0]
		n.detector.verifyQueue = n.detector.verifyQueue[1:]
		if e := n.list.entries[nodeID]; e != nil {
			n.ping(now, e, bulk)
		}
	}
}

// pingLeaving pings one member that has recently become LEAVING. The node may have restarted at the same
// address and, if it can't read the store, knows no other member.
func (n *Node) pingLeaving(now time.Time) {
	if n.list.live+n.list.dead == len(n.list.order) {
		return // no member is LEAVING
	}
	for _, e := range n.list.sample(1, n.rng, n.recentlyLeaving(now)) {
		n.ping(now, e, bulk)
	}
}

// pingDead pings a DEAD member, so that nodes separated by a partition find each other again after it
// heals.
func (n *Node) pingDead(now time.Time) {
	if n.list.dead == 0 {
		return
	}
	isDead := func(e *entry) bool { return e.record.State == wire.MemberState_DEAD }
	candidates := n.list.sample(1, n.rng, isDead)
	if len(candidates) == 0 {
		// With few DEAD members, the random sample may find none: take the next one in order.
		if e := n.list.nextInOrder(n.rng, isDead); e != nil {
			candidates = append(candidates, e)
		}
	}
	for _, e := range candidates {
		n.ping(now, e, bulk)
	}
}

// checkOutstanding requests indirect pings after directTimeoutPeriods and suspects the target after a
// whole period.
func (n *Node) checkOutstanding(now time.Time) {
	directTimeout := time.Duration(directTimeoutPeriods * float64(n.cfg.Period))
	for _, seq := range slices.Sorted(maps.Keys(n.detector.outstanding)) {
		o := n.detector.outstanding[seq]
		target := n.list.entries[o.target.NodeId]
		switch waited := now.Sub(o.sentAt); {
		case target == nil || o.requester != "" && waited >= n.cfg.Period:
			delete(n.detector.outstanding, seq)
		case o.requester != "":
		case waited >= n.cfg.Period:
			delete(n.detector.outstanding, seq)
			if o.isCurrent(target.record) {
				n.suspect(now, target)
			}
		case waited >= directTimeout && !o.relaysAsked:
			o.relaysAsked = true
			if o.isCurrent(target.record) {
				n.requestIndirectPings(now, seq, o)
			}
		}
	}
}

func (n *Node) requestIndirectPings(now time.Time, seq uint64, o *outstandingPing) {
	relays := n.list.sample(indirectPings, n.rng, func(e *entry) bool {
		return n.isAlivePeer(e) && e.record.NodeId != o.target.NodeId
	})
	for _, relay := range relays {
		request := &wire.PingRequest{Seq: seq, Target: o.target.NodeId}
		d := &wire.Datagram{Kind: &wire.Datagram_PingRequest{PingRequest: request}}
		if n.sendTo(now, relay, d, urgent, "") {
			o.relays = append(o.relays, relay.record.NodeId)
		}
	}
}

// suspect marks a member SUSPECT that has not acknowledged a ping, and informs the member directly.
func (n *Node) suspect(now time.Time, e *entry) {
	if e.record.State != wire.MemberState_ALIVE || now.Sub(n.started) < joinGracePeriods*n.cfg.Period {
		return
	}
	n.counters.Suspicions.Add(1)
	record := withState(e.record, wire.MemberState_SUSPECT)
	n.set(now, record)
	n.gossip.add(record)
	n.ping(now, e, urgent)
}

// respond handles pings, acks and ping requests. Replies always go to the address in the sender's record.
func (n *Node) respond(now time.Time, d *wire.Datagram, sender *entry) {
	switch kind := d.Kind.(type) {
	case *wire.Datagram_Ping:
		n.sendAck(now, kind.Ping.GetSeq(), sender)
	case *wire.Datagram_Ack:
		n.handleAck(now, kind.Ack.GetSeq(), sender)
	case *wire.Datagram_PingRequest:
		n.relayPing(now, kind.PingRequest, sender)
	}
}

func (n *Node) sendAck(now time.Time, seq uint64, to *entry) {
	d := &wire.Datagram{Kind: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: seq}}}
	n.sendTo(now, to, d, urgent, n.nonAliveID(to))
}

func (n *Node) handleAck(now time.Time, seq uint64, sender *entry) {
	o := n.detector.outstanding[seq]
	if o == nil {
		return
	}
	if sender.record.NodeId != o.target.NodeId && !slices.Contains(o.relays, sender.record.NodeId) {
		return
	}
	delete(n.detector.outstanding, seq)
	if requester := n.list.entries[o.requester]; requester != nil {
		n.sendAck(now, o.requestSeq, requester)
	}
}

// relayPing pings a member on behalf of another. It pings only known members and sends at most one ping
// per request.
func (n *Node) relayPing(now time.Time, request *wire.PingRequest, requester *entry) {
	target := n.list.entries[request.GetTarget()]
	if target == nil || target.record.NodeId == n.self.NodeId {
		return
	}
	n.sendPing(now, target, bulk, outstandingPing{requester: requester.record.NodeId, requestSeq: request.Seq})
}
