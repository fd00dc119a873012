package steady_test

import (
	"testing"
	"time"

	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/steadytest"
)

// Guards against limits that a jump of the time of day moves.
func TestNanosFollowsTheMonotonicClock(t *testing.T) {
	now := time.Now()
	for _, d := range []time.Duration{0, time.Second, -time.Second, time.Hour} {
		if got := steady.Nanos(now.Add(d)) - steady.Nanos(now); got != int64(d) {
			t.Errorf("%d ns for %v", got, d)
		}
	}
	stepped := steadytest.StepTimeOfDay(now, 8*time.Second)
	if got := stepped.Round(0).Sub(now.Round(0)); got != 8*time.Second {
		t.Fatalf("the time of day was stepped by %v", got)
	}
	if got := steady.Nanos(stepped) - steady.Nanos(now); got != 0 {
		t.Errorf("a step of the time of day moved the steady clock by %v", time.Duration(got))
	}
	if got := steady.Time(steady.Nanos(now)); !got.Equal(now) {
		t.Errorf("%v became %v", now, got)
	}
}
