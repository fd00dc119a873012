package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

// Defaults and limits of the protocol.
const (
	// DefaultPeriod is the time between two pings of one node.
	DefaultPeriod = time.Second
	// DefaultBytesPerSecond is the budget for control datagrams of one node, with IP and UDP headers.
	DefaultBytesPerSecond = 13_000
	// DefaultSyncInterval is the time between two anti-entropy exchanges started by one node.
	DefaultSyncInterval = 30 * time.Second
	// DefaultRetention is how long DEAD and LEAVING records are kept so that old gossip does not
	// revive them, and how long a region may be cut off and still be reconnected.
	DefaultRetention = time.Hour

	headerBytes = 28 // IPv4 and UDP
	// pushFanout is the number of members that hear at once of a departure, a join or a bundle version.
	pushFanout = 4
	// leavingFanout is the number of members to which a leaving node announces its departure itself.
	leavingFanout = 16
	// leavingRepeats is the number of ticks on which it, and each node that hears of the departure,
	// tells pushFanout members more, against loss.
	leavingRepeats = 2
	// leavingTime is how long a LEAVING member is still told of changes: while it finishes its work it
	// forwards requests of its own callers.
	leavingTime = 2 * time.Minute
	// joinGracePeriods is the time after the start in which no suspicion is raised, since other
	// nodes drop datagrams of a node that they have not heard of yet.
	joinGracePeriods = 5
	// bundleRetry is the shortest time between two reports of a newer bundle version.
	bundleRetry = 500 * time.Millisecond
	// farCopies is the number of datagrams of all nodes together, for each round of theirs, that carry updates other
	// than departures to another region. Each node learns of an update mostly within its region; when all nodes of
	// two regions told all others, a start of 86 nodes sent 5 MB over the paid link.
	farCopies = 8
	// updatesShare is the part of the remaining byte budget that the updates in one datagram may use. The newest come
	// first, so that the backlog after the start of a fleet does not use up what news and acks need.
	updatesShare = 8
	// bulkReserve is the share of the byte budget that only urgent datagrams use.
	bulkReserve = 0.5
)

