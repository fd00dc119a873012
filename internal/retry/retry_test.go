package retry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "dandelionspoke/internal/fixedseed"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against more retries than the share of the first attempts plus the minimum rate, over the
// whole time and however the policy changes.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.3).Draw(t, "share")
		rate := rapid.Float64Range(0, 5).Draw(t, "rate")
		highShare, highRate := share, rate
		b := NewBudget(start, share, rate)
		now, first, spent := start, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 500).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 50).Draw(t, "first") {
				b.RecordFirstAttempt()
				first++
			}
			for range rapid.IntRange(0, 30).Draw(t, "spend") {
				if b.Spend(now) {
					spent++
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "policy") == 0 {
				share, rate = rapid.Float64Range(0, 0.3).Draw(t, "share"), rapid.Float64Range(0, 5).Draw(t, "rate")
				highShare, highRate = max(highShare, share), max(highRate, rate)
				b.SetPolicy(now, share, rate)
			}
		}
		// A clock that goes back earns nothing, but the time until it went back counts.
		seconds := 60 * 0.5
		if limit := highShare*float64(first) + highRate*(seconds+1); float64(spent) > limit {
			t.Fatalf("%d retries for %d first attempts, limit %v", spent, first, limit)
		}
		if c := b.Counts(); c.Spent != uint64(spent) || c.First != uint64(first) {
			t.Fatalf("counts %+v, want %d spent of %d", c, spent, first)
		}
	})
}

// Guards against a budget that is looser than stated once the time is known exactly.
func TestBudgetExactShare(t *testing.T) {
	b := NewBudget(start, 0.1, 0)
	spent := 0
	for range 1000 {
		b.RecordFirstAttempt()
		if b.Spend(start) {
			spent++
		}
	}
	if spent < 98 || spent > 100 {
		t.Errorf("%d retries per 1000 first attempts, want 100", spent)
	}
	minimum := NewBudget(start, 0, 2)
	for i, want := range []bool{true, true, false} {
		if minimum.Spend(start) != want {
			t.Errorf("retry %d in the first second at a rate of 2 per second: want %v", i+1, want)
		}
	}
}

