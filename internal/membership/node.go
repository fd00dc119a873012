package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/wire"
)

// Defaults and limits of the protocol.
const (
	// DefaultPeriod is the time between two pings by one node.
	DefaultPeriod = time.Second
	// DefaultBytesPerSecond is the budget of one node for control datagrams, including IP and UDP headers.
	DefaultBytesPerSecond = 13_000
	// DefaultSyncInterval is the time between two anti-entropy exchanges started by one node.
	DefaultSyncInterval = 30 * time.Second
	// DefaultRetention is how long DEAD and LEAVING records are kept so that old gossip doesn't revive them.
	// It also limits how long a region may be partitioned and still reconnect.
	DefaultRetention = time.Hour

	ipUDPHeaderBytes = 28 // IPv4 and UDP headers
	// pushFanout is the number of members to which a join, drain or new bundle version is sent immediately.
	pushFanout = 4
	// leavingFanout is the number of members to which a draining node itself sends its LEAVING record.
	leavingFanout = 16
	// leavingPushTicks is the number of ticks on which the draining node, and each node that learns of the
	// drain, sends the record to another pushFanout members, against packet loss.
	leavingPushTicks = 2
	// leavingUpdateDuration is how long a LEAVING member still receives updates. It needs them because it
	// forwards requests of its own callers until it has finished.
	leavingUpdateDuration = 2 * time.Minute
	// joinGracePeriods is the time after the start, in periods, in which a node suspects no member: other
	// nodes drop its datagrams until they have learned of it.
	joinGracePeriods = 5
	// bundleReportInterval is the minimum time between two reports of the same newer bundle version.
	bundleReportInterval = 500 * time.Millisecond
	// crossRegionCopies is the expected number of datagrams with all kinds of updates when every node sends
	// one datagram to another region. The other datagrams carry only LEAVING updates. Nodes get most updates
	// within their region. When every datagram between two regions carried all updates, a start of 86 nodes
	// sent 5 MB over the billed link.
	crossRegionCopies = 8
	// updatesBudgetDivisor limits the updates in one datagram to 1/updatesBudgetDivisor of the remaining byte
	// budget. The newest updates are sent first, so that the backlog after many nodes have started doesn't
	// use up the budget for newer updates and acks.
	updatesBudgetDivisor = 8
	// urgentReserveShare is the share of the byte budget that only urgent datagrams may use.
	urgentReserveShare = 0.5
)

// Config holds the identity and parameters of a Node. Zero durations and rates select the defaults.
type Config struct {
	NodeID, UDPAddr, PeerAddr string
	FailureDomain, Region     string
	StoreAccess               wire.StoreAccess
	Period                    time.Duration
	SyncInterval              time.Duration
	Retention                 time.Duration
	BytesPerSecond            int
	// Evacuations makes the node keep and spread the set of evacuated failure domains; otherwise it ignores the set.
	Evacuations bool
}

func (c *Config) setDefaults() {
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.SyncInterval == 0 {
		c.SyncInterval = DefaultSyncInterval
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.BytesPerSecond == 0 {
		c.BytesPerSecond = DefaultBytesPerSecond
	}
}

// Output receives the actions and events of a Node. Its methods must not call the Node.
type Output interface {
	// SendDatagram sends an encoded datagram. data is not used after the call returns.
	SendDatagram(udpAddr string, data []byte)
	// NewerBundle reports a member with a newer bundle than this node's. The report repeats until the node
	// has that version.
	NewerBundle(version uint64, peerAddr string)
	// Changed reports a new record of a member; before is nil for a new member.
	Changed(before, after *wire.Member)
	// OwnDepartures reports departures of backend servers on this node's VM that another node knows. known states that
	// it knows all that earlier processes of this node have acknowledged.
	OwnDepartures(departures []*wire.Departure, known bool)
	// Quarantined reports new or changed entries.
	Quarantined([]*wire.QuarantineEntry)
	// EvacuationsChanged reports a changed set of evacuated failure domains, and the first one that is known.
	EvacuationsChanged(evacuation.Set)
	// Sync requests a full-state exchange. The reply is passed to Node.HandleSyncReply.
	Sync(peerAddr string, request *wire.SyncRequest)
}

// Node runs the membership protocol for one node. It is not safe for concurrent use. The time passed to
// its methods must not decrease.
type Node struct {
	cfg      Config
	out      Output
	rng      *rand.Rand
	counters *Counters

	self       *wire.Member
	list       *memberList
	gossip     *gossipQueue
	quarantine *quarantine
	// evacuations is the newest known set; evacuationsKnown is set once it has come from the store or another node.
	evacuations      evacuation.Set
	evacuationsKnown bool

	detector detector
	budget   *rate.Limiter

	bundleVersion         uint64
	bundleReportedAt      time.Time
	bundleReportedVersion uint64 // newest version reported to Output
	pushTicks             int    // remaining ticks on which pending updates are pushed
	started               time.Time
	lastTick              time.Time
	refutedAt             time.Time
	nextSync              time.Time
	earlySyncFrom         time.Time // no early exchange starts before this time
	nextCleanup           time.Time
}

// NewNode returns a node whose table holds only its own record.
func NewNode(cfg Config, now time.Time, rng *rand.Rand, out Output, counters *Counters) (*Node, error) {
	cfg.setDefaults()
	n := &Node{
		cfg: cfg, out: out, rng: rng, counters: counters,
		list: newMemberList(), gossip: newGossipQueue(), quarantine: newQuarantine(),
		budget: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.BytesPerSecond),
		self: &wire.Member{
			NodeId: cfg.NodeID, Incarnation: uint64(NewIncarnation(now)), PeerAddr: cfg.PeerAddr, UdpAddr: cfg.UDPAddr,
			FailureDomain: cfg.FailureDomain, Region: cfg.Region, StoreAccess: cfg.StoreAccess,
		},
		started: now, lastTick: now,
		nextSync: now.Add(cfg.Period), nextCleanup: now.Add(cleanupInterval),
	}
	n.detector = newDetector(now.Add(jitter(rng, cfg.Period)))
	if err := Validate(n.self, now); err != nil {
		return nil, err
	}
	n.set(now, n.self)
	n.gossip.add(n.self)
	n.pushTicks = 1
	return n, nil
}

