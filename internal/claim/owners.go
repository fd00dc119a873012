package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownersPerDomain is the number of nodes of a failure domain that may own shards. With two, the loss
	// of one node leaves the shards in the domain.
	ownersPerDomain = 2
	// maxOwners bounds the nodes that own shards, whatever the size of the fleet. Few owners put many
	// claims into each write, and with WritesPerSecond of each they bound the writes of the fleet.
	maxOwners = 4
)

// Node is a live node with direct access to the store.
type Node struct {
	NodeID        string
	PeerAddr      string
	FailureDomain string
	// Near says that the node is in the store's region.
	InStoreRegion bool
}

type scored struct {
	node  Node
	place int // among the nodes of the failure domain
	score uint64
}

func byScore(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.NodeID, b.node.NodeID))
}

// owners returns the nodes that own shards: those in the store's region if there are any, since a write
// carries a whole shard and a claim only some hundred bytes; at most ownersPerDomain of each failure
// domain and maxOwners in all. Each is chosen by rendezvous hash, so that a change of the fleet moves few
// shards. Nodes with different views may disagree, which costs conflicts and is safe.
func owners(nodes []Node) []Node {
	near := slices.ContainsFunc(nodes, func(n Node) bool { return n.InStoreRegion })
	domains := map[string][]scored{}
	for _, n := range nodes {
		if n.InStoreRegion == near {
			s := scored{node: n, score: rendezvous("owner", n.NodeID)}
			domains[n.FailureDomain] = append(domains[n.FailureDomain], s)
		}
	}
	var best []scored
	for _, members := range domains {
		slices.SortFunc(members, byScore)
		for place := range min(ownersPerDomain, len(members)) {
			members[place].place = place
			best = append(best, members[place])
		}
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Or(cmp.Compare(a.place, b.place), byScore(a, b)) })
	return nodesOf(best[:min(maxOwners, len(best))])
}

// ranked orders the owners for one shard of a service; the first one is the shard's owner.
func ranked(owners []Node, service string, shard int) []Node {
	label := service + "/" + strconv.Itoa(shard)
	order := make([]scored, 0, len(owners))
	for _, n := range owners {
		order = append(order, scored{node: n, score: rendezvous(label, n.NodeID)})
	}
	slices.SortFunc(order, byScore)
	return nodesOf(order)
}

func nodesOf(list []scored) []Node {
	nodes := make([]Node, 0, len(list))
	for _, s := range list {
		nodes = append(nodes, s.node)
	}
	return nodes
}

func rendezvous(label, nodeID string) uint64 { return xxhash.Sum64String(label + "\x00" + nodeID) }
