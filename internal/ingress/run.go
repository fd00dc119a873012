package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
)

// run sends the request to endpoints until one answers or no further attempt is permitted.
func (in *Ingress) run(ctx context.Context, q *request) (*answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline.Add(verdictGrace))
	stop := context.AfterFunc(q.http.Context(), cancel)
	if in.OnStale != nil {
		in.OnStale(q.route.Service)
	}
	in.Budget.First()
	a, err := in.tryEndpoints(ctx, q)
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	a.release = func() { stop(); cancel() }
	return a, nil
}

// tries is the state of one request's attempts.
type tries struct {
	number  int
	placed  bool // refused as busy once; later attempts accept any wait
	exclude uint64
	before  uint64 // exclude before the newest attempt
	results chan result
	pending int
	ran     verdict.Verdict // what all failed attempts together say; NotRun while none may have run
}

// result is the end of one attempt.
type result struct {
	answer *answer
	err    error
	cancel context.CancelFunc
}

func (in *Ingress) tryEndpoints(ctx context.Context, q *request) (*answer, error) {
	t := &tries{results: make(chan result, q.snapshot.Bundle.Policy.MaxAttempts+1), ran: verdict.NotRun}
	for {
		if err := in.start(ctx, q, t); err != nil {
			return nil, t.overall(err)
		}
		r := in.await(ctx, q, t)
		if r.err == nil {
			in.dropOthers(t)
			return r.answer, nil
		}
		if t.pending > 0 {
			// A hedge is still running and may answer.
			if r = in.awaitOthers(t, r); r.err == nil {
				return r.answer, nil
			}
		}
		if !in.retryAfter(ctx, q, t, r.err) {
			return nil, t.overall(r.err)
		}
	}
}

// start picks an endpoint and begins an attempt there.
func (in *Ingress) start(ctx context.Context, q *request, t *tries) error {
	if q.permit != nil && !q.permit.MayStart(time.Now()) {
		return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the permit of the claim has ended")
	}
	i, ep := in.Chooser.pick(q.service, t.exclude, q.long)
	if ep == nil && t.exclude != 0 {
		// All endpoints have been tried; a busy one may have room by now.
		t.exclude = 0
		i, ep = in.Chooser.pick(q.service, 0, q.long)
	}
	if ep == nil {
		return verdict.New(verdict.NotRun, verdict.NoEndpoint, "no endpoint of service %s can be used", q.route.Service)
	}
	in.begin(ctx, q, t, i, ep)
	return nil
}

// begin sends the request to the endpoint at position i.
func (in *Ingress) begin(ctx context.Context, q *request, t *tries, i int, ep *table.Endpoint) {
	t.before = t.exclude
	if i < 64 {
		t.exclude |= 1 << i
	}
	t.number++
	t.pending++
	attemptCtx, cancel := context.WithCancel(ctx)
	if !in.mayHedge(q) {
		a, err := in.attempt(attemptCtx, q, ep, t.maxWait(q))
		t.results <- result{a, err, cancel}
		return
	}
	go in.attemptAsync(attemptCtx, cancel, q, ep, t.maxWait(q), t.results)
}

func (in *Ingress) attemptAsync(ctx context.Context, cancel context.CancelFunc, q *request, ep *table.Endpoint, maxWait time.Duration, results chan<- result) {
	a, err := in.attempt(ctx, q, ep, maxWait)
	results <- result{a, err, cancel}
}

// maxWait is the expected wait that the next attempt accepts; 0 accepts any.
func (t *tries) maxWait(q *request) time.Duration {
	if t.placed || q.long {
		return 0
	}
	return retry.PlacementWait
}

func (in *Ingress) mayHedge(q *request) bool {
	return q.route.Hedge && q.idempotent && q.rest == nil && q.depth == 0
}

// await returns the first result. While it waits, it may start a hedge.
func (in *Ingress) await(ctx context.Context, q *request, t *tries) result {
	delay, hedge := in.policy(q).HedgeAfter(retry.Hedge{
		Permitted: q.route.Hedge && q.rest == nil, Idempotent: q.idempotent, Long: q.long,
		Number: t.number, Depth: q.depth, Quantile: in.latencies(q).Quantile(time.Now()), Remaining: time.Until(q.deadline),
	})
	if hedge {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case r := <-t.results:
			return t.took(r)
		case <-timer.C:
			in.hedge(ctx, q, t)
		}
	}
	return t.took(<-t.results)
}

