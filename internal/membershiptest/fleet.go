// Package membershiptest simulates many membership nodes in memory with a virtual clock, latency, packet
// loss and partitions, for tests and capacity measurements. A run depends only on its configuration.
package membershiptest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/wire"
)

// Defaults and fixed times of a fleet.
const (
	DefaultTick    = 50 * time.Millisecond
	DefaultLatency = 2 * time.Millisecond
	// SyncLatency is the one-way latency of a full-state exchange over TCP.
	SyncLatency = 10 * time.Millisecond
	// JoinRetry is the time between two attempts to join through node 0.
	JoinRetry = 5 * time.Second
	// joinRandomRetry is the time between two attempts to join through joinRandomContacts random hosts.
	joinRandomRetry    = 500 * time.Millisecond
	joinRandomContacts = 3
	// FetchLatency is the time from the report of a newer bundle until that bundle is in force.
	FetchLatency = 20 * time.Millisecond
)

// Options configures a fleet. Zero values select the defaults.
type Options struct {
	Nodes   int
	Seed    uint64
	Regions int // nodes are assigned to regions round-robin; 0 means 1
	// Loss is the share of datagrams that are lost.
	Loss    float64
	Tick    time.Duration
	Latency time.Duration
	Config  membership.Config // Fleet sets the identity of each node
	// WarmStart starts all nodes at once with complete member tables, without joins.
	WarmStart bool
	// AnnounceWithin, if set, starts all nodes at once, as after a power loss. Each node joins through random
	// others and announces its endpoint at a random time within this duration.
	AnnounceWithin time.Duration
}

// Fleet is a set of nodes with a common virtual clock. It is not safe for concurrent use.
type Fleet struct {
	Nodes     []*Host
	Now       time.Time
	options   Options
	rng       *rand.Rand
	byUDP     map[string]*Host
	byPeer    map[string]*Host
	events    eventHeap
	lastEvent uint64
	// SyncBytes is the total size of all full-state exchanges.
	SyncBytes int
	// CrossRegionBytes is the total size of the exchanges and datagrams between regions.
	CrossRegionBytes int
}

// Host is one node of a fleet. It implements membership.Output.
type Host struct {
	*membership.Node
	Counters membership.Counters
	// A host that is Down neither sends nor receives. Group is the host's side of a partition; hosts of
	// different groups can't reach each other.
	Down              bool
	Group             int
	QuarantineReports int
	// OnQuarantined is called with new and changed quarantine entries. It may be nil.
	OnQuarantined   func([]*wire.QuarantineEntry)
	BundleInForceAt time.Time // when the newest bundle came into force
	fleet           *Fleet
	id              string
}

type event struct {
	at     time.Time
	number uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// New returns a fleet. By default its nodes join through node 0, one after the other within one second.
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
		f.schedule(time.Duration(i)*time.Second/time.Duration(o.Nodes), func() { f.Add(i) })
	}
	return f
}

func (f *Fleet) warmStart() {
	var all []*wire.Member
	for i := range f.options.Nodes {
		all = append(all, f.startAnnounced(i).Self())
	}
	for _, h := range f.Nodes {
		h.Merge(f.Now, all)
	}
}

func (f *Fleet) coldStart() {
	for i := range f.options.Nodes {
		h := f.startHost(i)
		f.schedule(time.Duration(f.rng.Int64N(int64(f.options.AnnounceWithin))), h.announce)
	}
	for _, h := range f.Nodes {
		h.joinRandom()
	}
}

// Add starts node i, replacing its earlier process if there is one, and lets it join through node 0.
func (f *Fleet) Add(i int) *Host {
	h := f.startAnnounced(i)
	if i > 0 {
		h.join()
	}
	return h
}

func (f *Fleet) startAnnounced(i int) *Host {
	h := f.startHost(i)
	h.announce()
	return h
}

// announce sets the host's endpoint.
func (h *Host) announce() {
	endpoint := &wire.EndpointRecord{Id: h.id + "/katalog", Service: "katalog", Slots: 12, Connections: 200}
	if err := h.SetEndpoints(h.fleet.Now, []*wire.EndpointRecord{endpoint}); err != nil {
		panic(err) // unreachable: the endpoint above is valid
	}
}

