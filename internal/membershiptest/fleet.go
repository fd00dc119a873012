// Package membershiptest runs many membership nodes in memory under virtual time, with latency, loss
// and partitions, for tests and for capacity figures. A run depends only on its configuration.
package membershiptest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/wire"
)

// Defaults of a fleet.
const (
	DefaultTick    = 50 * time.Millisecond
	DefaultLatency = 2 * time.Millisecond
	// SyncLatency is the time of a full-state exchange over TCP, one way.
	SyncLatency = 10 * time.Millisecond
	// JoinRetry is the time between two attempts to join.
	JoinRetry = 5 * time.Second
	// joinAnyRetry is JoinRetry for hosts that join through random others.
	joinAnyRetry    = 500 * time.Millisecond
	joinAnyContacts = 3
	// FetchLatency is the time from the report of a newer bundle until it is in force.
	FetchLatency = 20 * time.Millisecond
)

// Options configure a fleet. Zero values take the defaults.
type Options struct {
	Nodes   int
	Seed    uint64
	Regions int // nodes are dealt to the regions in turn; 0 means 1
	// Loss is the share of datagrams that are lost.
	Loss    float64
	Tick    time.Duration
	Latency time.Duration
	Config  membership.Config // identity is filled in
	// Warm starts all nodes at once with full tables in place of joins.
	WarmStart bool
	// AnnounceWithin, if set, starts all nodes at once, as after a loss of power. Each joins through random others, and
	// its endpoint is announced at a random moment of this time.
	AnnounceWithin time.Duration
}

// Fleet is a set of nodes with a common virtual clock. It is not safe for concurrent use.
type Fleet struct {
	Nodes   []*Host
	Now     time.Time
	options Options
	rng     *rand.Rand
	byUDP   map[string]*Host
	byPeer  map[string]*Host
	events  eventHeap
	order   uint64
	// SyncBytes is the total size of all full-state exchanges.
	SyncBytes int
	// FarBytes is the size of the exchanges and datagrams between regions.
	FarBytes int
}

// Host is one node of a fleet. It implements membership.Output.
type Host struct {
	*membership.Node
	Counters membership.Counters
	// Down hosts neither send nor receive. Group is the side of a partition; hosts of different
	// groups do not reach each other.
	Down           bool
	Group          int
	QuarantineSeen int
	BundleAt       time.Time // when the newest bundle came into force
	fleet          *Fleet
	id             string
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// New returns a fleet whose nodes join one after the other within one second through the first one.
func New(o Options) *Fleet {
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.Latency == 0 {
		o.Latency = DefaultLatency
	}
	o.Regions = max(o.Regions, 1)
	f := &Fleet{
		Now:     time.UnixMilli(1_700_000_000_000),
		options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		byUDP:   map[string]*Host{},
		byPeer:  map[string]*Host{},
	}
	if o.WarmStart {
		f.warmStart()
		return f
	}
	if o.AnnounceWithin > 0 {
		f.coldStart()
		return f
	}
	for i := range o.Nodes {
		f.after(time.Duration(i)*time.Second/time.Duration(o.Nodes), func() { f.Add(i) })
	}
	return f
}

func (f *Fleet) warmStart() {
	var all []*wire.Member
	for i := range f.options.Nodes {
		all = append(all, f.start(i).Self())
	}
	for _, h := range f.Nodes {
		h.Merge(f.Now, all)
	}
}

func (f *Fleet) coldStart() {
	for i := range f.options.Nodes {
		h := f.run(i)
		f.after(time.Duration(f.rng.Int64N(int64(f.options.AnnounceWithin))), h.announce)
	}
	for _, h := range f.Nodes {
		h.joinAny()
	}
}

// Add starts node i now, as a new process when it ran before, and lets it join through node 0.
func (f *Fleet) Add(i int) *Host {
	h := f.start(i)
	if i > 0 {
		h.join()
	}
	return h
}

func (f *Fleet) start(i int) *Host {
	h := f.run(i)
	h.announce()
	return h
}

// announce gives the host its endpoint.
func (h *Host) announce() {
	endpoint := &wire.EndpointRecord{Id: h.id + "/katalog", Service: "katalog", Slots: 12, Connections: 200}
	if err := h.SetEndpoints(h.fleet.Now, []*wire.EndpointRecord{endpoint}); err != nil {
		panic(err) // the endpoint above is valid
	}
}

// run starts a host without endpoints.
func (f *Fleet) run(i int) *Host {
	c := f.options.Config
	c.NodeID = fmt.Sprintf("node-%04d", i)
	c.UDPAddr = fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&0xff, i&0xff)
	c.PeerAddr = fmt.Sprintf("10.%d.%d.%d:7947", i>>16, i>>8&0xff, i&0xff)
	c.Region = fmt.Sprintf("region-%d", i%f.options.Regions)
	c.FailureDomain = c.Region + "-a"
	h := &Host{fleet: f, id: c.NodeID, Group: 0}
	node, err := membership.NewNode(c, f.Now, rand.New(rand.NewPCG(f.rng.Uint64(), 2)), h, &h.Counters)
	if err != nil {
		panic(err) // the identities above are valid
	}
	h.Node = node
	if i < len(f.Nodes) {
		f.Nodes[i].Down = true
		f.Nodes[i] = h
	} else {
		f.Nodes = append(f.Nodes, h)
	}
	f.byUDP[c.UDPAddr], f.byPeer[c.PeerAddr] = h, h
	f.after(time.Duration(f.rng.Int64N(int64(f.options.Tick))), h.tick)
	return h
}

