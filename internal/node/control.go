package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/engine"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// slowTick is the interval of work that need not follow each change at once.
	slowTick = time.Second
	// probeExchangeBytes is the payload of a probe and its reply.
	probeExchangeBytes = 200
)

func (n *Node) engineConfig() engine.Config {
	s := n.settings
	listen := s.Gossip.Listen
	if listen == "" {
		listen = n.addresses.Peer
	}
	return engine.Config{
		NodeID: s.NodeID, ListenUDP: listen, AdvertiseUDP: s.Gossip.Advertise, AdvertisePeer: s.Peer.Advertise,
		FailureDomain: s.FailureDomain, Region: s.Region, StoreAccess: n.storeAccess(), Logger: n.logger,
	}
}

func (n *Node) engineHooks() engine.Hooks {
	return engine.Hooks{
		GateLoad:      n.gate.Load,
		OnReport:      n.probeReport,
		OnNewerBundle: func(version uint64, peerAddr string) { go n.fetchBundle(version, peerAddr) },
		OnQuarantine:  func(entries []*wire.QuarantineEntry) { n.quarantine.Merge(entries, time.Now()) },
		SyncWith:      n.syncWith,
		Subset:        subset,
		Eject:         n.eject,
		PlanProbes:    n.planProbes,
	}
}

func subset(self system.Self, _ string, candidates []*table.Endpoint, size int) []*table.Endpoint {
	if size == 0 {
		return candidates
	}
	return balance.Subset(self.NodeID, candidates, size)
}

func (n *Node) eject(now time.Time, snapshot *table.Snapshot) {
	if snapshot == nil || snapshot.Bundle == nil {
		return
	}
	for _, svc := range snapshot.Services {
		for _, e := range balance.Eject(now.UnixNano(), svc.Endpoints, snapshot.Bundle.Policy) {
			n.logger.Info("endpoint ejection changed", "event", "ejection", "service", svc.Name,
				"endpoint", e.Endpoint.ID, "reason", e.Reason, "until", time.Unix(0, e.Until))
		}
	}
}

func (n *Node) probeReport(endpointID string, load *wire.Load) {
	snapshot := n.snapshots.Load()
	if snapshot == nil {
		return
	}
	for _, svc := range snapshot.Services {
		for _, ep := range svc.Endpoints {
			if ep.ID == endpointID {
				balance.ObserveReport(ep.Stats, time.Now().UnixNano(), load)
			}
		}
	}
}

// freshen asks for probes of a service to which a request is sent.
func (n *Node) freshen(service string) {
	n.counters.requests.Add(1)
	n.engine.RequestProbes(service)
}

// planProbes runs in the engine loop, which alone uses the planner.
func (n *Node) planProbes(now time.Time, snapshot *table.Snapshot, wanted []string) []*table.Endpoint {
	if snapshot == nil || snapshot.Bundle == nil {
		return nil
	}
	if snapshot.Bundle.Version != n.probePolicy {
		n.probePolicy = snapshot.Bundle.Version
		n.probes.SetPolicy(now.UnixNano(), snapshot.Bundle.Policy)
	}
	n.probes.ObserveRequests(int(n.counters.requests.Swap(0)))
	rand.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	var out []*table.Endpoint
	for _, name := range wanted {
		if svc := snapshot.Service(name); svc != nil {
			out = n.probes.Plan(now.UnixNano(), n.probeRand, svc, out)
		}
	}
	counts := n.probes.Counts()
	n.counters.probeCounts.Store(&counts)
	return out
}

// backendChanged follows the announcements of the backend server beside the node.
func (n *Node) backendChanged(a *announce.Announcement, draining bool) {
	if a == nil {
		n.gate.SetBackend(nil)
		n.announceEndpoints(nil)
		n.logger.Info("backend server withdrawn", "event", "backend_withdrawn")
		return
	}
	n.gate.SetBackend(&gate.Backend{ID: a.ID, Service: a.Service, Address: a.Address})
	n.gate.SetBackendDraining(draining)
	n.applyLimits()
	n.logger.Info("backend server announced", "event", "backend_announced", "endpoint", a.ID,
		"service", a.Service, "address", a.Address, "draining", draining)
	if draining {
		n.announceEndpoints(nil)
		return
	}
	n.announceEndpoints([]*wire.EndpointRecord{{
		Id: a.ID, Service: a.Service, Slots: uint32(a.Slots), Connections: uint32(a.Connections),
	}})
}

