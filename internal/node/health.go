package node

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/sleep"
)

const (
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 300 * time.Millisecond
	// healthFailureThreshold is the number of consecutive failures after which a backend server counts as down.
	healthFailureThreshold = 3
)

// healthCheck detects whether the backend server on this node's VM is down. Health endpoints can report stale or wrong
// results, and a service with little traffic has too few responses to contradict them. So only a closed port counts as
// a failure, and only while the gate receives no response from the server either.
type healthCheck struct {
	failures          int
	ranAtFirstFailure int64 // responses that the gate had received at the first failure
	down              bool
}

// observe records one check and reports whether the server counts as down. ran is the number of responses that the
// gate has received from the server so far.
func (h *healthCheck) observe(listening bool, ran int64) bool {
	if listening {
		*h = healthCheck{}
		return false
	}
	if h.failures == 0 || ran > h.ranAtFirstFailure {
		h.failures, h.ranAtFirstFailure = 0, ran
	}
	h.failures++
	h.down = h.failures >= healthFailureThreshold
	return h.down
}

// checkHealth checks the backend server's port periodically until the node is closed.
func (n *Node) checkHealth() {
	var check healthCheck
	var address string
	for sleep.For(n.ctx, healthInterval) {
		a, _ := n.registry.Current()
		if a == nil {
			check = healthCheck{}
			continue
		}
		if a.Address != address {
			check, address = healthCheck{}, a.Address
		}
		wasDown := check.down
		down := check.observe(isListening(n.ctx, a.Address), n.gate.Counters.Ran.Load())
		if down != wasDown {
			n.gate.SetBackendDown(down)
			n.logger.Info("backend server health changed", "event", "backend_health", "endpoint", a.ID, "down", down)
		}
	}
}

// isListening reports whether the address accepts TCP connections. A timeout counts as listening: a frozen server
// keeps its listener, and the latency of its requests shows that it is slow.
func isListening(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: healthTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		var netErr net.Error
		return errors.As(err, &netErr) && netErr.Timeout()
	}
	_ = conn.Close()
	return true
}
