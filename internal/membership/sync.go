package membership

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// membersPerDigest is the number of members that share a digest in a sync request.
	membersPerDigest = 8
	// syncsPerCrossRegionSync is how many anti-entropy exchanges there are, on average, for each one that may
	// go to another region.
	syncsPerCrossRegionSync = 8
	// recoverySyncs is the average number of nodes that start a sync with a recovered member after a
	// partition heals.
	recoverySyncs = 32
	// startupDuration is the process age up to which an exchange that brought changes is soon followed by the
	// next one, after startupPausePeriods at the earliest. After a power loss no node knows any other, and
	// gossip about all of them would exceed the byte budget.
	startupDuration     = 5 * time.Second
	startupPausePeriods = 0.1 // in periods
	// maxSyncCredit limits the byte budget that early exchanges may use in advance, as the time in which it
	// accrues: 100 kB by default, enough for the member lists of a few hundred nodes.
	maxSyncCredit = 8 * time.Second
)

// SyncRequest returns this node's own record, its quarantine entries and the digests of its live members.
func (n *Node) SyncRequest() *wire.SyncRequest {
	return &wire.SyncRequest{
		Members:       []*wire.Member{n.self},
		Quarantine:    n.quarantine.all(),
		BundleVersion: n.bundleVersion,
		Digests:       n.list.foldedDigests(digestCount(n.list.live)),
		Evacuations:   n.evacuationsOnWire(),
	}
}

func digestCount(live int) int {
	return min(maxDigests, 1<<bits.Len(uint(live/membersPerDigest)))
}

// HandleSync merges a request and returns the members in the buckets whose digests differ.
func (n *Node) HandleSync(now time.Time, request *wire.SyncRequest) *wire.SyncReply {
	source := syncSource(request.GetMembers())
	for _, m := range request.GetMembers() {
		n.apply(now, m, source)
	}
	n.addQuarantine(now, request.GetQuarantine())
	n.mergeEvacuations(now, request.GetEvacuations())
	reply := &wire.SyncReply{Quarantine: n.quarantine.all(), BundleVersion: n.bundleVersion, Evacuations: n.evacuationsForReply()}
	count := len(request.GetDigests())
	if count == 0 || count > maxDigests || bits.OnesCount(uint(count)) != 1 {
		return reply
	}
	// The first record of a request with digests is that of the node that sends it.
	if len(request.Members) > 0 {
		if e := n.list.entries[request.Members[0].GetNodeId()]; e != nil {
			reply.Departures, reply.DeparturesKnown = e.record.Departures, e.record.DeparturesKnown
			reply.Counted = e.counted(now)
		}
	}
	reply.Buckets = uint32(count)
	differs := make([]bool, count)
	for i, digest := range n.list.foldedDigests(count) {
		if digest != request.Digests[i] {
			differs[i] = true
			reply.Differing = append(reply.Differing, uint32(i))
		}
	}
	reply.Members = n.membersInBuckets(differs)
	return reply
}

func (n *Node) membersInBuckets(selected []bool) []*wire.Member {
	var out []*wire.Member
	for _, e := range n.list.order {
		if selected[bucketOf(e.record.NodeId)%len(selected)] && !e.neverLive {
			out = append(out, e.record)
		}
	}
	return out
}

// HandleSyncReply merges the reply of the node at peerAddr and sends it the records that are newer here.
func (n *Node) HandleSyncReply(now time.Time, peerAddr string, reply *wire.SyncReply) {
	n.reportOwnDepartures(reply.GetDepartures(), reply.GetDeparturesKnown())
	before := n.list.version
	remote := make(map[string]*wire.Member, len(reply.GetMembers()))
	for _, m := range reply.GetMembers() {
		remote[m.GetNodeId()] = m
		n.apply(now, m, fromReply)
	}
	n.addQuarantine(now, reply.GetQuarantine())
	n.mergeEvacuations(now, reply.GetEvacuations())
	if newer := n.newerRecords(reply, remote); len(newer) > 0 {
		n.out.Sync(peerAddr, &wire.SyncRequest{Members: newer, BundleVersion: n.bundleVersion})
	}
	n.chargeEarlySync(now, proto.Size(reply))
	if n.list.version != before {
		n.scheduleEarlySync(now)
	}
}

