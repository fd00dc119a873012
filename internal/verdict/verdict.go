// Package verdict states, for each failed request, whether a backend server may have run it.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request ran. The zero value, MayHaveRun, is the answer when nothing is known.
type Verdict uint8

const (
	// MayHaveRun means that the request may or may not have run.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server ran the request and none will. Only this permits
	// another attempt of non-idempotent work.
	NotRun
	// Ran means that a backend server ran the request.
	Ran
)

// String returns the value used in the response header.
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

// Parse returns the verdict that String printed; unknown text yields MayHaveRun.
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

// Reason is a short fixed identifier of the cause of a failure.
type Reason string

// Reasons that callers see in the Dandelionspoke-Reason header.
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
	// BackendRefused means that the backend server itself turned the request away without running it.
	BackendRefused Reason = "backend-refused"
	// Busy refuses a request whose expected wait exceeds what it accepts, so that another endpoint can take it.
	Busy Reason = "busy"
)

// Header names of failed answers.
const (
	Header       = "Dandelionspoke-Verdict"
	ReasonHeader = "Dandelionspoke-Reason"
)

// Error is a failed request or attempt with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// Wait is the time until the endpoint that refused expects to have room; 0 when it is not known.
	Wait time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// New returns an *Error with the formatted detail.
func New(v Verdict, reason Reason, format string, args ...any) error {
	return &Error{Verdict: v, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// As returns the *Error in err's chain. An error without one counts as MayHaveRun.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: PeerBroken, Detail: err.Error()}
}

// Of returns the verdict of err; errors without one yield MayHaveRun.
func Of(err error) Verdict { return As(err).Verdict }

// Status returns the HTTP status code that an ingress answers for the reason.
func (r Reason) Status() int {
	switch r {
	case NoRoute:
		return http.StatusNotFound
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
	case PeerBroken, BackendBroken:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
