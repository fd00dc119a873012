package claim

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// maxDigestBytes bounds each of the key, digest and attempt in a request from a peer; see shortDigest.
const maxDigestBytes = 32

// errReplyLost reports that a request was sent but got no usable reply. The request may take effect at
// any later time.
var errReplyLost = errors.New("claim: the owner did not answer")

// errNotAccepted reports that a node did not accept a request, which therefore has no effect.
var errNotAccepted = errors.New("claim: the owner did not take the request")

func newRequest(op wire.ClaimOp, service string, id identity) *wire.ClaimRequest {
	return &wire.ClaimRequest{Op: op, Service: service, Key: id.key, Digest: id.digest, Attempt: id.attempt}
}

// parseIdentity returns the identity in a request from a peer, or an error if the request is invalid.
func parseIdentity(r *wire.ClaimRequest) (identity, error) {
	for _, text := range []string{r.Key, r.Digest, r.Attempt} {
		if text == "" || len(text) > maxDigestBytes {
			return identity{}, errors.Newf("claim: digest of %d bytes", len(text))
		}
	}
	id := identity{key: r.Key, digest: r.Digest, attempt: r.Attempt}
	return id, objectstore.CheckKey(claimsPrefix + r.Service)
}

// acquireReply returns the reply to an Acquire. err must be nil or wrap a verdict.Error with NotRun.
func acquireReply(r Result, err error) *wire.ClaimReply {
	if err != nil {
		return failedReply(err)
	}
	switch r.Kind {
	case Run:
		return &wire.ClaimReply{Answer: wire.ClaimAnswer_RUN}
	case Replay:
		return &wire.ClaimReply{Answer: wire.ClaimAnswer_REPLAY, Outcome: encodeOutcome(r.Outcome)}
	default:
		return &wire.ClaimReply{Answer: wire.ClaimAnswer_HELD, Verdict: r.Verdict.Wire()}
	}
}

func failedReply(err error) *wire.ClaimReply {
	e := verdict.As(err)
	return &wire.ClaimReply{Answer: wire.ClaimAnswer_FAILED, Reason: string(e.Reason), Detail: e.Detail}
}

// confirmReply returns the reply to a Complete or Release.
func confirmReply(err error) *wire.ClaimReply {
	switch {
	case err == nil:
		return &wire.ClaimReply{Answer: wire.ClaimAnswer_STORED}
	case errors.Is(err, ErrFenced):
		return &wire.ClaimReply{Answer: wire.ClaimAnswer_FENCED}
	default:
		return failedReply(asNotRun(err))
	}
}

// parseAcquireReply reads the reply to an Acquire. An unknown or incomplete answer is treated as a lost
// reply.
func parseAcquireReply(r *wire.ClaimReply) (Result, error) {
	switch r.GetAnswer() {
	case wire.ClaimAnswer_RUN:
		return Result{Kind: Run}, nil
	case wire.ClaimAnswer_HELD:
		return Result{Kind: Held, Verdict: verdict.FromWire(r.Verdict)}, nil
	case wire.ClaimAnswer_REPLAY:
		if r.Outcome == nil {
			return Result{}, errors.Wrap(errReplyLost, "replay without an outcome")
		}
		return Result{Kind: Replay, Outcome: decodeOutcome(r.Outcome)}, nil
	case wire.ClaimAnswer_REFUSED:
		return Result{}, errNotAccepted
	case wire.ClaimAnswer_FAILED:
		return Result{}, verdict.New(verdict.NotRun, verdict.Reason(r.GetReason()), "%s", r.GetDetail())
	default:
		return Result{}, errors.Wrapf(errReplyLost, "unexpected answer %s", r.GetAnswer())
	}
}

// parseConfirmReply reads the reply to a Complete or Release.
func parseConfirmReply(r *wire.ClaimReply) error {
	switch r.GetAnswer() {
	case wire.ClaimAnswer_STORED:
		return nil
	case wire.ClaimAnswer_FENCED:
		return errors.Wrap(ErrFenced, "owner")
	case wire.ClaimAnswer_REFUSED:
		return errNotAccepted
	default:
		return errors.Newf("claim: owner answered %s: %s", r.GetAnswer(), r.GetDetail())
	}
}

func encodeOutcome(o Outcome) *wire.ClaimOutcome {
	encoded := &wire.ClaimOutcome{Verdict: o.Verdict.Wire(), Status: uint32(o.Status), Body: o.Body, Partial: o.Partial}
	for name, values := range o.Header {
		encoded.Headers = append(encoded.Headers, wire.NewHeader(name, values))
	}
	return encoded
}

func decodeOutcome(o *wire.ClaimOutcome) Outcome {
	decoded := Outcome{Verdict: verdict.FromWire(o.GetVerdict()), Status: int(o.GetStatus()), Body: o.GetBody(), Partial: o.GetPartial()}
	if len(o.GetHeaders()) > 0 {
		decoded.Header = http.Header{}
	}
	for _, h := range o.GetHeaders() {
		decoded.Header[h.Name] = h.All()
	}
	return decoded
}
