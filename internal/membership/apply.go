package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

// cleanupInterval is the time between two removals of expired records.
const cleanupInterval = time.Minute

// recordSource says how a record was received. Gossip is recent; a sync may carry the table of a node
// that was partitioned from the member.
type recordSource uint8

const (
	fromGossip recordSource = iota
	fromSync
	// fromReply marks records from a sync reply or from a long list. They are not gossiped, since other nodes
	// have had them for some time.
	fromReply
)

// maxGossipedSyncRecords is the length up to which the records of a list from a peer or the store are
// gossiped. Longer lists occur when many nodes start at once or a partition heals, and then all nodes
// exchange lists anyway. With a limit of 64, 22,860 instead of 9,405 updates were still unsent 5 s after
// 300 nodes had joined.
const maxGossipedSyncRecords = 8

func syncSource(members []*wire.Member) recordSource {
	if len(members) > maxGossipedSyncRecords {
		return fromReply
	}
	return fromSync
}

// apply validates a received record and merges it into the member table.
func (n *Node) apply(now time.Time, received *wire.Member, source recordSource) {
	if err := Validate(received, now); err != nil {
		n.counters.Malformed.Add(1)
		return
	}
	if received.NodeId == n.self.NodeId {
		n.refute(now, received)
		return
	}
	current := n.list.entries[received.NodeId]
	if current == nil {
		n.insertNew(now, received, source)
		return
	}
	merged := Merge(current.record, received)
	if merged == current.record || proto.Equal(merged, current.record) {
		n.verifyDeath(current, received, source)
		return
	}
	merged = n.weakenFailureReport(now, current, received, merged, source)
	if merged == nil {
		return
	}
	n.replace(now, current, received, merged, source)
}

// weakenFailureReport handles a SUSPECT or DEAD record of a member that is ALIVE in the local table, so
// that the member can refute it: a record from gossip makes the member at most SUSPECT; one from a sync
// only queues a ping of the member. It returns the record to store, or nil for no change.
func (n *Node) weakenFailureReport(now time.Time, current *entry, received, merged *wire.Member, source recordSource) *wire.Member {
	reportsFailure := received.State == wire.MemberState_SUSPECT || received.State == wire.MemberState_DEAD
	if !reportsFailure || current.record.State != wire.MemberState_ALIVE {
		return merged
	}
	if source != fromGossip {
		n.detector.queueVerification(current.record.NodeId)
		return nil
	}
	if merged.State == wire.MemberState_DEAD {
		return withState(merged, wire.MemberState_SUSPECT)
	}
	return merged
}

// lateRefutePeriods is the time to refute, in periods, for a member that is reported DEAD before it was
// SUSPECT locally.
const lateRefutePeriods = 3

// shortenSuspicion reduces the remaining suspicion timeout to lateRefutePeriods and queues a ping that
// tells the member about the suspicion.
func (n *Node) shortenSuspicion(now time.Time, e *entry) {
	timeout := SuspicionTimeout(n.cfg.Period, n.list.live)
	e.stateSince = now.Add(min(timeout, lateRefutePeriods*n.cfg.Period) - timeout)
	n.detector.queueVerification(e.record.NodeId)
}

// verifyDeath queues a ping of a member that is DEAD locally but live in the table of another node, so
// that the member can refute the DEAD record.
func (n *Node) verifyDeath(current *entry, received *wire.Member, source recordSource) {
	if source != fromGossip && Live(received.State) && current.record.State == wire.MemberState_DEAD &&
		received.Incarnation == current.record.Incarnation {
		n.detector.queueVerification(received.NodeId)
	}
}

func (n *Node) insertNew(now time.Time, received *wire.Member, source recordSource) {
	if n.set(now, received) == nil {
		n.counters.Malformed.Add(1)
		return
	}
	// A DEAD or LEAVING record of an unknown node in a sync is out of date and is not gossiped.
	if source == fromGossip || Live(received.State) {
		n.enqueueUpdate(received, received.State == wire.MemberState_ALIVE || received.State == wire.MemberState_LEAVING, source)
	}
}

