package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func short(id string, priority, deadlineMS int) Request {
	return Request{ID: id, Route: "browse", Priority: priority, Deadline: at(deadlineMS)}
}

func long(id string, deadlineMS int) Request {
	return Request{ID: id, Route: "archive", Long: true, Deadline: at(deadlineMS)}
}

// newMeasuredQueue returns a queue with the given short and long service times.
func newMeasuredQueue(limits Limits, shortMS, longMS int) *Queue {
	q := New(limits)
	q.shortServiceTime.record(time.Duration(shortMS) * time.Millisecond)
	q.longServiceTime.record(time.Duration(longMS) * time.Millisecond)
	return q
}

// newLoadedQueue returns a measured queue with 2 slots and the given numbers of running and waiting requests.
func newLoadedQueue(t *testing.T, running, waiting int) *Queue {
	t.Helper()
	q := newMeasuredQueue(Limits{Slots: 2, LongSlots: 1, QueueShort: 9, QueueLong: 9}, 10, 200)
	for range running {
		offer(t, q, at(0), short("run", 3, 9000), Admitted, "")
	}
	for range waiting {
		offer(t, q, at(0), short("wait", 3, 9000), Queued, "")
	}
	return q
}

func offer(t *testing.T, q *Queue, now time.Time, r Request, want State, reason verdict.Reason) Ticket {
	t.Helper()
	ticket, got := q.Offer(now, r)
	if got.State != want || got.Reason != reason {
		t.Fatalf("offer of %s: %s %q, want %s %q", r.ID, got.State, got.Reason, want, reason)
	}
	return ticket
}

// formatDecisions formats each decision as "ID admitted" or "ID REASON".
func formatDecisions(decisions []Decision) []string {
	var list []string
	for _, decision := range decisions {
		if decision.Admitted {
			list = append(list, decision.ID+" admitted")
		} else {
			list = append(list, decision.ID+" "+string(decision.Reason))
		}
	}
	return list
}

func expectDecisions(t *testing.T, decisions []Decision, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, formatDecisions(decisions)); diff != "" {
		t.Fatalf("decisions differ (-want +got):\n%s", diff)
	}
}

// Guards against a short wait list that ignores priority or serves a later deadline before an earlier one.
func TestShortWaitListOrder(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 10})
	running := offer(t, q, at(0), short("first", 0, 1000), Admitted, "")
	offer(t, q, at(0), short("low", 5, 500), Queued, "")
	offer(t, q, at(0), short("late", 1, 900), Queued, "")
	offer(t, q, at(0), short("early", 1, 800), Queued, "")
	offer(t, q, at(0), short("early-second", 1, 800), Queued, "")
	for _, want := range []string{"early", "early-second", "late", "low"} {
		decisions := q.Release(at(1), running, 0)
		expectDecisions(t, decisions, want+" admitted")
		running = decisions[0].Ticket
	}
}

// Guards against long requests that occupy every slot, which causes head-of-line blocking of short requests.
func TestLongRequestsLeaveSlotsToShort(t *testing.T) {
	q := New(Limits{Slots: 12, LongSlots: 4, QueueShort: 10, QueueLong: 20})
	for range 4 {
		offer(t, q, at(0), long("run", 9000), Admitted, "")
	}
	offer(t, q, at(0), long("wait", 9000), Queued, "")
	for range 8 {
		offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	}
	offer(t, q, at(0), short("wait", 0, 9000), Queued, "")
	if got := q.Load(); got.InFlight != 12 || got.InFlightLong != 4 || got.QueuedLong != 1 || got.QueuedShort != 1 {
		t.Fatalf("load %v", got)
	}
}

// Guards against a long request that immediately takes a slot reserved for short requests, and against one that
// starves while short requests keep arriving.
func TestLongRequestWaitsForReserveWithinLimit(t *testing.T) {
	q := New(Limits{Slots: 12, LongSlots: 4, QueueLong: 4})
	for range 10 {
		offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	}
	offer(t, q, at(0), long("wait", 9000), Queued, "")
	expectDecisions(t, q.Expire(at(40)))
	next, ok := q.NextDecision()
	if !ok || !next.Equal(at(50)) {
		t.Fatalf("next decision at %v, %v; want 50 ms", next, ok)
	}
	expectDecisions(t, q.Expire(at(50)), "wait admitted")
}

