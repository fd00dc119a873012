package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	membersPrefix = "members/"
	// minReaders is the minimum number of store readers, distributed evenly over the failure domains: with several, a
	// network partition between the store and some of the nodes does not delay a new bundle.
	minReaders   = 6
	storeTimeout = 3 * time.Second
	// readerCheckInterval is the time between checks whether this node is a store reader of its domain;
	// startupReaderCheckInterval replaces it during the first bootstrapWindow of the node.
	readerCheckInterval        = 500 * time.Millisecond
	startupReaderCheckInterval = 20 * time.Millisecond
	// bootstrapWindow is the time over which nodes that know no other node start to follow the store. The first ones
	// write their addresses, through which the others join; otherwise all nodes of a fleet that starts at the same
	// time would follow the store.
	bootstrapWindow = 2 * time.Second
	// membersWriteInterval is the minimum time between writes of a failure domain's addresses, so that changes are
	// batched.
	membersWriteInterval = 2 * time.Second
)

// followStore runs the tasks of a store reader while this node is one for its failure domain.
func (n *Node) followStore() {
	var stop context.CancelFunc
	var seen *table.Snapshot
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for sleep.For(n.ctx, n.readerCheckInterval()) {
		// Members change only with a snapshot. In a large fleet, iterating over all of them on each check would cost
		// more than everything else that an idle node does.
		snapshot := n.snapshots.Load()
		if snapshot == seen {
			continue
		}
		if !n.mayFollowStore() {
			continue
		}
		seen = snapshot
		live := n.liveMembers()
		isReader := rollout.IsReader(n.settings.NodeID, live, readersPerDomain(live))
		if isReader == (stop != nil) {
			continue
		}
		n.isStoreReader.Store(isReader)
		n.logger.Info("store reader role changed", "event", "store_reader", "reading", isReader)
		if !isReader {
			stop()
			stop = nil
			continue
		}
		ctx, cancel := context.WithCancel(n.ctx)
		stop = cancel
		r := &rollout.Reader{Store: n.store, Source: n.adapter.Bundles, Deliver: n.offerFromStore, Log: n.logger}
		n.configureReader(r)
		n.background(func() { r.Run(ctx) })
		n.background(func() { n.writeStatus(ctx) })
		n.background(func() { n.maintainDomainMembers(ctx) })
		n.background(func() { n.readQuarantine(ctx) })
		if n.evacuationEnabled() {
			n.background(func() { n.newEvacuationReader().Run(ctx) })
		}
	}
}

// mayFollowStore reports whether this node has run long enough to become a store reader. Other nodes may have a newer
// bundle than the store, so a starting node asks them first and gives them time to reply.
func (n *Node) mayFollowStore() bool {
	if n.knowsNoOtherNode() {
		return n.joinAttempted.Load() && n.uptime() >= n.bootstrapDelay()
	}
	return n.uptime() >= readerCheckInterval
}

func (n *Node) readerCheckInterval() time.Duration {
	if n.uptime() < bootstrapWindow {
		return startupReaderCheckInterval
	}
	return readerCheckInterval
}

// bootstrapDelay returns this node's delay within bootstrapWindow.
func (n *Node) bootstrapDelay() time.Duration { return n.staggerDelay(bootstrapWindow) }

// staggerDelay returns this node's delay within a window. It is derived from a hash of the node ID, so that the delays
// of all nodes are distributed evenly.
func (n *Node) staggerDelay(window time.Duration) time.Duration {
	fraction := float64(xxhash.Sum64String(n.settings.NodeID)>>11) / (1 << 53)
	return time.Duration(fraction * float64(window))
}

// readersPerDomain returns the number of readers per failure domain that gives at least minReaders in total.
func readersPerDomain(live []rollout.Member) int {
	domains := map[string]bool{}
	for _, m := range live {
		domains[m.FailureDomain] = true
	}
	domainCount := max(len(domains), 1)
	return (minReaders + domainCount - 1) / domainCount
}

// liveMembers returns the members that are ALIVE or SUSPECT.
func (n *Node) liveMembers() []rollout.Member {
	var live []rollout.Member
	for _, m := range n.engine.Members() {
		if m.State == wire.MemberState_ALIVE || m.State == wire.MemberState_SUSPECT {
			live = append(live, rollout.Member{NodeID: m.NodeId, FailureDomain: m.FailureDomain, BundleVersion: m.BundleVersion, PeerAddr: m.PeerAddr})
		}
	}
	return live
}
