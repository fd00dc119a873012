package engine

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// newUnstartedEngine returns an engine with a membership node but without a socket. Its sends fail and are
// counted in SendErrors.
func newUnstartedEngine(tb testing.TB) *Engine {
	hooks := Hooks{GateLoad: func() *wire.Load { return &wire.Load{Slots: 12} }}
	e := New(Config{NodeID: "self"}, hooks, &table.Publisher{})
	cfg := membership.Config{NodeID: "self", UDPAddr: "127.0.0.1:1"}
	node, err := membership.NewNode(cfg, time.Now(), rand.New(rand.NewPCG(1, 2)), (*output)(e), &e.counters)
	if err != nil {
		tb.Fatal(err)
	}
	e.node = node
	e.Merge([]*wire.Member{{NodeId: "peer", UdpAddr: "127.0.0.1:2"}})
	endpoints := []*wire.EndpointRecord{{Id: "e", Service: "katalog"}}
	if err := e.SetLocalEndpoints(endpoints); err != nil {
		tb.Fatal(err)
	}
	return e
}

func encode(tb testing.TB, d *wire.Datagram) []byte {
	data, err := proto.Marshal(d)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// Guards against panics and amplification: no datagram, valid or not, causes more than one immediate datagram
// (an ack, a relayed ping or a probe reply).
func FuzzReceive(f *testing.F) {
	dead := &wire.Member{NodeId: "self", State: wire.MemberState_DEAD, Incarnation: ^uint64(0), UdpAddr: "127.0.0.1:9"}
	for _, d := range []*wire.Datagram{
		{From: "peer", Kind: &wire.Datagram_Ping{Ping: &wire.Ping{Seq: 1}}},
		{From: "peer", Kind: &wire.Datagram_Ping{}},
		{From: "peer", Kind: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: 1}}},
		{From: "peer", Kind: &wire.Datagram_PingRequest{PingRequest: &wire.PingRequest{Target: "peer"}}},
		{From: "peer", Kind: &wire.Datagram_Probe{Probe: &wire.Probe{Service: "katalog"}}},
		{From: "peer", Kind: &wire.Datagram_ProbeReply{ProbeReply: &wire.ProbeReply{Seq: 1}}},
		{From: "peer", Kind: &wire.Datagram_BundleNotice{BundleNotice: &wire.BundleNotice{Version: 7}}},
		{From: "peer", Kind: &wire.Datagram_SummaryRequest{}},
		{From: "peer", Updates: []*wire.Member{dead, {}}, Quarantine: []*wire.QuarantineEntry{{}}},
		{From: "unknown", Kind: &wire.Datagram_Ping{Ping: &wire.Ping{Seq: 1}}},
	} {
		f.Add(encode(f, d))
	}
	f.Add([]byte{0xff})
	f.Add(make([]byte, wire.MaxDatagramBytes+1))
	f.Fuzz(func(t *testing.T, data []byte) {
		e := newUnstartedEngine(t)
		before, _ := e.counters.Totals()
		e.receive(data)
		if after, _ := e.counters.Totals(); after > before+1 {
			t.Errorf("%d datagrams sent in response to one", after-before)
		}
		e.tick()
	})
}

// Guards against replies to nodes that are not members.
func TestUnknownSenderGetsNoReply(t *testing.T) {
	e := newUnstartedEngine(t)
	for _, d := range []*wire.Datagram{
		{From: "unknown", Kind: &wire.Datagram_Ping{Ping: &wire.Ping{Seq: 1}}},
		{From: "unknown", Kind: &wire.Datagram_Probe{Probe: &wire.Probe{Service: "katalog"}}},
		{From: "peer", Kind: &wire.Datagram_PingRequest{PingRequest: &wire.PingRequest{Target: "unknown"}}},
		{From: "unknown", Updates: []*wire.Member{{NodeId: "unknown", UdpAddr: "127.0.0.1:3"}}},
	} {
		e.receive(encode(t, d))
	}
	if sent, _ := e.counters.Totals(); sent != 0 {
		t.Errorf("%d datagrams sent", sent)
	}
	if got := e.counters.UnknownSender.Load(); got != 3 {
		t.Errorf("%d datagrams of unknown senders counted, want 3", got)
	}
	if e.node.Record("unknown") != nil {
		t.Error("a datagram from an unknown sender made it a member")
	}
}
