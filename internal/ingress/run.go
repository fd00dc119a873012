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

// run sends the request to endpoints until one responds or no additional attempt is permitted.
func (in *Ingress) run(ctx context.Context, q *request) (*response, error) {
	ctx, giveUp := context.WithCancelCause(context.WithoutCancel(ctx))
	defer in.trackUnanswered(q, giveUp)()
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(verdictGrace))
	stop := context.AfterFunc(q.httpRequest.Context(), cancel)
	if in.OnRequest != nil {
		in.OnRequest(q.serviceName)
	}
	in.recordFirstAttempt(q)
	in.recognizeReturning(q)
	cancelAll := func() { stop(); cancel() }
	responded := false
	defer func() {
		if !responded {
			cancelAll() // also after a panic, which would otherwise leave attempts running until the deadline
		}
	}()
	resp, err := in.runAttempts(ctx, q)
	if err != nil {
		return nil, in.rememberRefusal(ctx, q, err)
	}
	responded, resp.cancelAll = true, cancelAll
	return resp, nil
}

// attemptState is the state of one request's attempts.
type attemptState struct {
	countedAttempts     int    // attempts without moves, as the retry policy counts them
	acceptAnyWait       bool   // later attempts accept any expected wait
	moves               int    // refusals by gates that do not count as attempts
	excluded            uint64 // bitmask of endpoint indexes already tried
	excludedBeforeMoves uint64 // excluded without the endpoints whose gates refused as busy
	lastBit             uint64 // bit of the newest attempt's endpoint in excluded
	results             chan attemptResult
	// running holds the cancel functions of the attempts that have not ended, by attempt number.
	running         map[int]context.CancelFunc
	startedAttempts int             // including moves; the number of the newest attempt
	hedge           int             // number of the attempt that is a hedge; 0 for none
	lastEndpoint    *table.Endpoint // of the newest attempt
	combinedVerdict verdict.Verdict // over all failed attempts; NotRun while none may have run
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	number   int // key in attemptState.running
	response *response
	err      error
}

func (in *Ingress) runAttempts(ctx context.Context, q *request) (*response, error) {
	state := &attemptState{
		results: make(chan attemptResult, in.policy(q).MaxAttempts+retry.MaxMoves+1),
		running: make(map[int]context.CancelFunc), combinedVerdict: verdict.NotRun,
	}
	for {
		if err := in.startAttempt(ctx, q, state); err != nil {
			return nil, state.combinedError(err)
		}
		r := in.awaitResult(ctx, q, state)
		if r.err == nil {
			in.cancelRemaining(state)
			return r.response, nil
		}
		if len(state.running) > 0 {
			// Another attempt is still running and may succeed.
			if r = in.awaitRemaining(state, r); r.err == nil {
				return r.response, nil
			}
		}
		if !in.prepareRetry(ctx, q, state, r.err) {
			return nil, state.combinedError(r.err)
		}
	}
}

// startAttempt picks an endpoint and starts an attempt there.
func (in *Ingress) startAttempt(ctx context.Context, q *request, state *attemptState) error {
	if in.closing.Load() {
		return verdict.New(verdict.NotRun, verdict.Draining, "the node is about to end")
	}
	if q.claimPermit != nil && !q.claimPermit.MayStart(time.Now()) {
		return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the permit of the claim has ended")
	}
	i, ep := in.Chooser.pick(q.service, state.excluded, q.long)
	if ep == nil && state.excluded != 0 {
		// All endpoints have been tried; one that was busy may have capacity by now.
		state.excluded = 0
		i, ep = in.Chooser.pick(q.service, 0, q.long)
	}
	if ep == nil {
		return verdict.New(verdict.NotRun, verdict.NoEndpoint, "no endpoint of service %s can be used", q.serviceName)
	}
	in.startAttemptAt(ctx, q, state, i, ep)
	return nil
}

// startAttemptAt starts an attempt at ep, the endpoint with index i.
func (in *Ingress) startAttemptAt(ctx context.Context, q *request, state *attemptState, i int, ep *table.Endpoint) {
	if !state.acceptAnyWait && state.moves == 0 {
		state.excludedBeforeMoves = state.excluded
	}
	state.lastBit = 0
	if i < 64 {
		state.lastBit = 1 << i
	}
	state.excluded |= state.lastBit
	state.countedAttempts++
	state.startedAttempts++
	state.lastEndpoint = ep
	q.attemptsSent, q.lastEndpoint = state.startedAttempts, ep
	in.logChoice(ctx, q, state, ep)
	ctx, state.running[state.startedAttempts] = context.WithCancel(ctx)
	number, maxWait := state.startedAttempts, state.maxWait(q, in.policy(q), ep)
	send := func() {
		resp, err := in.sendAttempt(ctx, q, ep, maxWait)
		state.results <- attemptResult{number, resp, err}
	}
	if q.allowsConcurrentAttempts() {
		go send()
	} else {
		send()
	}
}

