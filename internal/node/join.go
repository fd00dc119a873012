package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/wire"
)

const (
	joinRetryInterval = 500 * time.Millisecond
	// rejoinInterval is the time between attempts while a node with seeds or a store knows no other node.
	rejoinInterval = 3 * time.Second
	// firstJoinRetry is joinRetryInterval after the first attempt. It leaves the first nodes of a fleet that starts time
	// to write their addresses.
	firstJoinRetry = 250 * time.Millisecond
	// joinContacts is the number of nodes that a starting node joins through. After a loss of power all nodes join each
	// other; through one contact each, they form groups that meet only seconds later.
	joinContacts = 3
)

// domainMembers is the object members/DOMAIN: the addresses through which a starting node can join.
type domainMembers struct {
	FailureDomain string   `json:"failure_domain"`
	PeerAddresses []string `json:"peer_addresses"`
}

// join contacts seeds, and nodes listed in the store, until another node answers. It goes on while the
// node is alone, so that a node that started first, or during a cut, joins later.
func (n *Node) join() {
	retry := min(firstJoinRetry, n.bootstrapDelay())
	for n.ctx.Err() == nil {
		wait := rejoinInterval
		if n.alone() && !n.joinOnce() {
			wait, retry = retry, joinRetryInterval
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

// joinOnce contacts the known addresses in random order until joinContacts have answered. It reports whether one has.
func (n *Node) joinOnce() bool {
	addresses := slices.Concat(n.settings.Seeds, n.storedAddresses())
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == n.settings.Peer.Advertise })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	answered := make(chan bool, len(addresses))
	next := time.NewTimer(0)
	defer next.Stop()
	joined := 0
	for started, ended := 0, 0; ended < len(addresses) && joined < joinContacts; {
		select {
		case <-n.ctx.Done():
			return false
		case ok := <-answered:
			if ok {
				joined++
			}
			ended++
			next.Reset(0)
		case <-next.C:
			if started == len(addresses) {
				break
			}
			addr := addresses[started]
			started++
			n.background(func() { answered <- n.joinThrough(addr) })
			if started < joinContacts {
				next.Reset(0)
			} else {
				next.Reset(joinStagger)
			}
		}
	}
	return joined > 0
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
