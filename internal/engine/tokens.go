package engine

import (
	"time"

	"golang.org/x/time/rate"

	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/wire"
)

const (
	// tokenBytesPerSecond limits the messages of the rate limits within the region, including IP and UDP headers. A pool node
	// answers a few hundred requests of about 100 bytes per second.
	tokenBytesPerSecond = 64_000
	// tokenLinkBytesPerSecond limits those to other regions. Each region has 2 to 4 pool nodes that send any.
	tokenLinkBytesPerSecond = 4_000
)

// tokenBudgets limits the bytes of the messages of the rate limits, apart from the budget of the membership.
type tokenBudgets struct{ region, link *rate.Limiter }

func newTokenBudgets() tokenBudgets {
	return tokenBudgets{
		region: rate.NewLimiter(tokenBytesPerSecond, tokenBytesPerSecond),
		link:   rate.NewLimiter(tokenLinkBytesPerSecond, tokenLinkBytesPerSecond),
	}
}

// SendTokens sends a datagram of kind TokenRequest or TokenGrant to a member. A message to an unknown node, or above the
// budget, is dropped.
func (e *Engine) SendTokens(nodeID string, d *wire.Datagram) {
	e.update(func(now time.Time) {
		to := e.node.Record(nodeID)
		if to == nil {
			return
		}
		budget := e.tokenBudgets.region
		if to.Region != e.cfg.Region {
			budget = e.tokenBudgets.link
		}
		e.node.SendTokens(now, to, d, budget)
	})
}

// MembersVersion returns a counter that increases with every change of a member's record.
func (e *Engine) MembersVersion() uint64 {
	var version uint64
	e.view(func(node *membership.Node) { version = node.Version() })
	return version
}

// handleTokenMessage passes a message of the rate limits to Hooks.OnTokens.
func (e *Engine) handleTokenMessage(d *wire.Datagram) {
	switch d.Kind.(type) {
	case *wire.Datagram_TokenRequest, *wire.Datagram_TokenGrant:
		if hook := e.hooks.OnTokens; hook != nil {
			e.pendingHooks = append(e.pendingHooks, func() { hook(d.From, d) })
		}
	}
}