// Guards against starvation of long requests while short requests are always waiting.
func TestLongRequestStartsDespiteStandingShortQueue(t *testing.T) {
	q := New(Limits{Slots: 2, LongSlots: 1, QueueShort: 10, QueueLong: 4})
	a := offer(t, q, at(0), short("a", 0, 9000), Admitted, "")
	b := offer(t, q, at(0), short("b", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("c", 0, 9000), Queued, "")
	offer(t, q, at(0), short("d", 0, 9000), Queued, "")
	offer(t, q, at(0), long("long", 9000), Queued, "")
	expectDecisions(t, q.Release(at(10), a, 0), "c admitted")
	expectDecisions(t, q.Release(at(60), b, 0), "long admitted")
}

// Guards against a full wait list that refuses a request of high priority and keeps those of low priority.
func TestFullWaitListEvictsNewestOfLowestPriority(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 3})
	offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("low-old", 4, 9000), Queued, "")
	offer(t, q, at(0), short("low-new", 4, 8000), Queued, "")
	offer(t, q, at(0), short("mid", 2, 9000), Queued, "")
	offer(t, q, at(0), short("low-third", 4, 9000), Refused, verdict.QueueFull)
	_, outcome := q.Offer(at(0), short("high", 0, 9000))
	if outcome.State != Queued {
		t.Fatalf("high priority offer: %+v", outcome)
	}
	expectDecisions(t, outcome.Decisions, "low-new queue-full")
	offer(t, q, at(0), short("mid-second", 2, 9000), Queued, "")
	offer(t, q, at(0), short("mid-third", 2, 9000), Refused, verdict.QueueFull)
}

func TestEarlyRefusal(t *testing.T) {
	tests := []struct {
		name    string
		running int
		waiting int
		request Request
		state   State
		reason  verdict.Reason
	}{
		{"free slot, short deadline", 1, 0, short("x", 4, 2), Admitted, ""},
		{"deadline passed", 0, 0, short("x", 0, 0), Refused, verdict.DeadlineExceeded},
		// With a service time of 10 ms on 2 slots, the wait behind 2 requests is 15 ms and the run takes 10 ms.
		{"deadline can be met", 2, 2, short("x", 4, 26), Queued, ""},
		{"deadline cannot be met after the wait", 2, 2, short("x", 4, 24), Refused, verdict.Overloaded},
		{"deadline below the service time", 2, 2, short("x", 4, 9), Refused, verdict.DeadlineTooShort},
		{"high priority starts before the waiting requests", 2, 2, short("x", 0, 16), Queued, ""},
		{"long request that cannot complete", 2, 0, long("x", 300), Refused, verdict.Overloaded},
		{"no deadline", 2, 2, Request{Priority: 4}, Queued, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newLoadedQueue(t, test.running, test.waiting)
			offer(t, q, at(0), test.request, test.state, test.reason)
		})
	}
}

// Guards against a queue that stays long throughout an overload: requests would wait for nearly their whole deadline,
// while the longer queue adds no throughput.
func TestStandingQueueRefuses(t *testing.T) {
	q := newMeasuredQueue(Limits{Slots: 1, QueueShort: 50}, 10, 100)
	running := offer(t, q, at(0), short("run", 0, 90000), Admitted, "")
	for range 5 {
		offer(t, q, at(0), short("burst", 0, 90000), Queued, "")
	}
	for ms := 10; ms < 100; ms += 10 {
		running = q.Release(at(ms), running, 10*time.Millisecond)[0].Ticket
		offer(t, q, at(ms), short("burst", 0, 90000), Queued, "")
	}
	offer(t, q, at(100), short("standing", 0, 90000), Refused, verdict.Overloaded)
	offer(t, q, at(100), Request{ID: "urgent", Deadline: at(5000)}, Queued, "")
}

