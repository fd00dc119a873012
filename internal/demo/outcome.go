package demo

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

// Outcome is the outcome of one request as its caller observes it.
type Outcome int

// Outcomes. Each request has exactly one.
const (
	// OK is a complete response that was verified.
	OK Outcome = iota
	// RefusedNotRun, MayHaveRun and RanFailed are error responses of the system, one for each verdict.
	RefusedNotRun
	MayHaveRun
	RanFailed
	// BackendError is an error response of the backend server.
	BackendError
	// WrongBody is a complete response whose body, trailer or request digest does not match the request.
	WrongBody
	// Truncated is a response that is missing or ended early.
	Truncated
	outcomeCount
)

// result is an outcome and, for an error response of the system, its reason.
type result struct {
	outcome Outcome
	reason  verdict.Reason
}

// readResult reads the response to its end, verifies it and returns the outcome with the reason.
func readResult(resp *http.Response, id string, k RequestKind, bodyDigest string) result {
	return result{readOutcome(resp, id, k, bodyDigest), verdict.Reason(resp.Header.Get(verdict.ReasonHeader))}
}

// readOutcome reads the response to its end and verifies it.
func readOutcome(resp *http.Response, id string, k RequestKind, bodyDigest string) Outcome {
	if text := resp.Header.Get(verdict.Header); text != "" {
		_, _ = io.Copy(io.Discard, resp.Body)
		return outcomeOfVerdict(verdict.Parse(text))
	}
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return Truncated
		}
		return BackendError
	}
	err := backendtest.Verify(resp.Body, id, int64(k.ReplyBytes))
	switch {
	case errors.Is(err, backendtest.ErrWrongBody):
		return WrongBody
	case err != nil:
		return Truncated
	case resp.Header.Get(backendtest.RequestDigestHeader) != bodyDigest:
		return WrongBody
	case k.Trailers && resp.Trailer.Get(backendtest.ReplyDigestTrailer) != replyDigest(id, k):
		return WrongBody
	}
	return OK
}

func replyDigest(id string, k RequestKind) string {
	return backendtest.FormatDigest(backendtest.DigestOf(backendtest.Body(id, k.ReplyBytes)))
}

func outcomeOfVerdict(v verdict.Verdict) Outcome {
	switch v {
	case verdict.NotRun:
		return RefusedNotRun
	case verdict.Ran:
		return RanFailed
	default:
		return MayHaveRun
	}
}
