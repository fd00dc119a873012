// Package steadytest makes the time of day jump in tests.
package steadytest

import (
	"time"
	"unsafe"
)

// wallSecondsShift is the position of the seconds in the first word of a time.Time that holds a monotonic reading.
const wallSecondsShift = 30

// StepTimeOfDay returns t with another time of day and the same monotonic reading, as time.Now would return it after the
// time of day was set. Package time offers no way to make one. d must be whole seconds, and t must come from
// time.Now.
func StepTimeOfDay(t time.Time, d time.Duration) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(d/time.Second)) << wallSecondsShift
	return t
}
