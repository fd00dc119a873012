package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/wire"
)

const (
	joinRetryInterval = 500 * time.Millisecond
	// rejoinInterval is the time between checks whether this node knows other nodes and has to join again.
	rejoinInterval = 3 * time.Second
	// firstJoinRetryInterval is the longest wait after the first attempt, in place of joinRetryInterval. It gives the
	// first nodes of a starting fleet time to write their addresses to the store.
	firstJoinRetryInterval = 250 * time.Millisecond
	// joinContacts is the number of nodes through which a starting node joins. After a power loss all nodes join each
	// other; with one contact each, they form separate groups that merge only seconds later.
	joinContacts = 3
	// joinMemberThreshold is the number of known members at which a node that has joined through a contact tries no
	// further ones: the fleet has not just started, and each contact would send its full member list.
	joinMemberThreshold = 64
	// maxJoinAddresses limits the addresses that one attempt tries; the next attempt reads the list again.
	maxJoinAddresses = 32
	// maxDomainAddresses is the largest number of addresses in a members object that is used. 23,000 nodes in 15 failure
	// domains have about 1,500 each.
	maxDomainAddresses = 8000
	// maxStoredDepartures limits the departures in a members object; the latest are kept.
	maxStoredDepartures = 2000
	// remoteJoinsPerRegion is the expected number of nodes per region that join through a node of another region first
	// when the whole region starts. An exchange of 86 members sends up to 40 kB over the billed inter-region link.
	remoteJoinsPerRegion = 8
)

// domainMembers is the content of the object members/DOMAIN: the addresses through which a starting node can join, and the
// latest departures of backend servers, which a node must know after a restart.
type domainMembers struct {
	FailureDomain string            `json:"failure_domain"`
	Region        string            `json:"region"`
	PeerAddresses []string          `json:"peer_addresses"`
	Departures    []storedDeparture `json:"departures,omitempty"`
}

// join contacts seeds, and nodes listed in the store, whenever this node knows no other node. It runs until the node is
// closed, so that a node that started first, or during a network partition, joins later.
func (n *Node) join() {
	retry := min(firstJoinRetryInterval, n.bootstrapDelay())
	for n.ctx.Err() == nil {
		wait := rejoinInterval
		switch {
		case !n.knowsNoOtherNode():
			// A node that others have found before it joins still has to count those that the store lists.
			if n.limits != nil && !n.joinAttempted.Load() {
				n.storedMembers()
			}
		case !n.tryJoin():
			wait, retry = retry, joinRetryInterval
		}
		n.joinAttempted.Store(true)
		if !sleep.For(n.ctx, wait) {
			return
		}
	}
}

// knowsNoOtherNode reports whether this node knows no other member, or only DEAD ones.
func (n *Node) knowsNoOtherNode() bool {
	for _, m := range n.engine.Records() {
		if m.NodeId != n.settings.NodeID && m.State != wire.MemberState_DEAD {
			return false
		}
	}
	return true
}

// joinStagger is the time after which the next address is tried while earlier ones are still pending. The VM of a
// stored address may no longer exist, and connects to it hang.
const joinStagger = 100 * time.Millisecond

