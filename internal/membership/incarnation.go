package membership

import "time"

// Incarnation orders the records of one node. The upper bits hold the start time of the process in Unix
// milliseconds; the lower updateCountBits count the process's updates to its own record.
type Incarnation uint64

// updateCountBits leaves 48 bits for the start time, enough until the year 10889.
const updateCountBits = 16

// NewIncarnation returns the first incarnation of a process that started at the given time.
func NewIncarnation(start time.Time) Incarnation {
	return IncarnationFromMillis(uint64(max(start.UnixMilli(), 0)))
}

// IncarnationFromMillis returns the first incarnation of a process that started at startMs, in Unix
// milliseconds.
func IncarnationFromMillis(startMs uint64) Incarnation {
	return Incarnation(startMs << updateCountBits)
}

// ProcessStartMs returns the start time of the process in Unix milliseconds. It doesn't change when a node
// refutes a suspicion or changes its endpoints, so it identifies the process whose gate holds in-memory
// state.
func (i Incarnation) ProcessStartMs() uint64 { return uint64(i) >> updateCountBits }

// Next returns the next incarnation of the same process.
func (i Incarnation) Next() Incarnation { return i + 1 }

// Superseding returns the lowest incarnation for the process of i that supersedes a received one. If the
// received incarnation is from another process with a later start time, for example because the clock was
// set back since, the result has a start time one millisecond after it.
func (i Incarnation) Superseding(received Incarnation) Incarnation {
	switch {
	case received < i:
		return i
	case received.ProcessStartMs() == i.ProcessStartMs():
		return received + 1
	default:
		return IncarnationFromMillis(received.ProcessStartMs() + 1)
	}
}
