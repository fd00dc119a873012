package engine

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// Pools that gnet creates for the whole process when it is imported.
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
	)
}

// waitLimit ends a test whose condition never holds; conditions hold within a few seconds.
const waitLimit = 60 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// testNode is an engine whose full-state exchanges run as function calls.
type testNode struct {
	*Engine
	publisher table.Publisher
	reports   sync.Map // endpoint ID to in flight
	entries   atomic.Int64
}

type testNet struct {
	mu    sync.Mutex
	nodes map[string]*testNode
}

func (n *testNet) node(peerAddr string) *testNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[peerAddr]
}

func (n *testNet) start(t *testing.T, i int, change func(*Config, *Hooks)) *testNode {
	t.Helper()
	node := &testNode{}
	peerAddr := fmt.Sprintf("10.0.0.%d:1", i)
	cfg := Config{
		NodeID: fmt.Sprintf("node-%d", i), ListenUDP: "127.0.0.1:0", AdvertisePeer: peerAddr,
		FailureDomain: "oslo-a", Region: "ostlandet", Tick: 10 * time.Millisecond, Period: 100 * time.Millisecond,
	}
	hooks := Hooks{
		GateLoad: func() *wire.Load { return &wire.Load{InFlight: 3, Slots: 12} },
		OnReport: func(endpointID string, load *wire.Load) { node.reports.Store(endpointID, load.InFlight) },
		OnQuarantine: func(entries []*wire.QuarantineEntry) {
			node.entries.Add(int64(len(entries)))
		},
		OnNewerBundle: func(version uint64, _ string) { node.SetBundle(&bundle.Bundle{Version: version}) },
		SyncWith: func(peerAddr string, request *wire.SyncRequest) {
			if peer := n.node(peerAddr); peer != nil {
				node.HandleSyncReply(peerAddr, peer.HandleSync(request))
			}
		},
		PlanProbes: func(_ time.Time, s *table.Snapshot, wanted []string) []*table.Endpoint {
			var out []*table.Endpoint
			for _, name := range wanted {
				if service := s.Service(name); service != nil {
					out = append(out, service.Endpoints...)
				}
			}
			return out
		},
	}
	if change != nil {
		change(&cfg, &hooks)
	}
	node.Engine = New(cfg, hooks, &node.publisher)
	n.mu.Lock()
	n.nodes[peerAddr] = node
	n.mu.Unlock()
	endpoint := &wire.EndpointRecord{Id: cfg.NodeID + "/katalog", Service: "katalog", Slots: 12}
	if err := node.SetLocalEndpoints([]*wire.EndpointRecord{endpoint}); err != nil {
		t.Fatal(err)
	}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	return node
}

func (n *testNet) join(node, seed *testNode) {
	addr := seed.cfg.AdvertisePeer
	node.HandleSyncReply(addr, seed.HandleSync(node.SyncRequest()))
}

func (n *testNode) endpoints() int {
	if s := n.publisher.Load().Service("katalog"); s != nil {
		return len(s.Endpoints)
	}
	return 0
}

