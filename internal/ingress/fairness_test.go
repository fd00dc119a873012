package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

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
		setAccount(again, head)
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
	setAccount(q, head)
	if q.returning || head.Returning || head.Account != "" || in.budget(q) != retry.HedgeSpender(in.Budget) {
		t.Errorf("returning %v, head %v, budget %T", q.returning, head, in.budget(q))
	}
}

// Guards against memory that grows with the refusals, and against recognition after the deadline.
func TestRefusedRequestsAreBoundedAndExpire(t *testing.T) {
	r, start := newRefusedRequests(), time.Unix(1_000_000, 0)
	key := func(i int) retry.Fingerprint { return retry.FingerprintOf("GET", fmt.Sprint(i), nil) }
	for i := range 2 * maxRefusedRequests {
		r.add(key(i), start, start.Add(time.Second))
	}
	if len(r.entries) != maxRefusedRequests {
		t.Errorf("%d entries, limit %d", len(r.entries), maxRefusedRequests)
	}
	if r.take(key(0), start.Add(time.Second)) {
		t.Error("recognized after the deadline")
	}
	later := start.Add(2 * time.Second)
	r.add(key(-1), later, later.Add(time.Second))
	r.add(key(-2), later, later.Add(time.Second))
	if !r.take(key(-2), later) || len(r.entries) != 1 {
		t.Errorf("%d entries after all others have expired", len(r.entries))
	}
}