func (n *Node) replace(now time.Time, current *entry, received, merged *wire.Member, source recordSource) {
	before := current.record
	if equalExceptBundle(before, merged) {
		current.bundleVersion = max(current.bundleVersion, merged.BundleVersion)
		return
	}
	e := n.set(now, merged)
	if received.State == wire.MemberState_DEAD && merged.State == wire.MemberState_SUSPECT {
		n.shortenSuspicion(now, e)
	}
	restarted := Incarnation(merged.Incarnation).ProcessStartMs() != Incarnation(before.Incarnation).ProcessStartMs()
	leaving := merged.State == wire.MemberState_LEAVING && before.State != wire.MemberState_LEAVING
	undrained := before.State == wire.MemberState_LEAVING && merged.State == wire.MemberState_ALIVE
	n.enqueueUpdate(merged, leaving || undrained || restarted, source)
	if before.State == wire.MemberState_DEAD && Live(merged.State) && !restarted {
		n.syncRecovered(now, merged, source)
	}
}

func equalExceptBundle(a, b *wire.Member) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && equalAttributes(a, b) &&
		a.DeparturesKnown == b.DeparturesKnown && equalDepartures(a.Departures, b.Departures)
}

func (n *Node) enqueueUpdate(m *wire.Member, pushNow bool, source recordSource) {
	if source == fromReply {
		return
	}
	n.gossip.add(m)
	switch {
	case m.State == wire.MemberState_LEAVING:
		n.pushTicks = leavingPushTicks
	case pushNow:
		n.pushTicks = max(n.pushTicks, 1)
	}
}

// refuteIntervalPeriods is the minimum time between two refutations, in periods. It limits the traffic
// when two processes use the same node ID. A skipped refutation is sent when the record arrives again
// with a later ping.
const refuteIntervalPeriods = 0.25

// refute handles a received record of the local node. If the record would replace the local one or has
// other attributes, refute announces a higher incarnation. A draining node doesn't refute a record of its
// own incarnation, such as a DEAD one, but does refute a higher incarnation, which would hide its LEAVING
// record.
func (n *Node) refute(now time.Time, received *wire.Member) {
	n.reportOwnDepartures(received.Departures, received.DeparturesKnown)
	own := Incarnation(n.self.Incarnation)
	stale := received.Incarnation < n.self.Incarnation
	consistent := received.Incarnation == n.self.Incarnation && received.State <= n.self.State && equalAttributes(received, n.self)
	acceptsDeath := n.self.State == wire.MemberState_LEAVING && received.Incarnation == n.self.Incarnation
	if stale || consistent || acceptsDeath {
		return
	}
	if !equalAttributes(received, n.self) {
		n.counters.IDConflicts.Add(1)
	}
	if now.Sub(n.refutedAt) < time.Duration(refuteIntervalPeriods*float64(n.cfg.Period)) {
		return
	}
	n.refutedAt = now
	n.counters.Refutations.Add(1)
	n.replaceSelf(now, proto.CloneOf(n.self), own.Superseding(Incarnation(received.Incarnation)))
}

// expireSuspicions marks members DEAD that have not refuted a suspicion within the timeout.
func (n *Node) expireSuspicions(now time.Time) {
	if len(n.list.suspects) == 0 {
		return
	}
	timeout := SuspicionTimeout(n.cfg.Period, n.list.live)
	var expired []string
	for nodeID, e := range n.list.suspects {
		if now.Sub(e.stateSince) >= timeout {
			expired = append(expired, nodeID)
		}
	}
	slices.Sort(expired)
	for _, nodeID := range expired {
		e := n.list.suspects[nodeID]
		n.counters.Deaths.Add(1)
		dead := withState(e.record, wire.MemberState_DEAD)
		n.set(now, dead)
		n.gossip.add(dead)
	}
}

// cleanup removes DEAD and LEAVING records after the retention time, and expired quarantine entries.
func (n *Node) cleanup(now time.Time) {
	if now.Before(n.nextCleanup) {
		return
	}
	n.nextCleanup = now.Add(cleanupInterval)
	n.quarantine.expire(now)
	for i := len(n.list.order) - 1; i >= 0; i-- {
		e := n.list.order[i]
		if !Live(e.record.State) && e.record.NodeId != n.self.NodeId && now.Sub(e.stateSince) > n.cfg.Retention {
			n.list.remove(e)
		}
	}
}
