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
	if in.OnRequest != nil {
		in.OnRequest(q.to)
	}
	in.countFirst(q)
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
	placed  bool // later attempts accept any wait
	moves   int  // refusals by gates, which count as no attempt
	exclude uint64
	first   uint64 // exclude before the endpoints that refused as busy
	results chan result
	// running holds the attempts that have not ended, by their number at their start.
	running  map[int]context.CancelFunc
	started  int
	endpoint *table.Endpoint // of the newest attempt
	ran      verdict.Verdict // what all failed attempts together say; NotRun while none may have run
}

// result is the end of one attempt.
type result struct {
	attempt int // key of tries.running
	answer  *answer
	err     error
}

func (in *Ingress) tryEndpoints(ctx context.Context, q *request) (*answer, error) {
	t := &tries{
		results: make(chan result, in.policy(q).MaxAttempts+retry.MaxMoves+1),
		running: make(map[int]context.CancelFunc), ran: verdict.NotRun,
	}
	for {
		if err := in.start(ctx, q, t); err != nil {
			return nil, t.overall(err)
		}
		r := in.await(ctx, q, t)
		if r.err == nil {
			in.dropOthers(t)
			return r.answer, nil
		}
		if len(t.running) > 0 {
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
	if in.closing.Load() {
		return verdict.New(verdict.NotRun, verdict.Draining, "the node is about to end")
	}
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
		return verdict.New(verdict.NotRun, verdict.NoEndpoint, "no endpoint of service %s can be used", q.to)
	}
	in.begin(ctx, q, t, i, ep)
	return nil
}

// begin sends the request to the endpoint at position i.
func (in *Ingress) begin(ctx context.Context, q *request, t *tries, i int, ep *table.Endpoint) {
	if !t.placed && t.moves == 0 {
		t.first = t.exclude
	}
	if i < 64 {
		t.exclude |= 1 << i
	}
	t.number++
	t.started++
	t.endpoint = ep
	q.sent, q.last = t.started, ep
	in.logChoice(ctx, q, t, ep)
	ctx, t.running[t.started] = context.WithCancel(ctx)
	attempt, maxWait := t.started, t.maxWait(q)
	try := func() {
		a, err := in.attempt(ctx, q, ep, maxWait)
		t.results <- result{attempt, a, err}
	}
	if q.mayOverlap() {
		go try()
	} else {
		try()
	}
}

// maxWait is the expected wait that the next attempt accepts; 0 accepts any.
func (t *tries) maxWait(q *request) time.Duration {
	if t.placed || q.long && q.route.Objective == 0 {
		return 0
	}
	return retry.MaxPlacementWait
}

// mayOverlap reports whether a second attempt may start while the first one runs.
func (q *request) mayOverlap() bool { return q.idempotent && q.rest == nil && q.depth == 0 }

// await returns the first result. While it waits, it may start a hedge, or another attempt when the node of
// the newest one has become suspect.
func (in *Ingress) await(ctx context.Context, q *request, t *tries) result {
	if !q.mayOverlap() {
		return t.took(<-t.results)
	}
	delay, hedge := in.policy(q).HedgeAfter(retry.Hedge{
		Permitted: q.route.Hedge, Idempotent: true, Long: q.long, Number: t.number,
		Quantile: in.latencies(q).Quantile(time.Now()), Remaining: time.Until(q.deadline),
	})
	if !hedge {
		delay = suspectPoll
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case r := <-t.results:
			return t.took(r)
		case <-timer.C:
		}
		switch {
		case hedge:
			in.hedge(ctx, q, t)
			hedge = false
		case len(t.running) < maxOverlapping && t.endpoint.Stats.Suspect.Load():
			in.failover(ctx, q, t)
		}
		timer.Reset(suspectPoll)
	}
}

const (
	// maxPlacements is the number of gates that may pass a request on because they are busy. After that it
	// accepts any wait at the best one.
	maxPlacements = 2
	// suspectPoll is the time between two looks at the state of the endpoint's node.
	suspectPoll = 200 * time.Millisecond
	// maxOverlapping bounds the attempts of one request that run at the same time.
	maxOverlapping = 2
)

