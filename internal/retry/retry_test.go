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

var startTime = time.Unix(1_700_000_000, 0)

// Guards against more retries than the share of the first attempts plus the minimum rate, including
// across policy changes.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.3).Draw(t, "share")
		rate := rapid.Float64Range(0, 5).Draw(t, "rate")
		highShare, highRate := share, rate
		b := NewBudget(startTime, share, rate)
		now, first, spent := startTime, 0, 0
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
		// Steps back of the clock add no tokens, but all steps forward do, at most 0.5 s in each of 60 steps.
		seconds := 60 * 0.5
		if limit := highShare*float64(first) + highRate*(seconds+1); float64(spent) > limit {
			t.Fatalf("%d retries for %d first attempts, limit %v", spent, first, limit)
		}
		if c := b.Counts(); c.Spent != uint64(spent) || c.First != uint64(first) {
			t.Fatalf("counts %+v, want %d spent of %d", c, spent, first)
		}
	})
}

// Guards against an inexact share or minimum rate at a fixed time.
func TestBudgetExactShare(t *testing.T) {
	b := NewBudget(startTime, 0.1, 0)
	spent := 0
	for range 1000 {
		b.RecordFirstAttempt()
		if b.Spend(startTime) {
			spent++
		}
	}
	if spent < 98 || spent > 100 {
		t.Errorf("%d retries per 1000 first attempts, want 100", spent)
	}
	minimum := NewBudget(startTime, 0, 2)
	for i, want := range []bool{true, true, false} {
		if minimum.Spend(startTime) != want {
			t.Errorf("retry %d in the first second at a rate of 2 per second: want %v", i+1, want)
		}
	}
}

// Guards against a second run of a non-idempotent request that may have run, a retry at the wrong
// depth, and a retry without time, attempts or budget left.
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
		{"not run", base, Decision{Retry: true, ExcludeTried: true, Cause: SafeNotRun}},
		{"may have run", with(func(a *Attempt) { a.Verdict = verdict.MayHaveRun }), Decision{Cause: NoRetryVerdict}},
		{"may have run, key held", with(func(a *Attempt) { a.Verdict = verdict.MayHaveRun; a.Keyed = true }), Decision{Cause: NoRetryVerdict}},
		{"may have run, idempotent", with(func(a *Attempt) { a.Verdict = verdict.MayHaveRun; a.Idempotent = true }),
			Decision{Retry: true, ExcludeTried: true, Cause: SafeIdempotent}},
		{"ran with 500", with(func(a *Attempt) { a.Verdict = verdict.Ran; a.Status = 500 }), Decision{Cause: NoRetryVerdict}},
		{"ran with 500, idempotent", with(func(a *Attempt) { a.Verdict = verdict.Ran; a.Status = 500; a.Idempotent = true }),
			Decision{Retry: true, ExcludeTried: true, Cause: SafeIdempotent}},
		{"ran with 404, idempotent", with(func(a *Attempt) { a.Verdict = verdict.Ran; a.Status = 404; a.Idempotent = true }), Decision{Cause: NoRetryAnswered}},
		{"ran with 501, idempotent", with(func(a *Attempt) {
			a.Verdict = verdict.Ran
			a.Status = http.StatusNotImplemented
			a.Idempotent = true
		}), Decision{Cause: NoRetryAnswered}},
		{"response began", with(func(a *Attempt) { a.Streamed = true; a.Idempotent = true }), Decision{Cause: NoRetryStreamed}},
		{
			"depth 1, idempotent, may have run", with(func(a *Attempt) { a.Depth, a.Idempotent, a.Verdict = 1, true, verdict.MayHaveRun }),
			Decision{Cause: NoRetryDepth},
		},
		{"depth 1, queue full", with(func(a *Attempt) { a.Depth, a.Reason = 1, verdict.QueueFull }), Decision{Cause: NoRetryDepth}},
		{
			"depth 1, endpoint draining", with(func(a *Attempt) { a.Depth, a.Reason = 1, verdict.Draining }),
			Decision{Retry: true, ExcludeTried: true, Cause: SafeNotRun},
		},
		{"last attempt", with(func(a *Attempt) { a.Number = 3 }), Decision{Cause: NoRetryMaxAttempts}},
		{"no time left", with(func(a *Attempt) { a.Remaining = time.Millisecond }), Decision{Cause: NoRetryDeadline}},
		{"quarantined", with(func(a *Attempt) { a.Reason = verdict.Quarantined }), Decision{Cause: NoRetryReason}},
		{"caller canceled", with(func(a *Attempt) { a.Reason = verdict.Canceled; a.Idempotent = true }), Decision{Cause: NoRetryReason}},
		{"queue full", with(func(a *Attempt) { a.Reason = verdict.QueueFull }),
			Decision{Retry: true, ExcludeTried: true, Wait: time.Millisecond, Cause: SafeNotRun}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Policy{MaxAttempts: 3}.Next(test.attempt, NewBudget(startTime, 0.1, 3), startTime, 0.5)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	if got := (Policy{MaxAttempts: 3}).Next(base, NewBudget(startTime, 0, 0), startTime, 0); got.Retry || got.Cause != NoRetryBudget {
		t.Errorf("without budget: %+v", got)
	}
}

