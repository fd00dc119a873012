package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/engine"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/recovery"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// maintenanceInterval is the interval of periodic work that does not have to react to changes immediately.
	maintenanceInterval = time.Second
	// probeExchangeBytes is the payload size of a probe and its reply together.
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
		Evacuations: n.evacuationEnabled(),
	}
}

func (n *Node) engineHooks() engine.Hooks {
	return engine.Hooks{
		GateLoad:        n.gate.Load,
		OnReport:        n.onProbeReport,
		OnNewerBundle:   func(version uint64, peerAddr string) { go n.fetchBundle(version, peerAddr) },
		OnQuarantine:    n.mergeQuarantine,
		OnOwnDepartures: n.onOwnDepartures,
		OnEvacuations:   n.onEvacuations,
		SyncWith:        n.syncWith,
		Subset:          subsetEndpoints,
		OnTick:          n.onTick,
		PlanProbes:      n.planProbes,
		OnTokens:        n.onTokens,
	}
}

func subsetEndpoints(self system.Self, _ string, candidates []*table.Endpoint, size int) []*table.Endpoint {
	if size == 0 {
		return candidates
	}
	return balance.Subset(self.NodeID, candidates, size)
}

// onTick runs in the engine loop on each tick.
func (n *Node) onTick(now time.Time, snapshot *table.Snapshot) {
	n.gate.Tick(now)
	n.updateEndpoints(now, snapshot)
}

// updateEndpoints ends statements that endpoints drain, and ejects outliers.
func (n *Node) updateEndpoints(now time.Time, snapshot *table.Snapshot) {
	if snapshot == nil || snapshot.Bundle == nil {
		return
	}
	for _, svc := range snapshot.Services {
		for view := range svc.WithViews() {
			balance.ExpireDraining(steady.Nanos(now), view)
		}
		for _, e := range balance.EjectService(steady.Nanos(now), svc, snapshot.Bundle.Policy) {
			n.logger.Info("endpoint ejection changed", "event", "ejection", "service", svc.Name,
				"endpoint", e.Endpoint.ID, "reason", e.Reason, "until", steady.Time(e.Until))
		}
	}
}

func (n *Node) onProbeReport(endpointID string, load *wire.Load) {
	snapshot := n.snapshots.Load()
	if snapshot == nil {
		return
	}
	for _, svc := range snapshot.Services {
		for _, ep := range svc.AllEndpoints() {
			if ep.ID == endpointID {
				balance.ObserveReport(ep.Stats, steady.Now(), load)
			}
		}
	}
}

// onIngressRequest counts a request and asks the engine to probe the endpoints of its service.
func (n *Node) onIngressRequest(service string) {
	n.counters.requests.Add(1)
	n.engine.RequestProbes(service)
}

// planProbes returns the endpoints to probe now. It runs in the engine loop; nothing else uses the planner.
func (n *Node) planProbes(now time.Time, snapshot *table.Snapshot, services []string) []*table.Endpoint {
	if snapshot == nil || snapshot.Bundle == nil {
		return nil
	}
	if snapshot.Bundle.Version != n.probePolicyVersion {
		n.probePolicyVersion = snapshot.Bundle.Version
		n.probePlanner.SetPolicy(steady.Nanos(now), snapshot.Bundle.Policy)
	}
	n.probePlanner.ObserveRequests(int(n.counters.requests.Swap(0)))
	rand.Shuffle(len(services), func(i, j int) { services[i], services[j] = services[j], services[i] })
	var targets []*table.Endpoint
	for _, name := range services {
		if svc := snapshot.Service(name); svc != nil {
			targets = n.planServiceProbes(now, svc, targets)
		}
	}
	counts := n.probePlanner.Counts()
	n.counters.probeCounts.Store(&counts)
	return targets
}

// planServiceProbes plans probes of a service and its views, in random order, so that none of them uses up the budget.
func (n *Node) planServiceProbes(now time.Time, svc *table.Service, targets []*table.Endpoint) []*table.Endpoint {
	if len(svc.Views) == 0 {
		return n.probePlanner.Plan(steady.Nanos(now), n.probeRand, svc, targets)
	}
	views := slices.Collect(svc.WithViews())
	rand.Shuffle(len(views), func(i, j int) { views[i], views[j] = views[j], views[i] })
	for _, view := range views {
		targets = n.probePlanner.Plan(steady.Nanos(now), n.probeRand, view, targets)
	}
	return targets
}

// onBackendChange applies a changed announcement of the backend server on this node's VM; nil means that it withdrew.
func (n *Node) onBackendChange(a *announce.Announcement, incarnation int64, draining bool) {
	if a == nil {
		n.gate.SetBackend(nil)
		n.announceEndpoints(nil)
		n.logger.Info("backend server withdrawn", "event", "backend_withdrawn")
		return
	}
	n.gate.SetBackend(&gate.Backend{ID: a.ID, Service: a.Service, Address: a.Address, Incarnation: incarnation})
	n.gate.SetBackendDraining(draining)
	n.applyGateLimits()
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

// applyGateLimits sets the gate's limits to the smaller of the values in the bundle in force and the announcement.
func (n *Node) applyGateLimits() {
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

// ServePeer implements peer.Handler. It recovers panics, so that a request of another node ends only its own stream; the other
// node then takes the exchange for broken.
func (n *Node) ServePeer(ctx context.Context, conn *peer.Conn, first *wire.Frame) {
	defer func() {
		if value := recover(); value != nil {
			recovery.Log(n.logger, value, "frame", frameName(first))
		}
	}()
	switch k := first.Kind.(type) {
	case *wire.Frame_Request:
		n.gate.Serve(ctx, conn, k.Request)
	case *wire.Frame_AttemptQuery:
		n.gate.ServeQuery(ctx, conn, k.AttemptQuery)
	case *wire.Frame_SyncRequest:
		conn.AllowBulkFrames()
		n.fleetList.introduced.Store(true)
		reply := n.engine.HandleSync(k.SyncRequest)
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_SyncReply{SyncReply: reply}})
	case *wire.Frame_BundleRequest:
		conn.AllowBulkFrames()
		n.serveBundle(conn, k.BundleRequest)
	case *wire.Frame_ClaimRequest:
		reply := n.claimRouter.Serve(ctx, k.ClaimRequest)
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_ClaimReply{ClaimReply: reply}})
	default:
		n.logger.Warn("peer stream dropped", "event", "peer_stream_unexpected", "frame", frameName(first))
	}
}

// Generation implements peer.Handler.
func (n *Node) Generation() uint64 { return n.gate.Generation() }

// runMaintenance runs the periodic work outside the engine loop.
func (n *Node) runMaintenance() {
	for sleep.For(n.ctx, maintenanceInterval) {
		now := time.Now()
		n.registry.Expire(now)
		if b := n.bundles.inForce.Load(); b != nil && n.retrySettings.Load().Window > 0 {
			n.applyRetryBudget(b.Policy)
		}
		n.peerPool.CloseIdle(now)
	}
}

// requestCounters holds values that the engine loop exchanges with request goroutines and with Metrics.
type requestCounters struct {
	requests    atomic.Int64
	probeCounts atomic.Pointer[balance.ProbeCounts]
}
