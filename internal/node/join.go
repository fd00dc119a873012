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
	// joinEnough is the number of members from which further contacts are not asked: the fleet has not just started, and
	// each would send its whole list.
	joinEnough = 64
	// maxJoinTries bounds the addresses that one attempt tries; the next one reads the list anew.
	maxJoinTries = 32
	// farJoins is about the number of the nodes of a region, when all of them start, that join through one of another
	// region first. An exchange of 86 members takes up to 40 kB of the paid link.
	farJoins = 8
)

// domainMembers is the object members/DOMAIN: the addresses through which a starting node can join.
type domainMembers struct {
	FailureDomain string   `json:"failure_domain"`
	Region        string   `json:"region"`
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

// joinOnce contacts seeds and stored addresses, one after the other, until joinContacts have answered. It reports
// whether one has.
func (n *Node) joinOnce() bool {
	isSelf := func(a string) bool { return a == n.settings.Peer.Advertise }
	near, far := splitMembers(n.storedMembers(), n.settings.Region)
	near = slices.DeleteFunc(append(near, n.settings.Seeds...), isSelf)
	addresses := joinOrder(near, slices.DeleteFunc(far, isSelf))
	addresses = addresses[:min(len(addresses), maxJoinTries)]
	answered := make(chan bool, len(addresses))
	next := time.NewTimer(0)
	defer next.Stop()
	joined := 0
	for started, ended := 0, 0; ended < len(addresses) && joined < joinContacts; {
		if joined > 0 && len(n.engine.Records()) >= joinEnough {
			break
		}
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
			next.Reset(joinStagger)
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

// joinOrder returns the addresses in the order in which they are contacted: random, those of the own region first. In
// about farJoins of the nodes of a region, one of another region comes in front, so that the regions meet; in the
// others it comes after joinContacts, so that a node also joins when nobody in its region answers.
func joinOrder(near, far []string) []string {
	shuffle(near)
	shuffle(far)
	if len(far) == 0 {
		return near
	}
	place := min(joinContacts, len(near))
	if rand.IntN(max(len(near), 1)) < farJoins {
		place = 0
	}
	return slices.Concat(near[:place], far[:1], near[place:], far[1:])
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// splitMembers returns the addresses in the given region and those in others.
func splitMembers(domains []domainMembers, region string) (near, far []string) {
	for _, d := range domains {
		if d.Region == region {
			near = append(near, d.PeerAddresses...)
		} else {
			far = append(far, d.PeerAddresses...)
		}
	}
	return near, far
}

// storedMembers returns the objects under membersPrefix that can be read.
func (n *Node) storedMembers() []domainMembers {
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
	var domains []domainMembers
	for _, o := range objects {
		if d, ok := n.decodeMembers(o.Key, o.Value); ok {
			domains = append(domains, d)
		}
	}
	return domains
}

// decodeMembers decodes an object under membersPrefix. It logs one that can't be read.
func (n *Node) decodeMembers(key string, value []byte) (domainMembers, bool) {
	d := domainMembers{}
	if err := json.Unmarshal(value, &d); err != nil {
		n.logger.Warn("members not read", "event", "members_malformed", "key", key, "error", err)
		return d, false
	}
	return d, true
}