func (in *Ingress) hedge(ctx context.Context, q *request, t *tries) {
	i, ep := in.Chooser.pickHedge(q.service, t.exclude, q.long)
	if ep == nil || !in.Budget.Spend(time.Now()) {
		return
	}
	in.Counters.Hedges.Add(1)
	in.begin(ctx, q, t, i, ep)
}

func (t *tries) took(r result) result {
	t.pending--
	if r.err != nil {
		r.cancel()
		t.note(verdict.Of(r.err))
	} else {
		r.answer.cancel = r.cancel
	}
	return r
}

// note adds the verdict of a failed attempt: Ran outweighs MayHaveRun, and that outweighs NotRun.
func (t *tries) note(v verdict.Verdict) {
	if v == verdict.Ran || v == verdict.MayHaveRun && t.ran == verdict.NotRun {
		t.ran = v
	}
}

// overall returns the last error of a request with the verdict over all its attempts, since the verdict of
// the last attempt alone does not say that an earlier one was not run.
func (t *tries) overall(err error) error {
	e := verdict.As(err)
	if e.Verdict != verdict.NotRun || t.ran == verdict.NotRun {
		return err
	}
	return &verdict.Error{Verdict: t.ran, Reason: e.Reason, Detail: "after an attempt that " + attemptText[t.ran] + ": " + e.Detail}
}

var attemptText = map[verdict.Verdict]string{verdict.MayHaveRun: "may have run", verdict.Ran: "ran"}

// awaitOthers returns the first success among the attempts still running, or first.
func (in *Ingress) awaitOthers(t *tries, first result) result {
	for t.pending > 0 {
		if r := t.took(<-t.results); r.err == nil {
			in.dropOthers(t)
			return r
		}
	}
	return first
}

// dropOthers closes the attempts that lost against another one as they answer.
func (in *Ingress) dropOthers(t *tries) {
	pending := t.pending
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			r := <-t.results
			if r.err == nil {
				r.answer.seen.end(balance.Canceled, nil)
				r.answer.close()
			}
			r.cancel()
		}
	}()
}

func (in *Ingress) policy(q *request) retry.Policy { return retry.PolicyOf(q.snapshot.Bundle.Policy) }

// retryAfter decides on another attempt after err and waits before it if need be.
func (in *Ingress) retryAfter(ctx context.Context, q *request, t *tries, err error) bool {
	e := verdict.As(err)
	if e.Reason == verdict.Busy && !t.placed && !q.restUsed {
		// The choice was stale; moving the request is part of choosing and needs no budget.
		// Its endpoint stays a candidate: the next choice knows its load exactly.
		t.placed = true
		t.number--
		t.exclude = t.before
		in.Counters.Moved.Add(1)
		return true
	}
	d := in.policy(q).Next(retry.Attempt{
		Idempotent: q.idempotent, Keyed: q.key != "", Number: t.number, Depth: q.depth, Verdict: e.Verdict,
		Reason: e.Reason, Remaining: time.Until(q.deadline), Streamed: q.restUsed,
	}, in.Budget, time.Now(), rand.Float64())
	if !d.Retry {
		return false
	}
	if d.Wait > 0 {
		select {
		case <-time.After(d.Wait):
		case <-ctx.Done():
			return false
		}
	}
	in.Counters.Retries.Add(1)
	return true
}

// latencies returns the record of the service's recent latencies.
func (in *Ingress) latencies(q *request) *retry.Latencies {
	if l, ok := in.latency.Load(q.route.Service); ok {
		return l.(*retry.Latencies)
	}
	quantile := q.snapshot.Bundle.Policy.HedgeAfterQuantile
	l, _ := in.latency.LoadOrStore(q.route.Service, retry.NewLatencies(time.Now(), quantile))
	return l.(*retry.Latencies)
}
