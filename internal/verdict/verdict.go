// Package verdict defines the verdict of a failed request, which says whether a backend server may have run it, and
// the reason of the failure.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a backend server ran a request. The zero value, MayHaveRun, applies when nothing is known.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether a backend server ran the request.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server ran the request and none will. Only after this verdict may a non-idempotent
	// request be retried.
	NotRun
	// Ran means that a backend server ran the request.
	Ran
)

// String returns the value of the Dandelionspoke-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict whose String is s, or MayHaveRun for any other text.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Reason is the machine-readable cause of a failure.
type Reason string

// Reasons that callers receive in the Dandelionspoke-Reason header.
const (
	NoRoute          Reason = "no-route"
	NoEndpoint       Reason = "no-endpoint"
	NoBundle         Reason = "no-bundle"
	Draining         Reason = "draining"
	QueueFull        Reason = "queue-full"
	QueueTimeout     Reason = "queue-timeout"
	DeadlineTooShort Reason = "deadline-too-short"
	DeadlineExceeded Reason = "deadline-exceeded"
	ConnectionLimit  Reason = "connection-limit"
	BackendDown      Reason = "backend-down"
	BackendBroken    Reason = "backend-connection-broken"
	PeerUnreachable  Reason = "peer-unreachable"
	PeerBroken       Reason = "peer-connection-broken"
	WrongGate        Reason = "wrong-gate"
	Quarantined      Reason = "quarantined"
	ClaimUnavailable Reason = "claim-store-unavailable"
	ClaimHeld        Reason = "claim-held"
	ClaimMismatch    Reason = "claim-key-reused"
	BodyTooLarge     Reason = "body-too-large"
	BadRequest       Reason = "bad-request"
	TooDeep          Reason = "too-deep"
	Canceled         Reason = "canceled"
	AttemptRefused   Reason = "attempt-refused"
	Overloaded       Reason = "overloaded"
	// BackendRefused means that the backend server itself refused the request without running it.
	BackendRefused Reason = "backend-refused"
	// Busy means that the expected wait exceeds the maximum that the request accepts. Another endpoint may accept it.
	Busy Reason = "busy"
	// UnknownKey means that the request carries a key of no account, or none where one is required.
	UnknownKey Reason = "unknown-key"
	// Unconfirmed means that the node could not confirm that its accounts are up to date.
	Unconfirmed Reason = "bundle-unconfirmed"
	// RateLimited means that the account has reached its rate limit.
	RateLimited Reason = "rate-limited"
	// SlowStart means that the backend server has just started and accepts few requests per second.
	SlowStart Reason = "slow-start"
	// Evacuated means that the backend server's failure domain is being evacuated.
	Evacuated Reason = "evacuated"
	// NoAllowedRegion means that no endpoint is known in the regions that the route and the account allow.
	NoAllowedRegion Reason = "no-allowed-region"
	// InternalError means that the handling of the request at a node ended with a panic.
	InternalError Reason = "internal-error"
	// NodeEnds means that the node ended before the request, in a drain.
	NodeEnds Reason = "node-ends"
)

// Header names of failure responses.
const (
	Header       = "Dandelionspoke-Verdict"
	ReasonHeader = "Dandelionspoke-Reason"
)

// Error is the failure of a request or attempt, with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// Wait is the time after which the refusing endpoint expects to have a free slot; 0 means unknown.
	Wait time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// New returns an *Error whose detail is formatted from format and args.
func New(v Verdict, reason Reason, format string, args ...any) error {
	return &Error{Verdict: v, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// As returns the *Error in err's chain. If there is none, it returns one with the verdict MayHaveRun and the reason
// PeerBroken.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: PeerBroken, Detail: err.Error()}
}

// Of returns the verdict of err, or MayHaveRun if it has none.
func Of(err error) Verdict { return As(err).Verdict }

// Status returns the HTTP status code with which an ingress responds for the reason.
func (r Reason) Status() int {
	switch r {
	case NoRoute:
		return http.StatusNotFound
	case UnknownKey:
		return http.StatusUnauthorized
	case RateLimited:
		return http.StatusTooManyRequests
	case BadRequest, TooDeep:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ClaimHeld:
		return http.StatusConflict
	case ClaimMismatch:
		return http.StatusUnprocessableEntity
	case DeadlineExceeded, QueueTimeout, DeadlineTooShort:
		return http.StatusGatewayTimeout
	case InternalError:
		return http.StatusInternalServerError
	case PeerBroken, BackendBroken, NodeEnds:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
