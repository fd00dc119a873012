package balance

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const testNow = int64(time.Hour)

// newService returns a service with the given number of endpoints in each locality.
func newService(counts ...int) *table.Service {
	svc := &table.Service{Name: "katalog", Config: bundle.Service{Slots: 12, LongSlots: 4, SlowStart: bundle.Duration(2 * time.Second)}}
	for l := range table.Localities {
		if l < len(counts) {
			for k := range counts[l] {
				svc.Endpoints = append(svc.Endpoints, &table.Endpoint{
					ID: fmt.Sprintf("e-%d-%d", l, k), Locality: table.Locality(l), Slots: 12, Stats: &table.Stats{},
				})
			}
		}
		svc.LocalityEnd[l] = len(svc.Endpoints)
	}
	return svc
}

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func newPicker(t testing.TB, name string) Picker {
	t.Helper()
	p, err := New(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// shares returns the number of times that each position is chosen.
func shares(p Picker, svc *table.Service, draws int, exclude uint64) []int {
	rng := newRNG(7)
	counts := make([]int, len(svc.Endpoints))
	for range draws {
		if i := p.Pick(testNow, rng, svc, exclude, false); i != None {
			counts[i]++
		}
	}
	return counts
}

// Guards against a name in Names that New does not know, and against an unknown name being accepted.
func TestNewKnowsItsNames(t *testing.T) {
	for _, name := range PolicyNames() {
		newPicker(t, name)
	}
	if _, err := New("fastest"); err == nil {
		t.Error("an unknown policy was accepted")
	}
}

// Guards against a pick of an excluded, draining or out-of-range endpoint, and against a refusal
// while a permitted endpoint exists.
func TestPickHonoursExcludeAndDraining(t *testing.T) {
	for _, name := range PolicyNames() {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			p, _ := New(name)
			svc := newService(rapid.IntRange(0, 9).Draw(t, "near"), rapid.IntRange(0, 9).Draw(t, "region"), rapid.IntRange(0, 40).Draw(t, "far"))
			exclude := rapid.Uint64().Draw(t, "exclude")
			permitted := 0
			for i, e := range svc.Endpoints {
				e.Stats.Draining.Store(rapid.IntRange(0, 3).Draw(t, "draining") == 0)
				e.Stats.Suspect.Store(rapid.IntRange(0, 5).Draw(t, "suspect") == 0)
				e.Stats.EjectedUntil.Store(rapid.SampledFrom([]int64{0, 0, 0, testNow - 1, testNow + 1}).Draw(t, "ejected"))
				e.Stats.OwnInFlight.Store(rapid.Int32Range(0, 30).Draw(t, "own"))
				if !excluded(exclude, i) && !e.Stats.Draining.Load() {
					permitted++
				}
			}
			rng := newRNG(rapid.Uint64().Draw(t, "seed"))
			for range 20 {
				i := p.Pick(testNow, rng, svc, exclude, rapid.Bool().Draw(t, "long"))
				if (i == None) != (permitted == 0) {
					t.Fatalf("picked %d with %d permitted endpoints", i, permitted)
				}
				if i != None && (excluded(exclude, i) || svc.Endpoints[i].Stats.Draining.Load()) {
					t.Fatalf("picked the forbidden position %d", i)
				}
			}
		}))
	}
}

// Guards against leaving the own failure domain or region while it has free capacity, against
// staying there when it has none and another region answers sooner, and against crossing to another
// region for a queue that is shorter than the way.
func TestLocalityOrder(t *testing.T) {
	tests := []struct {
		name     string
		busy     int // first positions without free capacity
		queue    uint32
		from, to int // permitted positions
	}{
		{"own failure domain free", 0, 0, 0, 2},
		{"own region free", 2, 6, 2, 4},
		{"short queue in the own region", 4, 2, 0, 4},
		{"queue in the own region longer than the way", 4, 60, 4, 6},
		{"long queue everywhere", 6, 60, 0, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			svc := newService(2, 2, 2)
			for i, e := range svc.Endpoints {
				load := &wire.Load{InFlight: 4, ServiceTimeUs: 5000}
				if i < test.busy {
					load = &wire.Load{InFlight: 12, QueuedShort: test.queue, ServiceTimeUs: 5000}
				}
				ObserveReport(e.Stats, testNow, load)
			}
			for i, n := range shares(newPicker(t, Dandelionspoke), svc, 500, 0) {
				if n > 0 && (i < test.from || i >= test.to) {
					t.Errorf("position %d was chosen %d times", i, n)
				}
			}
		})
	}
}