func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// Self returns the node's own record, which must not be modified.
func (n *Node) Self() *wire.Member { return n.self }

// BundleVersion returns the bundle version in force on this node.
func (n *Node) BundleVersion() uint64 { return n.bundleVersion }

// Version returns a counter that increases with every change that affects a snapshot.
func (n *Node) Version() uint64 { return n.list.version }

// LiveCount returns the number of ALIVE and SUSPECT members, this node included.
func (n *Node) LiveCount() int { return n.list.live }

// PendingUpdates returns the number of updates still to be gossiped.
func (n *Node) PendingUpdates() int { return n.gossip.len() }

// Record returns the record of a node, or nil. It must not be modified.
func (n *Node) Record(nodeID string) *wire.Member {
	if e := n.list.entries[nodeID]; e != nil {
		return e.record
	}
	return nil
}

// Members returns all records, including this node's, with the newest bundle version received from each
// node. The records must not be modified.
func (n *Node) Members() []*wire.Member {
	out := make([]*wire.Member, 0, len(n.list.order))
	for _, e := range n.list.order {
		m := e.record
		if e.bundleVersion > m.BundleVersion {
			m = proto.CloneOf(m)
			m.BundleVersion = e.bundleVersion
		}
		out = append(out, m)
	}
	return out
}

// Records returns all records as stored in the table. They must not be modified.
func (n *Node) Records() []*wire.Member {
	out := make([]*wire.Member, len(n.list.order))
	for i, e := range n.list.order {
		out[i] = e.record
	}
	return out
}

// SetEndpoints announces the endpoints of the backend servers on this node's VM. It returns an error that
// wraps ErrBadRecord if the record would not fit into a datagram.
func (n *Node) SetEndpoints(now time.Time, endpoints []*wire.EndpointRecord) error {
	next := proto.CloneOf(n.self)
	next.Endpoints = endpoints
	if equalAttributes(next, n.self) {
		return nil
	}
	if err := Validate(next, now); err != nil {
		return err
	}
	n.replaceSelf(now, proto.CloneOf(next), Incarnation(n.self.Incarnation).Next())
	return nil
}

// SetLeaving announces that the node accepts no new work, or that it accepts work again.
func (n *Node) SetLeaving(now time.Time, leaving bool) {
	if leaving == (n.self.State == wire.MemberState_LEAVING) {
		return
	}
	if !leaving {
		next := withState(n.self, wire.MemberState_ALIVE)
		n.replaceSelf(now, next, Incarnation(n.self.Incarnation).Next())
		return
	}
	n.replaceSelf(now, withState(n.self, wire.MemberState_LEAVING), Incarnation(n.self.Incarnation))
	n.pushTo(now, leavingFanout)
	n.pushTicks = leavingPushTicks
}

