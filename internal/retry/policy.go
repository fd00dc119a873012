package retry

import (
	"math"
	"net/http"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
)

// Time limits of the attempt policy.
const (
	// minAttemptTime is the minimum time before the deadline at which an attempt is still started.
	minAttemptTime = 2 * time.Millisecond
	// baseBackoff is the mean delay before the second attempt when the endpoint was overloaded. It
	// doubles with each attempt up to maxBackoff.
	baseBackoff = time.Millisecond
	maxBackoff  = 50 * time.Millisecond
	// minHedgeDelay prevents hedges of fast services from being triggered by latency jitter.
	minHedgeDelay = time.Millisecond
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Keyed reports whether the request holds a claim on its idempotency key. The claim permits at
	// most one run, so it does not make another run safe after one that may have happened.
	Keyed bool
	// Number is the number of attempts so far, at least 1.
	Number int
	// Depth is the number of calls in the call chain before this one. Requests at depth 0 are retried;
	// deeper ones only when the endpoint could not accept any request, since such a retry adds no load
	// to an overloaded chain.
	Depth   int
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Moves is the number of times that the request was sent to another endpoint because a gate
	// refused it. Moves do not count as attempts.
	Moves int
	// Status is the HTTP status of a response with the verdict Ran; 0 when there is none.
	Status int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Streamed reports whether a part of the response has reached the caller, or the request body
	// cannot be sent again.
	Streamed bool
}

// Cause is the reason for a Decision.
type Cause string

// Causes of decisions.
const (
	SafeNotRun         Cause = "not-run"
	SafeIdempotent     Cause = "idempotent"
	NoRetryDepth       Cause = "depth"
	NoRetryVerdict     Cause = "may-have-run"
	NoRetryAnswered    Cause = "answered"
	NoRetryMaxAttempts Cause = "max-attempts"
	NoRetryDeadline    Cause = "deadline"
	NoRetryBudget      Cause = "budget"
	NoRetryStreamed    Cause = "streamed"
	NoRetryReason      Cause = "reason"
	NoRetryFull        Cause = "full"
)

// Decision says whether another attempt follows.
type Decision struct {
	Retry bool
	// Wait is the delay before the next attempt; 0 when another endpoint can accept it immediately.
	Wait time.Duration
	// ExcludeTried reports whether the next attempt should exclude the endpoints already tried.
	ExcludeTried bool
	Cause        Cause
}

// Policy decides on additional attempts.
type Policy struct {
	// MaxAttempts is the limit of attempts for one request, including the first.
	MaxAttempts int
	// PlacementWait is the bundle's setting; 0 means MaxPlacementWait.
	PlacementWait time.Duration
}

// PolicyOf returns the retry policy that the policy section of a bundle sets.
func PolicyOf(p bundle.Policy) Policy {
	return Policy{MaxAttempts: p.MaxAttempts, PlacementWait: p.PlacementWait.D()}
}

// Spender is a budget of additional attempts.
type Spender interface {
	// Spend takes one additional attempt from the budget, or returns false when none is left.
	Spend(now time.Time) bool
}

// HedgeSpender is a budget of additional attempts that limits hedges further.
type HedgeSpender interface {
	Spender
	// SpendHedge is like Spend for a hedge. It leaves a part of the budget to requests that have failed.
	SpendHedge(now time.Time) bool
}

// hedgeBudgetShare is the part of the budget that hedges may use. A late answer costs a caller less than none, so retries
// of failed requests keep the rest.
const hedgeBudgetShare = 0.75

// Next decides whether another attempt follows the failed attempt a. If so, it takes the attempt from
// the budget. random is uniform in [0, 1); it spreads the delays of callers that fail at the same time.
func (p Policy) Next(a Attempt, b Spender, now time.Time, random float64) Decision {
	cause, mayRunAgain := a.mayRunAgain()
	if !mayRunAgain {
		return Decision{Cause: cause}
	}
	backoff := a.backoff(random)
	switch {
	case a.Depth > 0 && !a.endpointUnavailable():
		return Decision{Cause: NoRetryDepth}
	case a.Moves >= MaxMoves && a.gateFull():
		// Several gates have refused the request for lack of capacity. Another attempt would use up budget
		// that is needed for requests that failed at a backend server.
		return Decision{Cause: NoRetryFull}
	case a.Number >= p.MaxAttempts:
		return Decision{Cause: NoRetryMaxAttempts}
	case a.Remaining < backoff+minAttemptTime:
		return Decision{Cause: NoRetryDeadline}
	case !b.Spend(now):
		return Decision{Cause: NoRetryBudget}
	}
	return Decision{Retry: true, Wait: backoff, ExcludeTried: true, Cause: cause}
}

// mayRunAgain reports whether the request can safely run again and another attempt may succeed.
func (a Attempt) mayRunAgain() (Cause, bool) {
	switch {
	case a.Streamed:
		return NoRetryStreamed, false
	case a.refusedEverywhere():
		return NoRetryReason, false
	case a.Verdict == verdict.NotRun:
		return SafeNotRun, true
	case a.Verdict == verdict.Ran && a.Status != 0 && !retryableStatus(a.Status):
		return NoRetryAnswered, false
	case !a.Idempotent:
		return NoRetryVerdict, false
	}
	return SafeIdempotent, true
}

// refusedEverywhere reports whether every endpoint would refuse the request for the same reason, or the
// caller has canceled it. A request whose handling panicked at one node would most likely do so at others.
func (a Attempt) refusedEverywhere() bool {
	switch a.Reason {
	case verdict.NoRoute, verdict.NoBundle, verdict.BadRequest, verdict.BodyTooLarge, verdict.TooDeep,
		verdict.Quarantined, verdict.Canceled, verdict.DeadlineExceeded, verdict.DeadlineTooShort,
		verdict.ClaimUnavailable, verdict.ClaimHeld, verdict.ClaimMismatch, verdict.InternalError:
		return true
	}
	return false
}