// Config holds the identity and the parameters of a Node. Zero durations and rates take the defaults.
type Config struct {
	NodeID, UDPAddr, PeerAddr string
	FailureDomain, Region     string
	StoreAccess               wire.StoreAccess
	Period                    time.Duration
	SyncInterval              time.Duration
	Retention                 time.Duration
	BytesPerSecond            int
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

// Output receives what a Node decides. Its methods must not call the Node.
type Output interface {
	// SendDatagram sends an encoded datagram. data is not used after the call returns.
	SendDatagram(udpAddr string, data []byte)
	// NewerBundle reports a member that holds a newer bundle. It repeats while that is so.
	NewerBundle(version uint64, peerAddr string)
	// Changed reports a new record of a member; before is nil for a new member.
	Changed(before, after *wire.Member)
	// Quarantined reports new entries.
	Quarantined([]*wire.QuarantineEntry)
	// Sync asks for a full-state exchange; the answer goes to Node.HandleSyncReply.
	Sync(peerAddr string, request *wire.SyncRequest)
}

// Node is the membership protocol of one node. It is not safe for concurrent use. Time never goes
// backwards between calls.
type Node struct {
	cfg      Config
	out      Output
	rng      *rand.Rand
	counters *Counters

	self     *wire.Member
	list     *memberList
	gossip   *gossipQueue
	quarant  *quarantine
	detector detector
	budget   *rate.Limiter

	bundleVersion  uint64
	bundleReported time.Time
	bundleHeard    uint64 // newest version that has been reported
	push           int    // further ticks on which pending updates are pushed
	started        time.Time
	lastTick       time.Time
	refuted        time.Time
	nextSync       time.Time
	syncFloor      time.Time // no early exchange before this time
	nextCleanup    time.Time
}

// NewNode returns a node that knows only itself.
func NewNode(cfg Config, now time.Time, rng *rand.Rand, out Output, counters *Counters) (*Node, error) {
	cfg.setDefaults()
	n := &Node{
		cfg: cfg, out: out, rng: rng, counters: counters,
		list: newList(), gossip: newGossipQueue(), quarant: newQuarantine(),
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
	n.push = 1
	return n, nil
}

func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// Self returns the node's own record, which must not be modified.
func (n *Node) Self() *wire.Member { return n.self }

// BundleVersion returns the version in force here.
func (n *Node) BundleVersion() uint64 { return n.bundleVersion }

// Version rises with every change of the members that a snapshot depends on.
func (n *Node) Version() uint64 { return n.list.version }

// Live returns the number of ALIVE and SUSPECT members, this node included.
func (n *Node) LiveCount() int { return n.list.live }

// PendingUpdates returns the number of updates that still have to be gossiped.
func (n *Node) PendingUpdates() int { return n.gossip.len() }

// Record returns the record of a node, or nil. It must not be modified.
func (n *Node) Record(nodeID string) *wire.Member {
	if e := n.list.entries[nodeID]; e != nil {
		return e.record
	}
	return nil
}

// Members returns all records, this node's included, with the newest bundle version heard of each.
// The records must not be modified.
func (n *Node) Members() []*wire.Member {
	out := make([]*wire.Member, 0, len(n.list.order))
	for _, e := range n.list.order {
		m := e.record
		if e.bundle > m.BundleVersion {
			m = proto.CloneOf(m)
			m.BundleVersion = e.bundle
		}
		out = append(out, m)
	}
	return out
}

// Records returns all records as they are in the table; they must not be modified.
func (n *Node) Records() []*wire.Member {
	out := make([]*wire.Member, len(n.list.order))
	for i, e := range n.list.order {
		out[i] = e.record
	}
	return out
}

// SetEndpoints announces the endpoints beside this node. It returns an error that wraps ErrBadRecord
// when the record would not fit into a datagram.
func (n *Node) SetEndpoints(now time.Time, endpoints []*wire.EndpointRecord) error {
	next := proto.CloneOf(n.self)
	next.Endpoints = endpoints
	if sameDetails(next, n.self) {
		return nil
	}
	if err := Validate(next, now); err != nil {
		return err
	}
	n.replaceSelf(now, proto.CloneOf(next), Incarnation(n.self.Incarnation).Next())
	return nil
}

// SetLeaving announces that the node takes no new work, or takes work again.
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
	n.push = leavingRepeats
}

// replaceSelf stores and gossips the node's own changed record.
func (n *Node) replaceSelf(now time.Time, next *wire.Member, incarnation Incarnation) {
	next.Incarnation = uint64(incarnation)
	next.BundleVersion = n.bundleVersion
	n.self = next
	n.set(now, next)
	n.gossip.add(next)
	n.push = max(n.push, 1)
}

// set stores a record and reports the change. It returns nil when the table is full.
func (n *Node) set(now time.Time, m *wire.Member) *entry {
	before := n.Record(m.NodeId)
	e := n.list.set(m, now, n.rng)
	if e != nil {
		n.out.Changed(before, m)
	}
	return e
}

// SetBundleVersion states the bundle version in force here and pushes a notice of a newer one.
func (n *Node) SetBundleVersion(now time.Time, version uint64) {
	if version <= n.bundleVersion {
		return
	}
	n.bundleVersion = version
	n.list.entries[n.self.NodeId].bundle = version
	for _, e := range n.list.sample(pushFanout, n.rng, n.listensAt(now)) {
		d := &wire.Datagram{Kind: &wire.Datagram_BundleNotice{BundleNotice: &wire.BundleNotice{Version: version}}}
		n.sendTo(now, e, d, urgent, "")
	}
}

func (n *Node) isPeer(e *entry) bool {
	return e.record.State == wire.MemberState_ALIVE && e.record.NodeId != n.self.NodeId
}

// listensAt returns the condition for members that updates are pushed to.
func (n *Node) listensAt(now time.Time) func(*entry) bool {
	leftLately := n.leftLately(now)
	return func(e *entry) bool {
		return Live(e.record.State) && e.record.NodeId != n.self.NodeId || leftLately(e)
	}
}

// leftLately returns the condition for other members that are LEAVING and may still run.
func (n *Node) leftLately(now time.Time) func(*entry) bool {
	return func(e *entry) bool {
		return e.record.State == wire.MemberState_LEAVING && now.Sub(e.since) < leavingTime && e.record.NodeId != n.self.NodeId
	}
}

// priority separates datagrams that may use the whole byte budget from those that leave a reserve.
type priority uint8

const (
	bulk priority = iota
	urgent
)

// Send completes a datagram with the sender and pending updates and sends it, unless the byte budget
// is used up. It reports whether it was sent.
func (n *Node) Send(now time.Time, udpAddr string, d *wire.Datagram) bool {
	return n.send(now, udpAddr, d, bulk, "")
}

// send sends to an address as transmit does to a node of the own region.
func (n *Node) send(now time.Time, udpAddr string, d *wire.Datagram, p priority, accused string) bool {
	return n.transmit(now, udpAddr, d, p, accused, true)
}

// sendTo sends to a member.
func (n *Node) sendTo(now time.Time, to *entry, d *wire.Datagram, p priority, accused string) bool {
	spread := to.record.Region == n.self.Region || n.rng.IntN(max(1, n.list.live/farCopies)) == 0
	return n.transmit(now, to.record.UdpAddr, d, p, accused, spread)
}

// transmit adds the record of accused, when set, so that a node learns what is held against it, and the own record, so
// that one which has started again and knows nobody learns of a member. Without spread, the
// datagram carries only the departures among the pending updates.
func (n *Node) transmit(now time.Time, udpAddr string, d *wire.Datagram, p priority, accused string, spread bool) bool {
	var introduction []*wire.Member
	tokens := n.budget.TokensAt(now)
	if p == bulk {
		tokens -= bulkReserve * float64(n.budget.Burst())
	}
	d.From = n.self.NodeId
	d.Incarnation = n.self.Incarnation
	d.BundleVersion = n.bundleVersion
	if e := n.list.entries[accused]; e != nil {
		d.Updates = append(d.Updates, e.record)
		introduction = append(introduction, n.self)
	}
	size := proto.Size(d) + proto.Size(&wire.Datagram{Updates: introduction})
	if float64(size+headerBytes) > tokens {
		n.counters.OverBudget.Add(1)
		return false
	}
	room := min(wire.MaxDatagramBytes, size+int(tokens)/updatesShare, int(tokens)-headerBytes) - size
	n.piggyback(d, room, spread)
	d.Updates = append(d.Updates, introduction...)
	data, err := proto.Marshal(d)
	if err != nil || len(data) > wire.MaxDatagramBytes {
		n.counters.SendErrors.Add(1)
		return false
	}
	n.budget.AllowN(now, len(data)+headerBytes)
	k := KindOf(d)
	n.counters.SentMessages[k].Add(1)
	n.counters.SentBytes[k].Add(uint64(len(data) + headerBytes))
	n.out.SendDatagram(udpAddr, data)
	return true
}

// piggyback fills a datagram with updates and quarantine entries. Probes carry none: they have a
// budget of their own.
func (n *Node) piggyback(d *wire.Datagram, room int, spread bool) {
	switch KindOf(d) {
	case KindProbe, KindProbeReply, KindOther:
		return
	}
	retransmits := retransmitLimit(n.list.live)
	entries, used := n.quarant.take(room/4, retransmits)
	d.Quarantine = entries
	if spread {
		d.Updates = append(d.Updates, n.gossip.take(room-used, retransmits)...)
		return
	}
	d.Updates = append(d.Updates, n.gossip.takeLeaving(room-used, retransmits)...)
}

// pushUpdates sends pending updates to random members without waiting for the next ping.
func (n *Node) pushUpdates(now time.Time) {
	if n.push == 0 {
		return
	}
	n.push--
	n.pushTo(now, pushFanout)
}

func (n *Node) pushTo(now time.Time, fanout int) {
	for _, e := range n.list.sample(fanout, n.rng, n.listensAt(now)) {
		if n.gossip.len() == 0 && n.quarant.pending() == 0 {
			break
		}
		n.sendTo(now, e, &wire.Datagram{}, urgent, "")
	}
}

// Receive handles a datagram of a member. Datagrams of other senders are counted and dropped: the
// answer could be directed at a third party. A node that knows no other takes up a sender that introduces itself.
func (n *Node) Receive(now time.Time, d *wire.Datagram) error {
	if n.list.live == 1 {
		n.meet(now, d)
	}
	sender := n.list.entries[d.From]
	if sender == nil || d.From == n.self.NodeId {
		n.counters.UnknownSender.Add(1)
		return errors.Wrapf(ErrUnknownSender, "%q", d.From)
	}
	sender.heard = now
	sender.bundle = max(sender.bundle, d.BundleVersion)
	for _, m := range d.Updates {
		n.apply(now, m, fromGossip)
	}
	n.addQuarantine(now, d.Quarantine)
	n.compareBundle(now, d, sender)
	n.answer(now, d, sender)
	return nil
}

// meet adds the sender of a datagram that holds its own record, and asks it for all others. A node that starts again
// while the store is away has no other way to its peers, which still know its address.
func (n *Node) meet(now time.Time, d *wire.Datagram) {
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

// ErrUnknownSender reports a datagram of a node that is not a member.
var ErrUnknownSender = errors.New("membership: unknown sender")

func (n *Node) compareBundle(now time.Time, d *wire.Datagram, sender *entry) {
	version := d.BundleVersion
	if notice := d.GetBundleNotice(); notice != nil {
		version = max(version, notice.Version)
	}
	if version <= n.bundleVersion {
		return
	}
	if version <= n.bundleHeard && now.Sub(n.bundleReported) < bundleRetry {
		return
	}
	n.bundleReported = now
	n.bundleHeard = version
	n.out.NewerBundle(version, sender.record.PeerAddr)
}

// Tick runs everything that is due. It is called at a fixed interval well below the period.
func (n *Node) Tick(now time.Time) {
	if now.Sub(n.lastTick) > n.cfg.Period/2 {
		// The process was paused: the acks that it waits for may be in the socket unread.
		n.detector.forgetOutstanding()
	}
	n.lastTick = now
	n.expireSuspicions(now)
	n.runDetector(now)
	n.pushUpdates(now)
	n.startSync(now)
	n.cleanup(now)
}
