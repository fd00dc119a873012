package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/wire"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// recorder records what a node sends and reports.
type recorder struct {
	sent    []*wire.Datagram
	to      []string
	sizes   []int
	bundles []uint64
	syncs   []*wire.SyncRequest
}

func (r *recorder) SendDatagram(addr string, data []byte) {
	d, err := wire.DecodeDatagram(data)
	if err != nil {
		panic(err)
	}
	r.sent, r.to, r.sizes = append(r.sent, d), append(r.to, addr), append(r.sizes, len(data))
}
func (r *recorder) NewerBundle(version uint64, _ string)     { r.bundles = append(r.bundles, version) }
func (r *recorder) Changed(_, _ *wire.Member)                {}
func (r *recorder) OwnDepartures([]*wire.Departure, bool)    {}
func (r *recorder) EvacuationsChanged(evacuation.Set)        {}
func (r *recorder) Quarantined([]*wire.QuarantineEntry)      {}
func (r *recorder) Sync(_ string, request *wire.SyncRequest) { r.syncs = append(r.syncs, request) }

func newTestNode(t interface{ Fatal(...any) }, r *recorder) *Node {
	cfg := Config{NodeID: "self", UDPAddr: "10.0.0.1:1", PeerAddr: "10.0.0.1:2"}
	n, err := NewNode(cfg, epoch, rand.New(rand.NewPCG(1, 1)), r, &Counters{})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func peer(i int, state wire.MemberState) *wire.Member {
	return &wire.Member{
		NodeId: fmt.Sprintf("peer-%03d", i), Incarnation: uint64(NewIncarnation(epoch)), State: state,
		UdpAddr: fmt.Sprintf("10.0.1.%d:1", i%250), PeerAddr: fmt.Sprintf("10.0.1.%d:2", i%250),
	}
}

// Guards against incarnations that decrease, LEAVING members that become live again within an
// incarnation, and counts or digests that disagree with the records.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNode(t, &recorder{})
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.IntRange(0, 3).Draw(t, "node")
			m := peer(id, wire.MemberState(rapid.Int32Range(0, 3).Draw(t, "state")))
			if id == 0 {
				m.NodeId = "self"
			}
			m.Incarnation += rapid.Uint64Range(0, 3).Draw(t, "incarnation")
			before := n.Record(m.NodeId)
			source := recordSource(rapid.IntRange(0, 2).Draw(t, "source"))
			n.apply(now, m, source)
			after := n.Record(m.NodeId)
			if before != nil && after.Incarnation < before.Incarnation {
				t.Fatalf("incarnation decreased from %d to %d", before.Incarnation, after.Incarnation)
			}
			if before != nil && before.State == leaving && Live(after.State) && after.Incarnation == before.Incarnation {
				t.Fatalf("LEAVING member became %v within an incarnation", after.State)
			}
			if rapid.Bool().Draw(t, "tick") {
				n.Tick(now)
			}
			checkTable(t, n)
		}
	})
}

func checkTable(t *rapid.T, n *Node) {
	live, dead := 0, 0
	var digests [maxDigests]uint64
	for i, e := range n.list.order {
		if e.orderIndex != i || n.list.entries[e.record.NodeId] != e {
			t.Fatalf("entry %q is at the wrong index of the order", e.record.NodeId)
		}
		if Live(e.record.State) {
			live++
		}
		if e.record.State == wire.MemberState_DEAD {
			dead++
		}
		digests[bucketOf(e.record.NodeId)] ^= digestOf(e.record)
		if _, listed := n.list.suspects[e.record.NodeId]; listed != (e.record.State == suspect) {
			t.Fatalf("suspects and state disagree for %q", e.record.NodeId)
		}
	}
	if live != n.list.live || dead != n.list.dead || digests != n.list.digests {
		t.Fatalf("live %d dead %d, counted %d %d", n.list.live, n.list.dead, live, dead)
	}
	if n.self.State != alive || n.Record("self") != n.self {
		t.Fatalf("own record is %v", n.self)
	}
}

