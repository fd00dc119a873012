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

// uptime returns the time since the node was created.
func (n *Node) uptime() time.Duration { return time.Since(n.createdAt) }

// EndpointCount returns the number of endpoints of a service in this node's endpoint table.
func (n *Node) EndpointCount(service string) int {
	if svc := n.snapshots.Load().Service(service); svc != nil {
		return len(svc.Endpoints)
	}
	return 0
}