// Guards against a herd: nodes that hold the same stale report all choosing the least loaded endpoint.
func TestNodesWithTheSameReportSpread(t *testing.T) {
	const nodes = 400
	svc := newService(4)
	for i, e := range svc.Endpoints {
		ObserveReport(e.Stats, testNow-int64(5*time.Millisecond), &wire.Load{InFlight: uint32(2 + i), ServiceTimeUs: 5000})
	}
	p := newPicker(t, Dandelionspoke)
	counts := make([]int, 4)
	for node := range nodes {
		counts[p.Pick(testNow, newRNG(uint64(node)), svc, 0, false)]++
	}
	if counts[0] > nodes*6/10 || counts[1] < nodes/10 {
		t.Errorf("picks %v: the least loaded endpoint takes too many", counts)
	}
}

// Guards against endpoints that fail fast drawing work because they are quick and idle.
func TestFailingEndpointIsAvoided(t *testing.T) {
	svc := newService(4)
	for i, e := range svc.Endpoints {
		for range 3 {
			latency, outcome := 5*time.Millisecond, Success
			if i == 0 {
				latency, outcome = 100*time.Microsecond, Failed
			}
			ObserveStart(e.Stats, testNow-int64(latency), false)
			ObserveResult(e.Stats, testNow, latency, outcome, false)
		}
	}
	if counts := shares(newPicker(t, Dandelionspoke), svc, 1000, 0); counts[0] > 0 {
		t.Errorf("picks %v: the failing endpoint was chosen", counts)
	}
}

// Guards against noticing a stalled endpoint only when its requests finish.
func TestStalledEndpointIsAvoidedBeforeAnyAnswer(t *testing.T) {
	svc := newService(4)
	for i, e := range svc.Endpoints {
		e.Stats.LatencyNanos.Store(int64(2 * time.Millisecond))
		e.Stats.LatencyAt.Store(testNow)
		age := time.Millisecond
		if i == 0 {
			age = 10 * time.Millisecond
		}
		ObserveStart(e.Stats, testNow-int64(age), false)
	}
	if counts := shares(newPicker(t, Dandelionspoke), svc, 1000, 0); counts[0] > 0 {
		t.Errorf("picks %v: the stalled endpoint was chosen", counts)
	}
}

// Guards against a new endpoint receiving a full share at once, or none.
func TestSlowStartRises(t *testing.T) {
	svc := newService(4)
	for _, e := range svc.Endpoints {
		e.Stats.LatencyNanos.Store(int64(5 * time.Millisecond))
		e.Stats.LatencyAt.Store(testNow)
	}
	const draws = 8000
	last := 0
	for _, age := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		svc.Endpoints[0].Stats.AdmittedAt.Store(testNow - int64(age))
		n := shares(newPicker(t, Dandelionspoke), svc, draws, 0)[0]
		if n <= last || n > draws/4 {
			t.Errorf("%d of %d picks at age %v, %d before", n, draws, age, last)
		}
		last = n
	}
}

// Guards against an ejected endpoint taking work, more than one trial at a time, and a re-admission
// without slow start.
func TestTrialReadmission(t *testing.T) {
	svc := newService(4)
	s := svc.Endpoints[0].Stats
	p := newPicker(t, Dandelionspoke)
	s.EjectedUntil.Store(testNow + 1)
	if n := shares(p, svc, 1000, 0)[0]; n > 0 {
		t.Errorf("ejected endpoint chosen %d times", n)
	}
	s.EjectedUntil.Store(testNow - 1)
	if n := shares(p, svc, 1000, 0)[0]; n == 0 || n > 250 {
		t.Errorf("endpoint on trial chosen %d times", n)
	}
	ObserveStart(s, testNow, false)
	if n := shares(p, svc, 1000, 0)[0]; n > 0 {
		t.Errorf("endpoint chosen %d times during a trial", n)
	}
	ObserveResult(s, testNow+5, 5, Success, false)
	if s.EjectedUntil.Load() != 0 || s.AdmittedAt.Load() != testNow+5 {
		t.Error("a successful trial did not start slow start")
	}
}

