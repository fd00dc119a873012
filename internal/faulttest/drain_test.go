package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// longWork is longer than the drain bound, so that a request in flight keeps the leaving node alive beyond it.
const longWork = 3 * time.Second

// leaving is one way in which a backend server leaves.
type leaving struct {
	name   string
	begin  func(h *harness, m *Member) error
	meddle *fault // acts on another member meanwhile
	// silent says that the system is not told. A request that meets the close of an idle connection may then
	// fail with may-have-run, since HTTP does not say whether the backend server read it.
	silent bool
}

func drainContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), drainTimeout)
}

func drainNode(_ *harness, m *Member) error {
	ctx, cancel := drainContext()
	defer cancel()
	return m.Drain(ctx)
}

// Guards against a leaving backend server that receives new work after 2 s, and against a drain that cuts
// off a request in flight, whatever way it leaves and whatever fails meanwhile.
func TestDrain(t *testing.T) {
	warned := func(_ *harness, m *Member) error {
		ctx, cancel := drainContext()
		defer cancel()
		return m.Backend.Drain(ctx)
	}
	silent := func(_ *harness, m *Member) error {
		ctx, cancel := drainContext()
		defer cancel()
		return m.Backend.DrainWithoutNotice(ctx)
	}
	operator := func(_ *harness, m *Member) error {
		m.Node().SetLeaving(true)
		return nil
	}
	meddle := func(name string) *fault {
		f := named(t, name)
		return &f
	}
	for i, l := range []leaving{
		{"node", drainNode, nil, false},
		{"backend server", warned, nil, false},
		{"backend server without warning", silent, nil, true},
		{"operator", operator, nil, false},
		{"node while the store is down", drainNode, meddle("store down"), false},
		{"node while another is killed", drainNode, meddle("node killed"), false},
		{"node while the gate of another is frozen", drainNode, meddle("gate frozen"), false},
		{"node while regions are cut", drainNode, meddle("regions cut"), false},
		{"backend server while links are cut", warned, meddle("links cut"), false},
	} {
		t.Run(l.name, func(t *testing.T) { testDrain(t, uint64(i), l) })
	}
}

func testDrain(t *testing.T, seed uint64, l leaving) {
	h := start(t, Options{Size: 4, Domains: 2, Seed: seed})
	victim, other, helper := h.Members[1], h.Members[2], h.Members[0]
	inFlight := make(chan Result, 2)
	// These run in the failure domain of the victim, where no other fault acts.
	for i, through := range []*Member{victim, h.Members[3]} {
		o := Operation{ID: fmt.Sprint("long-", i), Method: "GET", Path: "/archive/long", ReplyBytes: 300 << 10, Work: longWork}
		go func() { inFlight <- h.callers.Send(context.Background(), through, o) }()
	}
	time.Sleep(quietPhase)
	stop := h.load(seed, workers, []*Member{helper, h.Members[3]})
	time.Sleep(quietPhase)
	if l.meddle != nil {
		l.meddle.begin(h, other)
	}
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- l.begin(h, victim) }()
	time.Sleep(drainBound)
	// Fresh callers, since the others may wait for a gate that is frozen.
	stopLater := h.load(seed+1, workers, []*Member{helper, h.Members[3]})
	time.Sleep(700 * time.Millisecond)
	for range 2 {
		if r := <-inFlight; r.Outcome != Answered {
			t.Errorf("cut off by the drain: %v", r)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: %v", err)
	}
	time.Sleep(quietPhase)
	if l.meddle != nil {
		l.meddle.end(h, other)
	}
	stop()
	stopLater()
	h.checkNoLateWork(victim, began)
	if l.meddle == nil {
		h.checkNothingCutOff(began, l.silent)
	}
}

// checkNoLateWork looks for requests sent after the bound that the leaving backend server ran.
func (h *harness) checkNoLateWork(victim *Member, began time.Time) {
	h.t.Helper()
	later := 0
	for _, r := range h.callers.Results() {
		if r.Sent.Sub(began) <= drainBound {
			continue
		}
		later++
		if r.Endpoint == victim.Backend.ID() {
			h.t.Errorf("sent %v after the drain began and run by the leaving backend server: %v", r.Sent.Sub(began), r)
		}
	}
	if later < 50 {
		h.t.Errorf("only %d requests after the bound", later)
	}
}

// checkNothingCutOff requires that the drain alone cost no caller an answer; after a silent one, this holds for
// requests that were in flight when it began.
func (h *harness) checkNothingCutOff(began time.Time, silent bool) {
	h.t.Helper()
	for _, r := range h.callers.Results() {
		if silent && r.Sent.After(began) {
			continue
		}
		if r.Outcome != Answered {
			h.t.Errorf("not answered during a drain: %v", r)
		}
	}
}