// chargeEarlySync charges a reply to the byte budget: it postpones earlySyncFrom by the time in which the
// budget covers the reply.
func (n *Node) chargeEarlySync(now time.Time, replyBytes int) {
	from := n.earlySyncFrom
	if earliest := now.Add(-maxSyncCredit); from.Before(earliest) {
		from = earliest
	}
	if from.After(now) {
		from = now // regular exchanges are never delayed, so their cost must not delay early ones indefinitely
	}
	cost := float64(replyBytes) / float64(n.cfg.BytesPerSecond)
	n.earlySyncFrom = from.Add(time.Duration(cost * float64(time.Second)))
}

// scheduleEarlySync brings the next exchange forward when member tables have been found to differ. Gossip
// alone takes over a minute at 300 nodes after a simultaneous start or a healed partition. The time set
// by chargeEarlySync still applies.
func (n *Node) scheduleEarlySync(now time.Time) {
	pause := n.cfg.Period
	if now.Sub(n.started) < startupDuration {
		pause = n.startupPause()
	}
	next := now.Add(pause + jitter(n.rng, 2*pause))
	if next.Before(n.earlySyncFrom) {
		next = n.earlySyncFrom
	}
	if next.Before(n.nextSync) {
		n.nextSync = next
	}
}

// startupPause is the shortest time between the exchanges of a process younger than startupDuration.
func (n *Node) startupPause() time.Duration {
	return time.Duration(startupPausePeriods * float64(n.cfg.Period))
}

func (n *Node) newerRecords(reply *wire.SyncReply, remote map[string]*wire.Member) []*wire.Member {
	count := int(reply.GetBuckets())
	if count == 0 || count > maxDigests || bits.OnesCount(uint(count)) != 1 {
		return nil
	}
	differs := make([]bool, count)
	for _, i := range reply.GetDiffering() {
		if int(i) < count {
			differs[i] = true
		}
	}
	var newer []*wire.Member
	for _, m := range n.membersInBuckets(differs) {
		remoteRecord := remote[m.NodeId]
		switch {
		case remoteRecord == nil && Live(m.State):
			newer = append(newer, m)
		case remoteRecord != nil && Merge(remoteRecord, m) != remoteRecord:
			newer = append(newer, m)
		}
	}
	return newer
}

// Merge applies records that were read from the store or received from a peer.
func (n *Node) Merge(now time.Time, members []*wire.Member) {
	source := syncSource(members)
	for _, m := range members {
		n.apply(now, m, source)
	}
}

// startSync begins an anti-entropy exchange with a random member, mostly of the local region, since
// inter-region traffic is billed.
func (n *Node) startSync(now time.Time) {
	if now.Before(n.nextSync) {
		return
	}
	// The interval grows with the age of the process, so that nodes that start together converge soon.
	interval := min(n.cfg.SyncInterval, max(n.startupPause(), now.Sub(n.started)))
	if n.awaitsEvacuations(now) {
		interval = min(interval, max(evacuationAskInterval, n.transferTime(n.SyncRequest())))
	}
	n.nextSync = now.Add(interval/2 + jitter(n.rng, interval))
	anyRegion := n.rng.IntN(syncsPerCrossRegionSync) == 0
	peers := n.list.sample(1, n.rng, func(e *entry) bool {
		return n.isAlivePeer(e) && (anyRegion || e.record.Region == n.self.Region)
	})
	for _, e := range peers {
		n.out.Sync(e.record.PeerAddr, n.SyncRequest())
	}
}

// transferTime returns the time in which the byte budget covers a message.
func (n *Node) transferTime(m proto.Message) time.Duration {
	return time.Duration(float64(proto.Size(m)) / float64(n.cfg.BytesPerSecond) * float64(time.Second))
}

// syncRecovered starts a sync with a member that was DEAD and is live again. In a large system only some
// nodes do so; the others soon get the changes within their own region.
func (n *Node) syncRecovered(now time.Time, m *wire.Member, source recordSource) {
	n.scheduleEarlySync(now)
	if source == fromGossip && n.rng.IntN(max(n.list.live, 1)) < recoverySyncs {
		n.out.Sync(m.PeerAddr, n.SyncRequest())
	}
}
