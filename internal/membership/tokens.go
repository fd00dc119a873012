package membership

import (
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

// SendTokens sends a message of the rate limits to a member, unless budget, which is in bytes, is exhausted. It carries no
// updates and does not count against the budget of the other datagrams. It reports whether the datagram was sent.
func (n *Node) SendTokens(now time.Time, to *wire.Member, d *wire.Datagram, budget *rate.Limiter) bool {
	d.From = n.self.NodeId
	d.Incarnation = n.self.Incarnation
	d.BundleVersion = n.bundleVersion
	data, err := proto.Marshal(d)
	if err != nil || len(data) > wire.MaxDatagramBytes {
		n.counters.SendErrors.Add(1)
		return false
	}
	if !budget.AllowN(now, len(data)+ipUDPHeaderBytes) {
		n.counters.OverBudget.Add(1)
		return false
	}
	k := KindOf(d)
	n.counters.SentMessages[k].Add(1)
	n.counters.SentBytes[k].Add(uint64(len(data) + ipUDPHeaderBytes))
	n.out.SendDatagram(to.UdpAddr, data)
	return true
}
