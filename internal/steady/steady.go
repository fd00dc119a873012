// Package steady converts times to numbers on the steady clock of the process, which jumps of the time of day do not move.
package steady

import "time"

// start is the origin of the steady clock. It holds a reading of the monotonic clock.
var start = time.Now()

// Now returns the current time of the steady clock in nanoseconds. The origin is such that the values are close to
// nanoseconds since the Unix epoch as of the start of the process.
func Now() int64 { return Nanos(time.Now()) }

// Nanos returns t on the steady clock in nanoseconds. A t without a monotonic reading, such as one from another process,
// is converted by the time of day at the start of this process.
func Nanos(t time.Time) int64 { return start.UnixNano() + int64(t.Sub(start)) }

// Time returns the time of day for a value of the steady clock, for logs and dumps.
func Time(nanos int64) time.Time { return start.Add(time.Duration(nanos - start.UnixNano())) }
