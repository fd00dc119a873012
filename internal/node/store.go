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
	// leastReaders is the number of nodes that follow the store, spread evenly over the failure domains: with several,
	// a cut between the store and a part of the nodes does not delay a new bundle.
	leastReaders = 6
	storeTimeout = 3 * time.Second
	// readerCheckInterval is the time between checks whether this node reads the store for its domain, and
	// firstReaderChecks that time within the first bootstrapSpread.
	readerCheckInterval = 500 * time.Millisecond
	firstReaderChecks   = 20 * time.Millisecond
	// bootstrapSpread is the time over which nodes that know nobody begin to follow the store. The first ones write
	// their addresses, through which the others join; a fleet that starts at once would otherwise follow it whole.
	bootstrapSpread = 2 * time.Second
	// membersWriteInterval groups the announcements of a failure domain into one write.
	membersWriteInterval = 2 * time.Second
)

// followStore runs the work of a store reader while this node is one for its failure domain.
func (n *Node) followStore() {
	var stop context.CancelFunc
	var seen *table.Snapshot
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for sleep.For(n.ctx, n.readerCheckInterval()) {
		// Members change only with a snapshot; going through all of them each time would cost more than the
		// rest of an idle node at the size of the fleet.
		snapshot := n.snapshots.Load()
		if snapshot == seen {
			continue
		}
		if !n.mayFollowStore() {
			continue
		}
		seen = snapshot
		live := n.liveMembers()
		reader := rollout.IsReader(n.settings.NodeID, live, readersPerDomain(live))
		if reader == (stop != nil) {
			continue
		}
		n.reader.Store(reader)
		n.logger.Info("store reader changed", "event", "store_reader", "reading", reader)
		if !reader {
			stop()
			stop = nil
			continue
		}
		ctx, cancel := context.WithCancel(n.ctx)
		stop = cancel
		r := &rollout.Reader{Store: n.store, Source: n.adapter.Bundles, Deliver: n.deliver, Log: n.logger}
		n.background(func() { r.Run(ctx) })
		n.background(func() { n.writeStatus(ctx) })
		n.background(func() { n.keepMembers(ctx) })
	}
}

// mayFollowStore reports whether a node that has started lately may read the store. Other nodes may hold a newer
// bundle than the store, so they are asked first and have time to answer.
func (n *Node) mayFollowStore() bool {
	if n.alone() {
		return n.joinTried.Load() && n.uptime() >= n.bootstrapDelay()
	}
	return n.uptime() >= readerCheckInterval
}

func (n *Node) readerCheckInterval() time.Duration {
	if n.uptime() < bootstrapSpread {
		return firstReaderChecks
	}
	return readerCheckInterval
}

// bootstrapDelay is this node's part of bootstrapSpread.
func (n *Node) bootstrapDelay() time.Duration { return n.spreadOver(bootstrapSpread) }

// spreadOver returns this node's moment of a time over which all nodes are spread evenly.
func (n *Node) spreadOver(d time.Duration) time.Duration {
	fraction := float64(xxhash.Sum64String(n.settings.NodeID)>>11) / (1 << 53)
	return time.Duration(fraction * float64(d))
}

// readersPerDomain is the number of readers in each failure domain so that there are leastReaders in all.
func readersPerDomain(live []rollout.Member) int {
	domains := map[string]bool{}
	for _, m := range live {
		domains[m.FailureDomain] = true
	}
	count := max(len(domains), 1)
	return (leastReaders + count - 1) / count
}

// liveMembers returns the members that are not dead or leaving.
func (n *Node) liveMembers() []rollout.Member {
	var live []rollout.Member
	for _, m := range n.engine.Members() {
		if m.State == wire.MemberState_ALIVE || m.State == wire.MemberState_SUSPECT {
			live = append(live, rollout.Member{NodeID: m.NodeId, FailureDomain: m.FailureDomain, BundleVersion: m.BundleVersion})
		}
	}
	return live
}