// replaceSelf stores and gossips a changed record of this node.
func (n *Node) replaceSelf(now time.Time, next *wire.Member, incarnation Incarnation) {
	next.Incarnation = uint64(incarnation)
	next.BundleVersion = n.bundleVersion
	n.self = next
	n.set(now, next)
	n.gossip.add(next)
	n.pushTicks = max(n.pushTicks, 1)
}

// set stores a record and reports the change to Output. It returns nil if the table is full.
func (n *Node) set(now time.Time, m *wire.Member) *entry {
	before := n.Record(m.NodeId)
	e := n.list.set(m, now, n.rng)
	if e != nil {
		n.out.Changed(before, m)
	}
	return e
}

// SetBundleVersion sets the bundle version in force on this node and sends a notice to pushFanout
// members. A version that isn't newer is ignored.
func (n *Node) SetBundleVersion(now time.Time, version uint64) {
	if version <= n.bundleVersion {
		return
	}
	n.bundleVersion = version
	n.list.entries[n.self.NodeId].bundleVersion = version
	for _, e := range n.list.sample(pushFanout, n.rng, n.pushTargets(now)) {
		d := &wire.Datagram{Kind: &wire.Datagram_BundleNotice{BundleNotice: &wire.BundleNotice{Version: version}}}
		n.sendTo(now, e, d, urgent, "")
	}
}

func (n *Node) isAlivePeer(e *entry) bool {
	return e.record.State == wire.MemberState_ALIVE && e.record.NodeId != n.self.NodeId
}

// pushTargets returns the condition for members to which updates are pushed.
func (n *Node) pushTargets(now time.Time) func(*entry) bool {
	recentlyLeaving := n.recentlyLeaving(now)
	return func(e *entry) bool {
		return Live(e.record.State) && e.record.NodeId != n.self.NodeId || recentlyLeaving(e)
	}
}

// recentlyLeaving returns the condition for other members that are LEAVING and may still be running.
func (n *Node) recentlyLeaving(now time.Time) func(*entry) bool {
	return func(e *entry) bool {
		return e.record.State == wire.MemberState_LEAVING && now.Sub(e.stateSince) < leavingUpdateDuration && e.record.NodeId != n.self.NodeId
	}
}

// priority says whether a datagram may use the whole byte budget or must leave the urgent reserve.
type priority uint8

const (
	bulk priority = iota
	urgent
)

// Send adds the sender's identity and pending updates to a datagram and sends it, unless the byte budget
// is exhausted. It reports whether the datagram was sent.
func (n *Node) Send(now time.Time, udpAddr string, d *wire.Datagram) bool {
	return n.send(now, udpAddr, d, bulk, "")
}

// send sends to an address as if it were in the local region.
func (n *Node) send(now time.Time, udpAddr string, d *wire.Datagram, p priority, attachID string) bool {
	return n.transmit(now, udpAddr, d, p, attachID, true)
}

// sendTo sends to a member. Datagrams to another region carry all kinds of updates only at random; see
// crossRegionCopies.
func (n *Node) sendTo(now time.Time, to *entry, d *wire.Datagram, p priority, attachID string) bool {
	allUpdates := to.record.Region == n.self.Region || n.rng.IntN(max(1, n.list.live/crossRegionCopies)) == 0
	return n.transmit(now, to.record.UdpAddr, d, p, attachID, allUpdates)
}

// transmit completes and sends a datagram. If attachID is set, it attaches that node's record, so that
// the node learns which state is reported of it, and this node's own record, so that a restarted node
// that knows no other learns of a member. Without allUpdates, only the LEAVING records among the pending
// updates are added.
func (n *Node) transmit(now time.Time, udpAddr string, d *wire.Datagram, p priority, attachID string, allUpdates bool) bool {
	var ownRecord []*wire.Member
	tokens := n.budget.TokensAt(now)
	if p == bulk {
		tokens -= urgentReserveShare * float64(n.budget.Burst())
	}
	d.From = n.self.NodeId
	d.Incarnation = n.self.Incarnation
	d.BundleVersion = n.bundleVersion
	if e := n.list.entries[attachID]; e != nil {
		d.Updates = append(d.Updates, e.record)
		ownRecord = append(ownRecord, n.self)
	}
	n.attachEvacuations(d, proto.Size(&wire.Datagram{Updates: ownRecord}))
	size := proto.Size(d) + proto.Size(&wire.Datagram{Updates: ownRecord})
	if float64(size+ipUDPHeaderBytes) > tokens {
		n.counters.OverBudget.Add(1)
		return false
	}
	space := min(wire.MaxDatagramBytes, size+int(tokens)/updatesBudgetDivisor, int(tokens)-ipUDPHeaderBytes) - size
	n.piggyback(d, space, allUpdates)
	d.Updates = append(d.Updates, ownRecord...)
	data, err := proto.Marshal(d)
	if err != nil || len(data) > wire.MaxDatagramBytes {
		n.counters.SendErrors.Add(1)
		return false
	}
	n.budget.AllowN(now, len(data)+ipUDPHeaderBytes)
	k := KindOf(d)
	n.counters.SentMessages[k].Add(1)
	n.counters.SentBytes[k].Add(uint64(len(data) + ipUDPHeaderBytes))
	n.out.SendDatagram(udpAddr, data)
	return true
}

