package ingress

import (
	"context"
	"net/http"
	"time"

	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	// replayedHeader marks an answer that was stored by an earlier run of the same key.
	replayedHeader = "Idempotent-Replayed"
	// completeTimeout bounds the time in which the outcome of a run is written to the store.
	completeTimeout = 10 * time.Second
	// heldWait bounds how long a repeat waits for the outcome of the attempt that holds its key; the time
	// between two questions doubles from heldFirstPoll to heldLastPoll.
	heldWait      = time.Second
	heldFirstPoll = 10 * time.Millisecond
	heldLastPoll  = 160 * time.Millisecond
)

// serveKeyed runs a non-idempotent request with an idempotency key at most once, through whatever node
// its repeats arrive.
func (in *Ingress) serveKeyed(ctx context.Context, w http.ResponseWriter, q *request) error {
	if in.ClaimsFor == nil {
		return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "this node has no access to claims")
	}
	claimer := in.ClaimsFor(q.to)
	result, err := in.acquire(ctx, q, claimer)
	if err != nil {
		return err
	}
	switch result.Kind {
	case claim.Replay:
		in.replay(w, result.Outcome)
		return nil
	case claim.Run:
		q.permit = &result.Permit
		return in.runClaimed(ctx, w, q, claimer)
	default:
		return verdict.New(result.Verdict, verdict.ClaimHeld, "another request with this key holds the claim")
	}
}

// acquire claims the key. While another attempt holds it and its outcome is not known yet, acquire asks again
// for up to heldWait, so that a repeat that comes while the first request runs gets its answer.
func (in *Ingress) acquire(ctx context.Context, q *request, claimer claim.KeyClaimer) (claim.Result, error) {
	until := time.Now().Add(min(heldWait, time.Until(q.deadline)/2))
	for wait := heldFirstPoll; ; wait = min(2*wait, heldLastPoll) {
		result, err := claimer.Acquire(ctx, q.key, q.fingerprint, newAttemptID())
		undecided := err == nil && result.Kind == claim.Held && result.Verdict == verdict.MayHaveRun
		if !undecided || time.Now().Add(wait).After(until) {
			return result, err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return result, nil
		}
	}
}

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

// runClaimed runs the request under a claim and stores what became of it.
func (in *Ingress) runClaimed(ctx context.Context, w http.ResponseWriter, q *request, claimer claim.KeyClaimer) error {
	a, err := in.run(ctx, q)
	if err != nil {
		in.settle(q, claimer, outcomeOfError(err))
		return err
	}
	kept := &keptAnswer{ResponseWriter: w}
	err = in.relay(kept, q, a)
	o := claim.Outcome{Verdict: verdict.Ran, Status: int(a.head.Status), Partial: true}
	if err == nil && !kept.overflow && !hasTrailers(a) {
		o.Partial, o.Body, o.Header = false, kept.body, httpHeader(a.head.Headers)
	}
	in.settle(q, claimer, o)
	return err
}

func outcomeOfError(err error) claim.Outcome { return claim.Outcome{Verdict: verdict.Of(err)} }

func hasTrailers(a *answer) bool {
	if a.kept != nil {
		return len(a.kept.Trailers) > 0
	}
	return len(a.body.End().GetTrailers()) > 0
}

// settle releases the claim of a request that was not run, or stores its outcome. The caller's answer
// does not wait for the store; until the outcome is stored, a repeat is told may-have-run.
func (in *Ingress) settle(q *request, claimer claim.KeyClaimer, o claim.Outcome) {
	in.inFlight.Add(1)
	go func() {
		defer in.inFlight.Done()
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		var err error
		if o.Verdict == verdict.NotRun {
			err = claimer.Release(ctx, q.key)
		} else {
			err = claimer.Complete(ctx, q.key, o)
		}
		if err != nil {
			in.Logger.Warn("claim not settled", "event", "claim_not_settled", "service", q.to,
				"verdict", o.Verdict, "error", err)
		}
	}()
}

// keptAnswer copies the body of an answer as it goes to the caller, up to the size that is stored.
type keptAnswer struct {
	http.ResponseWriter
	body     []byte
	overflow bool
}

// Write implements http.ResponseWriter.
func (k *keptAnswer) Write(p []byte) (int, error) {
	if len(k.body)+len(p) > claim.MaxOutcomeBytes {
		k.overflow, k.body = true, nil
	}
	if !k.overflow {
		k.body = append(k.body, p...)
	}
	return k.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (k *keptAnswer) Unwrap() http.ResponseWriter { return k.ResponseWriter }

func httpHeader(headers []*wire.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, header := range headers {
		h[header.Name] = header.Values
	}
	return h
}
