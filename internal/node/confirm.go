package node

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// bundleConfirmed returns the function that tells the ingress whether the bundle may be used for requests with a key; nil if
// it always may.
func (n *Node) bundleConfirmed() func() bool {
	if !n.settings.Accounts.RequireConfirmation {
		return nil
	}
	return func() bool { return n.confirmation.Within(time.Now(), n.settings.Accounts.Revocation) }
}

// configureReader makes a reader of the store confirm the bundle, if keys depend on it.
func (n *Node) configureReader(r *rollout.Reader) {
	if n.settings.Accounts.RequireConfirmation {
		r.OnConfirmed, r.ConfirmInterval = n.confirmation.RecordRead, account.ConfirmInterval(n.settings.Accounts.Revocation)
	}
}

// confirmBundle asks other nodes whether the bundle in force is the latest, until the node is closed.
func (n *Node) confirmBundle() {
	sources := confirmationSources{node: n}
	f := account.Follower{
		Confirmation: &n.confirmation, Revocation: n.settings.Accounts.Revocation, Sources: sources.addresses, Ask: n.askConfirmation,
		OnChange: func(confirmed bool, err error) {
			n.logger.Info("confirmation of the bundle changed", "event", "bundle_confirmation", "confirmed", confirmed, "error", err)
		},
	}
	f.Run(n.ctx)
}

const (
	// sourcesInterval is the minimum time between two computations of the nodes to ask. One takes 10 ms with 23,000 members,
	// and with so many the members change all the time. A node that has left in the meantime costs one request.
	sourcesInterval = 5 * time.Second
	// startupSourcesInterval replaces it during sourcesStartup, in which a node learns the members.
	startupSourcesInterval = 200 * time.Millisecond
	sourcesStartup         = 5 * time.Second
)

// confirmationSources caches the addresses of the nodes to ask.
type confirmationSources struct {
	node       *Node
	seen       *table.Snapshot
	cached     []string
	computedAt time.Time
}

func (c *confirmationSources) addresses() []string {
	interval := sourcesInterval
	if c.node.uptime() < sourcesStartup {
		interval = startupSourcesInterval
	}
	snapshot := c.node.snapshots.Load()
	if !c.computedAt.IsZero() && (snapshot == c.seen || time.Since(c.computedAt) < interval) {
		return c.cached
	}
	live := c.node.liveMembers()
	c.seen, c.cached, c.computedAt = snapshot, nil, time.Now()
	for _, m := range rollout.ConfirmationSources(c.node.settings.NodeID, live, readersPerDomain(live)) {
		c.cached = append(c.cached, m.PeerAddr)
	}
	return c.cached
}

// askConfirmation requests the confirmation of a peer, together with its bundle if that is newer.
func (n *Node) askConfirmation(ctx context.Context, peerAddr string) (age time.Duration, confirmed bool, err error) {
	version, _ := n.BundleVersion()
	reply, err := n.requestBundle(ctx, peerAddr, version)
	if errors.Is(err, bundle.ErrBaseMismatch) {
		reply, err = n.requestBundle(ctx, peerAddr, 0)
	}
	if err != nil && !errors.Is(err, bundle.ErrUnchanged) && !errors.Is(err, bundle.ErrOlder) {
		return 0, false, err
	}
	return time.Duration(reply.GetConfirmedAgeMs()) * time.Millisecond, reply.GetHasConfirmedAge(), nil
}

// requestBundle requests the bundle of a peer and offers it to this node. An error other than that of the exchange is that of
// the offer; the reply is valid then.
func (n *Node) requestBundle(ctx context.Context, peerAddr string, have uint64) (*wire.BundleReply, error) {
	request := &wire.Frame{Kind: &wire.Frame_BundleRequest{BundleRequest: &wire.BundleRequest{HaveVersion: have}}}
	f, err := n.exchangeWithin(ctx, peerAddr, request)
	if err != nil {
		return nil, err
	}
	reply := f.GetBundleReply()
	return reply, n.offer(peerAddr, func(a *bundle.Acceptor) (*bundle.Bundle, error) { return rollout.OfferReply(a, reply) })
}

// bundleReply returns the reply to a bundle request, with the age of this node's confirmation if keys depend on it. The age is
// taken before the bundle: a confirmation also holds for later bundles, but not for earlier ones.
func (n *Node) bundleReply(request *wire.BundleRequest) (*wire.BundleReply, error) {
	age, confirmed := n.confirmation.Age(time.Now())
	reply, err := n.bundleProvider.Reply(request)
	if err != nil || !confirmed || !n.settings.Accounts.RequireConfirmation {
		return reply, err
	}
	// The age is rounded up, and one that does not fit is not stated.
	if ms := (age + time.Millisecond - 1).Milliseconds(); ms <= math.MaxUint32 {
		reply.ConfirmedAgeMs, reply.HasConfirmedAge = uint32(ms), true
	}
	return reply, nil
}
