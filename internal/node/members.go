package node

import (
	"context"
	"slices"
	"time"

	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/wire"
)

const (
	// minMembersCheckInterval and maxMembersCheckInterval bound the time between two reads of the domain's addresses
	// while this node sees no change of them. The interval doubles after each check: nodes that start at the same time
	// may form groups that do not know of each other, and most of these merge within seconds.
	minMembersCheckInterval = membersWriteInterval
	maxMembersCheckInterval = 30 * time.Second
	// maxUnknownJoinAttempts limits the unknown addresses that one check of the domain's object contacts.
	maxUnknownJoinAttempts = 8
)

// writeStatus periodically writes the domain's rollout progress to the store while this node is a store reader.
func (n *Node) writeStatus(ctx context.Context) {
	if n.settings.Bundle.Unsigned {
		return // with unsigned bundles, operators write to the store themselves and read no status there
	}
	status := rollout.StatusWriter{Store: n.store}
	for sleep.For(ctx, membersWriteInterval) {
		s := rollout.Summarize(n.settings.FailureDomain, n.settings.NodeID, n.liveMembers(), time.Now())
		if err := status.Publish(ctx, s); err != nil {
			n.logger.Info("failed to write bundle status", "event", "store_write_failed", "error", err)
		}
	}
}

// maintainDomainMembers keeps the addresses of the domain's nodes in the store up to date while this node is a store
// reader, and joins unknown nodes that it finds there.
func (n *Node) maintainDomainMembers(ctx context.Context) {
	var written []string
	var restoredAt time.Time // when a restore of the store was noticed; zero for never
	generation := n.restored.generation.Load()
	interval, nextCheck := minMembersCheckInterval, time.Now()
	for ctx.Err() == nil {
		if current := n.restored.generation.Load(); current != generation {
			generation, restoredAt = current, time.Now()
		}
		restored := !restoredAt.IsZero() && time.Since(restoredAt) < 2*rewriteDelay
		changed := restored || !slices.Equal(n.domainAddresses(), written)
		if changed || !time.Now().Before(nextCheck) {
			addresses, err := n.mergeDomainMembers(ctx, restored)
			if err != nil {
				n.logger.Info("failed to write members", "event", "store_write_failed", "error", err)
			} else {
				written = addresses
			}
			nextCheck = time.Now().Add(interval)
			interval = min(2*interval, maxMembersCheckInterval)
		}
		if !sleep.For(ctx, membersWriteInterval) {
			return
		}
	}
}

// mergeDomainMembers joins an unknown node listed in the domain's object, then writes the current addresses. A write
// conflict means that another reader of the domain has written; the caller retries. After a restore of the store it also
// writes the departures that this node knows.
func (n *Node) mergeDomainMembers(ctx context.Context, restored bool) ([]string, error) {
	var addresses []string
	err := n.updateDomainMembers(ctx, func(m *domainMembers) {
		n.joinUnknownMember(m.PeerAddresses)
		addresses = n.domainAddresses()
		m.PeerAddresses = n.withListedAddresses(addresses, m.PeerAddresses)
		if restored {
			for _, d := range n.knownDepartures(time.Now()) {
				m.addDeparture(d)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return addresses, nil
}

// withListedAddresses returns the addresses to write in place of the listed ones. With rate limits, a node that has just started
// removes none: after a restart of all nodes it knows only some of them, and those that start later count the list.
func (n *Node) withListedAddresses(known, listed []string) []string {
	if n.limits == nil || n.uptime() >= fleetListValid {
		return known
	}
	all := slices.Concat(known, listed)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxDomainAddresses)]
}

// joinUnknownMember joins through the first responding stored address that belongs to no known member. One exchange
// transfers all members of its group.
func (n *Node) joinUnknownMember(stored []string) {
	known := map[string]bool{n.settings.Peer.Advertise: true}
	for _, m := range n.engine.Records() {
		known[m.PeerAddr] = known[m.PeerAddr] || m.State != wire.MemberState_DEAD
	}
	attempts := 0
	for _, addr := range stored {
		if known[addr] {
			continue
		}
		if attempts++; attempts > maxUnknownJoinAttempts {
			return
		}
		err := n.trySync(addr, n.engine.SyncRequest())
		n.logger.Info("unknown member found in the store", "event", "member_found", "address", addr, "error", err)
		if err == nil {
			return
		}
	}
}