// piggyback fills a datagram with updates and quarantine entries. Probes carry none, because they have a
// separate budget.
func (n *Node) piggyback(d *wire.Datagram, space int, allUpdates bool) {
	switch KindOf(d) {
	case KindProbe, KindProbeReply, KindOther:
		return
	}
	retransmits := retransmitLimit(n.list.live)
	entries, used := n.quarantine.take(space/4, retransmits)
	d.Quarantine = entries
	if allUpdates {
		d.Updates = append(d.Updates, n.gossip.take(space-used, retransmits)...)
		return
	}
	d.Updates = append(d.Updates, n.gossip.takeLeaving(space-used, retransmits)...)
}

// pushUpdates sends pending updates to random members without waiting for the next ping.
func (n *Node) pushUpdates(now time.Time) {
	if n.pushTicks == 0 {
		return
	}
	n.pushTicks--
	n.pushTo(now, pushFanout)
}

func (n *Node) pushTo(now time.Time, fanout int) {
	for _, e := range n.list.sample(fanout, n.rng, n.pushTargets(now)) {
		if n.gossip.len() == 0 && n.quarantine.unsentCount() == 0 {
			break
		}
		n.sendTo(now, e, &wire.Datagram{}, urgent, "")
	}
}

// Receive handles a datagram from a member. Datagrams from other senders are counted and dropped, because
// a reply could be directed at a third party. Only a node that knows no other member adds an unknown
// sender, if the datagram holds the sender's own record.
func (n *Node) Receive(now time.Time, d *wire.Datagram) error {
	if n.list.live == 1 {
		n.bootstrapFrom(now, d)
	}
	sender := n.list.entries[d.From]
	if sender == nil || d.From == n.self.NodeId {
		n.counters.UnknownSender.Add(1)
		return errors.Wrapf(ErrUnknownSender, "%q", d.From)
	}
	sender.lastReceived = now
	sender.bundleVersion = max(sender.bundleVersion, d.BundleVersion)
	for _, m := range d.Updates {
		n.apply(now, m, fromGossip)
	}
	n.addQuarantine(now, d.Quarantine)
	n.mergeEvacuations(now, d.Evacuations)
	n.reportNewerBundle(now, d, sender)
	n.respond(now, d, sender)
	return nil
}

// bootstrapFrom adds the sender of a datagram that holds the sender's own record and requests all other
// records from it. A node that restarts while the store is unavailable has no other way to find its
// peers, which still know its address.
func (n *Node) bootstrapFrom(now time.Time, d *wire.Datagram) {
	for _, m := range d.Updates {
		if m.GetNodeId() == d.From && m.State == wire.MemberState_ALIVE && n.list.entries[d.From] == nil {
			n.apply(now, m, fromGossip)
			if n.list.entries[d.From] != nil {
				n.out.Sync(m.PeerAddr, n.SyncRequest())
			}
			return
		}
	}
}

// ErrUnknownSender reports a datagram from a node that is not a member.
var ErrUnknownSender = errors.New("membership: unknown sender")

func (n *Node) reportNewerBundle(now time.Time, d *wire.Datagram, sender *entry) {
	version := d.BundleVersion
	if notice := d.GetBundleNotice(); notice != nil {
		version = max(version, notice.Version)
	}
	if version <= n.bundleVersion {
		return
	}
	if version <= n.bundleReportedVersion && now.Sub(n.bundleReportedAt) < bundleReportInterval {
		return
	}
	n.bundleReportedAt = now
	n.bundleReportedVersion = version
	n.out.NewerBundle(version, sender.record.PeerAddr)
}

// Tick runs everything that is due. It must be called at a fixed interval well below the period.
func (n *Node) Tick(now time.Time) {
	if now.Sub(n.lastTick) > n.cfg.Period/2 {
		// The process was paused: acks that it waits for may still be unread in the socket buffer.
		n.detector.clearOutstanding()
	}
	n.lastTick = now
	n.expireSuspicions(now)
	n.runDetector(now)
	n.pushUpdates(now)
	n.startSync(now)
	n.cleanup(now)
}
