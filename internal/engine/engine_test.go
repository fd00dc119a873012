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
		// gnet starts the goroutines of these process-wide pools on import.
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
	)
}

// waitTimeout limits the wait for a condition. The conditions are normally met within a few seconds.
const waitTimeout = 60 * time.Second

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// testNode is an engine whose full-state exchanges are direct function calls.
type testNode struct {
	*Engine
	publisher         table.Publisher
	reports           sync.Map // endpoint ID to reported in-flight requests
	quarantineEntries atomic.Int64
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

func (n *testNet) start(t *testing.T, i int, configure func(*Config, *Hooks)) *testNode {
	t.Helper()
	node := &testNode{}
	peerAddr := fmt.Sprintf("10.0.0.%d:1", i)
	cfg := Config{
		NodeID: fmt.Sprintf("node-%d", i), ListenUDP: "127.0.0.1:0", AdvertisePeer: peerAddr,
		FailureDomain: "oslo-a", Region: "ostlandet", TickInterval: 10 * time.Millisecond, PingInterval: 100 * time.Millisecond,
	}
	hooks := Hooks{
		GateLoad: func() *wire.Load { return &wire.Load{InFlight: 3, Slots: 12} },
		OnReport: func(endpointID string, load *wire.Load) { node.reports.Store(endpointID, load.InFlight) },
		OnQuarantine: func(entries []*wire.QuarantineEntry) {
			node.quarantineEntries.Add(int64(len(entries)))
		},
		OnNewerBundle: func(version uint64, _ string) { node.SetBundle(&bundle.Bundle{Version: version}) },
		SyncWith: func(peerAddr string, request *wire.SyncRequest) {
			if peer := n.node(peerAddr); peer != nil {
				node.HandleSyncReply(peerAddr, peer.HandleSync(request))
			}
		},
		PlanProbes: func(_ time.Time, s *table.Snapshot, services []string) []*table.Endpoint {
			var out []*table.Endpoint
			for _, name := range services {
				if service := s.Service(name); service != nil {
					out = append(out, service.Endpoints...)
				}
			}
			return out
		},
	}
	if configure != nil {
		configure(&cfg, &hooks)
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

// Guards against failures of join, probes, bundle versions, quarantine, drain and failure detection between
// engines that use real UDP sockets.
func TestEnginesOnLoopback(t *testing.T) {
	const nodeCount = 10
	net := &testNet{nodes: map[string]*testNode{}}
	nodes := make([]*testNode, nodeCount)
	for i := range nodes {
		nodes[i] = net.start(t, i, nil)
		if i > 0 {
			net.join(nodes[i], nodes[0])
		}
	}
	waitForAll := func(condition string, ok func(*testNode) bool) {
		t.Helper()
		waitFor(t, condition, func() bool {
			for _, n := range nodes {
				if !ok(n) {
					return false
				}
			}
			return true
		})
	}
	waitForAll("every node sees all endpoints", func(n *testNode) bool { return n.endpoints() == nodeCount })

	// A node drops probes from a node that it doesn't know yet, so probes are repeated.
	waitFor(t, "a load report from each endpoint", func() bool {
		nodes[4].RequestProbes("katalog")
		for _, n := range nodes {
			if load, ok := nodes[4].reports.Load(n.cfg.NodeID + "/katalog"); !ok || load != uint32(3) {
				return false
			}
		}
		return true
	})

	nodes[2].SetBundle(&bundle.Bundle{Version: 9})
	waitForAll("bundle version 9 in force", func(n *testNode) bool { return bundleVersion(n) == 9 })

	expires := uint64(time.Now().Add(time.Hour).UnixMilli())
	nodes[5].AddQuarantine(&wire.QuarantineEntry{Fingerprint: []byte("abc"), ExpiresUnixMs: expires, Deaths: 2})
	waitForAll("quarantine entry received", func(n *testNode) bool { return n.quarantineEntries.Load() == 1 })

	nodes[1].SetLeaving()
	waitForAll("endpoint of the draining node is removed", func(n *testNode) bool { return n.endpoints() == nodeCount-1 })
	nodes[1].ClearLeaving()
	waitForAll("endpoint of the undrained node is back", func(n *testNode) bool { return n.endpoints() == nodeCount })

	nodes[9].Stop()
	nodes = nodes[:9]
	waitForAll("endpoint of the stopped node is removed", func(n *testNode) bool { return n.endpoints() == nodeCount-1 })
	for _, n := range nodes {
		if s := n.Dump(); s.Counters["malformed"] != 0 || len(s.Members) != nodeCount || s.BundleVersion != 9 {
			t.Errorf("unexpected dump of %s: %+v", s.NodeID, s)
		}
	}
}

// Guards against start errors that are not reported, such as a UDP address that another process uses:
// SO_REUSEPORT would let both share it.
func TestStartErrors(t *testing.T) {
	net := &testNet{nodes: map[string]*testNode{}}
	first := net.start(t, 0, nil)
	for name, test := range map[string]struct {
		cfg  Config
		want error
	}{
		"address in use":           {Config{NodeID: "x", ListenUDP: first.UDPAddr()}, ErrAddressInUse},
		"no port":                  {Config{NodeID: "x", ListenUDP: "127.0.0.1"}, ErrBadAddress},
		"no address to advertise":  {Config{NodeID: "x", ListenUDP: "0.0.0.0:0"}, ErrBadAddress},
		"bad address to advertise": {Config{NodeID: "x", ListenUDP: "127.0.0.1:0", AdvertiseUDP: "host"}, ErrBadAddress},
		"no node ID":               {Config{ListenUDP: "127.0.0.1:0"}, membership.ErrBadRecord},
		"address of another host":  {Config{NodeID: "x", ListenUDP: "192.0.2.1:7946"}, ErrBadAddress},
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

// Guards against RequestProbes blocking a request goroutine when the input queue is full.
func TestRequestProbesNeverBlocks(t *testing.T) {
	e := New(Config{NodeID: "x"}, Hooks{}, &table.Publisher{})
	for range inputQueueSize + 5 {
		e.RequestProbes("katalog")
	}
	if got := e.Counters().InputDropped.Load(); got != 5 {
		t.Errorf("%d inputs dropped, want 5", got)
	}
}

// Guards against replacing the bundle in force by an older version.
func TestSetBundleNeverReverts(t *testing.T) {
	net := &testNet{nodes: map[string]*testNode{}}
	n := net.start(t, 0, nil)
	for _, version := range []uint64{3, 2, 3, 5, 4} {
		n.SetBundle(&bundle.Bundle{Version: version})
	}
	if got := n.publisher.Load().Bundle.Version; got != 5 {
		t.Errorf("bundle version %d in force, want 5", got)
	}
}

func bundleVersion(n *testNode) uint64 {
	if b := n.publisher.Load().Bundle; b != nil {
		return b.Version
	}
	return 0
}