func (n *Node) announceEndpoints(endpoints []*wire.EndpointRecord) {
	if n.engine == nil {
		return
	}
	if err := n.engine.SetLocalEndpoints(endpoints); err != nil {
		n.logger.Error("endpoint refused", "event", "endpoint_refused", "error", err)
	}
}

// applyLimits sets the gate's limits from the bundle in force and the announcement; the smaller value counts.
func (n *Node) applyLimits() {
	a, _ := n.registry.Current()
	b := n.bundles.inForce.Load()
	if a == nil || b == nil {
		return
	}
	service, ok := b.Services[a.Service]
	if !ok {
		return
	}
	n.gate.SetLimits(service.LimitedTo(a.Slots, a.Connections, b.Policy.SlotShare), b.Policy)
}

func (n *Node) isQuarantined(fingerprint []byte) bool {
	f, ok := retry.ParseFingerprint(fingerprint)
	return ok && n.quarantine.Refuses(f, time.Now())
}

func (n *Node) crashed(endpoint string, fingerprint []byte) {
	f, ok := retry.ParseFingerprint(fingerprint)
	if !ok {
		return
	}
	now := time.Now()
	quarantined := n.quarantine.RecordCrash(f, endpoint, now)
	n.logger.Warn("backend server died running a request", "event", "backend_died", "endpoint", endpoint,
		"fingerprint", f, "quarantined", quarantined)
	n.engine.AddQuarantine(n.quarantine.Entries(now, maxQuarantineGossip)...)
}

// answered clears a request that was suspected of crashing backend servers.
func (n *Node) answered(fingerprint []byte) {
	if f, ok := retry.ParseFingerprint(fingerprint); ok && n.quarantine.RecordSuccess(f) {
		n.engine.AddQuarantine(n.quarantine.Entries(time.Now(), maxQuarantineGossip)...)
	}
}

// maxQuarantineGossip bounds the entries sent after a death; the newest are sent.
const maxQuarantineGossip = 8

// ServePeer implements peer.Handler.
func (n *Node) ServePeer(ctx context.Context, conn *peer.Conn, first *wire.Frame) {
	switch k := first.Kind.(type) {
	case *wire.Frame_Request:
		n.gate.Serve(ctx, conn, k.Request)
	case *wire.Frame_AttemptQuery:
		n.gate.ServeQuery(ctx, conn, k.AttemptQuery)
	case *wire.Frame_SyncRequest:
		conn.AllowBulkFrames()
		reply := n.engine.HandleSync(k.SyncRequest)
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_SyncReply{SyncReply: reply}})
	case *wire.Frame_BundleRequest:
		conn.AllowBulkFrames()
		n.serveBundle(conn, k.BundleRequest)
	case *wire.Frame_ClaimRequest:
		reply := n.router.Serve(ctx, k.ClaimRequest)
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_ClaimReply{ClaimReply: reply}})
	default:
		n.logger.Warn("peer stream dropped", "event", "peer_stream_unexpected", "frame", frameName(first))
	}
}

// Generation implements peer.Handler.
func (n *Node) Generation() uint64 { return n.gate.Generation() }

// maintain runs the periodic work outside the engine loop.
func (n *Node) maintain() {
	for sleep.For(n.ctx, slowTick) {
		now := time.Now()
		n.registry.Expire(now)
		if b := n.bundles.inForce.Load(); b != nil && n.retry.Load().Window > 0 {
			n.applyRetryBudget(b.Policy)
		}
		n.pool.CloseIdle(now)
	}
}

// counters that request goroutines update.
type requestCounters struct {
	requests    atomic.Int64
	probeCounts atomic.Pointer[balance.ProbeCounts]
}