// Guards against any combination of inputs for which a non-idempotent request runs twice, or a retry
// exceeds the depth, attempts or time.
func TestNextNeverPermitsUnsafeRetries(t *testing.T) {
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
		d := Policy{MaxAttempts: 3}.Next(a, NewBudget(startTime, 0.1, 3), startTime, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if !d.Retry {
			return
		}
		unsafe := a.Verdict != verdict.NotRun && !a.Idempotent
		// At depth 1 and above, a retry is permitted only when the endpoint cannot accept any request.
		unavailable := a.Verdict == verdict.NotRun && (a.Reason == verdict.Draining || a.Reason == verdict.BackendDown)
		tooDeep := a.Depth > 0 && !unavailable
		if unsafe || a.Streamed || tooDeep || a.Number >= 3 || d.Wait >= a.Remaining {
			t.Fatalf("decision %+v for attempt %+v", d, a)
		}
	})
}

// Guards against a hedge of a request that must not run twice, and against one that cannot be useful.
func TestHedgeDelay(t *testing.T) {
	base := HedgeCandidate{Permitted: true, Idempotent: true, Number: 1, Quantile: 20 * time.Millisecond, Remaining: time.Second}
	tests := []struct {
		name   string
		change func(*HedgeCandidate)
		want   bool
	}{
		{"permitted", func(*HedgeCandidate) {}, true},
		{"route forbids", func(h *HedgeCandidate) { h.Permitted = false }, false},
		{"not idempotent", func(h *HedgeCandidate) { h.Idempotent = false }, false},
		{"long request", func(h *HedgeCandidate) { h.Long = true }, false},
		{"nested call", func(h *HedgeCandidate) { h.Depth = 1 }, false},
		{"latency unknown", func(h *HedgeCandidate) { h.Quantile = 0 }, false},
		{"second attempt", func(h *HedgeCandidate) { h.Number = 2 }, false},
		{"deadline before the hedge", func(h *HedgeCandidate) { h.Remaining = 21 * time.Millisecond }, false},
	}
	for _, test := range tests {
		h := base
		test.change(&h)
		if delay, ok := (Policy{MaxAttempts: 3}).HedgeDelay(h); ok != test.want || (ok && delay != base.Quantile) {
			t.Errorf("%s: %v %v", test.name, delay, ok)
		}
	}
}

