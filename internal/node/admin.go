package node

import (
	"net/http"
	"time"

	"dandelionspoke/internal/admin"
	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/engine"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/wire"
)

func (n *Node) adminHandler() http.Handler { return admin.New(n, n.settings.Admin.Token) }

// Health implements admin.Node.
func (n *Node) Health() admin.Health {
	version, _ := n.BundleVersion()
	status := "ok"
	switch {
	case n.draining.Load():
		status = "draining"
	case version == 0:
		status = "starting"
	}
	return admin.Health{Status: status, NodeID: n.settings.NodeID, BundleVersion: version, LiveMembers: len(n.liveMembers())}
}

// BundleStatus implements admin.Node.
func (n *Node) BundleStatus() admin.BundleStatus {
	version, refused := n.BundleVersion()
	nodes := make(map[string]uint64)
	for _, m := range n.liveMembers() {
		nodes[m.NodeID] = m.BundleVersion
	}
	return admin.BundleStatus{Version: version, Refused: refused, Nodes: nodes}
}

// SetLeaving implements admin.Node.
func (n *Node) SetLeaving(leaving bool) {
	n.draining.Store(leaving)
	n.gate.SetDraining(leaving)
	if leaving {
		n.engine.SetLeaving()
	} else {
		n.engine.ClearLeaving()
	}
	n.logger.Info("drain state changed", "event", "leaving_changed", "leaving", leaving)
}

// Dump is a snapshot of a node's state.
type Dump struct {
	NodeID        string    `json:"node_id"`
	UptimeSeconds float64   `json:"uptime_seconds"`
	Addresses     Addresses `json:"addresses"`
	Draining      bool      `json:"draining"`
	StoreReader   bool      `json:"store_reader"`
	// StoreGeneration is the generation that the store states; absent if it has stated none.
	StoreGeneration *uint64                `json:"store_generation,omitempty"`
	Backend         *announce.Announcement `json:"backend"`
	GateLoad        *wire.Load             `json:"gate_load"`
	GateAccounts    gate.AccountCounts     `json:"gate_accounts"`
	Bundle          admin.BundleStatus     `json:"bundle"`
	RateLimits      *ratelimit.State       `json:"rate_limits,omitempty"`
	Accounts        accountState           `json:"accounts"`
	Evacuations     admin.Evacuations      `json:"evacuations"`
	Metrics         map[string]int64       `json:"metrics"`
	Engine          engine.State           `json:"engine"`
}

// Dump implements admin.Node; it returns a Dump.
func (n *Node) Dump() any {
	backend, _ := n.registry.Current()
	var generation *uint64
	if g := n.restored.generation.Load(); g > 0 {
		g--
		generation = &g
	}
	return Dump{
		StoreGeneration: generation,
		NodeID:          n.settings.NodeID, UptimeSeconds: n.uptime().Seconds(), Addresses: n.addresses,
		Draining: n.draining.Load(), StoreReader: n.isStoreReader.Load(), Backend: backend, GateLoad: n.gate.Load(), GateAccounts: n.gate.AccountCounts(),
		Bundle: n.BundleStatus(), RateLimits: n.rateLimitState(), Accounts: n.accountState(), Evacuations: n.Evacuations(),
		Metrics: n.Metrics(), Engine: n.engine.Dump(),
	}
}

// Metrics implements admin.Node. The names are documented in docs/operations/administration.md.
func (n *Node) Metrics() map[string]int64 {
	in, g := &n.ingress.Counters, &n.gate.Counters
	budget := n.budget.Counts()
	known, refused := n.quarantine.Counts(time.Now())
	load := n.gate.Load()
	m := map[string]int64{
		"ingress_requests": in.Requests.Load(), "ingress_answered": in.Answered.Load(), "ingress_failed": in.Failed.Load(),
		"ingress_aborted": in.Aborted.Load(), "ingress_attempts": in.Attempts.Load(), "ingress_moved": in.Moved.Load(), "ingress_retries": in.Retries.Load(),
		"ingress_hedges": in.Hedges.Load(), "ingress_hedges_won": in.HedgesWon.Load(),
		"ingress_hedges_no_room": in.HedgesNoRoom.Load(), "ingress_hedges_no_budget": in.HedgesNoBudget.Load(),
		"ingress_attempt_queries": in.Queries.Load(), "ingress_replays": in.Replays.Load(),
		"ingress_no_allowed_region": in.NoAllowedRegion.Load(),
		"gate_admitted":             g.Admitted.Load(), "gate_queued": g.Queued.Load(), "gate_refused": g.Refused.Load(),
		"gate_ran": g.Ran.Load(), "gate_broken": g.Broken.Load(), "gate_canceled": g.Canceled.Load(),
		"gate_attempt_queries": g.Queries.Load(), "gate_crashes": g.Crashes.Load(), "gate_pauses": g.Pauses.Load(), "gate_panics": g.Panics.Load(), "ingress_panics": in.Panics.Load(), "gate_load_probes": g.LoadProbes.Load(), "gate_attempts_remembered": int64(n.gate.Attempts()),
		"gate_in_flight": int64(load.InFlight), "gate_queued_short": int64(load.QueuedShort), "gate_queued_long": int64(load.QueuedLong),
		"retry_budget_spent": int64(budget.Spent), "retry_budget_denied": int64(budget.Denied),
		"quarantine_known": int64(known), "quarantine_refused": int64(refused), "quarantine_trials": n.trials.claimed.Load(),
		"link_short_bytes": n.linkBudget.ShortBytes.Load(), "link_long_bytes": n.linkBudget.LongBytes.Load(),
		"link_wait_us":  n.linkBudget.WaitNanos.Load() / int64(time.Microsecond),
		"peer_sessions": int64(n.peerPool.Len()), "peer_malformed": n.peerServer.Malformed.Load(),
	}
	serviceCounts := n.serviceBudgets.Counts()
	m["retry_window_spent"], m["retry_window_denied"] = int64(serviceCounts.Spent), int64(serviceCounts.Denied)
	if n.settings.SlowStart.Tolerance > 0 {
		m["gate_refused_slow_start"], m["gate_slow_starts"] = g.RefusedSlowStart.Load(), g.SlowStarts.Load()
		m["gate_slow_start_ms"] = int64(load.SlowStartMs)
	}
	if n.evacuationEnabled() {
		n.addEvacuationMetrics(m)
	}
	m["store_restores"] = n.restored.restores.Load()
	if n.claimers != nil {
		m["claims_restored"] = n.claimers.RestoredClaims()
	}
	if n.ingressListener != nil {
		m["ingress_overlapping"] = n.ingressListener.PipelinedRequests.Load()
	}
	if store, ok := n.store.(objectstore.SkipCounter); ok {
		m["store_entries_skipped"] = store.SkippedEntries()
	}
	if n.logsDropped != nil {
		m["log_lines_dropped"] = n.logsDropped()
	}
	if p := n.counters.probeCounts.Load(); p != nil {
		m["probe_messages"], m["probe_bytes"] = int64(p.Messages), int64(p.Bytes)
		m["probe_link_messages"], m["probe_link_bytes"] = int64(p.LinkMessages), int64(p.LinkBytes)
	}
	n.addRateLimitMetrics(m)
	n.addAccountMetrics(m)
	n.addSharingMetrics(m)
	for name, value := range n.engine.Counters().Map() {
		m["engine_"+name] = int64(value)
	}
	return m
}
