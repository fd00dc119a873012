package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// returnResult is what the callers of simulateReturns got.
type returnResult struct {
	sent, answered  int
	firstTime       int // answered without a return
	returned        int // requests sent again
	refusedTwice    int
	mostAtOnce      int // the largest number of returns within 10 ms
	longestToAnswer time.Duration
}

// simulateReturns plays one account's requests against a gate with 6 slots and run times of 60 ms: 0.8 of the capacity, and
// every burstInterval seconds 60 requests at the same moment. Each caller returns once after a refusal, at the time in Retry-After. With fair
// unset, Retry-After and the order are those without accounts.
func simulateReturns(burstInterval int, fair bool) returnResult {
	type call struct {
		at, first           time.Time
		returning, promised bool
	}
	const run, slots = 60 * time.Millisecond, 6
	rng := rand.New(rand.NewPCG(5, 6))
	q := admission.New(admission.Limits{Slots: slots, LongSlots: 2, QueueShort: 48, QueueLong: 24})
	var pending []call
	for ms := 0.0; ms < 30_000; ms += rng.ExpFloat64() * 10 / 0.8 {
		at := simulationStart.Add(time.Duration(ms * float64(time.Millisecond)))
		pending = append(pending, call{at: at, first: at})
	}
	for s := 1; s < 30; s += burstInterval {
		for range 60 {
			at := simulationStart.Add(time.Duration(s) * time.Second)
			pending = append(pending, call{at: at, first: at})
		}
	}
	result := returnResult{sent: len(pending)}
	calls, ends := map[admission.Ticket]call{}, map[admission.Ticket]time.Time{}
	returns := map[int64]int{}
	refuse := func(c call, wait time.Duration, now time.Time) {
		if c.returning {
			result.refusedTwice++
			return
		}
		if !fair || wait == 0 {
			wait = expectedWait(q.Load())
		}
		delay := retryAfter(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Overloaded, Wait: wait})
		c.promised = wait < maxRetryAfter
		if fair {
			delay = spreadRetryAfter(delay, rng.Float64())
		}
		c.at, c.returning = now.Add(delay), true
		returns[c.at.UnixMilli()/10]++
		result.returned++
		pending = append(pending, c)
	}
	apply := func(decisions []admission.Decision, now time.Time) {
		for _, d := range decisions {
			if d.Admitted {
				ends[d.Ticket] = now.Add(run)
			} else {
				refuse(calls[d.Ticket], 0, now)
			}
		}
	}
	for now := simulationStart; now.Before(simulationStart.Add(35 * time.Second)); now = now.Add(time.Millisecond) {
		for _, ticket := range slices.Sorted(maps.Keys(ends)) {
			if !ends[ticket].After(now) {
				delete(ends, ticket)
				result.answered++
				if !calls[ticket].returning {
					result.firstTime++
				}
				result.longestToAnswer = max(result.longestToAnswer, now.Sub(calls[ticket].first))
				apply(q.Release(now, ticket, run), now)
			}
		}
		apply(q.Expire(now), now)
		var due []call
		pending = slices.DeleteFunc(pending, func(c call) bool {
			if c.at.After(now) {
				return false
			}
			due = append(due, c)
			return true
		})
		for _, c := range due {
			r := admission.Request{Route: "browse", Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(time.Second)}
			if fair {
				r.Account, r.AccountWeight, r.Returning = "account", 100, c.returning && c.promised
			}
			ticket, outcome := q.Offer(now, r)
			apply(outcome.Decisions, now)
			calls[ticket] = c
			switch outcome.State {
			case admission.Refused:
				refuse(c, outcome.Wait, now)
			case admission.Admitted:
				ends[ticket] = now.Add(run)
			}
		}
	}
	for _, n := range returns {
		result.mostAtOnce = max(result.mostAtOnce, n)
	}
	return result
}

// Guards against refused callers that return at the same moment and are refused again.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	for burstInterval, load := range map[int]string{4: "0.95 of the capacity", 2: "1.1 times the capacity"} {
		old, fair := simulateReturns(burstInterval, false), simulateReturns(burstInterval, true)
		t.Logf("%s, without accounts %+v", load, old)
		t.Logf("%s, with accounts    %+v", load, fair)
		if fair.mostAtOnce > old.mostAtOnce/2 {
			t.Errorf("%s: %d callers return within 10 ms, without accounts %d", load, fair.mostAtOnce, old.mostAtOnce)
		}
		if fair.refusedTwice*4 > old.refusedTwice*3 {
			t.Errorf("%s: %d callers are refused twice, without accounts %d", load, fair.refusedTwice, old.refusedTwice)
		}
		if fair.answered < old.answered {
			t.Errorf("%s: %d of %d answered, without accounts %d", load, fair.answered, fair.sent, old.answered)
		}
	}
}