// Guards against a hedge that is sent too late to be in time, or after the objective has passed, when its work helps
// nobody.
func TestHedgeDelayByObjective(t *testing.T) {
	base := HedgeCandidate{Permitted: true, Idempotent: true, Number: 1, HasObjective: true, Objective: 400 * time.Millisecond, Remaining: 3 * time.Second}
	tests := []struct {
		name   string
		change func(*HedgeCandidate)
		want   time.Duration // 0: no hedge
	}{
		{"half of the time left", func(*HedgeCandidate) {}, 200 * time.Millisecond},
		{"after a move", func(h *HedgeCandidate) { h.Objective = 300 * time.Millisecond }, 150 * time.Millisecond},
		{"objective passed", func(h *HedgeCandidate) { h.Objective = -time.Millisecond }, 0},
		{"quantile ignored", func(h *HedgeCandidate) { h.Quantile = time.Millisecond }, 200 * time.Millisecond},
		{"caller leaves before", func(h *HedgeCandidate) { h.Remaining = 150 * time.Millisecond }, 0},
		{"one attempt allowed", func(h *HedgeCandidate) { h.Number = 2 }, 0},
		{"in an overload", func(h *HedgeCandidate) { h.SinceOverload = 9 * time.Second }, 0},
		{"after an overload", func(h *HedgeCandidate) { h.SinceOverload = 11 * time.Second }, 200 * time.Millisecond},
	}
	for _, test := range tests {
		h := base
		test.change(&h)
		if delay, ok := (Policy{MaxAttempts: 2}).HedgeDelay(h); ok != (test.want > 0) || delay != test.want {
			t.Errorf("%s: %v %v, want %v", test.name, delay, ok, test.want)
		}
	}
}

// Guards against equal fingerprints of requests that differ only in where one field ends, and against
// different fingerprints of equal requests.
func TestFingerprint(t *testing.T) {
	a := FingerprintOf("POST", "/orders", []byte("body"))
	if a != FingerprintOf("POST", "/orders", []byte("body")) {
		t.Error("equal requests have different fingerprints")
	}
	for _, other := range []Fingerprint{
		FingerprintOf("PUT", "/orders", []byte("body")),
		FingerprintOf("POST", "/orders?x=1", []byte("body")),
		FingerprintOf("POST", "/ordersb", []byte("ody")),
		FingerprintOf("POST/", "orders", []byte("body")),
		FingerprintOf("POST", "/orders", nil),
	} {
		if a == other {
			t.Error("different requests have equal fingerprints")
		}
	}
	if _, ok := ParseFingerprint(a.Bytes()[1:]); ok {
		t.Error("a short fingerprint was accepted")
	}
}

// Guards against a quarantine after repeated crashes of one endpoint, against a missing quarantine after
// crashes of two endpoints, and against a quarantine that never ends.
func TestQuarantine(t *testing.T) {
	q := NewQuarantine(2, time.Minute)
	f := FingerprintOf("GET", "/", nil)
	for range 2 {
		if q.RecordCrash(f, "a", startTime) || q.Refuses(f, startTime) {
			t.Error("two crashes of one endpoint put the request into quarantine")
		}
	}
	if !q.RecordCrash(f, "b", startTime) || !q.Refuses(f, startTime) {
		t.Error("crashes of two endpoints did not put the request into quarantine")
	}
	if q.RecordCrash(f, "c", startTime) {
		t.Error("a third crash was reported as the start of the quarantine")
	}
	if q.Refuses(f, startTime.Add(time.Minute)) {
		t.Error("the quarantine did not end")
	}
	if q.RecordCrash(f, "a", startTime.Add(time.Hour)) {
		t.Error("crashes of an expired entry still count")
	}
}

// Guards against counting a crash twice that two nodes have recorded, and against ignoring crashes that
// only another node has recorded.
func TestQuarantineMerge(t *testing.T) {
	f := FingerprintOf("GET", "/", nil)
	local, remote := NewQuarantine(2, time.Minute), NewQuarantine(2, time.Minute)
	local.RecordCrash(f, "a", startTime)
	remote.RecordCrash(f, "a", startTime)
	local.Merge(remote.Entries(startTime, 10), startTime)
	if local.Refuses(f, startTime) {
		t.Error("the same crash was counted twice")
	}
	remote.RecordCrash(f, "b", startTime)
	for range 2 {
		local.Merge(remote.Entries(startTime, 10), startTime)
	}
	if !local.Refuses(f, startTime) {
		t.Error("the second crash was not counted")
	}
	local.Merge([]*wire.QuarantineEntry{
		nil,
		{Fingerprint: []byte("short"), ExpiresUnixMs: uint64(startTime.Add(time.Minute).UnixMilli()), Deaths: 9},
		{Fingerprint: make([]byte, FingerprintSize), ExpiresUnixMs: uint64(startTime.UnixMilli()), Deaths: 9},
	}, startTime)
	if known, refused := local.Counts(startTime); known != 1 || refused != 1 {
		t.Errorf("%d known and %d refused, want 1 and 1", known, refused)
	}
	far := &wire.QuarantineEntry{Fingerprint: make([]byte, FingerprintSize), ExpiresUnixMs: 1 << 63, Deaths: 9}
	local.Merge([]*wire.QuarantineEntry{far}, startTime)
	if local.Refuses(Fingerprint{}, startTime.Add(maxEntryLifetime+time.Second)) {
		t.Error("an entry outlived maxEntryLifetime")
	}
}

