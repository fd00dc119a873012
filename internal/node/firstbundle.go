package node

import (
	"context"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/netopt"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/sleep"
)

const (
	// maxFirstReads limits the store reads of a starting node; firstReadRetryInterval is the time between them.
	maxFirstReads          = 4
	firstReadRetryInterval = 250 * time.Millisecond
	// remoteStoreReadWindow is the time over which the first reads of nodes outside the store's region are staggered.
	// A bundle with many routes, read by all of them at the same time, saturates the billed inter-region link for a
	// second: joining took 1.3 s instead of 0.3 s at 33 nodes. Most nodes get the bundle from a peer in their region
	// before their read is due.
	remoteStoreReadWindow = 1500 * time.Millisecond
	// minRemoteStoreRTT is the lowest round-trip time at which the store counts as being in another region; within a
	// region it is 1 to 3 ms.
	minRemoteStoreRTT = 15 * time.Millisecond
	storeRTTSamples   = 3
	// freshReadTimeout leaves a starting node time to serve its first callers, which wait up to 2 s for a bundle.
	freshReadTimeout = 500 * time.Millisecond
)

// readFirstBundle reads a bundle from a possibly stale copy of the store, so that a node that starts, alone or
// together with the whole fleet, can serve immediately. The copy may be some seconds old; newer bundles arrive from
// peers and store readers as usual.
func (n *Node) readFirstBundle() {
	store, ok := n.store.(objectstore.StaleReader)
	if !ok {
		return
	}
	if n.storeIsRemote() {
		delay := n.staggerDelay(remoteStoreReadWindow)
		n.logger.Info("delaying the first read of the bundle", "event", "first_read_delayed", "delay", delay)
		if !sleep.For(n.ctx, delay) {
			return
		}
	}
	for attempt := 0; attempt < maxFirstReads && n.bundles.inForce.Load() == nil; attempt++ {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		envelope, err := n.adapter.Bundles.ReadStale(ctx, store)
		cancel()
		if err == nil {
			n.offerFromStore(n.withCurrentAccounts(envelope))
			return
		}
		n.logger.Info("failed to read the first bundle", "event", "store_read_failed", "try", attempt, "error", err)
		if errors.Is(err, objectstore.ErrNotFound) || !sleep.For(n.ctx, firstReadRetryInterval) {
			return
		}
	}
}

// withCurrentAccounts returns the envelope of the store's current bundle if the given one, which may be out of date, has
// accounts: a key that was withdrawn in the meantime must not work again after a restart. Without an answer of the store
// within freshReadTimeout it returns the given one, since peers may not have a bundle either.
func (n *Node) withCurrentAccounts(stale *bundle.Envelope) *bundle.Envelope {
	if !stale.Sections.HasAccounts() {
		return stale
	}
	ctx, cancel := context.WithTimeout(n.ctx, freshReadTimeout)
	defer cancel()
	current, err := n.adapter.Bundles.Read(ctx, n.store)
	if err != nil {
		n.logger.Info("failed to read the current bundle", "event", "store_read_failed", "error", err)
		return stale
	}
	return current
}

// storeIsRemote reports whether the store appears to be in another region: even the shortest of a few connects took at
// least minRemoteStoreRTT.
func (n *Node) storeIsRemote() bool {
	base, err := url.Parse(n.settings.Store.URL)
	if err != nil || base.Host == "" {
		return false // the store was passed in Options
	}
	return minConnectTime(n.ctx, base.Host, storeRTTSamples) >= minRemoteStoreRTT
}

// minConnectTime returns the shortest TCP connect time of several attempts, or an hour if all of them fail.
func minConnectTime(ctx context.Context, address string, attempts int) time.Duration {
	shortest := time.Hour
	for range attempts {
		start := time.Now()
		conn, err := netopt.Dialer(remoteStoreReadWindow).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		shortest = min(shortest, time.Since(start))
		_ = conn.Close()
	}
	return shortest
}
