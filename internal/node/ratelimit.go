package node

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/wire"
)

const (
	// limitInterval is the time between two calls of Limiter.Advance, and waitingInterval the one while requests wait.
	limitInterval   = 50 * time.Millisecond
	waitingInterval = 10 * time.Millisecond
	// fleetInterval is the time between two checks for changed members. It is well below ratelimit.ParticipationDelay, in
	// which this node has to count a newcomer.
	fleetInterval = 500 * time.Millisecond
	// joiningInterval is this time while the node does not know the fleet yet, so that its first requests find pool nodes.
	joiningInterval = 50 * time.Millisecond
	// leavingSpends is the time for which a LEAVING node counts: it serves callers that are still connected.
	leavingSpends = 10 * time.Second
	// fleetListValid is the time for which the number of nodes listed in the store is a lower bound of the size of the fleet.
	// After a restart of all nodes, those that have joined each other in groups learn of the other groups in this time.
	fleetListValid = 30 * time.Second
	// maxLimitedAccounts is the number of accounts that the metrics and the dump list.
	maxLimitedAccounts = 8
)

// fleetList is the number of nodes that the store listed at the last read, and what follows from it and from exchanges with
// other nodes. It is safe for concurrent use.
type fleetList struct {
	// introduced is set once this process has exchanged members with another node. counted is set once it is known that the
	// others count this node, from an earlier process, in the size of the fleet.
	introduced, counted atomic.Bool

	mu   sync.Mutex
	at   time.Time // zero before the first read
	size int
}

func (f *fleetList) record(now time.Time, domains []domainMembers) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at, f.size = now, 0
	for _, d := range domains {
		f.size += len(d.PeerAddresses)
	}
}

// floor returns the number of nodes while the list is recent, and whether it has ever been read.
func (f *fleetList) floor(now time.Time) (size int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.at) < fleetListValid {
		size = f.size
	}
	return size, !f.at.IsZero()
}

// applyRateLimits puts the limits of a bundle in force.
func (n *Node) applyRateLimits(b *bundle.Bundle) {
	if n.limits == nil {
		return
	}
	limits := map[string]ratelimit.Limit{}
	for name, a := range b.Accounts {
		if a.RatePerSecond > 0 {
			// With a burst below one request, none would ever be granted.
			limits[name] = ratelimit.Limit{Rate: a.RatePerSecond, Burst: max(a.Burst, 1)}
		}
	}
	s := n.settings.RateLimit
	n.limits.SetLimits(ratelimit.Bounds{Window: s.Window, Tolerance: s.Tolerance, Slack: s.Slack}, limits)
}

// runRateLimits advances the limiter and keeps its view of the fleet up to date until the node is closed.
func (n *Node) runRateLimits() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var view fleetView
	var waitingUntil time.Time
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.limits.Wake():
			waitingUntil = time.Now().Add(ratelimit.MaxWait)
		case <-timer.C:
		}
		now := time.Now()
		if view.due(now) || n.fleetList.counted.Load() != view.counted {
			n.updateFleetView(now, &view)
			n.logFallback(&view)
		}
		n.sendTokens(n.limits.Advance(steady.Nanos(now)))
		if now.Before(waitingUntil) {
			timer.Reset(waitingInterval)
		} else {
			timer.Reset(limitInterval)
		}
	}
}

// fleetView is what runRateLimits has last passed to the limiter.
type fleetView struct {
	next     time.Time
	version  uint64
	floor    int
	known    bool // this node knows the fleet
	counted  bool
	fallback bool                 // no pool node could be reached
	leaving  map[string]time.Time // since when nodes are LEAVING
	// leavingEnd is the time from which no LEAVING node counts any longer.
	leavingEnd time.Time
}

func (v *fleetView) due(now time.Time) bool {
	if now.Before(v.next) {
		return false
	}
	v.next = now.Add(fleetInterval)
	if !v.known {
		v.next = now.Add(joiningInterval)
	}
	return true
}

