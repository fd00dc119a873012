package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// longWork exceeds drainBound, so that a request in flight keeps the draining node running beyond the bound.
const longWork = 3 * time.Second

// drainCase describes one way in which a node or its backend server is drained.
type drainCase struct {
	name            string
	begin           func(h *harness, m *Member) error
	concurrentFault *fault // acts on another member during the drain
	// withoutNotice means that the backend server does not announce the drain to its node. A request that is sent on
	// an idle connection while the backend server closes it may then fail with may-have-run, since HTTP does not tell
	// whether the backend server read it.
	withoutNotice bool
}

func drainContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), drainTimeout)
}

func drainNode(_ *harness, m *Member) error {
	ctx, cancel := drainContext()
	defer cancel()
	return m.Drain(ctx)
}

// Guards against a draining backend server that receives new requests after 2 s, and against a drain that aborts a
// request in flight, for each way to start a drain and with other faults during it.
func TestDrain(t *testing.T) {
	withNotice := func(_ *harness, m *Member) error {
		ctx, cancel := drainContext()
		defer cancel()
		return m.Backend.Drain(ctx)
	}
	withoutNotice := func(_ *harness, m *Member) error {
		ctx, cancel := drainContext()
		defer cancel()
		return m.Backend.DrainWithoutNotice(ctx)
	}
	operator := func(_ *harness, m *Member) error {
		m.Node().SetLeaving(true)
		return nil
	}
	during := func(name string) *fault {
		f := faultByName(t, name)
		return &f
	}
	for i, c := range []drainCase{
		{"node", drainNode, nil, false},
		{"backend server", withNotice, nil, false},
		{"backend server without notice", withoutNotice, nil, true},
		{"operator", operator, nil, false},
		{"node while the store is down", drainNode, during("store down"), false},
		{"node while another is killed", drainNode, during("node killed"), false},
		{"node while the gate of another is frozen", drainNode, during("gate frozen"), false},
		{"node while regions are partitioned", drainNode, during("regions partitioned"), false},
		{"backend server while another node is partitioned", withNotice, during("node partitioned from its region"), false},
	} {
		t.Run(c.name, func(t *testing.T) { testDrain(t, uint64(i), c) })
	}
}

func testDrain(t *testing.T, seed uint64, c drainCase) {
	h := start(t, Options{Size: 4, Domains: 2, Seed: seed})
	draining, faulty, receiver := h.Members[1], h.Members[2], h.Members[0]
	inFlightResults := make(chan Result, 2)
	// These requests enter through nodes in the failure domain of the draining member. The faulty member is in the other
	// one.
	for i, through := range []*Member{draining, h.Members[3]} {
		o := Operation{ID: fmt.Sprint("long-", i), Method: "GET", Path: "/archive/long", ReplyBytes: 300 << 10, Work: longWork}
		go func() { inFlightResults <- h.callers.Send(context.Background(), through, o) }()
	}
	time.Sleep(settleTime)
	stopFirstLoad := h.load(seed, loadWorkers, []*Member{receiver, h.Members[3]})
	time.Sleep(settleTime)
	if c.concurrentFault != nil {
		c.concurrentFault.begin(h, faulty)
	}
	began := time.Now()
	drainErr := make(chan error, 1)
	go func() { drainErr <- c.begin(h, draining) }()
	time.Sleep(drainBound)
	// A second load, since the callers of the first one may all wait for a frozen gate.
	stopSecondLoad := h.load(seed+1, loadWorkers, []*Member{receiver, h.Members[3]})
	time.Sleep(700 * time.Millisecond)
	for range 2 {
		if r := <-inFlightResults; r.Outcome != Answered {
			t.Errorf("not answered because of the drain: %v", r)
		}
	}
	if err := <-drainErr; err != nil {
		t.Errorf("drain: %v", err)
	}
	time.Sleep(settleTime)
	if c.concurrentFault != nil {
		c.concurrentFault.end(h, faulty)
	}
	stopFirstLoad()
	stopSecondLoad()
	h.checkNoWorkAfterBound(draining, began)
	if c.concurrentFault == nil {
		h.checkAllAnswered(began, c.withoutNotice)
	}
}

// checkNoWorkAfterBound requires that the drained backend server ran no request that was sent more than drainBound after
// the start of the drain, and that enough requests were sent after that to tell.
func (h *harness) checkNoWorkAfterBound(drained *Member, began time.Time) {
	h.t.Helper()
	sentAfterBound := 0
	for _, r := range h.callers.Results() {
		if r.Sent.Sub(began) <= drainBound {
			continue
		}
		sentAfterBound++
		if r.Endpoint == drained.Backend.ID() {
			h.t.Errorf("sent %v after the start of the drain and run by the draining backend server: %v", r.Sent.Sub(began), r)
		}
	}
	if sentAfterBound < 50 {
		h.t.Errorf("only %d requests were sent after the drain bound", sentAfterBound)
	}
}

// checkAllAnswered requires that all requests were answered in spite of the drain; for a drain without notice, only
// those that were sent before it began.
func (h *harness) checkAllAnswered(began time.Time, withoutNotice bool) {
	h.t.Helper()
	for _, r := range h.callers.Results() {
		if withoutNotice && r.Sent.After(began) {
			continue
		}
		if r.Outcome != Answered {
			h.t.Errorf("not answered during a drain: %v", r)
		}
	}
}
