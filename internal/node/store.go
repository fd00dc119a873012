package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/netopt"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	membersPrefix = "members/"
	// leastReaders is the number of nodes that follow the store, spread evenly over the failure domains: with several,
	// a cut between the store and a part of the nodes does not delay a new bundle.
	leastReaders      = 6
	storeTimeout      = 3 * time.Second
	joinRetryInterval = 500 * time.Millisecond
	// rejoinInterval is the time between attempts while a node with seeds or a store knows no other node.
	rejoinInterval = 3 * time.Second
	// readerCheckInterval is the time between checks whether this node reads the store for its domain, and
	// firstReaderChecks that time within the first bootstrapSpread.
	readerCheckInterval = 500 * time.Millisecond
	firstReaderChecks   = 20 * time.Millisecond
	// bootstrapSpread is the time over which nodes that know nobody begin to follow the store. The first ones write
	// their addresses, through which the others join; a fleet that starts at once would otherwise follow it whole.
	bootstrapSpread = 2 * time.Second
	// firstJoin leaves these first ones time to write.
	firstJoin = 250 * time.Millisecond
	// membersWriteInterval groups the announcements of a failure domain into one write.
	membersWriteInterval = 2 * time.Second
)

// domainMembers is the object members/DOMAIN: the addresses through which a starting node can join.
type domainMembers struct {
	FailureDomain string   `json:"failure_domain"`
	PeerAddresses []string `json:"peer_addresses"`
}

// join contacts seeds, and nodes listed in the store, until another node answers. It goes on while the
// node is alone, so that a node that started first, or during a cut, joins later.
func (n *Node) join() {
	if len(n.settings.Seeds) == 0 && !sleep.For(n.ctx, min(firstJoin, n.bootstrapDelay())) {
		return
	}
	for n.ctx.Err() == nil {
		wait := rejoinInterval
		if n.alone() && !n.joinOnce() {
			wait = joinRetryInterval
		}
		n.joinTried.Store(true)
		if !sleep.For(n.ctx, wait) {
			return
		}
	}
}

func (n *Node) alone() bool {
	for _, m := range n.engine.Records() {
		if m.NodeId != n.settings.NodeID && m.State != wire.MemberState_DEAD {
			return false
		}
	}
	return true
}

// joinStagger is the time after which the next address is tried beside those that have not answered. The machine of a
// stored address may be gone, and connects to it hang.
const joinStagger = 100 * time.Millisecond

// joinOnce contacts the known addresses in random order until one answers.
func (n *Node) joinOnce() bool {
	addresses := slices.Concat(n.settings.Seeds, n.storedAddresses())
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == n.settings.Peer.Advertise })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	answered := make(chan bool, len(addresses))
	next := time.NewTimer(0)
	defer next.Stop()
	for started, ended := 0, 0; ended < len(addresses); {
		select {
		case <-n.ctx.Done():
			return false
		case ok := <-answered:
			if ok {
				return true
			}
			ended++
			next.Reset(0)
		case <-next.C:
			if started < len(addresses) {
				addr := addresses[started]
				started++
				n.background(func() { answered <- n.joinThrough(addr) })
				next.Reset(joinStagger)
			}
		}
	}
	return false
}

func (n *Node) joinThrough(addr string) bool {
	err := n.trySync(addr, n.engine.SyncRequest())
	if err != nil {
		n.logger.Debug("join failed", "event", "join_failed", "through", addr, "error", err)
		return false
	}
	n.logger.Info("joined", "event", "joined", "through", addr)
	return true
}

// maxStoredJoins bounds the stored addresses that one attempt to join tries.
const maxStoredJoins = 8

func (n *Node) storedAddresses() []string {
	if n.store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	objects, err := n.store.List(ctx, membersPrefix)
	if err != nil {
		n.logger.Info("members not read", "event", "store_read_failed", "error", err)
		return nil
	}
	var addresses []string
	for _, o := range objects {
		d := domainMembers{}
		if json.Unmarshal(o.Value, &d) != nil {
			continue
		}
		addresses = append(addresses, d.PeerAddresses[:min(len(d.PeerAddresses), maxStoredJoins)]...)
	}
	return addresses
}

const (
	// firstReads bounds the reads of a starting node, and firstReadInterval is the time between them.
	firstReads        = 4
	firstReadInterval = 250 * time.Millisecond
	// farStoreSpread is the time over which the nodes of another region than the store's make their first read. A bundle
	// of many routes, read by all of them at once, fills the paid link for a second: joining took 1.3 s instead of 0.3 s
	// at 33 nodes. Most get the bundle from a peer of their region before their turn.
	farStoreSpread = 1500 * time.Millisecond
	// farStoreRTT is the round trip from which the store counts as being in another region; within one it takes 1 to 3 ms.
	farStoreRTT   = 15 * time.Millisecond
	farStoreDials = 3
)

// readFirstBundle gets a bundle from a copy of the store, so that a node that starts, alone or with the whole fleet,
// serves at once. The copy may be some seconds old; newer bundles come from peers and readers as usual.
func (n *Node) readFirstBundle() {
	store, ok := n.store.(objectstore.StaleReader)
	if !ok {
		return
	}
	if n.storeIsFar() && !sleep.For(n.ctx, n.spreadOver(farStoreSpread)) {
		return
	}
	for try := 0; try < firstReads && n.bundles.inForce.Load() == nil; try++ {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		envelope, err := n.adapter.Bundles.ReadStale(ctx, store)
		cancel()
		if err == nil {
			n.deliver(envelope)
			return
		}
		n.logger.Info("first bundle not read", "event", "store_read_failed", "try", try, "error", err)
		if errors.Is(err, objectstore.ErrNotFound) || !sleep.For(n.ctx, firstReadInterval) {
			return
		}
	}
}

// storeIsFar reports whether even the shortest of a few connects took as long as a way to another region.
func (n *Node) storeIsFar() bool {
	base, err := url.Parse(n.settings.Store.URL)
	if err != nil || base.Host == "" {
		return false // a store that was passed in by the program
	}
	return shortestDial(n.ctx, base.Host, farStoreDials) >= farStoreRTT
}

// shortestDial returns the shortest time of a few connects to an address. One that fails counts as an hour.
func shortestDial(ctx context.Context, address string, dials int) time.Duration {
	shortest := time.Hour
	for range dials {
		began := time.Now()
		conn, err := netopt.Dialer(farStoreSpread).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		shortest = min(shortest, time.Since(began))
		_ = conn.Close()
	}
	return shortest
}

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
