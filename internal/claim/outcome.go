// Package claim runs a request with an Idempotency-Key at most once. Before the run, the gate claims the
// key with a conditional write to the platform's store; after it, the outcome is stored for repeats.
//
// # What makes it safe
//
// A run is permitted only after the write with the claim is confirmed, either by its answer or by
// reading back a value that names this write. A write is conditional on the version that was read, so
// that two claimers of one key cannot both succeed. A claim has no lease that another node could take
// over: it ends only when its own attempt releases it, which the gate does only if that attempt was not
// run and never will be, or when it expires after the retention. A holder that was paused is fenced
// twice: its writes fail by version, and its Permit ends long before the claim can expire, by the
// monotonic and by the wall clock. This holds if clocks of nodes differ by less than MaxClockSkew. It
// cannot cover a process that is paused between Permit.MayStart and the first byte to the backend server
// for longer than the rest of the retention (at least MinRetention - StartWithin), while the caller
// repeats the request after the retention.
package claim

import (
	"net/http"
	"time"

	"dandelionspoke/internal/verdict"
)

const (
	// StartWithin is the time from the start of the claim's write in which a permitted run must start.
	StartWithin = 30 * time.Second
	// MaxClockSkew is the greatest difference between the clocks of two nodes at which claims are safe.
	MaxClockSkew = time.Minute
	// MinRetention is the least time that a claim is kept, whatever the bundle says. It leaves a paused
	// holder several minutes beyond StartWithin and MaxClockSkew.
	MinRetention = 10 * time.Minute
	// MaxOutcomeBytes bounds the body and headers that are stored for repeats.
	MaxOutcomeBytes = 16 << 10
)

// Outcome is the result of a run.
type Outcome struct {
	// Verdict is Ran when the answer is known, else MayHaveRun. NotRun is not an outcome; see Claimer.Release.
	Verdict verdict.Verdict `json:"v"`
	Status  int             `json:"s,omitempty"`
	Header  http.Header     `json:"h,omitempty"`
	Body    []byte          `json:"b,omitempty"`
	// Partial says that header and body were too large to keep, or were dropped to make room.
	Partial bool `json:"p,omitempty"`
}

// bounded returns the outcome without header and body if they exceed MaxOutcomeBytes.
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

// Kind is what Acquire decided.
type Kind uint8

const (
	// Held means that another attempt has the claim. The zero value, so that nothing runs by omission.
	Held Kind = iota
	// Run means that this attempt has the claim and may run while Permit.MayStart holds.
	Run
	// Replay means that the request ran before; Outcome is its complete answer.
	Replay
)

// Result is the answer to Acquire.
type Result struct {
	Kind   Kind
	Permit Permit // for Run
	// Outcome of the earlier run, for Replay.
	Outcome Outcome
	// Verdict of the other attempt, for Held: MayHaveRun, or Ran when its answer was not kept.
	Verdict verdict.Verdict
}

// Permit bounds the time in which a run may start. The zero value permits nothing.
type Permit struct{ startBefore time.Time }

// MayStart reports whether the run may start at now, which must come from time.Now. The wall clock is
// compared as well, because the monotonic clock may stop while a VM is suspended.
func (p Permit) MayStart(now time.Time) bool {
	return now.Before(p.startBefore) && now.Round(0).Before(p.startBefore.Round(0))
}