// retryableStatus reports whether another endpoint may respond with a different status. 501 and 505
// name missing features, which all endpoints of a service lack.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusNotImplemented, http.StatusHTTPVersionNotSupported:
		return false
	}
	return status >= http.StatusInternalServerError
}

// endpointUnavailable reports whether the endpoint could not accept any request, for example while it
// drains.
func (a Attempt) endpointUnavailable() bool {
	switch a.Reason {
	case verdict.Draining, verdict.WrongGate, verdict.BackendDown, verdict.PeerUnreachable, verdict.AttemptRefused, verdict.Evacuated:
		return a.Verdict == verdict.NotRun
	}
	return false
}

// refusedForLoad reports whether the endpoint refused the request because of its load. The other
// endpoints of the service may be as loaded.
func (a Attempt) refusedForLoad() bool {
	switch a.Reason {
	case verdict.QueueFull, verdict.QueueTimeout, verdict.Overloaded, verdict.ConnectionLimit, verdict.BackendRefused:
		return true
	}
	return false
}

// gateFull reports whether a gate refused the request for lack of capacity.
func (a Attempt) gateFull() bool {
	switch a.Reason {
	case verdict.Busy, verdict.QueueFull, verdict.Overloaded, verdict.SlowStart:
		return a.Verdict == verdict.NotRun
	}
	return false
}

// RefusedAtGate reports whether an attempt that failed with e never reached a backend server. It adds no load to the
// service and does not count as an attempt.
func RefusedAtGate(e *verdict.Error) bool {
	return Attempt{Verdict: e.Verdict, Reason: e.Reason}.refusedAtGate()
}

// refusedAtGate reports whether the request was refused before it reached a backend server, so that
// sending it to another endpoint adds no load to the service.
func (a Attempt) refusedAtGate() bool {
	switch a.Reason {
	case verdict.Draining, verdict.WrongGate, verdict.BackendDown, verdict.PeerUnreachable, verdict.Evacuated:
		return a.Verdict == verdict.NotRun
	}
	return a.gateFull()
}

// MaxMoves bounds the moves of one request; a refusal after that counts as a failed attempt. The second and third
// gate often have capacity when the first choice was based on an outdated load report; beyond that, all of them are
// full.
const MaxMoves = 3

// Move reports whether the request may be sent to another endpoint without counting an attempt and without using
// the retry budget. moves is the number of moves so far.
func (p Policy) Move(a Attempt, moves int) bool {
	return a.refusedAtGate() && !a.Streamed && moves < MaxMoves && a.Remaining >= minAttemptTime
}

// backoff returns the delay before the next attempt: exponential with full jitter when the endpoint
// refused for its load, otherwise 0.
func (a Attempt) backoff(random float64) time.Duration {
	if !a.refusedForLoad() {
		return 0
	}
	mean := math.Min(float64(baseBackoff)*math.Pow(2, float64(a.Number-1)), float64(maxBackoff))
	return time.Duration(2 * mean * random)
}

// HedgeCandidate describes a request without a response yet, for which a hedge may be sent.
type HedgeCandidate struct {
	// Permitted reports whether the route allows hedges, Idempotent whether the request may run more
	// than once and its body can be sent again.
	Permitted, Idempotent bool
	Long                  bool
	Number                int // attempts so far
	Depth                 int
	// Objective is the time until the latency objective of the route; negative when it has passed. It is used only if
	// HasObjective is set.
	Objective    time.Duration
	HasObjective bool
	// SinceOverload is the time since an attempt at the service was last refused or withdrawn for lack of capacity;
	// 0 if none was.
	SinceOverload time.Duration
	// Quantile is the latency quantile set in the bundle, over recent successful attempts at the service;
	// 0 when there are too few samples. It is used for routes without an objective.
	Quantile time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// overloadHold is the time after an overload in which a service gets no hedges. Peaks come in waves, and each node sees only
// few of the refusals.
const overloadHold = 10 * time.Second

// ShowsOverload reports whether an attempt failed with e because the service lacks capacity. A gate that is only busy does
// not show it: others may have room.
func ShowsOverload(e *verdict.Error) bool {
	return Attempt{Verdict: e.Verdict, Reason: e.Reason}.refusedForLoad()
}

// hedgeObjectiveShare is the share of the time left until the objective after which a hedge is sent: both attempts then
// have the same time. A later hedge is mostly late itself, and an earlier one mostly repeats work that is in time.
const hedgeObjectiveShare = 0.5

// HedgeDelay returns the delay between the start of the newest attempt and the start of a hedge, and
// whether to send a hedge at all. The caller calls SpendHedge after the delay.
func (p Policy) HedgeDelay(h HedgeCandidate) (time.Duration, bool) {
	if !h.Permitted || !h.Idempotent || h.Long || h.Depth > 0 || h.Number >= min(p.MaxAttempts, maxHedgedAttempts) {
		return 0, false
	}
	if h.SinceOverload > 0 && h.SinceOverload < overloadHold {
		return 0, false
	}
	delay := h.Quantile
	if h.HasObjective {
		delay = time.Duration(hedgeObjectiveShare * float64(h.Objective))
	}
	if delay <= 0 {
		return 0, false
	}
	delay = max(delay, minHedgeDelay)
	if h.Remaining < delay+minAttemptTime {
		return 0, false
	}
	return delay, true
}

// maxHedgedAttempts bounds the concurrent attempts of one request.
const maxHedgedAttempts = 2
