package node

import (
	"context"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/netopt"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/sleep"
)

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
	if n.storeIsFar() {
		delay := n.spreadOver(farStoreSpread)
		n.logger.Info("first read of the bundle delayed", "event", "first_read_delayed", "delay", delay)
		if !sleep.For(n.ctx, delay) {
			return
		}
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
