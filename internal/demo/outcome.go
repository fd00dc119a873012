package demo

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

// Outcome is what a caller learns from one request.
type Outcome int

// Outcomes. Each request that was sent has exactly one.
const (
	// OK is a complete and verified answer.
	OK Outcome = iota
	// RefusedNotRun, MayHaveRun and RanFailed are failed answers with the system's verdict.
	RefusedNotRun
	MayHaveRun
	RanFailed
	// BackendError is a failed answer from the backend server itself.
	BackendError
	// WrongBody is a complete answer that is not the one to the request.
	WrongBody
	// CutOff is an answer that did not arrive or that broke off.
	CutOff
	outcomes
)

// result is an outcome with the reason that a failed answer of the system states.
type result struct {
	outcome Outcome
	reason  verdict.Reason
}

// readResult reads the answer to its end and verifies it.
func readResult(resp *http.Response, id string, k Kind, bodyDigest string) result {
	return result{readOutcome(resp, id, k, bodyDigest), verdict.Reason(resp.Header.Get(verdict.ReasonHeader))}
}

// readOutcome reads the answer to its end and verifies it.
func readOutcome(resp *http.Response, id string, k Kind, bodyDigest string) Outcome {
	if text := resp.Header.Get(verdict.Header); text != "" {
		_, _ = io.Copy(io.Discard, resp.Body)
		return verdictOutcome(verdict.Parse(text))
	}
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return CutOff
		}
		return BackendError
	}
	err := backendtest.Verify(resp.Body, id, int64(k.ReplyBytes))
	switch {
	case errors.Is(err, backendtest.ErrWrongBody):
		return WrongBody
	case err != nil:
		return CutOff
	case resp.Header.Get(backendtest.RequestDigestHeader) != bodyDigest:
		return WrongBody
	case k.Trailers && resp.Trailer.Get(backendtest.ReplyDigestTrailer) != replyDigest(id, k):
		return WrongBody
	}
	return OK
}

func replyDigest(id string, k Kind) string {
	return backendtest.FormatDigest(backendtest.DigestOf(backendtest.Body(id, k.ReplyBytes)))
}

func verdictOutcome(v verdict.Verdict) Outcome {
	switch v {
	case verdict.NotRun:
		return RefusedNotRun
	case verdict.Ran:
		return RanFailed
	default:
		return MayHaveRun
	}
}
