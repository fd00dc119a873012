// Package admission implements admission control for one endpoint: it decides which requests start, wait or are
// refused.
//
// A Queue counts the requests in flight exactly and keeps two wait lists, one for short and one for long requests.
// Each is ordered by priority, then deadline; the accounts of a priority share the starts by weight. Long requests never occupy more than Limits.LongSlots slots, so the
// remaining slots always serve short requests. The package is deterministic: the caller passes the current time, and
// the package starts no goroutines and does no I/O.
package admission

import (
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
)

// Limits are the limits of one endpoint. New and SetLimits clamp each value to its permitted range.
type Limits struct {
	// Slots is the maximum number of concurrent requests, at least 1.
	Slots int
	// LongSlots is the maximum number of slots that long requests occupy. It is clamped to [1, Slots-1], or to 1
	// when Slots is 1.
	LongSlots int
	// Connections limits Slots when it is lower and not zero.
	Connections int
	// QueueShort and QueueLong are the capacities of the two wait lists; with zero, no request waits.
	QueueShort int
	QueueLong  int
}

// LimitsOf returns the limits that a bundle configures for the endpoints of a service.
func LimitsOf(s bundle.Service) Limits {
	return Limits{
		Slots: s.Slots, LongSlots: s.LongSlots, Connections: s.Connections,
		QueueShort: s.QueueShort, QueueLong: s.QueueLong,
	}
}

func (l Limits) normalized() Limits {
	l.Slots = max(l.Slots, 1)
	if l.Connections > 0 {
		l.Slots = min(l.Slots, l.Connections)
	}
	l.LongSlots = max(1, min(l.LongSlots, l.Slots-1))
	l.QueueShort = max(l.QueueShort, 0)
	l.QueueLong = max(l.QueueLong, 0)
	return l
}

// Request is one request that asks for a slot.
type Request struct {
	// ID is returned in the Decision and has no effect on decisions.
	ID string
	// Route identifies the bundle route. Run times are recorded, and the class is corrected, per route.
	Route string
	// Long is true when the route is declared as long.
	Long bool
	// Priority ranges from 0 (highest) to bundle.MaxPriority.
	Priority int
	// Deadline is the time at which the caller stops waiting. The zero value means defaultTimeout after the offer.
	Deadline time.Time
	// MaxWait is the longest expected wait that the request accepts. If the expected wait is longer, the request is
	// refused with the reason Busy. Zero accepts any wait.
	MaxWait time.Duration
	// Slowness is the ratio of the endpoint's current service time to the normal one. The request is also refused
	// with the reason Busy if the additional run time that it causes exceeds MaxWait. Zero means unknown.
	Slowness float64
	// Objective is the time by which the caller should have the response; the zero value means none.
	Objective time.Time
	// Account is the client account that the request belongs to; empty for none. Requests without an account start first
	// within their priority.
	Account string
	// AccountWeight is the account's weight when accounts share the slots. A value that is not positive means 1.
	AccountWeight float64
	// Returning means that the caller sends again what was refused before. It starts first within its account and priority.
	Returning bool
}

// Ticket identifies a request that was admitted or queued. The zero value is never issued.
type Ticket uint64

// State is the immediate result of an offer.
type State uint8

// Results of an offer.
const (
	// Refused means that the request has not run, occupies no slot and has no ticket.
	Refused State = iota
	// Admitted means that the request occupies a slot until Release.
	Admitted
	// Queued means that a later Decision admits or refuses the request, unless Cancel removes it first.
	Queued
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Admitted:
		return "admitted"
	case Queued:
		return "queued"
	default:
		return "refused"
	}
}

// Outcome is the result of an offer.
type Outcome struct {
	State State
	// Reason is set when State is Refused.
	Reason verdict.Reason
	// Long is true when the request is handled as long, either as declared or because of measured run times.
	Long bool
	// Wait is the time after which a refused request of an account would be accepted; 0 when it is not known.
	Wait time.Duration
	// Decisions lists the requests that were already waiting and that this offer admitted or refused, including the
	// one, if any, that the new request evicted from a full wait list.
	Decisions []Decision
}

// Decision is the decision on one waiting request: it is either admitted or refused.
type Decision struct {
	Ticket Ticket
	ID     string
	// Admitted means that the request now occupies a slot until Release; otherwise it was refused.
	Admitted bool
	// Reason is set when the request was refused. A refused request has not run.
	Reason verdict.Reason
	// Wait is that of Outcome, for a request that was refused.
	Wait time.Duration
	// Waited is the time between the offer and this decision.
	Waited time.Duration
}