// updateFleetView passes the members to the limiter if they have changed.
func (n *Node) updateFleetView(now time.Time, v *fleetView) {
	version := n.engine.MembersVersion()
	floor, listed := n.fleetList.floor(now)
	counted := n.fleetList.counted.Load()
	if version == v.version && floor == v.floor && counted == v.counted && v.known && now.After(v.leavingEnd.Add(2*fleetInterval)) {
		return
	}
	records := n.engine.Records()
	members := make([]ratelimit.Member, len(records))
	selfSpends := true
	before := v.leaving
	v.leaving = map[string]time.Time{}
	for i, m := range records {
		members[i] = ratelimit.Member{
			ID: m.NodeId, Region: m.Region, Alive: m.State == wire.MemberState_ALIVE, Spending: v.spends(now, m, before),
		}
		if m.NodeId == n.settings.NodeID {
			selfSpends = members[i].Spending
		}
	}
	alone := n.store == nil && !slices.ContainsFunc(n.settings.Seeds, func(seed string) bool { return seed != n.settings.Peer.Advertise })
	known := len(records) > 1 || listed || alone
	if counted && !v.counted {
		n.logger.Info("takes part in the rate limits at once", "event", "rate_limit_counted", "fleet_floor", floor, "members", len(records))
	}
	v.version, v.floor, v.known, v.counted = version, floor, known, counted
	fleet := ratelimit.NewFleet(n.settings.NodeID, n.settings.Region, members, floor, known && selfSpends, counted)
	n.limits.SetFleet(steady.Nanos(now), fleet)
}

// spends reports whether a node may send requests to backend servers. A DEAD one may only be unreachable. before holds since
// when nodes were LEAVING at the last call.
func (v *fleetView) spends(now time.Time, m *wire.Member, before map[string]time.Time) bool {
	if m.State != wire.MemberState_LEAVING {
		return true
	}
	since, seen := before[m.NodeId]
	if !seen {
		since = now
		v.leavingEnd = now.Add(leavingSpends)
	}
	v.leaving[m.NodeId] = since
	return now.Sub(since) < leavingSpends
}

// logFallback logs when this node starts or ends to spend from its own part of the rates.
func (n *Node) logFallback(v *fleetView) {
	if fallback := n.limits.Fallback(); fallback != v.fallback {
		v.fallback = fallback
		n.logger.Warn("pool nodes of the rate limits", "event", "rate_limit_fallback", "reachable", !fallback)
	}
}

func (n *Node) sendTokens(messages []ratelimit.Message) {
	for _, m := range messages {
		d := &wire.Datagram{Kind: &wire.Datagram_TokenRequest{TokenRequest: m.Request}}
		if m.Grant != nil {
			d.Kind = &wire.Datagram_TokenGrant{TokenGrant: m.Grant}
		}
		n.engine.SendTokens(m.To, d)
	}
}

// onTokens handles a message of the rate limits from a member.
func (n *Node) onTokens(from string, d *wire.Datagram) {
	if n.limits == nil {
		return
	}
	m := ratelimit.Message{Request: d.GetTokenRequest(), Grant: d.GetTokenGrant()}
	n.sendTokens(n.limits.Receive(steady.Now(), from, m))
}

// onPause drops all tokens after a pause of the process. The steady clock doesn't show the suspension of a VM.
func (n *Node) onPause() { n.limits.Paused(steady.Now()) }

// rateLimitState returns the part of a Dump on rate limits; nil without any.
func (n *Node) rateLimitState() *ratelimit.State {
	if n.limits == nil {
		return nil
	}
	state := n.limits.Dump(steady.Now(), maxLimitedAccounts)
	return &state
}

// addRateLimitMetrics adds the metrics of the rate limits, if the settings have a window for them.
func (n *Node) addRateLimitMetrics(m map[string]int64) {
	if n.limits == nil {
		return
	}
	c := &n.limits.Counters
	m["rate_limit_exchanges"], m["rate_limit_timeouts"], m["rate_limit_served"] = c.Exchanges.Load(), c.Timeouts.Load(), c.Served.Load()
	m["rate_limit_transfers"], m["rate_limit_transferred_tokens"] = c.Transfers.Load(), c.TransferredTokens.Load()
	m["rate_limit_returned"], m["rate_limit_pauses"] = c.Returned.Load(), c.Pauses.Load()
	m["rate_limit_pools"] = int64(n.limits.PoolCount())
	granted, refused := n.limits.Totals(maxLimitedAccounts)
	for name, count := range granted {
		m[fmt.Sprintf("rate_limit_granted{account=%q}", name)] = count
	}
	for name, count := range refused {
		m[fmt.Sprintf("rate_limit_refused{account=%q}", name)] = count
	}
}
