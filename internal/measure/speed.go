package measure

import (
	"math/rand/v2"
	"sort"
	"time"
)

// speedStep is the time resolution of a speedProfile.
const speedStep = time.Millisecond

// speedProfile describes the changing speed of a backend server: for each multiple of speedStep it holds
// the work that one busy slot completes from the start of the run up to then, in nanoseconds of
// undisturbed service time. A request is thus slowed only for as long as a slow period lasts.
type speedProfile []float64

// newSpeedProfile generates random periods of interference over the run. slowdown returns a further factor
// on the service time.
func newSpeedProfile(run time.Duration, rng *rand.Rand, slowdown func(at time.Duration) float64) speedProfile {
	profile := make(speedProfile, 1, run/speedStep+2)
	var slowFrom, slowTo time.Duration
	for at := time.Duration(0); at <= run; at += speedStep {
		for at >= slowTo {
			slowFrom = slowTo + time.Duration(rng.ExpFloat64()*float64(interferenceMeanGap))
			slowTo = slowFrom + time.Duration(rng.ExpFloat64()*float64(interferenceMeanLength))
		}
		factor := slowdown(at)
		if at >= slowFrom {
			factor *= interferenceSlowdown
		}
		profile = append(profile, profile[len(profile)-1]+float64(speedStep)/factor)
	}
	return profile
}

// workBy returns the work completed up to a time of the run.
func (p speedProfile) workBy(at time.Duration) float64 {
	i := min(int(at/speedStep), len(p)-2)
	return p[i] + (p[i+1]-p[i])*float64(at-time.Duration(i)*speedStep)/float64(speedStep)
}

// finishTime returns the time at which work that starts at a time of the run is completed. Beyond the end
// of p, work proceeds at full speed.
func (p speedProfile) finishTime(at, work time.Duration) time.Duration {
	target := p.workBy(at) + float64(work)
	i := sort.SearchFloat64s(p, target)
	if i >= len(p) {
		return time.Duration(len(p)-1)*speedStep + time.Duration(target-p[len(p)-1])
	}
	before := max(i-1, 0)
	fraction := (target - p[before]) / (p[before+1] - p[before])
	return time.Duration((float64(before) + fraction) * float64(speedStep))
}
