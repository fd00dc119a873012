// Package claim lets a request with an Idempotency-Key run at most once. Before the run, the key is
// claimed with a conditional write to the platform's store; after the run, its outcome is stored for
// repeats of the request.
//
// # Safety
//
// A run is permitted only after the write of the claim is confirmed, either by the store's response or by
// reading back a value that contains the token of this write. Each write is conditional on the version
// that was read, so that of two claimers of one key only one succeeds. A claim is not a lease that another
// node can take over. It ends only when its own attempt releases it, which the ingress does only if that
// attempt was not run and never will be, or when it expires after the retention.
//
// Two mechanisms fence a holder that was paused: its writes fail because the version has changed, and its
// Permit ends long before the claim can expire, by both the monotonic and the wall clock. This requires
// that the clocks of nodes differ by less than MaxClockSkew.
//
// One case is not covered: the process is paused between Permit.MayStart and the first byte to the
// backend server for longer than the remaining retention (at least MinRetention - PermitLifetime), and
// the client repeats the request after the retention.
package claim

import (
	"net/http"
	"time"

	"dandelionspoke/internal/verdict"
)

const (
	// PermitLifetime is the time within which a permitted run must start. It counts from the start of the
	// Acquire, or for RoutedClaimer from the start of the request to the owner that made the claim.
	PermitLifetime = 30 * time.Second
	// MaxClockSkew is the largest difference between the clocks of two nodes at which claims are safe.
	MaxClockSkew = time.Minute
	// MinRetention is the minimum retention of a claim, also if the bundle sets a shorter one. The
	// several minutes beyond PermitLifetime + MaxClockSkew are a margin for a holder that is paused.
	MinRetention = 10 * time.Minute
	// MaxOutcomeBytes bounds the total size of the body and headers that are stored for repeats.
	MaxOutcomeBytes = 16 << 10
)

// Outcome is the result of a run.
type Outcome struct {
	// Verdict is Ran if the response is known, else MayHaveRun. NotRun is not an outcome: the claim of an
	// attempt that was not run is released; see Claimer.Release.
	Verdict verdict.Verdict `json:"v"`
	Status  int             `json:"s,omitempty"`
	Header  http.Header     `json:"h,omitempty"`
	Body    []byte          `json:"b,omitempty"`
	// Partial reports that header and body are missing: they exceeded MaxOutcomeBytes, were dropped to
	// make room for other claims, or the caller of Complete did not have them.
	Partial bool `json:"p,omitempty"`
	// AllowedRegions are the regions that header and body may enter, besides that of the node that ran the request; nil
	// allows all. It is not stored.
	AllowedRegions []string `json:"-"`
}

// bounded returns the outcome, without header and body if they exceed MaxOutcomeBytes.
func (o Outcome) bounded() Outcome {
	size := len(o.Body)
	for name, values := range o.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > MaxOutcomeBytes {
		return o.stripped()
	}
	return o
}

func (o Outcome) stripped() Outcome {
	return Outcome{Verdict: o.Verdict, Status: o.Status, Partial: true}
}

// Kind tells an attempt how to proceed after Acquire.
type Kind uint8

const (
	// Held means that another attempt has the claim. It is the zero value, so that a Result without a
	// kind does not permit a run.
	Held Kind = iota
	// Run means that this attempt has the claim and may start its run while Permit.MayStart returns true.
	Run
	// Replay means that the request has already run; Outcome holds its complete response.
	Replay
)

// Result is the result of an Acquire.
type Result struct {
	Kind Kind
	// Permit is set for Run.
	Permit Permit
	// Outcome is the outcome of the earlier run; set for Replay.
	Outcome Outcome
	// Verdict is the verdict of the other attempt; set for Held. It is Ran if that attempt has completed
	// and its response was not stored, else MayHaveRun.
	Verdict verdict.Verdict
}

// Permit limits the time within which a run may start. The zero value permits no run.
type Permit struct{ startBefore time.Time }

// MayStart reports whether the run may start at now, which must be a result of time.Now. It compares both
// the monotonic and the wall clock, because the monotonic clock may stop while a VM is suspended.
func (p Permit) MayStart(now time.Time) bool {
	return now.Before(p.startBefore) && now.Round(0).Before(p.startBefore.Round(0))
}