// Guards the whole path over real sockets: join, probes, bundle versions, quarantine, departure, death.
func TestEnginesOnLoopback(t *testing.T) {
	const count = 10
	net := &testNet{nodes: map[string]*testNode{}}
	nodes := make([]*testNode, count)
	for i := range nodes {
		nodes[i] = net.start(t, i, nil)
		if i > 0 {
			net.join(nodes[i], nodes[0])
		}
	}
	all := func(what string, ok func(*testNode) bool) {
		t.Helper()
		eventually(t, what, func() bool {
			for _, n := range nodes {
				if !ok(n) {
					return false
				}
			}
			return true
		})
	}
	all("every node sees all endpoints", func(n *testNode) bool { return n.endpoints() == count })

	// A node that has not heard of the prober yet drops its probe.
	eventually(t, "a report from each endpoint", func() bool {
		nodes[4].RequestProbes("katalog")
		for _, n := range nodes {
			if load, ok := nodes[4].reports.Load(n.cfg.NodeID + "/katalog"); !ok || load != uint32(3) {
				return false
			}
		}
		return true
	})

	nodes[2].SetBundle(&bundle.Bundle{Version: 9})
	all("bundle 9 in force", func(n *testNode) bool { return bundleVersion(n) == 9 })

	expires := uint64(time.Now().Add(time.Hour).UnixMilli())
	nodes[5].AddQuarantine(&wire.QuarantineEntry{Fingerprint: []byte("abc"), ExpiresUnixMs: expires, Deaths: 2})
	all("quarantine entry known", func(n *testNode) bool { return n.entries.Load() == 1 })

	nodes[1].SetLeaving()
	all("leaving node has no endpoint", func(n *testNode) bool { return n.endpoints() == count-1 })
	nodes[1].ClearLeaving()
	all("undrained node is back", func(n *testNode) bool { return n.endpoints() == count })

	nodes[9].Stop()
	nodes = nodes[:9]
	all("stopped node is removed", func(n *testNode) bool { return n.endpoints() == count-1 })
	for _, n := range nodes {
		if s := n.Dump(); s.Counters["malformed"] != 0 || len(s.Members) != count || s.BundleVersion != 9 {
			t.Errorf("unexpected dump of %s: %+v", s.NodeID, s)
		}
	}
}

// Guards against two processes that share one UDP address unnoticed, which SO_REUSEPORT permits.
func TestStartErrors(t *testing.T) {
	net := &testNet{nodes: map[string]*testNode{}}
	first := net.start(t, 0, nil)
	for name, test := range map[string]struct {
		cfg  Config
		want error
	}{
		"address in use":            {Config{NodeID: "x", ListenUDP: first.UDPAddr()}, ErrAddressInUse},
		"no port":                   {Config{NodeID: "x", ListenUDP: "127.0.0.1"}, ErrBadAddress},
		"nothing to advertise":      {Config{NodeID: "x", ListenUDP: "0.0.0.0:0"}, ErrBadAddress},
		"bad address to advertise":  {Config{NodeID: "x", ListenUDP: "127.0.0.1:0", AdvertiseUDP: "host"}, ErrBadAddress},
		"no node ID":                {Config{ListenUDP: "127.0.0.1:0"}, membership.ErrBadRecord},
		"address of another system": {Config{NodeID: "x", ListenUDP: "192.0.2.1:7946"}, ErrBadAddress},
	} {
		t.Run(name, func(t *testing.T) {
			err := New(test.cfg, Hooks{}, &table.Publisher{}).Start()
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
	if err := first.Start(); !errors.Is(err, ErrAlreadyStarted) {
		t.Errorf("second start: got %v, want %v", err, ErrAlreadyStarted)
	}
}

// Guards against a request goroutine that waits for the loop.
func TestFreshenNeverWaits(t *testing.T) {
	e := New(Config{NodeID: "x"}, Hooks{}, &table.Publisher{})
	for range inputQueue + 5 {
		e.RequestProbes("katalog")
	}
	if got := e.Counters().InputDropped.Load(); got != 5 {
		t.Errorf("%d inputs dropped, want 5", got)
	}
}

// Guards against a bundle in force that reverts.
func TestSetBundleNeverReverts(t *testing.T) {
	net := &testNet{nodes: map[string]*testNode{}}
	n := net.start(t, 0, nil)
	for _, version := range []uint64{3, 2, 3, 5, 4} {
		n.SetBundle(&bundle.Bundle{Version: version})
	}
	if got := n.publisher.Load().Bundle.Version; got != 5 {
		t.Errorf("bundle %d in force, want 5", got)
	}
}

func bundleVersion(n *testNode) uint64 {
	if b := n.publisher.Load().Bundle; b != nil {
		return b.Version
	}
	return 0
}