// startHost starts a host without endpoints.
func (f *Fleet) startHost(i int) *Host {
	c := f.options.Config
	c.NodeID = fmt.Sprintf("node-%04d", i)
	c.UDPAddr = fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&0xff, i&0xff)
	c.PeerAddr = fmt.Sprintf("10.%d.%d.%d:7947", i>>16, i>>8&0xff, i&0xff)
	c.Region = fmt.Sprintf("region-%d", i%f.options.Regions)
	c.FailureDomain = c.Region + "-a"
	h := &Host{fleet: f, id: c.NodeID, Group: 0}
	node, err := membership.NewNode(c, f.Now, rand.New(rand.NewPCG(f.rng.Uint64(), 2)), h, &h.Counters)
	if err != nil {
		panic(err) // unreachable: the identity above is valid
	}
	h.Node = node
	if i < len(f.Nodes) {
		f.Nodes[i].Down = true
		f.Nodes[i] = h
	} else {
		f.Nodes = append(f.Nodes, h)
	}
	f.byUDP[c.UDPAddr], f.byPeer[c.PeerAddr] = h, h
	f.schedule(time.Duration(f.rng.Int64N(int64(f.options.Tick))), h.tick)
	return h
}

// join sends sync requests to node 0 until the host knows another node.
func (h *Host) join() {
	if h.Down || len(h.Records()) > 1 {
		return
	}
	h.Sync(h.fleet.Nodes[0].Self().PeerAddr, h.SyncRequest())
	h.fleet.schedule(JoinRetry, h.join)
}

// joinRandom sends sync requests to random nodes until the host knows another node.
func (h *Host) joinRandom() {
	if h.Down || len(h.Records()) > 1 {
		return
	}
	others := h.fleet.Nodes
	for range joinRandomContacts {
		h.Sync(others[h.fleet.rng.IntN(len(others))].Self().PeerAddr, h.SyncRequest())
	}
	h.fleet.schedule(joinRandomRetry, h.joinRandom)
}

func (h *Host) tick() {
	if h.Down {
		return
	}
	h.Tick(h.fleet.Now)
	h.fleet.schedule(h.fleet.options.Tick, h.tick)
}

// After calls run when the virtual clock has advanced by d.
func (f *Fleet) After(d time.Duration, run func()) { f.schedule(d, run) }

func (f *Fleet) schedule(d time.Duration, run func()) {
	f.lastEvent++
	heap.Push(&f.events, event{at: f.Now.Add(d), number: f.lastEvent, run: run})
}

// Run advances the virtual clock by d and runs the events that are due.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = end
}

// RunUntil advances the virtual clock until done returns true, which it checks on each tick. It returns
// the time taken, and false if done still returns false at the limit.
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

func (f *Fleet) countCrossRegion(from, to *Host, size int) {
	if from.Self().Region != to.Self().Region {
		f.CrossRegionBytes += size
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
	f.schedule(f.options.Latency, func() {
		to := f.byUDP[udpAddr]
		if !f.reachable(h, to) {
			return
		}
		f.countCrossRegion(h, to, len(copied))
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
	f.schedule(SyncLatency, func() {
		to := f.byPeer[peerAddr]
		if !f.reachable(h, to) {
			return
		}
		reply := to.HandleSync(f.Now, request)
		size := proto.Size(request) + proto.Size(reply)
		f.SyncBytes += size
		f.countCrossRegion(h, to, size)
		f.schedule(SyncLatency, func() {
			if f.reachable(to, h) {
				h.HandleSyncReply(f.Now, peerAddr, reply)
			}
		})
	})
}

// NewerBundle implements membership.Output. The bundle is in force after FetchLatency.
func (h *Host) NewerBundle(version uint64, peerAddr string) {
	f := h.fleet
	f.schedule(FetchLatency, func() {
		if f.reachable(h, f.byPeer[peerAddr]) {
			h.AcceptBundle(version)
		}
	})
}

// AcceptBundle puts a bundle version in force on the host.
func (h *Host) AcceptBundle(version uint64) {
	if version > h.BundleVersion() {
		h.BundleInForceAt = h.fleet.Now
	}
	h.SetBundleVersion(h.fleet.Now, version)
}

// OwnDepartures implements membership.Output.
func (h *Host) OwnDepartures([]*wire.Departure, bool) {}

// EvacuationsChanged implements membership.Output.
func (h *Host) EvacuationsChanged(evacuation.Set) {}

// Quarantined implements membership.Output.
func (h *Host) Quarantined(entries []*wire.QuarantineEntry) {
	h.QuarantineReports += len(entries)
	if h.OnQuarantined != nil {
		h.OnQuarantined(entries)
	}
}

// Changed implements membership.Output.
func (h *Host) Changed(_, _ *wire.Member) {}

// Agree reports whether every other running host has node in the given state and in its current incarnation
// or a later one.
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

// Converged reports whether every running host sees all running hosts as ALIVE and no other host as live.
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
