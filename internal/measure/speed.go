package measure

import (
	"math/rand/v2"
	"sort"
	"time"
)

// speedStep is the resolution of a speedCurve.
const speedStep = time.Millisecond

// speedCurve is the work, in undisturbed service time, that one slot of a backend server has done by
// each multiple of speedStep. A request is slowed only while a disturbance lasts.
type speedCurve []float64

// newSpeedCurve draws spells of interference over the run. slowdown multiplies the service time.
func newSpeedCurve(run time.Duration, rng *rand.Rand, slowdown func(at time.Duration) float64) speedCurve {
	curve := make(speedCurve, 1, run/speedStep+2)
	var spellFrom, spellTo time.Duration
	for at := time.Duration(0); at <= run; at += speedStep {
		for at >= spellTo {
			spellFrom = spellTo + time.Duration(rng.ExpFloat64()*float64(interferenceGap))
			spellTo = spellFrom + time.Duration(rng.ExpFloat64()*float64(interferenceSpell))
		}
		factor := slowdown(at)
		if at >= spellFrom {
			factor *= interferenceFactor
		}
		curve = append(curve, curve[len(curve)-1]+float64(speedStep)/factor)
	}
	return curve
}

// done is the work done by a time of the run.
func (c speedCurve) done(at time.Duration) float64 {
	i := min(int(at/speedStep), len(c)-2)
	return c[i] + (c[i+1]-c[i])*float64(at-time.Duration(i)*speedStep)/float64(speedStep)
}

// finish is the time at which work that starts at a time of the run ends. Work that outlasts the curve
// goes on at full speed.
func (c speedCurve) finish(at, work time.Duration) time.Duration {
	target := c.done(at) + float64(work)
	i := sort.SearchFloat64s(c, target)
	if i >= len(c) {
		return time.Duration(len(c)-1)*speedStep + time.Duration(target-c[len(c)-1])
	}
	before := max(i-1, 0)
	part := (target - c[before]) / (c[before+1] - c[before])
	return time.Duration((float64(before) + part) * float64(speedStep))
}