// Guards against a node that accepts a DEAD record of itself, or answers stale records with new
// incarnations.
func TestRefute(t *testing.T) {
	n := newTestNode(t, &recorder{})
	own := n.Self().Incarnation
	now := epoch
	for _, test := range []struct {
		name     string
		received func() *wire.Member
		want     uint64
	}{
		{"stale death", func() *wire.Member { m := withState(n.self, dead); m.Incarnation--; return m }, own},
		{"own record", func() *wire.Member { return proto.CloneOf(n.self) }, own},
		{"suspicion", func() *wire.Member { return withState(n.self, suspect) }, own + 1},
		{"LEAVING record of the same process", func() *wire.Member { return withState(n.self, leaving) }, own + 2},
		{"death under a higher incarnation", func() *wire.Member {
			m := withState(n.self, dead)
			m.Incarnation += 5
			return m
		}, own + 8},
	} {
		now = now.Add(n.cfg.Period)
		n.apply(now, test.received(), fromGossip)
		if got := n.Self(); got.Incarnation != test.want || got.State != alive {
			t.Errorf("%s: %v incarnation +%d, want +%d", test.name, got.State, got.Incarnation-own, test.want-own)
		}
	}
}

// Guards against unlimited refutations when two processes use the same node ID.
func TestDuplicateNodeID(t *testing.T) {
	n := newTestNode(t, &recorder{})
	const records = 100
	for i := range records {
		other := proto.CloneOf(n.self)
		other.Incarnation++
		other.UdpAddr = "10.9.9.9:1"
		n.apply(epoch.Add(time.Duration(i)*n.cfg.Period/records), other, fromGossip)
	}
	if got := n.counters.Refutations.Load(); got == 0 || got > 4 {
		t.Errorf("%d refutations in a period, want 1 to 4", got)
	}
	if got := n.counters.IDConflicts.Load(); got != records {
		t.Errorf("%d conflicts counted, want %d", got, records)
	}
}

// Guards the size limit of a datagram and the order of the updates in it.
func TestPiggyback(t *testing.T) {
	r := &recorder{}
	n := newTestNode(t, r)
	for i := range 60 {
		n.apply(epoch, peer(i, alive), fromGossip)
	}
	n.apply(epoch, peer(7, leaving), fromGossip)
	n.apply(epoch, peer(59, suspect), fromGossip)
	if !n.send(epoch, "10.0.1.1:1", &wire.Datagram{}, urgent, "peer-003") {
		t.Fatal("not sent")
	}
	d := r.sent[0]
	if r.sizes[0] > wire.MaxDatagramBytes || r.sizes[0] < wire.MaxDatagramBytes-200 {
		t.Errorf("datagram of %d bytes, limit %d", r.sizes[0], wire.MaxDatagramBytes)
	}
	var got []string
	for _, m := range d.Updates[:4] {
		got = append(got, m.NodeId)
	}
	want := []string{"peer-003", "peer-007", "peer-059", "peer-058"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("first updates %v, want the attached record, the LEAVING record, then the newest %v", got, want)
	}
}

// Guards against updates that are retransmitted forever.
func TestUpdateRetransmitLimit(t *testing.T) {
	q := newGossipQueue()
	q.add(peer(1, alive))
	limit := retransmitLimit(100)
	for range limit {
		if got := len(q.take(1000, limit)); got != 1 {
			t.Fatalf("%d updates, want 1", got)
		}
	}
	if got := q.take(1000, limit); got != nil || q.len() != 0 {
		t.Errorf("update sent more than %d times", limit)
	}
}

// Guards against a paused process that suspects others because it has not yet read their acks.
func TestPauseRaisesNoSuspicion(t *testing.T) {
	r := &recorder{}
	n := newTestNode(t, r)
	n.apply(epoch, peer(1, alive), fromGossip)
	now := epoch.Add(time.Minute)
	n.Tick(now)
	for range 20 {
		now = now.Add(10 * time.Second)
		n.Tick(now)
	}
	if got := n.counters.Suspicions.Load(); got != 0 {
		t.Errorf("%d suspicions after pauses", got)
	}
}