// tryJoin contacts seeds and stored addresses, with staggered starts, until joinContacts of them have responded. It
// reports whether any has.
func (n *Node) tryJoin() bool {
	isSelf := func(a string) bool { return a == n.settings.Peer.Advertise }
	local, remote := splitByRegion(n.storedMembers(), n.settings.Region)
	local = slices.DeleteFunc(append(local, n.settings.Seeds...), isSelf)
	addresses := joinOrder(local, slices.DeleteFunc(remote, isSelf))
	addresses = addresses[:min(len(addresses), maxJoinAddresses)]
	results := make(chan bool, len(addresses))
	staggerTimer := time.NewTimer(0)
	defer staggerTimer.Stop()
	joined := 0
	for started, finished := 0, 0; finished < len(addresses) && joined < joinContacts; {
		if joined > 0 && len(n.engine.Records()) >= joinMemberThreshold {
			break
		}
		select {
		case <-n.ctx.Done():
			return false
		case ok := <-results:
			if ok {
				joined++
			}
			finished++
			staggerTimer.Reset(0)
		case <-staggerTimer.C:
			if started == len(addresses) {
				break
			}
			addr := addresses[started]
			started++
			n.background(func() { results <- n.joinThrough(addr) })
			staggerTimer.Reset(joinStagger)
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

// joinOrder returns the addresses in the order in which they are contacted: shuffled, those of the local region before
// those of other regions, but for one remote address. On about remoteJoinsPerRegion nodes of a region that address comes
// first, so that the regions learn of each other. On the other nodes it comes after joinContacts local ones, so that a
// node also joins when no node in its region responds.
func joinOrder(local, remote []string) []string {
	shuffle(local)
	shuffle(remote)
	if len(remote) == 0 {
		return local
	}
	remoteIndex := min(joinContacts, len(local))
	if rand.IntN(max(len(local), 1)) < remoteJoinsPerRegion {
		remoteIndex = 0
	}
	return slices.Concat(local[:remoteIndex], remote[:1], local[remoteIndex:], remote[1:])
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// splitByRegion returns the addresses in the given region and those in other regions.
func splitByRegion(domains []domainMembers, region string) (local, remote []string) {
	for _, d := range domains {
		if d.Region == region {
			local = append(local, d.PeerAddresses...)
		} else {
			remote = append(remote, d.PeerAddresses...)
		}
	}
	return local, remote
}

// storedMembers returns the well-formed objects under membersPrefix, or none if the store cannot be read.
func (n *Node) storedMembers() []domainMembers {
	if n.store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	introduced := n.fleetList.introduced.Load()
	objects, err := n.store.List(ctx, membersPrefix)
	if err != nil {
		n.departures.storeFailed.Store(true)
		n.logger.Info("failed to read members", "event", "store_read_failed", "error", err)
		return nil
	}
	var domains []domainMembers
	for _, o := range objects {
		if d, ok := n.decodeMembers(o.Key, o.Value); ok {
			domains = append(domains, d)
		}
	}
	n.fleetList.record(time.Now(), domains)
	if !introduced && n.isListed(domains) {
		n.fleetList.counted.Store(true)
	}
	n.restoreFromStore(domains)
	return domains
}

// isListed reports whether the list holds this node's address. If no process of this node has introduced itself since the list
// was written, every other node counts it: running ones keep its record, and starting ones count the list.
func (n *Node) isListed(domains []domainMembers) bool {
	return slices.ContainsFunc(domains, func(d domainMembers) bool {
		return slices.Contains(d.PeerAddresses, n.settings.Peer.Advertise)
	})
}

// decodeMembers decodes an object under membersPrefix. It logs a malformed object and malformed addresses.
func (n *Node) decodeMembers(key string, value []byte) (domainMembers, bool) {
	d, dropped, err := decodeDomainMembers(value)
	if err != nil || dropped > 0 {
		n.logger.Warn("malformed members object", "event", "members_malformed", "key", key, "dropped_addresses", dropped, "error", err)
	}
	return d, err == nil
}

// decodeDomainMembers decodes a members object, which may come from another writer. It drops addresses that no node can
// have, and returns their number. An object with more than maxDomainAddresses is an error.
func decodeDomainMembers(value []byte) (d domainMembers, dropped int, err error) {
	if err := json.Unmarshal(value, &d); err != nil {
		return domainMembers{}, 0, err
	}
	if len(d.PeerAddresses) > maxDomainAddresses {
		return domainMembers{}, 0, errors.Newf("%d addresses, allowed are %d", len(d.PeerAddresses), maxDomainAddresses)
	}
	stored := len(d.PeerAddresses)
	d.PeerAddresses = slices.DeleteFunc(d.PeerAddresses, func(address string) bool {
		parsed, err := netip.ParseAddrPort(address)
		return err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast()
	})
	return d, stored - len(d.PeerAddresses), nil
}
