package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/wire"
)

const (
	// membersCheckFirst and membersCheckMost bound the time between two reads of the domain's addresses while they
	// do not change here. Nodes that start at the same moment may form groups that do not know of each other;
	// most of these meet within seconds.
	membersCheckFirst = membersWriteInterval
	membersCheckMost  = 30 * time.Second
	// maxStoredJoins bounds the unknown addresses that one check of the domain's object tries.
	maxStoredJoins = 8
)

// writeStatus writes the domain's rollout progress while this node is a reader.
func (n *Node) writeStatus(ctx context.Context) {
	if n.settings.Bundle.Unsigned {
		return // operators who write bundles to the store themselves read no status there
	}
	status := rollout.StatusWriter{Store: n.store}
	for sleep.For(ctx, membersWriteInterval) {
		s := rollout.Summarize(n.settings.FailureDomain, n.settings.NodeID, n.liveMembers(), time.Now())
		if err := status.Publish(ctx, s); err != nil {
			n.logger.Info("status not written", "event", "store_write_failed", "error", err)
		}
	}
}

// keepMembers keeps the addresses of the domain's nodes in the store while this node is a reader, and joins nodes
// that it finds there without knowing them.
func (n *Node) keepMembers(ctx context.Context) {
	var written []string
	interval, nextCheck := membersCheckFirst, time.Now()
	for ctx.Err() == nil {
		changed := !slices.Equal(n.domainAddresses(), written)
		if changed || !time.Now().Before(nextCheck) {
			addresses, err := n.mergeMembers(ctx)
			if err != nil {
				n.logger.Info("members not written", "event", "store_write_failed", "error", err)
			} else {
				written = addresses
			}
			nextCheck = time.Now().Add(interval)
			interval = min(2*interval, membersCheckMost)
		}
		if !sleep.For(ctx, membersWriteInterval) {
			return
		}
	}
}

// mergeMembers joins the nodes of the domain's object that this node does not know, and writes the addresses that
// hold afterwards. A conflict means that the domain's other reader wrote; the caller tries again.
func (n *Node) mergeMembers(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := membersPrefix + n.settings.FailureDomain
	old, err := n.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return nil, err
	}
	n.joinUnknown(key, old.Value)
	addresses := n.domainAddresses()
	value, err := json.Marshal(domainMembers{
		FailureDomain: n.settings.FailureDomain, Region: n.settings.Region, PeerAddresses: addresses,
	})
	if err != nil {
		return nil, err
	}
	if string(value) == string(old.Value) {
		return addresses, nil
	}
	_, err = n.store.Put(ctx, key, value, old.Version)
	return addresses, err
}

// joinUnknown joins the first stored address of which no member is known. One exchange brings all members of
// its group.
func (n *Node) joinUnknown(key string, stored []byte) {
	if len(stored) == 0 {
		return
	}
	d, ok := n.decodeMembers(key, stored)
	if !ok {
		return
	}
	known := map[string]bool{n.settings.Peer.Advertise: true}
	for _, m := range n.engine.Records() {
		known[m.PeerAddr] = known[m.PeerAddr] || m.State != wire.MemberState_DEAD
	}
	tries := 0
	for _, addr := range d.PeerAddresses {
		if known[addr] {
			continue
		}
		if tries++; tries > maxStoredJoins {
			return
		}
		err := n.trySync(addr, n.engine.SyncRequest())
		n.logger.Info("unknown member found in the store", "event", "member_found", "address", addr, "error", err)
		if err == nil {
			return
		}
	}
}