// Guards against allocations in the choice.
func TestPickDoesNotAllocate(t *testing.T) {
	rng := newRNG(1)
	for _, name := range PolicyNames() {
		for _, n := range []int{4, 32, 1000} {
			p, svc := newPicker(t, name), newService(n/4, n/4, n/2)
			if a := testing.AllocsPerRun(200, func() { p.Pick(testNow, rng, svc, 1, false) }); a != 0 {
				t.Errorf("%s with %d endpoints: %v allocations", name, n, a)
			}
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, name := range PolicyNames() {
		for _, n := range []int{4, 32, 1000} {
			for _, state := range []string{"free", "full"} {
				b.Run(fmt.Sprintf("%s/%d/%s", name, n, state), func(b *testing.B) {
					p, svc, rng := newPicker(b, name), newService(n/4, n/4, n/2), newRNG(1)
					for i, e := range svc.Endpoints {
						load := &wire.Load{InFlight: uint32(i % 10), ServiceTimeUs: 5000}
						if state == "full" {
							load.InFlight = 20
						}
						ObserveReport(e.Stats, testNow, load)
						e.Stats.LatencyNanos.Store(int64(5 * time.Millisecond))
						e.Stats.LatencyAt.Store(testNow)
					}
					b.ReportAllocs()
					for b.Loop() {
						p.Pick(testNow, rng, svc, 0, false)
					}
				})
			}
		}
	}
}

// Guards against requests on their way to another region counting as occupied slots, which would
// make an idle endpoint there look full.
func TestRequestsOnTheWayHoldNoSlot(t *testing.T) {
	svc := newService(1, 0, 1)
	far := svc.Endpoints[1].Stats
	for _, e := range svc.Endpoints {
		ObserveReport(e.Stats, testNow, &wire.Load{InFlight: 12, QueuedShort: 60, ServiceTimeUs: 5000})
	}
	for range 40 {
		ObserveStart(far, testNow-int64(10*time.Millisecond), false)
	}
	ObserveReport(far, testNow, &wire.Load{InFlight: 5, ServiceTimeUs: 5000})
	far.LatencyNanos.Store(int64(45 * time.Millisecond))
	far.LatencyAt.Store(testNow)
	if counts := shares(newPicker(t, Dandelionspoke), svc, 200, 0); counts[1] != 200 {
		t.Errorf("picks %v, want all in the other region", counts)
	}
}

// Guards against a failed trial that re-admits, that leaves the endpoint on trial without a pause, or
// that changes an endpoint which is no longer ejected.
func TestFailedTrial(t *testing.T) {
	s := &table.Stats{}
	s.EjectedUntil.Store(testNow)
	s.EjectionCount.Store(1)
	ObserveStart(s, testNow, false)
	ObserveResult(s, testNow+1, 1, Failed, false)
	if got, want := s.EjectedUntil.Load(), testNow+1+int64(2*trialRetry); got != want {
		t.Errorf("ejected until %d, want %d", got, want)
	}
	readmit(s, testNow)
	ObserveStart(s, testNow, false)
	ObserveResult(s, testNow+1, 1, Failed, false)
	if s.EjectedUntil.Load() != 0 {
		t.Error("a failure ejected an endpoint outside the ejection pass")
	}
}

// Guards against counters that drift when requests start and end concurrently.
func TestObservationsBalance(t *testing.T) {
	s := &table.Stats{}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rng := newRNG(uint64(g))
			for range 500 {
				start, latency, long := rng.Int64N(1000), rng.Int64N(100), rng.IntN(4) == 0
				ObserveStart(s, start, long)
				ObserveResult(s, start+latency, time.Duration(latency), Outcome(rng.IntN(4)), long)
			}
		})
	}
	wg.Wait()
	if s.OwnInFlight.Load() != 0 || s.OwnLong.Load() != 0 || s.StartSum.Load() != 0 {
		t.Errorf("in flight %d, long %d, start sum %d", s.OwnInFlight.Load(), s.OwnLong.Load(), s.StartSum.Load())
	}
}

// Guards against hedges to another region, to a busy endpoint, and to the one that the first attempt
// waits for.
func TestPickHedge(t *testing.T) {
	svc := newService(1, 1, 2)
	rng := newRNG(1)
	for range 100 {
		if i := PickHedge(testNow, rng, svc, 1, false); i != 1 {
			t.Fatalf("hedge to position %d, want 1", i)
		}
		if i := PickHedge(testNow, rng, svc, 3, false); i != None {
			t.Fatalf("hedge to position %d of another region", i)
		}
	}
	ObserveReport(svc.Endpoints[1].Stats, testNow, &wire.Load{InFlight: 11, ServiceTimeUs: 5000})
	if i := PickHedge(testNow, rng, svc, 1, false); i != None {
		t.Errorf("hedge to the busy position %d", i)
	}
}

// Guards against work that stays in a region whose gates refuse it while another region has free
// capacity, and against leaving it for a single refusal, a short queue, or with free capacity.
func TestRefusalsOpenTheOtherRegion(t *testing.T) {
	svc := newService(1, 0, 1)
	near := svc.Endpoints[0].Stats
	ObserveReport(svc.Endpoints[1].Stats, testNow, &wire.Load{InFlight: 4, ServiceTimeUs: 1000})
	for _, test := range []struct {
		refusals int
		inFlight uint32
		want     int
	}{{1, 40, 0}, {5, 40, 1}, {5, 14, 0}, {5, 4, 0}} {
		for range test.refusals {
			ObserveStart(near, testNow, false)
			ObserveResult(near, testNow, 0, Refused, false)
		}
		ObserveReport(near, testNow, &wire.Load{InFlight: test.inFlight, ServiceTimeUs: 1000})
		if counts := shares(newPicker(t, Dandelionspoke), svc, 200, 0); counts[test.want] != 200 {
			t.Errorf("%+v: picks %v", test, counts)
		}
	}
}
