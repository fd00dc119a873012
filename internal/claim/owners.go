package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownersPerDomain is the maximum number of owners in one failure domain. With two, the domain still
	// has an owner after the loss of one node.
	ownersPerDomain = 2
	// maxOwners is the maximum number of owners in a fleet of any size. With few owners, each write holds
	// many claims, and the write rate of the fleet is at most maxOwners times Config.WritesPerSecond.
	maxOwners = 4
)

// Node is a live node with direct access to the store.
type Node struct {
	NodeID        string
	PeerAddr      string
	FailureDomain string
	Region        string
	// InStoreRegion reports whether the node is in the store's region.
	InStoreRegion bool
}

type scoredNode struct {
	node  Node
	rank  int // by score among the nodes of the failure domain; 0 is the highest score
	score uint64
}

func byScore(a, b scoredNode) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.NodeID, b.node.NodeID))
}

// selectOwners returns the nodes that own shards: at most ownersPerDomain in each failure domain and
// maxOwners in total. If any node is in the store's region, only nodes in that region are selected,
// because a write to the store carries a whole shard, while a request to an owner carries only a few
// hundred bytes. Selection is by rendezvous hashing, so that a change of the fleet moves few shards.
// Nodes with different membership views may select different owners; this is safe and only causes
// write conflicts.
func selectOwners(nodes []Node) []Node {
	anyInStoreRegion := slices.ContainsFunc(nodes, func(n Node) bool { return n.InStoreRegion })
	domains := map[string][]scoredNode{}
	for _, n := range nodes {
		if n.InStoreRegion == anyInStoreRegion {
			s := scoredNode{node: n, score: rendezvousScore("owner", n.NodeID)}
			domains[n.FailureDomain] = append(domains[n.FailureDomain], s)
		}
	}
	var chosen []scoredNode
	for _, members := range domains {
		slices.SortFunc(members, byScore)
		for rank := range min(ownersPerDomain, len(members)) {
			members[rank].rank = rank
			chosen = append(chosen, members[rank])
		}
	}
	slices.SortFunc(chosen, func(a, b scoredNode) int { return cmp.Or(cmp.Compare(a.rank, b.rank), byScore(a, b)) })
	return nodesOf(chosen[:min(maxOwners, len(chosen))])
}

// rankOwners returns the owners in order of preference for one shard of a service. The first one is the
// shard's owner.
func rankOwners(owners []Node, service string, shard int) []Node {
	label := service + "/" + strconv.Itoa(shard)
	order := make([]scoredNode, 0, len(owners))
	for _, n := range owners {
		order = append(order, scoredNode{node: n, score: rendezvousScore(label, n.NodeID)})
	}
	slices.SortFunc(order, byScore)
	return nodesOf(order)
}

func nodesOf(list []scoredNode) []Node {
	nodes := make([]Node, 0, len(list))
	for _, s := range list {
		nodes = append(nodes, s.node)
	}
	return nodes
}

func rendezvousScore(label, nodeID string) uint64 { return xxhash.Sum64String(label + "\x00" + nodeID) }