// Guards against requests that stay in a wait list, or start, after their deadline.
func TestExpiredWaitersAreRefused(t *testing.T) {
	q := New(Limits{Slots: 1, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("expires", 0, 20), Queued, "")
	offer(t, q, at(0), long("expires-long", 30), Queued, "")
	offer(t, q, at(0), short("stays", 0, 9000), Queued, "")
	expectDecisions(t, q.Expire(at(20)), "expires queue-timeout")
	expectDecisions(t, q.Release(at(31), running, 0), "expires-long queue-timeout", "stays admitted")
}

// Guards against a slot given to a request that can no longer complete before its deadline while another one waits.
func TestWaiterThatCannotMeetDeadlineIsRefused(t *testing.T) {
	q := newMeasuredQueue(Limits{Slots: 1, QueueShort: 9}, 10, 100)
	running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("too-late", 0, 25), Queued, "")
	offer(t, q, at(0), short("other", 0, 9000), Queued, "")
	expectDecisions(t, q.Release(at(20), running, 0), "too-late deadline-too-short", "other admitted")
}

func TestCancel(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 9})
	running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	waiting := offer(t, q, at(0), short("wait", 0, 9000), Queued, "")
	expectDecisions(t, q.Cancel(at(1), waiting))
	expectDecisions(t, q.Cancel(at(1), waiting))
	expectDecisions(t, q.Cancel(at(1), running))
	if got := q.Load(); got.InFlight != 1 || got.QueuedShort != 0 {
		t.Fatalf("load %v", got)
	}
	expectDecisions(t, q.Release(at(2), running, 0))
	if !q.Idle() {
		t.Fatal("queue is not idle")
	}
}

// Guards against a drain that refuses waiting requests or accepts new ones.
func TestDrain(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 9})
	running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("wait", 0, 9000), Queued, "")
	q.Drain()
	offer(t, q, at(1), short("new", 0, 9000), Refused, verdict.Draining)
	expectDecisions(t, q.Release(at(2), running, 0), "wait admitted")
	if !q.Load().Draining {
		t.Fatal("load does not report the drain")
	}
	q.Undrain()
	offer(t, q, at(3), short("after", 0, 9000), Queued, "")
}

func TestSetLimits(t *testing.T) {
	q := New(Limits{Slots: 2, QueueShort: 9})
	a := offer(t, q, at(0), short("a", 0, 9000), Admitted, "")
	b := offer(t, q, at(0), short("b", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("c", 0, 9000), Queued, "")
	expectDecisions(t, q.SetLimits(at(1), Limits{Slots: 1, QueueShort: 9}))
	expectDecisions(t, q.Release(at(2), a, 0))
	expectDecisions(t, q.Release(at(3), b, 0), "c admitted")
	offer(t, q, at(4), short("d", 0, 9000), Queued, "")
	expectDecisions(t, q.SetLimits(at(5), Limits{Slots: 4, QueueShort: 9}), "d admitted")
}

func TestLimitsAreNormalized(t *testing.T) {
	tests := []struct{ in, want Limits }{
		{Limits{}, Limits{Slots: 1, LongSlots: 1}},
		{Limits{Slots: 12, LongSlots: 12}, Limits{Slots: 12, LongSlots: 11}},
		{Limits{Slots: 12, LongSlots: 9, Connections: 8}, Limits{Slots: 8, LongSlots: 7, Connections: 8}},
		{Limits{Slots: 4, LongSlots: 2, QueueShort: -1}, Limits{Slots: 4, LongSlots: 2}},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, New(test.in).Limits()); diff != "" {
			t.Errorf("%+v: %s", test.in, diff)
		}
	}
}

// Guards against a wrong count of occupied slots after a ticket is released twice.
func TestSecondReleasePanics(t *testing.T) {
	q := New(Limits{Slots: 1})
	ticket := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	q.Release(at(1), ticket, 0)
	defer func() {
		if recover() == nil {
			t.Fatal("second release did not panic")
		}
	}()
	q.Release(at(2), ticket, 0)
}