func newSharedRequest(account string, accounts int) *request {
	b := &bundle.Bundle{Accounts: map[string]bundle.Account{}}
	for i := range accounts {
		b.Accounts[fmt.Sprint("account-", i)] = bundle.Account{RatePerSecond: 285}
	}
	q := &request{
		snapshot: &table.Snapshot{Bundle: b}, route: &bundle.Route{Name: "read"}, accountName: account,
		fingerprint: retry.FingerprintOf("GET", "/", nil).Bytes(), deadline: time.Now().Add(time.Minute),
	}
	if a, ok := b.Accounts[account]; ok {
		q.account = &a
	}
	return q
}

// Guards against a caller that is not recognized when it returns, and against one that is taken for another account's or is
// recognized more often than it was refused.
func TestReturningCallersAreRecognized(t *testing.T) {
	in := New(Config{Logger: slog.New(slog.DiscardHandler)})
	refusal := verdict.New(verdict.NotRun, verdict.Overloaded, "refused by the gate")
	q := newSharedRequest("account-0", 2)
	q.noteRoom(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Overloaded, Wait: 700 * time.Millisecond})
	q.noteRoom(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Overloaded, Wait: 300 * time.Millisecond})
	q.noteRoom(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Busy, Wait: time.Millisecond})
	e := verdict.As(in.rememberRefusal(context.Background(), q, refusal))
	if e.Wait < 300*time.Millisecond || e.Wait > 450*time.Millisecond || e.Verdict != verdict.NotRun || e.Reason != verdict.Overloaded {
		t.Errorf("refusal %+v, want a wait from 300 to 450 ms", e)
	}
	for i, want := range []struct {
		account   string
		returning bool
	}{{"account-1", false}, {"account-0", true}, {"account-0", false}} {
		again := newSharedRequest(want.account, 2)
		in.recognizeReturning(again)
		head := &wire.RequestHead{}
		in.setAccount(again, head)
		if head.Returning != want.returning || head.Account != want.account || head.AccountWeight != 285 {
			t.Errorf("%d: head %v, want returning %v", i, head, want.returning)
		}
	}
}

// Guards against a refusal or a head that differs from before when no accounts are in use.
func TestWithoutAccountsRefusalsAreAsBefore(t *testing.T) {
	in := New(Config{Logger: slog.New(slog.DiscardHandler), Budget: retry.NewBudget(time.Now(), 0.1, 10)})
	refusal := verdict.New(verdict.NotRun, verdict.Overloaded, "refused by the gate")
	q := newSharedRequest("", 0)
	if err := in.rememberRefusal(context.Background(), q, refusal); err != refusal || !in.refused.isEmpty() {
		t.Errorf("refusal %v", err)
	}
	in.refused.add(returnKey(q), time.Now(), q.deadline)
	in.recognizeReturning(q)
	head := &wire.RequestHead{}
	in.setAccount(q, head)
	if q.returning || head.Returning || head.Account != "" || in.budget(q) != retry.HedgeSpender(in.Budget) {
		t.Errorf("returning %v, head %v, budget %T", q.returning, head, in.budget(q))
	}
}

// Guards against memory that grows with the refusals, and against recognition after the deadline.
func TestRefusedRequestsAreBoundedAndExpire(t *testing.T) {
	r := newRefusedRequests()
	key := func(i int) retry.Fingerprint { return retry.FingerprintOf("GET", fmt.Sprint(i), nil) }
	for i := range 2 * maxRefusedRequests {
		r.add(key(i), simulationStart, simulationStart.Add(time.Second))
	}
	if len(r.entries) != maxRefusedRequests {
		t.Errorf("%d entries, limit %d", len(r.entries), maxRefusedRequests)
	}
	if r.take(key(0), simulationStart.Add(time.Second)) {
		t.Error("recognized after the deadline")
	}
	later := simulationStart.Add(2 * time.Second)
	r.add(key(-1), later, later.Add(time.Second))
	r.add(key(-2), later, later.Add(time.Second))
	if !r.take(key(-2), later) || len(r.entries) != 1 {
		t.Errorf("%d entries after all others have expired", len(r.entries))
	}
}
