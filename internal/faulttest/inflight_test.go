package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// remote is a fleet of two nodes of which only the second has a backend server that runs.
func remote(t *testing.T) *harness {
	t.Helper()
	h := start(t, Options{Size: 2})
	h.Members[0].Backend.Close()
	h.within(readyBound, "one endpoint left", func() bool {
		return h.Members[0].Node().EndpointCount(Service) == 1 && h.Members[1].Node().EndpointCount(Service) == 1
	})
	return h
}

// inFlight sends the operation through the first node and returns when it runs behind the second.
func (h *harness) inFlight(o Operation) <-chan Result {
	h.t.Helper()
	results := make(chan Result, 1)
	go func() { results <- h.callers.Send(context.Background(), h.Members[0], o) }()
	h.within(readyBound, "request runs", func() bool { return h.Runs.Get(o.ID).Started == 1 })
	return results
}

// Guards against an answer of undeclared length that looks complete although its gate died in the middle of it.
func TestAnswerBreaksWithItsGate(t *testing.T) {
	h := remote(t)
	o := Operation{ID: "long", Method: "GET", Path: "/archive/x", ReplyBytes: 640 << 10, Work: 2 * time.Second, Trailers: true}
	results := h.inFlight(o)
	time.Sleep(1500 * time.Millisecond) // the second half of the work is spread over the answer
	h.Members[1].Kill()
	if r := <-results; r.Outcome != CutOff && r.Outcome != MayRun {
		t.Errorf("the gate died during the answer: %v", r)
	}
}

// Guards against not-run for an order that runs behind a gate that stopped answering, and against a second run.
func TestOrderBehindFrozenGate(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		h := remote(t)
		o := Operation{ID: "order", Method: "POST", Path: "/order", Keyed: keyed, Work: time.Second}
		results := h.inFlight(o)
		h.Network.Freeze("node-01")
		if r := <-results; r.Outcome != MayRun {
			t.Errorf("the gate is frozen and the order runs: %v", r)
		}
		h.Network.Thaw("node-01")
	}
}

// Guards against a drain that ends while requests of other nodes still run behind the leaving gate.
func TestDrainWaitsForOtherNodes(t *testing.T) {
	h := remote(t)
	results := h.inFlight(Operation{ID: "long", Method: "GET", Path: "/archive/x", ReplyBytes: 300 << 10, Work: longWork, Trailers: true})
	if err := drainNode(h, h.Members[1]); err != nil {
		t.Errorf("drain: %v", err)
	}
	if r := <-results; r.Outcome != Answered {
		t.Errorf("cut off by the drain: %v", r)
	}
}

// Guards against not-run for a request whose first attempt may have run and whose second found no gate.
func TestVerdictOverAllAttempts(t *testing.T) {
	for _, end := range []string{"node killed", "node lost without a sign", "backend server crashed"} {
		t.Run(end, func(t *testing.T) {
			h := remote(t)
			results := h.inFlight(Operation{ID: "get", Method: "GET", Path: "/item", Work: time.Second})
			named(t, end).begin(h, h.Members[1])
			if r := <-results; r.Outcome == NotRun || r.Outcome == Answered {
				t.Errorf("the request ran and its gate is gone: %v", r)
			}
			h.Network.Thaw("node-01")
		})
	}
}

// Guards against idempotent requests that wait for a frozen gate until their deadline although another endpoint
// could answer them.
func TestReadLeavesFrozenGate(t *testing.T) {
	h := start(t, Options{Size: 3})
	h.Members[0].Backend.Close()
	h.within(readyBound, "two endpoints left", func() bool { return h.Members[0].Node().EndpointCount(Service) == 2 })
	const reads = 8
	results := make(chan Result, reads)
	id := func(i int) string { return fmt.Sprint("read-", i) }
	for i := range reads {
		o := Operation{ID: id(i), Method: "GET", Path: "/archive/x", Work: 500 * time.Millisecond}
		go func() { results <- h.callers.Send(context.Background(), h.Members[0], o) }()
	}
	h.within(readyBound, "all reads run", func() bool {
		for i := range reads {
			if h.Runs.Get(id(i)).Started == 0 {
				return false
			}
		}
		return true
	})
	h.Network.Freeze("node-01")
	defer h.Network.Thaw("node-01")
	for range reads {
		if r := <-results; r.Outcome != Answered {
			t.Errorf("one of two gates is frozen: %v", r)
		}
	}
}