// otherRegionPlacementWait is the longest expected wait that a request restricted to other regions accepts at a gate there
// while it may still move: about a round trip between regions, after which it would reach the next gate. Each move also sends
// its body over the narrow link again.
const otherRegionPlacementWait = 40 * time.Millisecond

// maxWait returns the longest expected wait that the next attempt, at ep, accepts; 0 accepts any.
func (state *attemptState) maxWait(q *request, p retry.Policy, ep *table.Endpoint) time.Duration {
	if state.acceptAnyWait || q.long && q.route.Objective == 0 {
		return 0
	}
	limit := p.PlacementLimit(q.route.Objective.D())
	if q.isRestricted() && ep.Locality == table.OtherRegion {
		return max(limit, otherRegionPlacementWait)
	}
	return limit
}

// allowsConcurrentAttempts reports whether a second attempt may start while the first one runs.
func (q *request) allowsConcurrentAttempts() bool {
	return q.idempotent && q.bodyRest == nil && q.depth == 0 && !q.trial
}

// awaitResult returns the first result. While it waits, it may start a hedge, or another attempt when membership
// suspects the node of the newest attempt to have failed.
func (in *Ingress) awaitResult(ctx context.Context, q *request, state *attemptState) attemptResult {
	if !q.allowsConcurrentAttempts() {
		return state.finishAttempt(<-state.results)
	}
	delay, hedge := in.policy(q).HedgeDelay(in.hedgeCandidate(q, state))
	if !hedge {
		delay = suspectPollInterval
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case r := <-state.results:
			return state.finishAttempt(r)
		case <-timer.C:
		}
		switch {
		case hedge:
			in.startHedge(ctx, q, state)
			hedge = false
		case len(state.running) < maxConcurrentAttempts && state.lastEndpoint.Stats.Suspect.Load():
			in.failover(ctx, q, state)
		}
		timer.Reset(suspectPollInterval)
	}
}

const (
	// suspectPollInterval is the interval between checks whether the endpoint's node is suspect.
	suspectPollInterval = 200 * time.Millisecond
	// maxConcurrentAttempts bounds the concurrent attempts of one request.
	maxConcurrentAttempts = 2
)

// failover starts another attempt in addition to one whose node does not respond to pings. Otherwise the request
// would wait until its deadline when a node hangs.
func (in *Ingress) failover(ctx context.Context, q *request, state *attemptState) {
	if state.countedAttempts >= in.policy(q).MaxAttempts || !in.budget(q).Spend(time.Now()) {
		return
	}
	if in.startAttempt(ctx, q, state) == nil {
		in.Counters.Retries.Add(1)
	}
}

func (in *Ingress) hedgeCandidate(q *request, state *attemptState) retry.HedgeCandidate {
	h := retry.HedgeCandidate{
		Permitted: q.route.Hedge, Idempotent: true, Long: q.long, Number: state.countedAttempts, Remaining: time.Until(q.deadline),
	}
	if at, ok := in.overloads.Load(q.serviceName); ok {
		h.SinceOverload = max(time.Since(at.(time.Time)), 1)
	}
	if objective := q.route.Objective.D(); objective > 0 {
		h.HasObjective, h.Objective = true, time.Until(q.startedAt.Add(objective))
	} else if h.Permitted {
		h.Quantile = in.latencyTracker(q).Quantile(time.Now())
	}
	return h
}

func (in *Ingress) startHedge(ctx context.Context, q *request, state *attemptState) {
	i, ep := in.Chooser.pickHedge(q.service, state.excluded, q.long)
	switch {
	case ep == nil:
		in.Counters.HedgesNoRoom.Add(1)
		return
	case !in.budget(q).SpendHedge(time.Now()):
		in.Counters.HedgesNoBudget.Add(1)
		return
	}
	in.Counters.Hedges.Add(1)
	in.logHedge(ctx, q, state, ep)
	state.hedge = state.startedAttempts + 1
	in.startAttemptAt(ctx, q, state, i, ep)
}

func (state *attemptState) finishAttempt(r attemptResult) attemptResult {
	cancel := state.running[r.number]
	delete(state.running, r.number)
	if r.err != nil {
		cancel()
		state.addVerdict(verdict.Of(r.err))
		if r.number == state.hedge && retry.RefusedAtGate(verdict.As(r.err)) {
			state.countedAttempts--
		}
	} else {
		r.response.cancelAttempt = cancel
		r.response.hedge = r.number == state.hedge
	}
	return r
}

// addVerdict merges the verdict of a failed attempt into the combined one. Ran takes precedence over MayHaveRun, and
// MayHaveRun over NotRun.
func (state *attemptState) addVerdict(v verdict.Verdict) {
	if v == verdict.Ran || v == verdict.MayHaveRun && state.combinedVerdict == verdict.NotRun {
		state.combinedVerdict = v
	}
}

