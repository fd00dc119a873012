package node

import (
	"slices"
	"time"

	"dandelionspoke/internal/wire"
)

func frameName(f *wire.Frame) string {
	if f.GetKind() == nil {
		return "empty"
	}
	return string(f.ProtoReflect().WhichOneof(f.ProtoReflect().Descriptor().Oneofs().Get(0)).Name())
}

// domainAddresses returns the peer addresses of the live nodes in this node's failure domain, sorted.
func (n *Node) domainAddresses() []string {
	var addresses []string
	for _, m := range n.engine.Records() {
		if m.State == wire.MemberState_ALIVE && m.FailureDomain == n.settings.FailureDomain {
			addresses = append(addresses, m.PeerAddr)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// fleetRank returns the rank of this node's ID among those of the members that are not DEAD, and false while it knows no
// other. Nodes that know different members may get the same rank.
func (n *Node) fleetRank() (rank int, ok bool) {
	for _, m := range n.engine.Records() {
		if m.State == wire.MemberState_DEAD || m.NodeId == n.settings.NodeID {
			continue
		}
		ok = true
		if m.NodeId < n.settings.NodeID {
			rank++
		}
	}
	return rank, ok
}

// uptime returns the time since the node was created.
func (n *Node) uptime() time.Duration { return time.Since(n.createdAt) }

// EndpointCount returns the number of endpoints of a service in this node's endpoint table.
func (n *Node) EndpointCount(service string) int {
	if svc := n.snapshots.Load().Service(service); svc != nil {
		return len(svc.Endpoints)
	}
	return 0
}
