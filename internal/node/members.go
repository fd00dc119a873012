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
	// maxUnknownJoinAttempts limits the unknown addresses that one check of the domain's object, or of all others, contacts.
	maxUnknownJoinAttempts = 8
	// domainListBytesPerSecond limits the average rate at which a store reader reads the objects of all domains.
	domainListBytesPerSecond = 2000
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
	var nextSearch time.Time // in the objects of the other domains
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
				interval = minMembersCheckInterval // nodes may have formed groups during an outage
			} else {
				written = addresses
			}
			if err == nil && !time.Now().Before(nextSearch) {
				nextSearch = time.Now().Add(max(interval, n.searchOtherDomains(ctx)))
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
		n.joinUnknownMember(m.PeerAddresses, n.memberAddresses(false), maxUnknownJoinAttempts)
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

// searchOtherDomains joins an unknown node of each other failure domain that the store lists. Nodes that know others join no
// further ones, so that parts of a fleet without a common domain would not find each other. It returns the time until the
// search may be repeated.
func (n *Node) searchOtherDomains(ctx context.Context) (wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	objects, err := n.store.List(ctx, membersPrefix)
	cancel()
	if err != nil {
		n.logger.Info("failed to read members", "event", "store_read_failed", "error", err)
		return 0
	}
	attempts, size := maxUnknownJoinAttempts, 0
	for _, o := range objects {
		size += len(o.Value)
		d, ok := n.decodeMembers(o.Key, o.Value)
		if ok && d.FailureDomain != n.settings.FailureDomain {
			shuffle(d.PeerAddresses)
			// DEAD members are pinged, and need no join.
			attempts -= n.joinUnknownMember(d.PeerAddresses, n.memberAddresses(true), attempts)
		}
	}
	return time.Duration(size) * time.Second / domainListBytesPerSecond
}

// memberAddresses returns the peer addresses of this node and of all members, or of those that are not DEAD.
func (n *Node) memberAddresses(dead bool) map[string]bool {
	known := map[string]bool{n.settings.Peer.Advertise: true}
	for _, m := range n.engine.Records() {
		known[m.PeerAddr] = known[m.PeerAddr] || dead || m.State != wire.MemberState_DEAD
	}
	return known
}

// joinUnknownMember joins through the first responding stored address that is not known. One exchange transfers all members of
// its group. It returns the number of addresses contacted, at most limit.
func (n *Node) joinUnknownMember(stored []string, known map[string]bool, limit int) (attempts int) {
	for _, addr := range stored {
		if known[addr] {
			continue
		}
		if attempts == limit {
			return attempts
		}
		attempts++
		err := n.trySync(addr, n.engine.SyncRequest())
		n.logger.Info("unknown member found in the store", "event", "member_found", "address", addr, "error", err)
		if err == nil {
			return attempts
		}
	}
	return attempts
}
