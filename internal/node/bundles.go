package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

const (
	fetchTimeout = 3 * time.Second
	// fetchHedgeDelay is the minimum time between the starts of two fetches while the earlier one is still pending. The
	// node that advertised the new bundle may have crashed right afterwards, so another peer is tried.
	fetchHedgeDelay      = 300 * time.Millisecond
	maxConcurrentFetches = 3
	syncTimeout          = 5 * time.Second
)

// bundleState holds the bundle in force and the acceptor, which verifies new bundles. mu guards all fields but
// inForce.
type bundleState struct {
	mu       sync.Mutex
	acceptor *bundle.Acceptor
	// lastError is the error of the last refused bundle; accepting a bundle clears it.
	lastError string
	// activeFetches is the number of pending fetches; the latest one started at lastFetchStart.
	activeFetches  int
	lastFetchStart time.Time
	inForce        atomic.Pointer[bundle.Bundle]
}

// offer calls accept, which passes a new bundle to the acceptor, and puts the resulting bundle in force.
func (n *Node) offer(source string, accept func(*bundle.Acceptor) (*bundle.Bundle, error)) error {
	n.bundles.mu.Lock()
	defer n.bundles.mu.Unlock()
	b, err := accept(n.bundles.acceptor)
	if err != nil {
		n.recordBundleError(source, err)
		return err
	}
	n.bundles.lastError = ""
	if err := n.bundleProvider.Set(n.bundles.acceptor.InForce()); err != nil {
		return err
	}
	n.applyRetryBudget(b.Policy)
	n.quarantine.SetPolicy(b.Policy.QuarantineDeaths, b.Policy.QuarantineFor.D())
	n.linkBudget.SetPolicy(b.Policy)
	n.linkBudget.SetPrioritized(b.HasContendedCapacity())
	n.bundles.inForce.Store(b)
	n.applyRateLimits(b)
	n.applyGateLimits()
	n.engine.SetBundle(b)
	n.logger.Info("bundle in force", "event", "bundle_in_force", "version", b.Version, "source", source)
	return nil
}

// applyRetryBudget sets this node's share of the budget for additional attempts. A budget in the settings applies to
// the whole fleet and is divided among the live nodes.
func (n *Node) applyRetryBudget(p bundle.Policy) {
	n.budget.SetPolicy(time.Now(), p.RetryShare, p.RetryMinPerSecond)
	r := n.retrySettings.Load()
	if r.Window == 0 {
		return
	}
	live := 0
	for _, m := range n.engine.Records() {
		if membership.Live(m.State) {
			live++
		}
	}
	share, floor := retry.NodeShare(r.Share, r.Floor, live)
	n.serviceBudgets.SetLimits(r.Window, share, floor)
}

// recordBundleError logs why a bundle was refused and keeps the error, which BundleVersion returns. It ignores the
// errors that occur in normal operation: the bundle is not newer, is a delta from another base, or the peer has none.
// The caller holds n.bundles.mu.
func (n *Node) recordBundleError(source string, err error) {
	if errors.Is(err, bundle.ErrUnchanged) || errors.Is(err, bundle.ErrOlder) ||
		errors.Is(err, bundle.ErrBaseMismatch) || errors.Is(err, rollout.ErrNoBundle) {
		return
	}
	n.bundles.lastError = err.Error()
	n.logger.Error("bundle refused", "event", "bundle_refused", "source", source, "error", err)
}

// BundleVersion returns the version in force and the error of the last bundle that was refused since, if any.
func (n *Node) BundleVersion() (version uint64, refused string) {
	n.bundles.mu.Lock()
	defer n.bundles.mu.Unlock()
	return n.bundles.acceptor.Version(), n.bundles.lastError
}

// offerFromStore offers an envelope that this node read from the store.
func (n *Node) offerFromStore(e *bundle.Envelope) {
	_ = n.offer("store", func(a *bundle.Acceptor) (*bundle.Bundle, error) {
		return a.Offer(e)
	})
}

// fetchBundle fetches a newer bundle from a peer, as a delta if the peer still has this node's version.
func (n *Node) fetchBundle(version uint64, peerAddr string) {
	n.bundles.mu.Lock()
	have := n.bundles.acceptor.Version()
	busy := n.bundles.activeFetches > 0 && time.Since(n.bundles.lastFetchStart) < fetchHedgeDelay ||
		n.bundles.activeFetches >= maxConcurrentFetches
	if busy || version <= have || n.ctx.Err() != nil {
		n.bundles.mu.Unlock()
		return
	}
	n.bundles.activeFetches++
	n.bundles.lastFetchStart = time.Now()
	n.bundles.mu.Unlock()
	defer func() {
		n.bundles.mu.Lock()
		n.bundles.activeFetches--
		n.bundles.mu.Unlock()
	}()
	err := n.fetchBundleFrom(peerAddr, have)
	if errors.Is(err, bundle.ErrBaseMismatch) {
		err = n.fetchBundleFrom(peerAddr, 0)
	}
	if err != nil && !errors.Is(err, bundle.ErrUnchanged) && !errors.Is(err, bundle.ErrOlder) {
		n.logger.Info("failed to fetch bundle", "event", "bundle_fetch_failed", "peer", peerAddr, "error", err)
	}
}

func (n *Node) fetchBundleFrom(peerAddr string, have uint64) error {
	request := &wire.Frame{Kind: &wire.Frame_BundleRequest{BundleRequest: &wire.BundleRequest{HaveVersion: have}}}
	f, err := n.exchange(peerAddr, request, fetchTimeout)
	if err != nil {
		return err
	}
	return n.offer(peerAddr, func(a *bundle.Acceptor) (*bundle.Bundle, error) {
		return rollout.OfferReply(a, f.GetBundleReply())
	})
}

func (n *Node) serveBundle(conn *peer.Conn, request *wire.BundleRequest) {
	reply, err := n.bundleReply(request)
	if err != nil {
		n.logger.Error("bundle request failed", "event", "bundle_request_failed", "error", err)
		return
	}
	_ = conn.Write(&wire.Frame{Kind: &wire.Frame_BundleReply{BundleReply: reply}})
}

// exchange sends one frame to a peer in a session of the control class and returns the reply.
func (n *Node) exchange(peerAddr string, f *wire.Frame, timeout time.Duration) (*wire.Frame, error) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	return n.exchangeWithin(ctx, peerAddr, f)
}

// exchangeWithin is like exchange, limited only by ctx.
func (n *Node) exchangeWithin(ctx context.Context, peerAddr string, f *wire.Frame) (*wire.Frame, error) {
	conn, err := n.peerPool.Open(ctx, peerAddr, peer.SessionControl)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.AllowBulkFrames()
	return conn.Exchange(ctx, f)
}

// syncWith exchanges the full member state with a peer. It ignores errors.
func (n *Node) syncWith(peerAddr string, request *wire.SyncRequest) {
	_ = n.trySync(peerAddr, request)
}

func (n *Node) trySync(peerAddr string, request *wire.SyncRequest) error {
	n.fleetList.introduced.Store(true)
	f, err := n.exchange(peerAddr, &wire.Frame{Kind: &wire.Frame_SyncRequest{SyncRequest: request}}, syncTimeout)
	if err != nil {
		return err
	}
	if f.GetSyncReply() == nil {
		return errors.Newf("unexpected %s from %s", frameName(f), peerAddr)
	}
	n.engine.HandleSyncReply(peerAddr, f.GetSyncReply())
	if f.GetSyncReply().GetCounted() {
		n.fleetList.counted.Store(true)
	}
	n.departures.peerReply.Store(true)
	return nil
}
