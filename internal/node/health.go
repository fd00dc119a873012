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
	// healthFailures in a row are needed before a backend server counts as down.
	healthFailures = 3
)

// healthCheck judges whether the backend server beside the node is gone. The answers of health endpoints lag
// or mislead, and a service with little traffic would not contradict them, so only a closed port counts, and
// only while the gate gets no answer from the server either.
type healthCheck struct {
	failures   int
	ranAtFirst int64 // answers that the gate had got at the first failure
	down       bool
}

// observe records one check and reports whether the server counts as down. ran is the number of answers
// that the gate has got from the server so far.
func (h *healthCheck) observe(listening bool, ran int64) bool {
	if listening {
		*h = healthCheck{}
		return false
	}
	if h.failures == 0 || ran > h.ranAtFirst {
		h.failures, h.ranAtFirst = 0, ran
	}
	h.failures++
	h.down = h.failures >= healthFailures
	return h.down
}

// checkHealth tests the backend server's port until the node closes.
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
		was := check.down
		down := check.observe(listens(n.ctx, a.Address), n.gate.Counters.Ran.Load())
		if down != was {
			n.gate.SetBackendDown(down)
			n.logger.Info("backend server health changed", "event", "backend_health", "endpoint", a.ID, "down", down)
		}
	}
}

// listens reports whether something accepts connections at the address. A time-out counts as listening: a
// frozen server keeps its listener, and its requests show that it is slow.
func listens(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: healthTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	_ = conn.Close()
	return true
}