// Guards against excessive bundle fetches: a newer version is reported once and then at intervals.
func TestNewerBundleReportInterval(t *testing.T) {
	r := &recorder{}
	n := newTestNode(t, r)
	n.apply(epoch, peer(1, alive), fromGossip)
	notice := func(now time.Time, version uint64) {
		if err := n.Receive(now, &wire.Datagram{From: "peer-001", BundleVersion: version}); err != nil {
			t.Fatal(err)
		}
	}
	notice(epoch, 4)
	notice(epoch.Add(time.Millisecond), 4)
	notice(epoch.Add(2*time.Millisecond), 5)
	notice(epoch.Add(bundleReportInterval+2*time.Millisecond), 5)
	n.SetBundleVersion(epoch, 5)
	notice(epoch.Add(time.Minute), 5)
	if fmt.Sprint(r.bundles) != "[4 5 5]" {
		t.Errorf("reported %v, want [4 5 5]", r.bundles)
	}
}

// Guards against billed inter-region traffic that carries every update from every node, and against
// delayed LEAVING updates between regions.
func TestTakeLeavingReturnsOnlyLeavingUpdates(t *testing.T) {
	q := newGossipQueue()
	q.add(&wire.Member{NodeId: "joined", State: wire.MemberState_ALIVE})
	q.add(&wire.Member{NodeId: "left", State: wire.MemberState_LEAVING})
	if got := q.takeLeaving(1000, 5); len(got) != 1 || got[0].NodeId != "left" {
		t.Fatalf("LEAVING updates only: %v", got)
	}
	if got := q.take(1000, 5); len(got) != 2 {
		t.Fatalf("all updates: %v", got)
	}
}

// Guards against a node that restarts while the store is unavailable and stays isolated until the store
// is back: it knows no address, but its peers know that of its earlier process.
func TestRestartedNodeMeetsItsPeers(t *testing.T) {
	for _, state := range []wire.MemberState{wire.MemberState_ALIVE, wire.MemberState_LEAVING, wire.MemberState_DEAD} {
		var sent, received recorder
		survivor := newTestNode(t, &sent)
		old := peer(0, state)
		survivor.apply(epoch, peer(0, wire.MemberState_ALIVE), fromReply)
		survivor.apply(epoch, old, fromReply)
		now := epoch.Add(10 * time.Second)
		restarted, err := NewNode(Config{NodeID: old.NodeId, UDPAddr: old.UdpAddr, PeerAddr: old.PeerAddr}, now,
			rand.New(rand.NewPCG(2, 2)), &received, &Counters{})
		if err != nil {
			t.Fatal(err)
		}
		limit := now.Add(6 * time.Second) // pings of DEAD and LEAVING members are at most 5 s apart
		for ; now.Before(limit) && restarted.LiveCount() == 1; now = now.Add(100 * time.Millisecond) {
			survivor.Tick(now)
			for i, d := range sent.sent {
				if sent.to[i] == old.UdpAddr {
					_ = restarted.Receive(now, d) // returns an error for unknown senders
				}
			}
			sent.sent, sent.to = nil, nil
		}
		if restarted.Record("self") == nil || len(received.syncs) == 0 {
			t.Errorf("peer record %v: the restarted node knows %d members and requested %d syncs", state, restarted.LiveCount(), len(received.syncs))
		}
	}
}

// Guards against a node that knows peers and adds an unknown sender: its replies could go to a third
// party.
func TestOnlyIsolatedNodeAcceptsUnknownSender(t *testing.T) {
	n := newTestNode(t, &recorder{})
	n.apply(epoch, peer(1, wire.MemberState_ALIVE), fromReply)
	unknown := peer(2, wire.MemberState_ALIVE)
	d := &wire.Datagram{From: unknown.NodeId, Updates: []*wire.Member{unknown}, Kind: &wire.Datagram_Ping{Ping: &wire.Ping{Seq: 1}}}
	if err := n.Receive(epoch, d); err == nil || n.Record(unknown.NodeId) != nil {
		t.Errorf("error %v, record %v", err, n.Record(unknown.NodeId))
	}
}
