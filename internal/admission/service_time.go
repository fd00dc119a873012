package admission

import "time"

// serviceTimeWeight is the weight of a new run time in the moving average.
const serviceTimeWeight = 1.0 / 16

// serviceTime is an exponentially weighted moving average of run times in nanoseconds. Zero means that no run time
// has been recorded.
type serviceTime float64

func (s *serviceTime) record(runTime time.Duration) {
	if *s == 0 {
		*s = serviceTime(runTime)
		return
	}
	*s += serviceTimeWeight * (serviceTime(runTime) - *s)
}

func (s serviceTime) duration() time.Duration { return time.Duration(s) }

// wait returns the expected wait of a request with the given number of requests ahead of it, when its wait list is
// served by the given number of slots and all of them are occupied.
func (s serviceTime) wait(ahead, slots int) time.Duration {
	return time.Duration(float64(s) * float64(ahead+1) / float64(max(slots, 1)))
}