// Guards against a second long request that takes a slot from waiting short requests: the starvation limit admits a
// long request only while no other is running.
func TestSecondLongRequestYieldsToStandingShortQueue(t *testing.T) {
	q := New(Limits{Slots: 4, LongSlots: 2, QueueShort: 10, QueueLong: 4})
	offer(t, q, at(0), long("running", 9000), Admitted, "")
	a := offer(t, q, at(0), short("a", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("b", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("c", 0, 9000), Admitted, "")
	offer(t, q, at(0), short("d", 0, 9000), Queued, "")
	offer(t, q, at(0), long("second", 9000), Queued, "")
	expectDecisions(t, q.Release(at(500), a, 0), "d admitted")
}

// Guards against long requests that start at the same time and occupy all of LongSlots for their whole run time.
func TestLongRequestsArePacedOnBusyGate(t *testing.T) {
	tests := []struct {
		name        string
		short, long int
		deadlineMS  int
		wantWaitMS  int
		wantAtOnce  bool
	}{
		{name: "many slots free", short: 1, long: 3, deadlineMS: 9000, wantAtOnce: true},
		{name: "first long request", short: 7, long: 0, deadlineMS: 9000, wantAtOnce: true},
		// The delay is 2 service times of 400 ms, multiplied by the square of the occupied share of LongSlots.
		{name: "second of four", short: 6, long: 1, deadlineMS: 9000, wantWaitMS: 50},
		{name: "last of four", short: 4, long: 3, deadlineMS: 9000, wantWaitMS: 450},
		{name: "last of four, near deadline", short: 4, long: 3, deadlineMS: 1000, wantWaitMS: 250},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newMeasuredQueue(Limits{Slots: 12, LongSlots: 4, QueueShort: 9, QueueLong: 9}, 10, 400)
			// The long requests start while the gate is idle, so they are not paced.
			for range test.long {
				offer(t, q, at(0), long("run", 9000), Admitted, "")
			}
			for range test.short {
				offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
			}
			if test.wantAtOnce {
				offer(t, q, at(0), long("new", test.deadlineMS), Admitted, "")
				return
			}
			offer(t, q, at(0), long("new", test.deadlineMS), Queued, "")
			next, ok := q.NextDecision()
			if want := at(test.wantWaitMS); !ok || !next.Equal(want) {
				t.Fatalf("next decision %v, %v; want %v", next, ok, want)
			}
			expectDecisions(t, q.Expire(next.Add(-time.Microsecond)))
			expectDecisions(t, q.Expire(next), "new admitted")
		})
	}
}

// Guards against a request that is queued although its expected wait exceeds its MaxWait, and against a refusal when
// the expected wait does not.
func TestMaxWait(t *testing.T) {
	tests := []struct {
		name    string
		running int
		waiting int
		request Request
		state   State
		reason  verdict.Reason
	}{
		{"free slot", 1, 0, Request{MaxWait: time.Millisecond}, Admitted, ""},
		// With a service time of 10 ms on 2 slots, the next slot is expected to be free after 5 ms.
		{"expected wait above the limit", 2, 0, Request{MaxWait: 4 * time.Millisecond}, Refused, verdict.Busy},
		{"expected wait at the limit", 2, 0, Request{MaxWait: 5 * time.Millisecond}, Queued, ""},
		{"ahead of requests of lower priority", 2, 3, Request{MaxWait: 5 * time.Millisecond}, Queued, ""},
		{"behind requests of equal priority", 2, 3, Request{Priority: 3, MaxWait: 5 * time.Millisecond}, Refused, verdict.Busy},
		{"without MaxWait", 2, 3, Request{Priority: 3}, Queued, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newLoadedQueue(t, test.running, test.waiting)
			test.request.Deadline = at(9000)
			offer(t, q, at(0), test.request, test.state, test.reason)
		})
	}
}
