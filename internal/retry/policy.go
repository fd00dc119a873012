package retry

import (
	"math"
	"net/http"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
)

// Times of the attempt policy.
const (
	// minRemaining is the least time to the deadline that an attempt is worth.
	minRemaining = 2 * time.Millisecond
	// firstBackoff is the mean wait before the second attempt at a busy endpoint's peers; it
	// doubles with each attempt up to maxBackoff.
	firstBackoff = time.Millisecond
	maxBackoff   = 50 * time.Millisecond
	// MaxPlacementWait is the expected wait above which a gate passes on the first attempt of a short
	// request. Another endpoint of the region is reached in about this time.
	MaxPlacementWait = time.Millisecond
	// minHedgeDelay keeps hedges of fast services from following noise.
	minHedgeDelay = time.Millisecond
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Keyed says that a claim on the request's idempotency key is held. The claim lets at most one
	// run happen; it does not permit another run after one that may have happened.
	Keyed bool
	// Number of attempts so far, at least 1.
	Number int
	// Depth of the call chain. Only depth 0 retries; below, another attempt follows only when the
	// endpoint could not take the request at all, which adds no load to a chain that is overloaded.
	Depth   int
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Moves is the number of times that the request has gone to another endpoint after a refusal by a gate.
	Moves int
	// Status of an answer with the verdict Ran; 0 when there is none.
	Status int
	// Remaining time to the deadline.
	Remaining time.Duration
	// Streamed says that a part of the answer has reached the caller, or that the request body
	// cannot be sent again.
	Streamed bool
}

// Why is the cause of a Decision.
type Why string

// Causes of decisions.
const (
	SafeNotRun     Why = "not-run"
	SafeIdempotent Why = "idempotent"
	NoRetryDepth   Why = "depth"
	NoRetryVerdict Why = "may-have-run"
	NoRetryAnswer  Why = "answered"
	NoRetryMax     Why = "max-attempts"
	NoRetryTime    Why = "deadline"
	NoRetryBudget  Why = "budget"
	NoRetryStream  Why = "streamed"
	NoRetryReason  Why = "reason"
	NoRetryFull    Why = "full"
)

// Decision says whether another attempt follows.
type Decision struct {
	Retry bool
	// Wait before the next attempt; 0 when another endpoint can take it at once.
	Wait time.Duration
	// Elsewhere says that the next attempt should exclude the endpoints already tried.
	Elsewhere bool
	Why       Why
}

// Policy holds the rules of further attempts.
type Policy struct {
	// MaxAttempts includes the first.
	MaxAttempts int
}

// PolicyOf returns the policy of a bundle.
func PolicyOf(p bundle.Policy) Policy { return Policy{MaxAttempts: p.MaxAttempts} }

// Spender is a budget of further attempts.
type Spender interface {
	// Spend takes one further attempt, or reports false.
	Spend(now time.Time) bool
}

// Next decides on another attempt after a failed one. It takes the attempt from the budget when it
// permits one. random is uniform in [0, 1) and spreads the waits of callers that fail together.
func (p Policy) Next(a Attempt, b Spender, now time.Time, random float64) Decision {
	why, permitted := a.permitted()
	if !permitted {
		return Decision{Why: why}
	}
	wait := a.wait(random)
	switch {
	case a.Depth > 0 && !a.misplaced():
		return Decision{Why: NoRetryDepth}
	case a.Moves >= MaxMoves && a.full():
		// Several gates have said so. Going on would take the budget from requests that failed at a backend server.
		return Decision{Why: NoRetryFull}
	case a.Number >= p.MaxAttempts:
		return Decision{Why: NoRetryMax}
	case a.Remaining < wait+minRemaining:
		return Decision{Why: NoRetryTime}
	case !b.Spend(now):
		return Decision{Why: NoRetryBudget}
	}
	return Decision{Retry: true, Wait: wait, Elsewhere: true, Why: why}
}

// permitted reports whether running the request again can do no harm and may help.
func (a Attempt) permitted() (Why, bool) {
	switch {
	case a.Streamed:
		return NoRetryStream, false
	case a.final():
		return NoRetryReason, false
	case a.Verdict == verdict.NotRun:
		return SafeNotRun, true
	case a.Verdict == verdict.Ran && a.Status != 0 && !retryableStatus(a.Status):
		return NoRetryAnswer, false
	case !a.Idempotent:
		return NoRetryVerdict, false
	}
	return SafeIdempotent, true
}

