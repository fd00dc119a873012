package faulttest

import (
	"fmt"
	"strings"

	"dandelionspoke/internal/node"
)

// describeNodes returns the state of each node, for the message of a failed test.
func (h *harness) describeNodes() string {
	var out strings.Builder
	for _, m := range h.Members {
		n := m.Node()
		if n == nil {
			fmt.Fprintf(&out, "\n%s is down", m.ID)
			continue
		}
		dump := n.Dump().(node.Dump)
		fmt.Fprintf(&out, "\n%s version=%d endpoints=%d backend=%v reader=%t members:", m.ID, m.Version(),
			n.EndpointCount(Service), dump.Backend != nil, dump.StoreReader)
		for _, member := range dump.Engine.Members {
			fmt.Fprintf(&out, " %s:%s", member.NodeID, member.State)
		}
		fmt.Fprintf(&out, " counters: %v", dump.Engine.Counters)
		if m.relay != nil {
			fmt.Fprintf(&out, " relay: received=%d forwarded=%d", m.relay.received.Load(), m.relay.forwarded.Load())
		}
	}
	return out.String()
}
