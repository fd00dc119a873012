package membership

import (
	"maps"
	"slices"
	"time"

	"dandelionspoke/internal/wire"
)

const (
	// indirectPings is k, the number of members asked to ping a target that did not answer.
	indirectPings = 3
	// directShare is the part of the period after which a ping counts as unanswered.
	directShare = 0.4
	// deadPingPeriods is the number of periods between two pings of DEAD members.
	deadPingPeriods = 5
	// maxOutstanding bounds the pings, own and relayed, that wait for an ack.
	maxOutstanding = 512
	// maxVerify bounds the members that wait to be pinged because of a disagreement.
	maxVerify = 256
	// verifyPerPeriod is the number of them pinged in each period.
	verifyPerPeriod = 8
)

// outstanding is a ping that has not been answered.
type outstanding struct {
	target   *wire.Member // as known when the ping was sent
	sent     time.Time
	indirect bool     // relays have been asked
	relays   []string // members that may answer for the target
	// requester and requestSeq are set when the ping is sent for another member.
	requester  string
	requestSeq uint64
}

// concerns reports whether a missing ack says something about the member as it is known now: it was and is live, in the
// same incarnation. A newer one shows that it has lived since, as a new process or as one that takes
// work again. Such a member must not become suspect: the refutation that follows spreads once more to all members.
func (o *outstanding) concerns(known *wire.Member) bool {
	return Live(o.target.State) && Live(known.State) && o.target.Incarnation == known.Incarnation
}

type detector struct {
	sequence uint64
	waiting  map[uint64]*outstanding
	toVerify []string
	nextPing time.Time
	periods  int
}

func newDetector(first time.Time) detector {
	return detector{waiting: map[uint64]*outstanding{}, nextPing: first}
}

func (d *detector) forgetOutstanding() { clear(d.waiting) }

func (d *detector) verify(nodeID string) {
	if len(d.toVerify) < maxVerify && !slices.Contains(d.toVerify, nodeID) {
		d.toVerify = append(d.toVerify, nodeID)
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
	n.pingVerify(now)
	n.pingLeaving(now)
	if n.detector.periods%deadPingPeriods == 0 {
		n.pingDead(now)
	}
}

// ping sends a ping. The target's record goes along when it is not ALIVE, so that it can refute.
func (n *Node) ping(now time.Time, target *entry, p priority) {
	n.pingFor(now, target, p, outstanding{})
}

func (n *Node) pingFor(now time.Time, target *entry, p priority, o outstanding) {
	if len(n.detector.waiting) >= maxOutstanding {
		return
	}
	n.detector.sequence++
	seq := n.detector.sequence
	d := &wire.Datagram{Kind: &wire.Datagram_Ping{Ping: &wire.Ping{Seq: seq}}}
	if !n.sendTo(now, target, d, p, n.accused(target)) {
		return
	}
	o.target = target.record
	o.sent = now
	n.detector.waiting[seq] = &o
}

func (n *Node) accused(e *entry) string {
	if e.record.State == wire.MemberState_ALIVE {
		return ""
	}
	return e.record.NodeId
}

func (n *Node) pingVerify(now time.Time) {
	for range min(verifyPerPeriod, len(n.detector.toVerify)) {
		nodeID := n.detector.toVerify[0]
		n.detector.toVerify = n.detector.toVerify[1:]
		if e := n.list.entries[nodeID]; e != nil {
			n.ping(now, e, bulk)
		}
	}
}

// pingLeaving pings one of the members that have left lately. It may have been restarted at the same address and know
// nobody, when it can't read the store.
func (n *Node) pingLeaving(now time.Time) {
	if n.list.live+n.list.dead == len(n.list.order) {
		return // nobody is leaving
	}
	for _, e := range n.list.sample(1, n.rng, n.leftLately(now)) {
		n.ping(now, e, bulk)
	}
}

// pingDead keeps a path open to members that were cut off.
func (n *Node) pingDead(now time.Time) {
	if n.list.dead == 0 {
		return
	}
	isDead := func(e *entry) bool { return e.record.State == wire.MemberState_DEAD }
	candidates := n.list.sample(1, n.rng, isDead)
	if len(candidates) == 0 {
		// Too few of them for the random sample: take the next one in order.
		if e := n.list.nextInOrder(n.rng, isDead); e != nil {
			candidates = append(candidates, e)
		}
	}
	for _, e := range candidates {
		n.ping(now, e, bulk)
	}
}

// checkOutstanding asks relays after directShare of the period and suspects after the whole period.
func (n *Node) checkOutstanding(now time.Time) {
	direct := time.Duration(directShare * float64(n.cfg.Period))
	for _, seq := range slices.Sorted(maps.Keys(n.detector.waiting)) {
		o := n.detector.waiting[seq]
		target := n.list.entries[o.target.NodeId]
		switch waited := now.Sub(o.sent); {
		case target == nil || o.requester != "" && waited >= n.cfg.Period:
			delete(n.detector.waiting, seq)
		case o.requester != "":
		case waited >= n.cfg.Period:
			delete(n.detector.waiting, seq)
			if o.concerns(target.record) {
				n.suspect(now, target)
			}
		case waited >= direct && !o.indirect:
			o.indirect = true
			if o.concerns(target.record) {
				n.askRelays(now, seq, o)
			}
		}
	}
}

func (n *Node) askRelays(now time.Time, seq uint64, o *outstanding) {
	relays := n.list.sample(indirectPings, n.rng, func(e *entry) bool {
		return n.isPeer(e) && e.record.NodeId != o.target.NodeId
	})
	for _, relay := range relays {
		request := &wire.PingRequest{Seq: seq, Target: o.target.NodeId}
		d := &wire.Datagram{Kind: &wire.Datagram_PingRequest{PingRequest: request}}
		if n.sendTo(now, relay, d, urgent, "") {
			o.relays = append(o.relays, relay.record.NodeId)
		}
	}
}

// suspect starts the suspicion of a member that did not answer and tells the member directly.
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

// answer replies to pings and relays, always to the address in the sender's record.
func (n *Node) answer(now time.Time, d *wire.Datagram, sender *entry) {
	switch kind := d.Kind.(type) {
	case *wire.Datagram_Ping:
		n.ack(now, kind.Ping.GetSeq(), sender)
	case *wire.Datagram_Ack:
		n.acked(now, kind.Ack.GetSeq(), sender)
	case *wire.Datagram_PingRequest:
		n.relay(now, kind.PingRequest, sender)
	}
}

func (n *Node) ack(now time.Time, seq uint64, to *entry) {
	d := &wire.Datagram{Kind: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: seq}}}
	n.sendTo(now, to, d, urgent, n.accused(to))
}

func (n *Node) acked(now time.Time, seq uint64, sender *entry) {
	o := n.detector.waiting[seq]
	if o == nil {
		return
	}
	if sender.record.NodeId != o.target.NodeId && !slices.Contains(o.relays, sender.record.NodeId) {
		return
	}
	delete(n.detector.waiting, seq)
	if requester := n.list.entries[o.requester]; requester != nil {
		n.ack(now, o.requestSeq, requester)
	}
}

// relay pings a member for another one. Only members are pinged, at most one ping for each request.
func (n *Node) relay(now time.Time, request *wire.PingRequest, requester *entry) {
	target := n.list.entries[request.GetTarget()]
	if target == nil || target.record.NodeId == n.self.NodeId {
		return
	}
	n.pingFor(now, target, bulk, outstanding{requester: requester.record.NodeId, requestSeq: request.Seq})
}
