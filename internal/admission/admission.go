// Package admission decides which requests of one endpoint start, wait or are refused.
//
// A Queue holds the exact number of requests in flight and two lanes of waiting requests. Short work is
// ordered by priority, then deadline. Long work never holds more than Limits.LongSlots slots, so the
// remaining slots always serve short work. The package is pure: time is an argument, and it uses no
// goroutine and no I/O.
package admission

import (
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
)

// Limits are the limits of one endpoint. New and SetLimits raise values below their minimum.
type Limits struct {
	// Slots is the number of requests that run at once, at least 1.
	Slots int
	// LongSlots caps the slots held by long requests. It is kept in [1, Slots-1], or 1 when Slots is 1.
	LongSlots int
	// Connections caps Slots when it is lower and not zero.
	Connections int
	// QueueShort and QueueLong cap the waiting requests of each lane; zero permits no waiting.
	QueueShort int
	QueueLong  int
}

// LimitsOf returns the limits that a bundle sets for the endpoints of a service.
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
	// ID is returned in the Grant and has no effect on decisions.
	ID string
	// Route is the name of the bundle route; it keys the Classifier.
	Route string
	// Long is the declared class of the route.
	Long bool
	// Priority from 0 (highest) to bundle.MaxPriority.
	Priority int
	// Deadline is when the caller gives up. The zero value means defaultPatience after the offer.
	Deadline time.Time
	// MaxWait is the longest expected wait that the request accepts; a longer one refuses it with the
	// reason Busy. Zero accepts any wait.
	MaxWait time.Duration
	// Slowness is the time that work takes at the endpoint at this moment, in multiples of the usual time. Time
	// beyond the usual counts as wait. Zero means unknown.
	Slowness float64
	// Objective is the time by which the answer has its full value to the caller; the zero value means none.
	Objective time.Time
}

// Ticket identifies an offered request that was admitted or queued. The zero value is never issued.
type Ticket uint64

// State is the immediate result of an offer.
type State uint8

// Results of an offer.
const (
	// Refused means that the request has not run and holds nothing. It has no ticket.
	Refused State = iota
	// Admitted means that the request holds a slot until Release.
	Admitted
	// Queued means that a later Grant decides the ticket, unless Cancel removes it first.
	Queued
)

// String returns the name used in logs.
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
	// Long is the class that the request was given, after correction by measured time.
	Long bool
	// Others are earlier waiters that this offer decided: expired ones, and one that it displaced.
	Decisions []Decision
}

// Grant decides one waiting ticket.
type Decision struct {
	Ticket Ticket
	ID     string
	// Admitted means that the request now holds a slot until Release; otherwise it was refused.
	Admitted bool
	// Reason is set when the request was refused. A refused waiter has not run.
	Reason verdict.Reason
	// Waited is the time between the offer and this decision.
	Waited time.Duration
}
