package admission

import (
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
)

// Guards against waiting requests that stay at a leaving endpoint although they can't start there in time, and against
// withdrawing those that can.
func TestWithdrawRefusesRequestsThatStartTooLate(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New(Limits{Slots: 1, QueueShort: 10, QueueLong: 10})
	q.shortServiceTime = serviceTime(100 * time.Millisecond)
	var tickets []Ticket
	for range 6 {
		ticket, _ := q.Offer(now, Request{Route: "r", Deadline: now.Add(time.Minute)})
		tickets = append(tickets, ticket)
	}
	decisions := q.Withdraw(now, 250*time.Millisecond)
	if len(decisions) != 3 {
		t.Fatalf("%d requests withdrawn, want the last 3 of 5", len(decisions))
	}
	for i, d := range decisions {
		if d.Admitted || d.Reason != verdict.Draining || d.Ticket != tickets[3+i] {
			t.Errorf("decision %+v, want the refusal of ticket %d", d, tickets[3+i])
		}
	}
	if rest := q.Withdraw(now, 0); len(rest) != 2 {
		t.Errorf("%d requests withdrawn, want the remaining 2", len(rest))
	}
	if next := q.Release(now, tickets[0], 0); len(next) != 0 || !q.Idle() {
		t.Errorf("decisions %+v after all were withdrawn", next)
	}
}
