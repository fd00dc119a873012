package ingress

import (
	"context"
	"net/http"
	"time"

	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	// replayedHeader marks a response that was stored by an earlier run with the same key.
	replayedHeader = "Idempotent-Replayed"
	// claimWriteTimeout bounds the time to write the outcome of a run to the store.
	claimWriteTimeout = 10 * time.Second
	// maxHeldClaimWait bounds how long a repeated request waits for the outcome of the attempt that holds the claim on
	// its key. The poll interval doubles from minClaimPollInterval to maxClaimPollInterval.
	maxHeldClaimWait     = time.Second
	minClaimPollInterval = 10 * time.Millisecond
	maxClaimPollInterval = 160 * time.Millisecond
)

// serveKeyed runs a non-idempotent request with an idempotency key at most once, whichever nodes its repeats arrive
// at.
func (in *Ingress) serveKeyed(ctx context.Context, w http.ResponseWriter, q *request) error {
	if in.ClaimsFor == nil {
		return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "this node has no access to claims")
	}
	claims := in.ClaimsFor(q.serviceName)
	result, err := in.acquireClaim(ctx, q, claims)
	if err != nil {
		return err
	}
	switch result.Kind {
	case claim.Replay:
		if err := gate.CheckStatus(result.Outcome.Status); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.BackendBroken, "malformed stored response: %v", err)
		}
		q.responseStarted = true
		in.returnToken(q)
		in.replay(w, result.Outcome)
		return nil
	case claim.Run:
		q.claimPermit = &result.Permit
		return in.runClaimed(ctx, w, q, claims)
	default:
		in.returnToken(q) // the request that holds the claim has taken its own
		return verdict.New(result.Verdict, verdict.ClaimHeld, "another request with this key holds the claim")
	}
}

// acquireClaim claims the key. While another attempt holds the claim and its outcome is not known, it polls for up to
// maxHeldClaimWait, so that a repeat that arrives while the first request runs gets that request's response.
func (in *Ingress) acquireClaim(ctx context.Context, q *request, claims claim.KeyClaimer) (claim.Result, error) {
	waitEnd := time.Now().Add(min(maxHeldClaimWait, time.Until(q.deadline)/2))
	fingerprint := q.claimFingerprint()
	for wait := minClaimPollInterval; ; wait = min(2*wait, maxClaimPollInterval) {
		result, err := claims.Acquire(ctx, q.claimKey(), fingerprint, newAttemptID())
		undecided := err == nil && result.Kind == claim.Held && result.Verdict == verdict.MayHaveRun
		if !undecided || time.Now().Add(wait).After(waitEnd) {
			return result, err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return result, nil
		}
	}
}

// claimKey returns the key of the request's claim. Requests of two accounts with one idempotency key have different claims.
func (q *request) claimKey() string { return q.scopedToAccount(q.idempotencyKey) }

func (in *Ingress) replay(w http.ResponseWriter, o claim.Outcome) {
	in.Counters.Replays.Add(1)
	in.Counters.Answered.Add(1)
	h := w.Header()
	for name, values := range o.Header {
		h[name] = values
	}
	h.Set(replayedHeader, "true")
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}

// runClaimed runs the request under a claim and stores its outcome.
func (in *Ingress) runClaimed(ctx context.Context, w http.ResponseWriter, q *request, claims claim.KeyClaimer) error {
	resp, err := in.run(ctx, q)
	if err != nil {
		in.settleClaim(q, claims, outcomeOfError(err))
		return err
	}
	recorder := &bodyRecorder{ResponseWriter: w}
	err = in.relay(recorder, q, resp)
	o := claim.Outcome{Verdict: verdict.Ran, Status: int(resp.head.Status), Partial: true, AllowedRegions: q.regions}
	if err == nil && !recorder.overflow && !hasTrailers(resp) {
		o.Partial, o.Body, o.Header = false, recorder.body, httpHeader(resp.head.Headers)
	}
	in.settleClaim(q, claims, o)
	return err
}

func outcomeOfError(err error) claim.Outcome { return claim.Outcome{Verdict: verdict.Of(err)} }

func hasTrailers(resp *response) bool {
	if resp.retained != nil {
		return len(resp.retained.Trailers) > 0
	}
	return len(resp.body.End().GetTrailers()) > 0
}

// settleClaim releases the claim of a request that was not run, or stores the outcome. It runs in the background, so
// that the response does not wait for the store; until the outcome is stored, a repeat gets the verdict may-have-run.
func (in *Ingress) settleClaim(q *request, claims claim.KeyClaimer, o claim.Outcome) {
	in.inFlight.Add(1)
	go func() {
		defer in.inFlight.Done()
		defer in.recoverBackground(q)
		ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
		defer cancel()
		var err error
		if o.Verdict == verdict.NotRun {
			err = claims.Release(ctx, q.claimKey())
		} else {
			err = claims.Complete(ctx, q.claimKey(), o)
		}
		if err != nil {
			in.Logger.Warn("claim not settled", "event", "claim_not_settled", "service", q.serviceName,
				"verdict", o.Verdict, "error", err)
		}
	}()
}

// bodyRecorder copies the body of a response while it is written to the caller, up to the size limit of stored outcomes.
type bodyRecorder struct {
	http.ResponseWriter
	body     []byte
	overflow bool
}

// Write implements http.ResponseWriter.
func (r *bodyRecorder) Write(p []byte) (int, error) {
	if len(r.body)+len(p) > claim.MaxOutcomeBytes {
		r.overflow, r.body = true, nil
	}
	if !r.overflow {
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *bodyRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func httpHeader(headers []*wire.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, header := range headers {
		h[header.Name] = header.All()
	}
	return h
}