// Guards against a second run of work that may have run and must run at most once, a retry at the
// wrong depth, and a retry without time, attempts or budget.
func TestNext(t *testing.T) {
	base := Attempt{Number: 1, Remaining: time.Second, Verdict: verdict.NotRun, Reason: verdict.BackendDown}
	with := func(change func(*Attempt)) Attempt {
		a := base
		change(&a)
		return a
	}
	tests := []struct {
		name    string
		attempt Attempt
		want    Decision
	}{
		{"not run", base, Decision{Retry: true, Elsewhere: true, Why: SafeNotRun}},
		{"may have run", with(func(a *Attempt) { a.Verdict = verdict.MayHaveRun }), Decision{Why: NoRetryVerdict}},
		{"may have run, key held", with(func(a *Attempt) { a.Verdict = verdict.MayHaveRun; a.Keyed = true }), Decision{Why: NoRetryVerdict}},
		{"may have run, idempotent", with(func(a *Attempt) { a.Verdict = verdict.MayHaveRun; a.Idempotent = true }),
			Decision{Retry: true, Elsewhere: true, Why: SafeIdempotent}},
		{"ran with 500", with(func(a *Attempt) { a.Verdict = verdict.Ran; a.Status = 500 }), Decision{Why: NoRetryVerdict}},
		{"ran with 500, idempotent", with(func(a *Attempt) { a.Verdict = verdict.Ran; a.Status = 500; a.Idempotent = true }),
			Decision{Retry: true, Elsewhere: true, Why: SafeIdempotent}},
		{"ran with 404, idempotent", with(func(a *Attempt) { a.Verdict = verdict.Ran; a.Status = 404; a.Idempotent = true }), Decision{Why: NoRetryAnswer}},
		{"ran with 501, idempotent", with(func(a *Attempt) {
			a.Verdict = verdict.Ran
			a.Status = http.StatusNotImplemented
			a.Idempotent = true
		}), Decision{Why: NoRetryAnswer}},
		{"answer began", with(func(a *Attempt) { a.Streamed = true; a.Idempotent = true }), Decision{Why: NoRetryStream}},
		{
			"depth 1, idempotent, may have run", with(func(a *Attempt) { a.Depth, a.Idempotent, a.Verdict = 1, true, verdict.MayHaveRun }),
			Decision{Why: NoRetryDepth},
		},
		{"depth 1, queue full", with(func(a *Attempt) { a.Depth, a.Reason = 1, verdict.QueueFull }), Decision{Why: NoRetryDepth}},
		{
			"depth 1, endpoint is leaving", with(func(a *Attempt) { a.Depth, a.Reason = 1, verdict.Draining }),
			Decision{Retry: true, Elsewhere: true, Why: SafeNotRun},
		},
		{"last attempt", with(func(a *Attempt) { a.Number = 3 }), Decision{Why: NoRetryMax}},
		{"no time left", with(func(a *Attempt) { a.Remaining = time.Millisecond }), Decision{Why: NoRetryTime}},
		{"quarantined", with(func(a *Attempt) { a.Reason = verdict.Quarantined }), Decision{Why: NoRetryReason}},
		{"caller gone", with(func(a *Attempt) { a.Reason = verdict.Canceled; a.Idempotent = true }), Decision{Why: NoRetryReason}},
		{"queue full", with(func(a *Attempt) { a.Reason = verdict.QueueFull }),
			Decision{Retry: true, Elsewhere: true, Wait: time.Millisecond, Why: SafeNotRun}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Policy{MaxAttempts: 3}.Next(test.attempt, NewBudget(start, 0.1, 3), start, 0.5)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	if got := (Policy{MaxAttempts: 3}).Next(base, NewBudget(start, 0, 0), start, 0); got.Retry || got.Why != NoRetryBudget {
		t.Errorf("without budget: %+v", got)
	}
}

// Guards against any attempt, however described, that lets non-idempotent work run twice or exceeds
// depth, attempts or time.
func TestNextNeverPermitsHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Keyed:      rapid.Bool().Draw(t, "keyed"),
			Streamed:   rapid.Bool().Draw(t, "streamed"),
			Number:     rapid.IntRange(1, 5).Draw(t, "number"),
			Depth:      rapid.IntRange(0, 3).Draw(t, "depth"),
			Verdict:    rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict"),
			Reason:     rapid.SampledFrom([]verdict.Reason{verdict.QueueFull, verdict.PeerBroken, verdict.BackendDown, verdict.Draining}).Draw(t, "reason"),
			Status:     rapid.SampledFrom([]int{0, 200, 404, 500, 503}).Draw(t, "status"),
			Remaining:  time.Duration(rapid.IntRange(-10, 1000).Draw(t, "ms")) * time.Millisecond,
		}
		d := Policy{MaxAttempts: 3}.Next(a, NewBudget(start, 0.1, 3), start, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if !d.Retry {
			return
		}
		unsafe := a.Verdict != verdict.NotRun && !a.Idempotent
		// Below depth 0 only an endpoint that takes no request at all permits another attempt.
		leaving := a.Verdict == verdict.NotRun && (a.Reason == verdict.Draining || a.Reason == verdict.BackendDown)
		tooDeep := a.Depth > 0 && !leaving
		if unsafe || a.Streamed || tooDeep || a.Number >= 3 || d.Wait >= a.Remaining {
			t.Fatalf("%+v permitted after %+v", d, a)
		}
	})
}

