package admission

import "time"

// serviceTimeWeight is the weight of a new run time in the moving average.
const serviceTimeWeight = 1.0 / 16

// serviceTime is a moving average of run times. Zero means that nothing has been measured.
type serviceTime float64

func (s *serviceTime) record(ran time.Duration) {
	if *s == 0 {
		*s = serviceTime(ran)
		return
	}
	*s += serviceTimeWeight * (serviceTime(ran) - *s)
}

func (s serviceTime) duration() time.Duration { return time.Duration(s) }

// wait returns the expected time until a request with this many waiters ahead of it starts, when
// the given number of slots serves its lane and all are busy.
func (s serviceTime) wait(ahead, slots int) time.Duration {
	return time.Duration(float64(s) * float64(ahead+1) / float64(max(slots, 1)))
}
