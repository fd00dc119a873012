package engine

import (
	"sync/atomic"
	"testing"

	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/wire"
)

// Guards against messages of the rate limits that are not delivered, or that use up the budget of the membership.
func TestTokenMessagesHaveABudgetOfTheirOwn(t *testing.T) {
	net := &testNet{nodes: map[string]*testNode{}}
	var requests, grants atomic.Int64
	a := net.start(t, 1, func(_ *Config, h *Hooks) {
		h.OnTokens = func(from string, d *wire.Datagram) {
			if from == "node-2" && d.GetTokenGrant().GetSeq() == 7 {
				grants.Add(1)
			}
		}
	})
	var b *testNode
	b = net.start(t, 2, func(_ *Config, h *Hooks) {
		h.OnTokens = func(from string, d *wire.Datagram) {
			requests.Add(1)
			b.SendTokens(from, &wire.Datagram{Kind: &wire.Datagram_TokenGrant{TokenGrant: &wire.TokenGrant{Seq: d.GetTokenRequest().GetSeq()}}})
		}
	})
	net.join(b, a)
	waitFor(t, "nodes know each other", func() bool { return len(a.Members()) == 2 && len(b.Members()) == 2 })
	send := func() {
		a.SendTokens("node-2", &wire.Datagram{Kind: &wire.Datagram_TokenRequest{TokenRequest: &wire.TokenRequest{Seq: 7, Amounts: []*wire.TokenAmount{{Account: "lagos"}}}}})
	}
	send()
	waitFor(t, "a reply arrives", func() bool { return grants.Load() == 1 })
	for a.Counters().OverBudget.Load() == 0 {
		send()
	}
	if sent := a.Counters().SentBytes[membership.KindTokenRequest].Load(); sent < tokenBytesPerSecond || sent > 3*tokenBytesPerSecond {
		t.Errorf("%d bytes sent before the budget of %d was exhausted", sent, tokenBytesPerSecond)
	}
	a.SendTokens("unknown", &wire.Datagram{Kind: &wire.Datagram_TokenGrant{TokenGrant: &wire.TokenGrant{}}})
	acks := a.Counters().ReceivedMessages[membership.KindAck].Load()
	waitFor(t, "pings are still sent", func() bool { return a.Counters().ReceivedMessages[membership.KindAck].Load() > acks })
}