// failover starts another attempt beside one whose node does not answer pings. A frozen node would
// otherwise hold the request until its deadline.
func (in *Ingress) failover(ctx context.Context, q *request, t *tries) {
	if t.number >= in.policy(q).MaxAttempts || !in.budget(q).Spend(time.Now()) {
		return
	}
	if in.start(ctx, q, t) == nil {
		in.Counters.Retries.Add(1)
	}
}

func (in *Ingress) hedge(ctx context.Context, q *request, t *tries) {
	i, ep := in.Chooser.pickHedge(q.service, t.exclude, q.long)
	if ep == nil || !in.budget(q).Spend(time.Now()) {
		return
	}
	in.Counters.Hedges.Add(1)
	in.begin(ctx, q, t, i, ep)
}

func (t *tries) took(r result) result {
	cancel := t.running[r.attempt]
	delete(t.running, r.attempt)
	if r.err != nil {
		cancel()
		t.note(verdict.Of(r.err))
	} else {
		r.answer.cancel = cancel
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
	for len(t.running) > 0 {
		if r := t.took(<-t.results); r.err == nil {
			in.dropOthers(t)
			return r
		}
	}
	return first
}

// dropOthers cancels the attempts that lost against another one, so that they give back their slots.
func (in *Ingress) dropOthers(t *tries) {
	if len(t.running) == 0 {
		return
	}
	for _, cancel := range t.running {
		cancel()
	}
	go func() {
		for range len(t.running) {
			if r := <-t.results; r.err == nil {
				r.answer.seen.end(balance.Canceled, nil)
				r.answer.close()
			}
		}
	}()
}

// window returns the budget of the request's service, or nil when the one of all services counts.
func (in *Ingress) window(q *request) *retry.Window {
	if in.ServiceBudgets == nil {
		return nil
	}
	return in.ServiceBudgets.For(q.to)
}

func (in *Ingress) budget(q *request) retry.Spender {
	if w := in.window(q); w != nil {
		return w
	}
	return in.Budget
}

func (in *Ingress) countFirst(q *request) {
	if w := in.window(q); w != nil {
		w.First(time.Now())
		return
	}
	in.Budget.RecordFirstAttempt()
}

func (in *Ingress) policy(q *request) retry.Policy {
	p := retry.PolicyOf(q.snapshot.Bundle.Policy)
	if q.route.MaxAttempts > 0 {
		p.MaxAttempts = q.route.MaxAttempts
	}
	return p
}

// retryAfter decides on another attempt after err and waits before it if need be.
func (in *Ingress) retryAfter(ctx context.Context, q *request, t *tries, err error) bool {
	e := verdict.As(err)
	if in.closing.Load() {
		in.logFailed(ctx, q, t, e, "closing")
		return false
	}
	failed := retry.Attempt{
		Idempotent: q.idempotent, Keyed: q.key != "", Number: t.number, Moves: t.moves, Depth: q.depth, Verdict: e.Verdict,
		Reason: e.Reason, Remaining: time.Until(q.deadline), Streamed: q.restUsed,
	}
	if in.policy(q).Move(failed, t.moves) {
		t.moves++
		t.number--
		t.placed = e.Reason != verdict.Busy || t.moves >= maxPlacements
		if t.placed && e.Reason == verdict.Busy {
			// All that were asked are busy. They become candidates again, since the last choice knows their loads.
			t.exclude = t.first
		}
		q.moved = t.moves
		in.Counters.Moved.Add(1)
		in.logFailed(ctx, q, t, e, "move")
		return true
	}
	d := in.policy(q).Next(failed, in.budget(q), time.Now(), rand.Float64())
	in.logFailed(ctx, q, t, e, string(d.Why))
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
	if l, ok := in.latency.Load(q.to); ok {
		return l.(*retry.Latencies)
	}
	quantile := q.snapshot.Bundle.Policy.HedgeAfterQuantile
	l, _ := in.latency.LoadOrStore(q.to, retry.NewLatencies(time.Now(), quantile))
	return l.(*retry.Latencies)
}
