package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/wire"
)

const (
	// claimOpenTimeout is the timeout for opening a stream to the owner of a claim; after it the router tries the
	// next owner.
	claimOpenTimeout = 500 * time.Millisecond
	// claimWritesPerSecond limits the claim writes of one node; see docs/design.md for the limit of the fleet.
	claimWritesPerSecond = 50
	// claimStoreCallShare is the share of the node's store calls that claim writes may use. The rest is for reads
	// of shards that are not cached, and for the bundle.
	claimStoreCallShare = 0.5
)

func (n *Node) newClaimRouter() *claim.Router {
	if n.store != nil {
		n.claimers = claim.NewClaimerSet(claim.Config{
			Store: n.store, Retention: n.claimRetention, WritesPerSecond: n.claimWriteRate(), Log: n.logger,
			OwnedSince: func(service string, shard int) (time.Time, bool) { return n.claimRouter.OwnedSince(service, shard) },
		})
	}
	return claim.NewRouter(claim.RouterConfig{
		Self: n.settings.NodeID, Local: n.claimers, StoreRegion: n.settings.Store.Region, Nodes: n.claimNodes, Call: n.callClaims,
		Draining: n.draining.Load, Log: n.logger,
	})
}

// claimWriteRate returns the limit of claim writes per second. It stays below the rate at which the store client
// throttles calls; a store that was passed to New has no such rate.
func (n *Node) claimWriteRate() float64 {
	if n.settings.Store.URL == "" {
		return claimWritesPerSecond
	}
	return min(claimWritesPerSecond, n.settings.Store.CallsPerSecond*claimStoreCallShare)
}

// storeAccess returns this node's access to the store as it is reported to other nodes.
func (n *Node) storeAccess() wire.StoreAccess {
	switch {
	case n.store == nil:
		return wire.StoreAccess_NO_STORE
	case n.settings.Store.Region == n.settings.Region:
		return wire.StoreAccess_NEAR
	default:
		return wire.StoreAccess_DIRECT
	}
}

// claimNodes returns the live nodes that may own claims.
func (n *Node) claimNodes() []claim.Node {
	var nodes []claim.Node
	for _, m := range n.engine.Records() {
		if m.State != wire.MemberState_ALIVE || m.StoreAccess == wire.StoreAccess_NO_STORE {
			continue
		}
		nodes = append(nodes, claim.Node{
			NodeID: m.NodeId, PeerAddr: m.PeerAddr, FailureDomain: m.FailureDomain, Region: m.Region,
			InStoreRegion: m.StoreAccess == wire.StoreAccess_NEAR,
		})
	}
	return nodes
}

// callClaims implements claim.RouterConfig.Call.
func (n *Node) callClaims(ctx context.Context, peerAddr string, r *wire.ClaimRequest) (reply *wire.ClaimReply, sent bool, err error) {
	openCtx, cancel := context.WithTimeout(ctx, claimOpenTimeout)
	defer cancel()
	conn, err := n.peerPool.Open(openCtx, peerAddr, peer.SessionControl)
	if err != nil {
		return nil, false, err
	}
	defer conn.Close()
	f, err := conn.Exchange(ctx, &wire.Frame{Kind: &wire.Frame_ClaimRequest{ClaimRequest: r}})
	if err != nil {
		return nil, true, err
	}
	if f.GetClaimReply() == nil {
		return nil, true, errors.Newf("unexpected %s from %s", frameName(f), peerAddr)
	}
	return f.GetClaimReply(), true, nil
}

// claimRetention returns the time for which claims are kept.
func (n *Node) claimRetention() time.Duration {
	if b := n.bundles.inForce.Load(); b != nil {
		return b.Policy.ClaimRetention.D()
	}
	return claim.MinRetention
}