// join asks node 0, again and again while the host knows no other node.
func (h *Host) join() {
	if h.Down || len(h.Records()) > 1 {
		return
	}
	h.Sync(h.fleet.Nodes[0].Self().PeerAddr, h.SyncRequest())
	h.fleet.after(JoinRetry, h.join)
}

// joinAny asks random nodes until the host knows another one.
func (h *Host) joinAny() {
	if h.Down || len(h.Records()) > 1 {
		return
	}
	others := h.fleet.Nodes
	for range joinAnyContacts {
		h.Sync(others[h.fleet.rng.IntN(len(others))].Self().PeerAddr, h.SyncRequest())
	}
	h.fleet.after(joinAnyRetry, h.joinAny)
}

func (h *Host) tick() {
	if h.Down {
		return
	}
	h.Tick(h.fleet.Now)
	h.fleet.after(h.fleet.options.Tick, h.tick)
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.Now.Add(d), order: f.order, run: run})
}

// Run advances the virtual clock.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = end
}

// RunUntil advances the clock until done holds, checked on each tick, and returns the time that it
// took. It returns false when the limit is reached first.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := f.Now
	for f.Now.Sub(start) < limit {
		if done() {
			return f.Now.Sub(start), true
		}
		f.Run(f.options.Tick)
	}
	return f.Now.Sub(start), done()
}

func (f *Fleet) countFar(from, to *Host, size int) {
	if from.Self().Region != to.Self().Region {
		f.FarBytes += size
	}
}

func (f *Fleet) reachable(from, to *Host) bool {
	return to != nil && !from.Down && !to.Down && from.Group == to.Group
}

// SendDatagram implements membership.Output.
func (h *Host) SendDatagram(udpAddr string, data []byte) {
	f := h.fleet
	if f.rng.Float64() < f.options.Loss {
		return
	}
	copied := append([]byte(nil), data...)
	f.after(f.options.Latency, func() {
		to := f.byUDP[udpAddr]
		if !f.reachable(h, to) {
			return
		}
		f.countFar(h, to, len(copied))
		d, err := wire.DecodeDatagram(copied)
		if err != nil {
			to.Counters.Malformed.Add(1)
			return
		}
		to.Counters.Received(d, len(copied))
		_ = to.Receive(f.Now, d) // counted by the node
	})
}

// Sync implements membership.Output.
func (h *Host) Sync(peerAddr string, request *wire.SyncRequest) {
	f := h.fleet
	f.after(SyncLatency, func() {
		to := f.byPeer[peerAddr]
		if !f.reachable(h, to) {
			return
		}
		reply := to.HandleSync(f.Now, request)
		size := proto.Size(request) + proto.Size(reply)
		f.SyncBytes += size
		f.countFar(h, to, size)
		f.after(SyncLatency, func() {
			if f.reachable(to, h) {
				h.HandleSyncReply(f.Now, peerAddr, reply)
			}
		})
	})
}

// NewerBundle implements membership.Output; the bundle is in force after FetchLatency.
func (h *Host) NewerBundle(version uint64, peerAddr string) {
	f := h.fleet
	f.after(FetchLatency, func() {
		if f.reachable(h, f.byPeer[peerAddr]) {
			h.AcceptBundle(version)
		}
	})
}

// AcceptBundle puts a bundle version in force on the host.
func (h *Host) AcceptBundle(version uint64) {
	if version > h.BundleVersion() {
		h.BundleAt = h.fleet.Now
	}
	h.SetBundleVersion(h.fleet.Now, version)
}

// Quarantined implements membership.Output.
func (h *Host) Quarantined(entries []*wire.QuarantineEntry) { h.QuarantineSeen += len(entries) }

// Changed implements membership.Output.
func (h *Host) Changed(_, _ *wire.Member) {}

// Agree reports whether every running host sees node in the state.
func (f *Fleet) Agree(node *Host, state wire.MemberState) bool {
	for _, h := range f.Nodes {
		if h.Down || h == node {
			continue
		}
		if r := h.Record(node.id); r == nil || r.State != state || r.Incarnation < node.Self().Incarnation {
			return false
		}
	}
	return true
}

// Converged reports whether every running host sees all running hosts ALIVE and no other host live.
func (f *Fleet) Converged() bool {
	if len(f.Nodes) < f.options.Nodes {
		return false
	}
	running := 0
	for _, h := range f.Nodes {
		if !h.Down {
			running++
		}
	}
	for _, h := range f.Nodes {
		if !h.Down && h.LiveCount() != running {
			return false
		}
	}
	for _, h := range f.Nodes {
		if h.Down {
			continue
		}
		for _, other := range f.Nodes {
			if r := h.Record(other.id); !other.Down && (r == nil || r.State != wire.MemberState_ALIVE) {
				return false
			}
		}
	}
	return true
}