// Guards against a hedge of work that must not run twice, and against one that cannot help.
func TestHedgeAfter(t *testing.T) {
	base := Hedge{Permitted: true, Idempotent: true, Number: 1, Quantile: 20 * time.Millisecond, Remaining: time.Second}
	tests := []struct {
		name   string
		change func(*Hedge)
		want   bool
	}{
		{"permitted", func(*Hedge) {}, true},
		{"route forbids", func(h *Hedge) { h.Permitted = false }, false},
		{"not idempotent", func(h *Hedge) { h.Idempotent = false }, false},
		{"long work", func(h *Hedge) { h.Long = true }, false},
		{"inner call", func(h *Hedge) { h.Depth = 1 }, false},
		{"latency unknown", func(h *Hedge) { h.Quantile = 0 }, false},
		{"second attempt", func(h *Hedge) { h.Number = 2 }, false},
		{"deadline first", func(h *Hedge) { h.Remaining = 21 * time.Millisecond }, false},
	}
	for _, test := range tests {
		h := base
		test.change(&h)
		if delay, ok := (Policy{MaxAttempts: 3}).HedgeAfter(h); ok != test.want || (ok && delay != base.Quantile) {
			t.Errorf("%s: %v %v", test.name, delay, ok)
		}
	}
}

// Guards against equal fingerprints of different requests through shifted field borders, and against
// different ones of equal requests.
func TestFingerprint(t *testing.T) {
	a := FingerprintOf("POST", "/orders", []byte("body"))
	if a != FingerprintOf("POST", "/orders", []byte("body")) {
		t.Error("equal requests differ")
	}
	for _, other := range []Fingerprint{
		FingerprintOf("PUT", "/orders", []byte("body")),
		FingerprintOf("POST", "/orders?x=1", []byte("body")),
		FingerprintOf("POST", "/ordersb", []byte("ody")),
		FingerprintOf("POST/", "orders", []byte("body")),
		FingerprintOf("POST", "/orders", nil),
	} {
		if a == other {
			t.Error("different requests are equal")
		}
	}
	if _, ok := ParseFingerprint(a.Bytes()[1:]); ok {
		t.Error("a short fingerprint was accepted")
	}
}

// Guards against quarantine after repeated deaths of one endpoint, against none after deaths of two,
// and against one that never ends.
func TestQuarantine(t *testing.T) {
	q := NewQuarantine(2, time.Minute)
	f := FingerprintOf("GET", "/", nil)
	for range 2 {
		if q.RecordCrash(f, "a", start) || q.Refuses(f, start) {
			t.Error("the deaths of one endpoint put the request into quarantine")
		}
	}
	if !q.RecordCrash(f, "b", start) || !q.Refuses(f, start) {
		t.Error("two endpoints that died do not")
	}
	if q.RecordCrash(f, "c", start) {
		t.Error("a third death was reported as the start of the quarantine")
	}
	if q.Refuses(f, start.Add(time.Minute)) {
		t.Error("the quarantine did not end")
	}
	if q.RecordCrash(f, "a", start.Add(time.Hour)) {
		t.Error("deaths before the expiry still count")
	}
}

// Guards against one death that two nodes know of counting twice, and against deaths that different
// nodes know of not adding up.
func TestQuarantineMerge(t *testing.T) {
	f := FingerprintOf("GET", "/", nil)
	here, there := NewQuarantine(2, time.Minute), NewQuarantine(2, time.Minute)
	here.RecordCrash(f, "a", start)
	there.RecordCrash(f, "a", start)
	here.Merge(there.Entries(start, 10), start)
	if here.Refuses(f, start) {
		t.Error("the same death counted twice")
	}
	there.RecordCrash(f, "b", start)
	for range 2 {
		here.Merge(there.Entries(start, 10), start)
	}
	if !here.Refuses(f, start) {
		t.Error("the second death did not count")
	}
	here.Merge([]*wire.QuarantineEntry{
		nil,
		{Fingerprint: []byte("short"), ExpiresUnixMs: uint64(start.Add(time.Minute).UnixMilli()), Deaths: 9},
		{Fingerprint: make([]byte, FingerprintSize), ExpiresUnixMs: uint64(start.UnixMilli()), Deaths: 9},
	}, start)
	if known, refused := here.Counts(start); known != 1 || refused != 1 {
		t.Errorf("%d known and %d refused, want 1 and 1", known, refused)
	}
	far := &wire.QuarantineEntry{Fingerprint: make([]byte, FingerprintSize), ExpiresUnixMs: 1 << 63, Deaths: 9}
	here.Merge([]*wire.QuarantineEntry{far}, start)
	if here.Refuses(Fingerprint{}, start.Add(maxLifetime+time.Second)) {
		t.Error("an expiry without bound was taken over")
	}
}

