package measure

import (
	"math"
	"testing"
	"time"

	"dandelionspoke/internal/balance"
)

// unevenPlacementWait is the value of placement_wait that docs/operations/uneven-demand.md gives as an example.
const unevenPlacementWait = 15 * time.Millisecond

// byteNoise is the difference of the bytes per request between seeds, as a fraction.
const byteNoise = 0.005

// Guards against a placement wait that no longer brings the share of requests within their objective at least halfway from
// the default's to the bound, or that sends more bytes between failure domains.
func TestUnevenPlacementWait(t *testing.T) {
	s := scenario(t, "uneven")
	c := Config{Policy: balance.Dandelionspoke, Duration: targetTestDuration, Seed: testSeed}
	before := Run(s, *s.Workload, c)
	c.PlacementWait = unevenPlacementWait
	after := Run(s, *s.Workload, c)
	if halfway := (before.ObjectiveShare() + after.Bound()) / 2; after.ObjectiveShare() < halfway {
		t.Errorf("%.5f in objective, want at least %.5f, halfway from %.5f to %.5f",
			after.ObjectiveShare(), halfway, before.ObjectiveShare(), after.Bound())
	}
	if limit := before.DomainBytesPerRequest() * (1 + byteNoise); after.DomainBytesPerRequest() > limit {
		t.Errorf("%.0f bytes between failure domains per request, want at most %.0f", after.DomainBytesPerRequest(), limit)
	}
}

// Guards against a bound that counts demand as served although no endpoint has capacity for it, or leaves out that demand may
// wait. In 2 s at twice the capacity, work for 4 s arrives, of which 2 s are served at once and 80 ms (the objective without the
// mean service time) after the peak: 1.92 s are lost. At half the speed, 1 s is served at once: 2.92 s are lost, since what
// may wait is given in work at full speed.
func TestCapacityBound(t *testing.T) {
	w := *unevenScenario().Workload
	s := Scenario{Load: func(_, at time.Duration, _ int) float64 {
		if at < 2*time.Second {
			return 2
		}
		return 0
	}}
	if got, want := s.capacityBound(w, 10*time.Second, 0), 1-1.92/4; math.Abs(got-want) > 1e-6 {
		t.Errorf("bound %.6f, want %.6f", got, want)
	}
	s.Slowdown = func(time.Duration, time.Duration, int) float64 { return 2 }
	if got, want := s.capacityBound(w, 2*time.Second, 0), 1-2.92/4; math.Abs(got-want) > 1e-6 {
		t.Errorf("bound %.6f with servers at half their speed, want %.6f", got, want)
	}
}
