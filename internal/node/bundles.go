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
	// fetchPatience is the time after which another peer is asked beside one that has not answered: the node that
	// tells of a new bundle may die right after it.
	fetchPatience = 300 * time.Millisecond
	// maxFetches bounds the peers that are asked at a time.
	maxFetches  = 3
	syncTimeout = 5 * time.Second
)

// bundleState guards the acceptor, which decides what is put in force.
type bundleState struct {
	mu       sync.Mutex
	acceptor *bundle.Acceptor
	// lastError is why the newest bundle that was offered is not in force; empty if it is.
	lastError string
	// fetching counts the fetches under way, the newest of which began at fetchBegan.
	fetching   int
	fetchBegan time.Time
	inForce    atomic.Pointer[bundle.Bundle]
}

// offer passes a candidate to the acceptor and puts the result in force.
func (n *Node) offer(source string, candidate func(*bundle.Acceptor) (*bundle.Bundle, error)) error {
	n.bundles.mu.Lock()
	defer n.bundles.mu.Unlock()
	b, err := candidate(n.bundles.acceptor)
	if err != nil {
		n.bundleRefused(source, err)
		return err
	}
	n.bundles.lastError = ""
	if err := n.provider.Set(n.bundles.acceptor.InForce()); err != nil {
		return err
	}
	n.applyRetryBudget(b.Policy)
	n.quarantine.SetPolicy(b.Policy.QuarantineDeaths, b.Policy.QuarantineFor.D())
	n.link.SetPolicy(b.Policy)
	n.bundles.inForce.Store(b)
	n.applyLimits()
	n.engine.SetBundle(b)
	n.logger.Info("bundle in force", "event", "bundle_in_force", "version", b.Version, "source", source)
	return nil
}

// applyRetryBudget sets this node's part of the budget of further attempts. A budget in the settings is that of
// the fleet and is divided among the live nodes.
func (n *Node) applyRetryBudget(p bundle.Policy) {
	n.budget.SetPolicy(time.Now(), p.RetryShare, p.RetryMinPerSecond)
	r := n.retry.Load()
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
	n.windows.SetLimits(r.Window, share, floor)
}

func (n *Node) bundleRefused(source string, err error) {
	if errors.Is(err, bundle.ErrUnchanged) || errors.Is(err, bundle.ErrOlder) ||
		errors.Is(err, bundle.ErrBaseMismatch) || errors.Is(err, rollout.ErrNoBundle) {
		return
	}
	n.bundles.lastError = err.Error()
	n.logger.Error("bundle refused", "event", "bundle_refused", "source", source, "error", err)
}

// BundleVersion returns the version in force and why a newer one was refused, if any.
func (n *Node) BundleVersion() (version uint64, refused string) {
	n.bundles.mu.Lock()
	defer n.bundles.mu.Unlock()
	return n.bundles.acceptor.Version(), n.bundles.lastError
}

// deliver takes an envelope that this node read from the store.
func (n *Node) deliver(e *bundle.Envelope) {
	_ = n.offer("store", func(a *bundle.Acceptor) (*bundle.Bundle, error) {
		return a.Offer(e)
	})
}

// fetchBundle gets a newer bundle from a peer, as a delta if the peer knows this node's version.
func (n *Node) fetchBundle(version uint64, peerAddr string) {
	n.bundles.mu.Lock()
	have := n.bundles.acceptor.Version()
	busy := n.bundles.fetching > 0 && time.Since(n.bundles.fetchBegan) < fetchPatience || n.bundles.fetching >= maxFetches
	if busy || version <= have || n.ctx.Err() != nil {
		n.bundles.mu.Unlock()
		return
	}
	n.bundles.fetching++
	n.bundles.fetchBegan = time.Now()
	n.bundles.mu.Unlock()
	defer func() {
		n.bundles.mu.Lock()
		n.bundles.fetching--
		n.bundles.mu.Unlock()
	}()
	err := n.fetchFrom(peerAddr, have)
	if errors.Is(err, bundle.ErrBaseMismatch) {
		err = n.fetchFrom(peerAddr, 0)
	}
	if err != nil && !errors.Is(err, bundle.ErrUnchanged) && !errors.Is(err, bundle.ErrOlder) {
		n.logger.Info("bundle not fetched", "event", "bundle_fetch_failed", "peer", peerAddr, "error", err)
	}
}

func (n *Node) fetchFrom(peerAddr string, have uint64) error {
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
	reply, err := n.provider.Reply(request)
	if err != nil {
		n.logger.Error("bundle request failed", "event", "bundle_request_failed", "error", err)
		return
	}
	_ = conn.Write(&wire.Frame{Kind: &wire.Frame_BundleReply{BundleReply: reply}})
}

// exchange sends one frame to a peer on the control lane and returns the answer.
func (n *Node) exchange(peerAddr string, f *wire.Frame, timeout time.Duration) (*wire.Frame, error) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	conn, err := n.pool.Open(ctx, peerAddr, peer.SessionControl)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.AllowBulkFrames()
	return conn.Exchange(ctx, f)
}

// syncWith exchanges full member state with a peer.
func (n *Node) syncWith(peerAddr string, request *wire.SyncRequest) {
	_ = n.trySync(peerAddr, request)
}

func (n *Node) trySync(peerAddr string, request *wire.SyncRequest) error {
	f, err := n.exchange(peerAddr, &wire.Frame{Kind: &wire.Frame_SyncRequest{SyncRequest: request}}, syncTimeout)
	if err != nil {
		return err
	}
	if f.GetSyncReply() == nil {
		return errors.Newf("unexpected %s from %s", frameName(f), peerAddr)
	}
	n.engine.HandleSyncReply(peerAddr, f.GetSyncReply())
	return nil
}
