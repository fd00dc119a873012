package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// startWithRemoteBackend starts two nodes of which only the second has a running backend server.
func startWithRemoteBackend(t *testing.T) *harness {
	t.Helper()
	h := start(t, Options{Size: 2})
	h.Members[0].Backend.Close()
	h.waitFor(readyBound, "one endpoint left", func() bool {
		return h.Members[0].Node().EndpointCount(Service) == 1 && h.Members[1].Node().EndpointCount(Service) == 1
	})
	return h
}

// startRequest sends the operation through the first node and returns once the backend server of the second runs it.
func (h *harness) startRequest(o Operation) <-chan Result {
	h.t.Helper()
	results := make(chan Result, 1)
	go func() { results <- h.callers.Send(context.Background(), h.Members[0], o) }()
	h.waitFor(readyBound, "request runs", func() bool { return h.Runs.Get(o.ID).Started == 1 })
	return results
}

// Guards against a response without a declared length that looks complete although its gate stopped in the middle of
// it.
func TestResponseAbortsWhenGateStops(t *testing.T) {
	h := startWithRemoteBackend(t)
	o := Operation{ID: "long", Method: "GET", Path: "/archive/x", ReplyBytes: 640 << 10, Work: 2 * time.Second, Trailers: true}
	results := h.startRequest(o)
	time.Sleep(1500 * time.Millisecond) // the backend server spreads the second half of the work over the response body
	h.Members[1].Kill()
	if r := <-results; r.Outcome != Incomplete && r.Outcome != MayHaveRun {
		t.Errorf("the gate stopped during the response: %v", r)
	}
}

// Guards against the verdict not-run for an order that runs while its gate no longer responds, and against a second run
// of it.
func TestOrderBehindFrozenGate(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		h := startWithRemoteBackend(t)
		o := Operation{ID: "order", Method: "POST", Path: "/order", Keyed: keyed, Work: time.Second}
		results := h.startRequest(o)
		h.Network.Freeze("node-01")
		if r := <-results; r.Outcome != MayHaveRun {
			t.Errorf("the gate is frozen and the order runs: %v", r)
		}
		h.Network.Thaw("node-01")
	}
}

// Guards against a drain that ends while requests from other nodes are still in flight at the draining gate.
func TestDrainWaitsForOtherNodes(t *testing.T) {
	h := startWithRemoteBackend(t)
	results := h.startRequest(Operation{ID: "long", Method: "GET", Path: "/archive/x", ReplyBytes: 300 << 10, Work: longWork, Trailers: true})
	if err := drainNode(h, h.Members[1]); err != nil {
		t.Errorf("drain: %v", err)
	}
	if r := <-results; r.Outcome != Answered {
		t.Errorf("not answered because of the drain: %v", r)
	}
}

// Guards against the verdict not-run for a request whose first attempt may have run and whose second attempt found no gate.
func TestVerdictOverAllAttempts(t *testing.T) {
	for _, faultName := range []string{"node killed", "node killed without closing connections", "backend server crashed"} {
		t.Run(faultName, func(t *testing.T) {
			h := startWithRemoteBackend(t)
			results := h.startRequest(Operation{ID: "get", Method: "GET", Path: "/item", Work: time.Second})
			faultByName(t, faultName).begin(h, h.Members[1])
			if r := <-results; r.Outcome == NotRun || r.Outcome == Answered {
				t.Errorf("the request ran and its response was lost: %v", r)
			}
			h.Network.Thaw("node-01")
		})
	}
}

// Guards against idempotent requests that wait for a frozen gate until their deadline although another endpoint could
// serve them.
func TestIdempotentRequestIsRetriedWhenGateFreezes(t *testing.T) {
	h := start(t, Options{Size: 3})
	h.Members[0].Backend.Close()
	h.waitFor(readyBound, "two endpoints left", func() bool { return h.Members[0].Node().EndpointCount(Service) == 2 })
	const reads = 8
	results := make(chan Result, reads)
	id := func(i int) string { return fmt.Sprint("read-", i) }
	for i := range reads {
		o := Operation{ID: id(i), Method: "GET", Path: "/archive/x", Work: 500 * time.Millisecond}
		go func() { results <- h.callers.Send(context.Background(), h.Members[0], o) }()
	}
	h.waitFor(readyBound, "all reads run", func() bool {
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
