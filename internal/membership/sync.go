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
	// crossRegionSyncs is one in how many anti-entropy exchanges may leave the region.
	crossRegionSyncs = 8
	// reconnectSyncs is how many of the nodes of a system start a sync when a cut ends.
	reconnectSyncs = 32
	// youngTime is the age of a process up to which exchanges that bring news follow each other at youngShare of the
	// period. After a loss of power all nodes know nobody, and the gossip about all of them exceeds the byte budget.
	youngTime  = 5 * time.Second
	youngShare = 0.1
	// syncCredit is the time in which an early exchange may use the byte budget beforehand: 100 kB by default, the
	// lists of a few hundred members.
	syncCredit = 8 * time.Second
)

// SyncRequest returns this node's own record and the digests of its live members.
func (n *Node) SyncRequest() *wire.SyncRequest {
	return &wire.SyncRequest{
		Members:       []*wire.Member{n.self},
		Quarantine:    n.quarant.all(),
		BundleVersion: n.bundleVersion,
		Digests:       n.list.folded(digestCount(n.list.live)),
	}
}

func digestCount(live int) int {
	return min(maxDigests, 1<<bits.Len(uint(live/membersPerDigest)))
}

// HandleSync merges a request and returns the members of the buckets that differ.
func (n *Node) HandleSync(now time.Time, request *wire.SyncRequest) *wire.SyncReply {
	via := syncOrigin(request.GetMembers())
	for _, m := range request.GetMembers() {
		n.apply(now, m, via)
	}
	n.addQuarantine(now, request.GetQuarantine())
	reply := &wire.SyncReply{Quarantine: n.quarant.all(), BundleVersion: n.bundleVersion}
	count := len(request.GetDigests())
	if count == 0 || count > maxDigests || bits.OnesCount(uint(count)) != 1 {
		return reply
	}
	reply.Buckets = uint32(count)
	differs := make([]bool, count)
	for i, digest := range n.list.folded(count) {
		if digest != request.Digests[i] {
			differs[i] = true
			reply.Differing = append(reply.Differing, uint32(i))
		}
	}
	reply.Members = n.inBuckets(differs)
	return reply
}

func (n *Node) inBuckets(chosen []bool) []*wire.Member {
	var out []*wire.Member
	for _, e := range n.list.order {
		if chosen[bucketOf(e.record.NodeId)%len(chosen)] && !e.secondhand {
			out = append(out, e.record)
		}
	}
	return out
}

// HandleSyncReply merges the answer of the node at peerAddr and sends it back what is newer here.
func (n *Node) HandleSyncReply(now time.Time, peerAddr string, reply *wire.SyncReply) {
	before := n.list.version
	theirs := make(map[string]*wire.Member, len(reply.GetMembers()))
	for _, m := range reply.GetMembers() {
		theirs[m.GetNodeId()] = m
		n.apply(now, m, fromReply)
	}
	n.addQuarantine(now, reply.GetQuarantine())
	if newer := n.newerThan(reply, theirs); len(newer) > 0 {
		n.out.Sync(peerAddr, &wire.SyncRequest{Members: newer, BundleVersion: n.bundleVersion})
	}
	n.payFor(now, proto.Size(reply))
	if n.list.version != before {
		n.syncSoon(now)
	}
}

// payFor moves the time of the next early exchange by the share of the byte budget that a reply has used.
func (n *Node) payFor(now time.Time, replyBytes int) {
	paid := n.syncFloor
	if earliest := now.Add(-syncCredit); paid.Before(earliest) {
		paid = earliest
	}
	if paid.After(now) {
		paid = now // regular exchanges are not held back, so they must not hold back the early ones for ever
	}
	cost := float64(replyBytes) / float64(n.cfg.BytesPerSecond)
	n.syncFloor = paid.Add(time.Duration(cost * float64(time.Second)))
}

// syncSoon brings the next exchange forward after something that shows that views differ: after the
// start of a fleet or the end of a cut, gossip alone takes over a minute at 300 nodes. The time that
// the replies took of the byte budget is kept, but for syncCredit.
func (n *Node) syncSoon(now time.Time) {
	pause := n.cfg.Period
	if now.Sub(n.started) < youngTime {
		pause = n.youngPause()
	}
	next := now.Add(pause + jitter(n.rng, 2*pause))
	if next.Before(n.syncFloor) {
		next = n.syncFloor
	}
	if next.Before(n.nextSync) {
		n.nextSync = next
	}
}

// youngPause is the shortest pause between the exchanges of a process of up to youngTime.
func (n *Node) youngPause() time.Duration { return time.Duration(youngShare * float64(n.cfg.Period)) }

func (n *Node) newerThan(reply *wire.SyncReply, theirs map[string]*wire.Member) []*wire.Member {
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
	for _, m := range n.inBuckets(differs) {
		their := theirs[m.NodeId]
		switch {
		case their == nil && Live(m.State):
			newer = append(newer, m)
		case their != nil && Merge(their, m) != their:
			newer = append(newer, m)
		}
	}
	return newer
}

// Merge applies records that were learnt from the store or from a peer.
func (n *Node) Merge(now time.Time, members []*wire.Member) {
	via := syncOrigin(members)
	for _, m := range members {
		n.apply(now, m, via)
	}
}

// startSync begins an anti-entropy exchange with a random member, mostly of the own region, since
// the links between regions are paid by volume.
func (n *Node) startSync(now time.Time) {
	if now.Before(n.nextSync) {
		return
	}
	// The interval grows with the age of the process, so that a fleet that starts together agrees soon.
	interval := min(n.cfg.SyncInterval, max(n.youngPause(), now.Sub(n.started)))
	n.nextSync = now.Add(interval/2 + jitter(n.rng, interval))
	anywhere := n.rng.IntN(crossRegionSyncs) == 0
	peers := n.list.sample(1, n.rng, func(e *entry) bool {
		return n.isPeer(e) && (anywhere || e.record.Region == n.self.Region)
	})
	for _, e := range peers {
		n.out.Sync(e.record.PeerAddr, n.SyncRequest())
	}
}

// reconnect starts a sync with a member that was DEAD and answers again. In a large system only some
// nodes do so; the others get the state from their own region soon.
func (n *Node) reconnect(now time.Time, m *wire.Member, via origin) {
	n.syncSoon(now)
	if via == fromGossip && n.rng.IntN(max(n.list.live, 1)) < reconnectSyncs {
		n.out.Sync(m.PeerAddr, n.SyncRequest())
	}
}