// Guards against memory without bound, and against many harmless deaths pushing out a quarantine.
func TestQuarantineIsBounded(t *testing.T) {
	q := NewQuarantine(2, time.Minute)
	f := FingerprintOf("GET", "/crash", nil)
	q.RecordCrash(f, "a", start)
	q.RecordCrash(f, "b", start)
	for i := range maxFingerprints + 50 {
		q.RecordCrash(FingerprintOf("GET", fmt.Sprint(i), nil), "a", start.Add(time.Second))
	}
	if known, _ := q.Counts(start.Add(time.Second)); known > maxFingerprints {
		t.Errorf("%d fingerprints in memory", known)
	}
	if !q.Refuses(f, start.Add(time.Second)) {
		t.Error("the quarantined request was forgotten")
	}
	if n := len(q.Entries(start.Add(time.Second), 5)); n != 5 {
		t.Errorf("%d entries, want 5", n)
	}
}

// Guards against concurrent requests that together spend more than the budget.
func TestBudgetConcurrently(t *testing.T) {
	b := NewBudget(start, 0.1, 0)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 250 {
				b.RecordFirstAttempt()
				b.Spend(start)
				b.Spend(start)
			}
		})
	}
	wg.Wait()
	if c := b.Counts(); c.First != 2000 || c.Spent > 200 || c.Spent < 150 {
		t.Errorf("counts %+v", c)
	}
}

// Guards against a quantile from too few or outdated samples, and against a wrong one.
func TestLatencies(t *testing.T) {
	l := NewLatencies(start, 0.95)
	for i := range minLatencies {
		if l.Quantile(start) != 0 {
			t.Fatalf("a quantile of %d samples", i)
		}
		l.Record(start, 3*time.Millisecond)
	}
	for i := range 1000 {
		l.Record(start, time.Duration(i*7919%1000+1)*time.Millisecond)
	}
	if q := l.Quantile(start); q < 920*time.Millisecond || q > 970*time.Millisecond {
		t.Errorf("quantile %v, want about 950ms", q)
	}
	if l.Quantile(start.Add(latencyWindow)) == 0 {
		t.Error("the window before was forgotten")
	}
	if q := l.Quantile(start.Add(3 * latencyWindow)); q != 0 {
		t.Errorf("quantile %v after all windows have passed", q)
	}
}

// countingBudget counts the attempts that are taken from it.
type countingBudget struct{ spent int }

func (b *countingBudget) Spend(time.Time) bool { b.spent++; return true }

// Guards against a budget that requests without room use up, so that none is left for those that failed at a backend
// server.
func TestFullGatesDoNotSpendTheBudget(t *testing.T) {
	p := Policy{MaxAttempts: 3}
	for _, tt := range []struct {
		reason verdict.Reason
		moves  int
		retry  bool
	}{
		{verdict.Overloaded, MaxMoves, false},
		{verdict.QueueFull, MaxMoves, false},
		{verdict.Busy, MaxMoves, false},
		{verdict.Overloaded, 0, true},
		{verdict.BackendRefused, MaxMoves, true},
		{verdict.PeerUnreachable, MaxMoves, true},
	} {
		var b countingBudget
		a := Attempt{Number: 1, Moves: tt.moves, Verdict: verdict.NotRun, Reason: tt.reason, Remaining: time.Second}
		d := p.Next(a, &b, time.Now(), 0)
		if d.Retry != tt.retry || (b.spent == 1) != tt.retry {
			t.Errorf("%s after %d moves: %+v, %d spent", tt.reason, tt.moves, d, b.spent)
		}
	}
}