// combinedError returns the last error of a request with the combined verdict of all its attempts: when the last
// attempt was not run, an earlier one may have run.
func (state *attemptState) combinedError(err error) error {
	e := verdict.As(err)
	if e.Verdict != verdict.NotRun || state.combinedVerdict == verdict.NotRun {
		return err
	}
	return &verdict.Error{Verdict: state.combinedVerdict, Reason: e.Reason, Detail: "after an attempt that " + verdictPhrases[state.combinedVerdict] + ": " + e.Detail}
}

var verdictPhrases = map[verdict.Verdict]string{verdict.MayHaveRun: "may have run", verdict.Ran: "ran"}

// awaitRemaining returns the first success among the attempts still running. When all of them fail, it returns a failure
// that may have run rather than one that has not, because the decision on a retry must take it into account.
func (in *Ingress) awaitRemaining(state *attemptState, failed attemptResult) attemptResult {
	for len(state.running) > 0 {
		r := state.finishAttempt(<-state.results)
		if r.err == nil {
			in.cancelRemaining(state)
			return r
		}
		if verdict.Of(failed.err) == verdict.NotRun {
			failed = r
		}
	}
	return failed
}

// cancelRemaining cancels the attempts still running after another one has succeeded, so that they free their slots.
func (in *Ingress) cancelRemaining(state *attemptState) {
	if len(state.running) == 0 {
		return
	}
	for _, cancel := range state.running {
		cancel()
	}
	go func() {
		defer in.recoverBackground(nil)
		for range len(state.running) {
			if r := <-state.results; r.err == nil {
				r.response.observation.end(balance.Canceled, nil)
				r.response.close()
			}
		}
	}()
}

// windowBudget returns the retry budget of the request's service, or nil when the budget of all services applies.
func (in *Ingress) windowBudget(q *request) *retry.WindowBudget {
	if in.ServiceBudgets == nil {
		return nil
	}
	return in.ServiceBudgets.For(q.serviceName)
}

func (in *Ingress) budget(q *request) retry.HedgeSpender {
	if usesAccounts(q) {
		return in.accountBudget(q)
	}
	if w := in.windowBudget(q); w != nil {
		return w
	}
	return in.Budget
}

func (in *Ingress) recordFirstAttempt(q *request) {
	if w := in.windowBudget(q); w != nil {
		w.RecordFirstAttempt(time.Now())
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

// prepareRetry decides whether another attempt follows err and waits for the backoff before it.
func (in *Ingress) prepareRetry(ctx context.Context, q *request, state *attemptState, err error) bool {
	e := verdict.As(err)
	q.noteRoom(e)
	if retry.ShowsOverload(e) {
		in.overloads.Store(q.serviceName, time.Now())
	}
	if in.closing.Load() {
		in.logFailedAttempt(ctx, q, state, e, "closing")
		return false
	}
	if e.Verdict != verdict.NotRun && (q.trial || in.isQuarantined(q)) {
		in.logFailedAttempt(ctx, q, state, e, string(verdict.Quarantined))
		return false
	}
	failed := retry.Attempt{
		Idempotent: q.idempotent, Keyed: q.idempotencyKey != "", Number: state.countedAttempts, Moves: state.moves, Depth: q.depth, Verdict: e.Verdict,
		Reason: e.Reason, Remaining: time.Until(q.deadline), Streamed: q.bodyRestUsed,
	}
	if in.policy(q).Move(failed, state.moves) {
		state.moves++
		state.countedAttempts--
		state.acceptAnyWait = e.Reason != verdict.Busy && e.Reason != verdict.SlowStart || state.moves >= in.policy(q).BusyMoves()
		if state.acceptAnyWait && e.Reason == verdict.Busy {
			// All endpoints tried are busy. They become candidates again, since their refusals reported their load.
			state.excluded = state.excludedBeforeMoves
		}
		q.moves = state.moves
		in.Counters.Moved.Add(1)
		in.logFailedAttempt(ctx, q, state, e, "move")
		return true
	}
	d := in.policy(q).Next(failed, in.budget(q), time.Now(), rand.Float64())
	in.logFailedAttempt(ctx, q, state, e, string(d.Cause))
	if !d.Retry {
		return false
	}
	state.excludedBeforeMoves |= state.lastBit
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

// latencyTracker returns the latency tracker of the request's service. It creates the tracker on the first call, with
// the quantile of the current bundle.
func (in *Ingress) latencyTracker(q *request) *retry.LatencyTracker {
	if l, ok := in.latencyTrackers.Load(q.serviceName); ok {
		return l.(*retry.LatencyTracker)
	}
	quantile := q.snapshot.Bundle.Policy.HedgeAfterQuantile
	l, _ := in.latencyTrackers.LoadOrStore(q.serviceName, retry.NewLatencyTracker(time.Now(), quantile))
	return l.(*retry.LatencyTracker)
}
