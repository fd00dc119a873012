package membership

import "time"

// Incarnation orders the records of one node. The upper bits hold the start of the process in unix
// milliseconds, the lower refutationBits count the updates that the process has made to its own record.
type Incarnation uint64

// refutationBits leaves 48 bits for the start time, enough until the year 10889.
const refutationBits = 16

// NewIncarnation returns the first incarnation of a process that started at the given time.
func NewIncarnation(start time.Time) Incarnation {
	return FromProcess(uint64(max(start.UnixMilli(), 0)))
}

// FromProcess returns the first incarnation of the process that started at startMs.
func FromProcess(startMs uint64) Incarnation { return Incarnation(startMs << refutationBits) }

// Process returns the start of the process in unix milliseconds. It stays the same when a node
// refutes a suspicion or changes its endpoints, so it identifies the memory of a gate.
func (i Incarnation) ProcessStartMs() uint64 { return uint64(i) >> refutationBits }

// Next returns the next incarnation of the same process.
func (i Incarnation) Next() Incarnation { return i + 1 }

// Above returns the lowest incarnation for the process of i that supersedes a heard record. A record
// left by another process of the node, for example after its clock moved back, yields a new process.
func (i Incarnation) Above(heard Incarnation) Incarnation {
	switch {
	case heard < i:
		return i
	case heard.ProcessStartMs() == i.ProcessStartMs():
		return heard + 1
	default:
		return FromProcess(heard.ProcessStartMs() + 1)
	}
}