// Guards against unbounded memory, and against eviction of a quarantined request by many requests with
// a single crash.
func TestQuarantineIsBounded(t *testing.T) {
	q := NewQuarantine(2, time.Minute)
	f := FingerprintOf("GET", "/crash", nil)
	q.RecordCrash(f, "a", startTime)
	q.RecordCrash(f, "b", startTime)
	for i := range maxQuarantineEntries + 50 {
		q.RecordCrash(FingerprintOf("GET", fmt.Sprint(i), nil), "a", startTime.Add(time.Second))
	}
	if known, _ := q.Counts(startTime.Add(time.Second)); known > maxQuarantineEntries {
		t.Errorf("%d fingerprints in the table", known)
	}
	if !q.Refuses(f, startTime.Add(time.Second)) {
		t.Error("the quarantined request was evicted")
	}
	if n := len(q.Entries(startTime.Add(time.Second), 5)); n != 5 {
		t.Errorf("%d entries, want 5", n)
	}
}

// Guards against concurrent requests that together spend more than the budget.
func TestBudgetConcurrently(t *testing.T) {
	b := NewBudget(startTime, 0.1, 0)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 250 {
				b.RecordFirstAttempt()
				b.Spend(startTime)
				b.Spend(startTime)
			}
		})
	}
	wg.Wait()
	if c := b.Counts(); c.First != 2000 || c.Spent > 200 || c.Spent < 150 {
		t.Errorf("counts %+v", c)
	}
}

// Guards against a quantile of too few or outdated samples, and against a wrong quantile.
func TestLatencyTracker(t *testing.T) {
	l := NewLatencyTracker(startTime, 0.95)
	for i := range minLatencySamples {
		if l.Quantile(startTime) != 0 {
			t.Fatalf("got a quantile of %d samples", i)
		}
		l.Record(startTime, 3*time.Millisecond)
	}
	for i := range 1000 {
		l.Record(startTime, time.Duration(i*7919%1000+1)*time.Millisecond)
	}
	if q := l.Quantile(startTime); q < 920*time.Millisecond || q > 970*time.Millisecond {
		t.Errorf("quantile %v, want about 950ms", q)
	}
	if l.Quantile(startTime.Add(latencyWindow)) == 0 {
		t.Error("the samples of the previous window were discarded")
	}
	if q := l.Quantile(startTime.Add(3 * latencyWindow)); q != 0 {
		t.Errorf("quantile %v after all windows have passed", q)
	}
}

// countingBudget permits every attempt and counts them.
type countingBudget struct{ spent int }

func (b *countingBudget) Spend(time.Time) bool { b.spent++; return true }

// Guards against requests refused by full gates using up the budget, so that none is left for requests that failed at
// a backend server.
func TestFullGatesDoNotSpendBudget(t *testing.T) {
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

// Guards against refusals by an evacuated gate, or one beside a cold backend server, that use up attempts or budget, and
// against a slow start that keeps hedges from others.
func TestSlowStartAndEvacuationAreMoves(t *testing.T) {
	for _, reason := range []verdict.Reason{verdict.SlowStart, verdict.Evacuated} {
		e := &verdict.Error{Verdict: verdict.NotRun, Reason: reason}
		a := Attempt{Number: 1, Verdict: e.Verdict, Reason: reason, Remaining: time.Second}
		if !(Policy{MaxAttempts: 1}).Move(a, 0) || !RefusedAtGate(e) || ShowsOverload(e) {
			t.Errorf("%s: move %v, refused at the gate %v, overload %v", reason, (Policy{MaxAttempts: 1}).Move(a, 0), RefusedAtGate(e), ShowsOverload(e))
		}
	}
}
