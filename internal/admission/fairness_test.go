package admission

import (
	"fmt"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
)

func ofAccount(id, account string, weight float64, priority int) Request {
	return Request{ID: id, Route: "browse", Account: account, AccountWeight: weight, Priority: priority, Deadline: at(9000)}
}

// Guards against a full list that refuses accounts that hold little, or that drops a request of higher priority.
func TestFullListDropsFromTheAccountThatHoldsMost(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 5})
	offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), ofAccount("high", "burst", 1, 0), Queued, "")
	for _, id := range []string{"burst-1", "burst-2", "burst-3"} {
		offer(t, q, at(0), ofAccount(id, "burst", 1, 1), Queued, "")
	}
	offer(t, q, at(0), ofAccount("heavy", "heavy", 10, 1), Queued, "")
	offer(t, q, at(0), ofAccount("burst-4", "burst", 1, 1), Refused, verdict.QueueFull)
	expectOffer := func(r Request, want ...string) {
		t.Helper()
		_, outcome := q.Offer(at(0), r)
		if outcome.State != Queued {
			t.Fatalf("offer of %s: %+v", r.ID, outcome)
		}
		expectDecisions(t, outcome.Decisions, want...)
	}
	expectOffer(ofAccount("heavy-2", "heavy", 10, 1), "burst-3 queue-full")
	expectOffer(ofAccount("small", "small", 1, 1), "burst-2 queue-full")
	returning := ofAccount("burst-returning", "burst", 1, 1)
	returning.Returning = true
	expectOffer(returning, "burst-1 queue-full")
	offer(t, q, at(0), ofAccount("low", "low", 100, 2), Refused, verdict.QueueFull)
	expectOffer(short("call", 1, 9000), "small queue-full")
}

// Guards against early refusals of an account with few waiting requests because of the burst of another one, and against
// more waiting requests of the burst than can be served in time.
func TestEarlyRefusalFollowsTheFairOrder(t *testing.T) {
	for _, accounts := range []bool{false, true} {
		q := newMeasuredQueue(Limits{Slots: 1, QueueShort: 90}, 100, 100)
		request := func(account string) Request {
			r := Request{Route: "browse", Deadline: at(1000)}
			if accounts {
				r.Account = account
			}
			return r
		}
		queued := 0
		for range 30 {
			if _, outcome := q.Offer(at(0), request("burst")); outcome.State == Queued {
				queued++
			} else if outcome.State == Refused && accounts && outcome.Wait < 100*time.Millisecond {
				t.Fatalf("refusal with a wait of %s, but a slot is free after 100 ms at the earliest", outcome.Wait)
			}
		}
		if queued != 9 {
			t.Errorf("accounts %v: %d requests of the burst wait, want 9", accounts, queued)
		}
		_, outcome := q.Offer(at(0), request("other"))
		if want := map[bool]State{false: Refused, true: Queued}[accounts]; outcome.State != want {
			t.Errorf("accounts %v: the other account's request is %s, want %s", accounts, outcome.State, want)
		}
	}
}

// Guards against callers that are refused again and again while newcomers of the same rank are served, and against returning
// callers that overtake another account or a higher priority.
func TestReturningStartsFirstWithinItsAccount(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 9})
	running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), ofAccount("a-new", "a", 1, 1), Queued, "")
	offer(t, q, at(0), ofAccount("b-new", "b", 1, 1), Queued, "")
	for _, account := range []string{"a", "b"} {
		returning := ofAccount(account+"-returning", account, 1, 1)
		returning.Returning = true
		offer(t, q, at(1), returning, Queued, "")
	}
	offer(t, q, at(1), ofAccount("urgent", "c", 1, 0), Queued, "")
	for _, want := range []string{"urgent", "a-returning", "b-returning", "a-new", "b-new"} {
		decisions := q.Release(at(2), running, 0)
		expectDecisions(t, decisions, want+" admitted")
		running = decisions[0].Ticket
	}
}

// Guards against priority inversion: an urgent request waits for a call of its backend server, which competes with requests
// of lower priority. With the priority of its parent the call starts first, and with a priority equal to theirs too, since it
// has no account.
func TestCallsOfUrgentRequestsAreNotInverted(t *testing.T) {
	for _, priority := range []int{0, 2} {
		q := newMeasuredQueue(Limits{Slots: 1, QueueShort: 40}, 10, 100)
		running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
		for i := range 20 {
			offer(t, q, at(0), ofAccount("burst", fmt.Sprint("account-", i%3), 50, 2), Queued, "")
		}
		call := Request{ID: "call", Route: "inner", Priority: priority, Objective: at(100), Deadline: at(300)}
		offer(t, q, at(1), call, Queued, "")
		expectDecisions(t, q.Release(at(10), running, 10*time.Millisecond), "call admitted")
	}
}

// Guards against memory that grows with the number of accounts seen.
func TestFlowsAreBounded(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 9})
	for i := range 10 * maxFlows {
		ticket := offer(t, q, at(i), ofAccount("r", fmt.Sprint("account-", i), 1, 1), Admitted, "")
		q.Release(at(i), ticket, time.Millisecond)
	}
	if n := len(q.short.flows); n > maxFlows {
		t.Errorf("%d flows are kept, limit %d", n, maxFlows)
	}
}

// Guards against a request that waits until its deadline although it can no longer complete before it: its caller would learn
// too late that it was not run.
func TestWaitingRequestIsRefusedWhenItCannotComplete(t *testing.T) {
	for _, account := range []string{"", "small"} {
		q := newMeasuredQueue(Limits{Slots: 1, QueueShort: 10}, 100, 100)
		measured, _ := q.Offer(at(0), Request{Route: "browse", Deadline: at(5000)})
		q.Release(at(0), measured, 100*time.Millisecond)
		running, _ := q.Offer(at(0), Request{Route: "browse", Deadline: at(5000)})
		r := Request{ID: "waiting", Route: "browse", Account: account, Deadline: at(1000), Objective: at(800)}
		if _, outcome := q.Offer(at(0), r); outcome.State != Queued {
			t.Fatalf("offer: %+v", outcome)
		}
		next, _ := q.NextDecision()
		want := at(1000) // its deadline, without accounts
		if account != "" {
			want = at(900) // it runs for 100 ms
		}
		if !next.Equal(want) {
			t.Errorf("account %q: next decision at %s, want %s", account, next.Sub(at(0)), want.Sub(at(0)))
		}
		if account != "" {
			expectDecisions(t, q.Expire(at(900)), "waiting overloaded")
		}
		q.Release(at(950), running, 0)
	}
}