// final reports whether every endpoint would refuse for the same reason, or the caller has gone.
func (a Attempt) final() bool {
	switch a.Reason {
	case verdict.NoRoute, verdict.NoBundle, verdict.BadRequest, verdict.BodyTooLarge, verdict.TooDeep,
		verdict.Quarantined, verdict.Canceled, verdict.DeadlineExceeded, verdict.DeadlineTooShort,
		verdict.ClaimUnavailable, verdict.ClaimHeld, verdict.ClaimMismatch:
		return true
	}
	return false
}

// retryableStatus reports whether another endpoint may answer better. 501 and 505 state a lack that
// all endpoints share.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusNotImplemented, http.StatusHTTPVersionNotSupported:
		return false
	}
	return status >= http.StatusInternalServerError
}

// misplaced reports whether the endpoint could not take any request, as while it leaves.
func (a Attempt) misplaced() bool {
	switch a.Reason {
	case verdict.Draining, verdict.WrongGate, verdict.BackendDown, verdict.PeerUnreachable, verdict.AttemptRefused:
		return a.Verdict == verdict.NotRun
	}
	return false
}

// busy reports whether the endpoint refused for its load, which its peers may share.
func (a Attempt) busy() bool {
	switch a.Reason {
	case verdict.QueueFull, verdict.QueueTimeout, verdict.Overloaded, verdict.ConnectionLimit, verdict.BackendRefused:
		return true
	}
	return false
}

// full reports whether a gate refused for want of room.
func (a Attempt) full() bool {
	switch a.Reason {
	case verdict.Busy, verdict.QueueFull, verdict.Overloaded:
		return a.Verdict == verdict.NotRun
	}
	return false
}

// refusedAtGate reports whether the request was turned away before it reached a backend server, so that another
// endpoint adds no arrival to the service.
func (a Attempt) refusedAtGate() bool {
	switch a.Reason {
	case verdict.Draining, verdict.WrongGate, verdict.BackendDown, verdict.PeerUnreachable:
		return a.Verdict == verdict.NotRun
	}
	return a.full()
}

// MaxMoves bounds the endpoints that refuse one request before it counts as refused. The second and third gate
// often have room when the first choice rested on an old report; beyond that, all of them are full.
const MaxMoves = 3

// Move reports whether the request may go to another endpoint without an attempt being counted and without the
// retry budget. moves is the number of times that it has done so.
func (p Policy) Move(a Attempt, moves int) bool {
	return a.refusedAtGate() && !a.Streamed && moves < MaxMoves && a.Remaining >= minRemaining
}

// wait is the time before the next attempt: none unless the endpoint was busy, else exponential with
// full jitter.
func (a Attempt) wait(random float64) time.Duration {
	if !a.busy() {
		return 0
	}
	mean := math.Min(float64(firstBackoff)*math.Pow(2, float64(a.Number-1)), float64(maxBackoff))
	return time.Duration(2 * mean * random)
}

// Hedge is the state of a request that has not been answered yet.
type Hedge struct {
	// Permitted by the route, with the request idempotent and its body at hand.
	Permitted, Idempotent bool
	Long                  bool
	Number                int // attempts so far
	Depth                 int
	// Quantile is the latency quantile that the bundle names, of recent short requests to the
	// service; 0 when too few are known.
	Quantile time.Duration
	// Remaining time to the deadline.
	Remaining time.Duration
}

// HedgeAfter returns the time after the start of the newest attempt at which a second one should
// start, and whether to start one at all. The caller calls Budget.Spend when that time has come.
func (p Policy) HedgeAfter(h Hedge) (time.Duration, bool) {
	if !h.Permitted || !h.Idempotent || h.Long || h.Depth > 0 || h.Quantile <= 0 {
		return 0, false
	}
	if h.Number >= min(p.MaxAttempts, maxHedgedAttempts) {
		return 0, false
	}
	delay := max(h.Quantile, minHedgeDelay)
	if h.Remaining < delay+minRemaining {
		return 0, false
	}
	return delay, true
}

// maxHedgedAttempts is the number of attempts of one request that run at the same time, at most.
const maxHedgedAttempts = 2
