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

// pickCounts returns how often each position is picked.
func pickCounts(p Picker, svc *table.Service, draws int, exclude uint64) []int {
	rng := newRNG(7)
	counts := make([]int, len(svc.Endpoints))
	for range draws {
		if i := p.Pick(testNow, rng, svc, exclude, false); i != None {
			counts[i]++
		}
	}
	return counts
}

// Guards against a name in PolicyNames that New rejects, and against accepting an unknown name.
func TestNewAcceptsAllNames(t *testing.T) {
	for _, name := range PolicyNames() {
		newPicker(t, name)
	}
	if _, err := New("fastest"); err == nil {
		t.Error("an unknown policy was accepted")
	}
}

// Guards against picking an excluded, draining or out-of-range endpoint, and against returning None
// while a permitted endpoint exists.
func TestPickHonorsExcludeAndDraining(t *testing.T) {
	for _, name := range PolicyNames() {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			p, _ := New(name)
			svc := newService(rapid.IntRange(0, 9).Draw(t, "same domain"), rapid.IntRange(0, 9).Draw(t, "same region"), rapid.IntRange(0, 40).Draw(t, "other region"))
			exclude := rapid.Uint64().Draw(t, "exclude")
			permitted := 0
			for i, e := range svc.Endpoints {
				e.Stats.Draining.Store(rapid.IntRange(0, 3).Draw(t, "draining") == 0)
				e.Stats.Suspect.Store(rapid.IntRange(0, 5).Draw(t, "suspect") == 0)
				e.Stats.EjectedUntil.Store(rapid.SampledFrom([]int64{0, 0, 0, testNow - 1, testNow + 1}).Draw(t, "ejected"))
				e.Stats.OwnInFlight.Store(rapid.Int32Range(0, 30).Draw(t, "in flight"))
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
					t.Fatalf("picked position %d, which is excluded or draining", i)
				}
			}
		}))
	}
}

// Guards against leaving the local failure domain or region while it has free capacity, against
// staying there when it has none and another region responds sooner, and against going to another
// region when the local queueing time is shorter than the latency to it.
func TestLocalityOrder(t *testing.T) {
	tests := []struct {
		name     string
		busy     int // number of leading positions without free capacity
		queue    uint32
		from, to int // range of permitted positions
	}{
		{"local failure domain has free capacity", 0, 0, 0, 2},
		{"local region has free capacity", 2, 6, 2, 4},
		{"short queue in the local region", 4, 2, 0, 4},
		{"long queue in the local region", 4, 60, 4, 6},
		{"long queue in every region", 6, 60, 0, 4},
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
			for i, n := range pickCounts(newPicker(t, Dandelionspoke), svc, 500, 0) {
				if n > 0 && (i < test.from || i >= test.to) {
					t.Errorf("position %d was picked %d times", i, n)
				}
			}
		})
	}
}

// Guards against herding: nodes that hold the same stale report all pick the least loaded endpoint.
func TestNodesWithSameReportSpreadPicks(t *testing.T) {
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

// Guards against preferring endpoints that fail fast because their latency and load are low.
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
	if counts := pickCounts(newPicker(t, Dandelionspoke), svc, 1000, 0); counts[0] > 0 {
		t.Errorf("picks %v: the failing endpoint was picked", counts)
	}
}

// Guards against detecting a stalled endpoint only when its requests finish.
func TestStalledEndpointIsAvoidedBeforeAnyResponse(t *testing.T) {
	svc := newService(4)
	for i, e := range svc.Endpoints {
		e.Stats.LatencyNanos.Store(int64(2 * time.Millisecond))
		e.Stats.LatencyUpdatedAt.Store(testNow)
		age := time.Millisecond
		if i == 0 {
			age = 10 * time.Millisecond
		}
		ObserveStart(e.Stats, testNow-int64(age), false)
	}
	if counts := pickCounts(newPicker(t, Dandelionspoke), svc, 1000, 0); counts[0] > 0 {
		t.Errorf("picks %v: the stalled endpoint was picked", counts)
	}
}

// Guards against a new endpoint receiving its full share at once, or none.
func TestSlowStartIncreasesShare(t *testing.T) {
	svc := newService(4)
	for _, e := range svc.Endpoints {
		e.Stats.LatencyNanos.Store(int64(5 * time.Millisecond))
		e.Stats.LatencyUpdatedAt.Store(testNow)
	}
	const draws = 8000
	last := 0
	for _, age := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		svc.Endpoints[0].Stats.AdmittedAt.Store(testNow - int64(age))
		n := pickCounts(newPicker(t, Dandelionspoke), svc, draws, 0)[0]
		if n <= last || n > draws/4 {
			t.Errorf("%d of %d picks at age %v, %d before", n, draws, age, last)
		}
		last = n
	}
}

// Guards against sending work to an ejected endpoint, against more than one trial request at a time, and
// against a re-admission without slow start.
func TestTrialReadmission(t *testing.T) {
	svc := newService(4)
	s := svc.Endpoints[0].Stats
	p := newPicker(t, Dandelionspoke)
	s.EjectedUntil.Store(testNow + 1)
	if n := pickCounts(p, svc, 1000, 0)[0]; n > 0 {
		t.Errorf("ejected endpoint picked %d times", n)
	}
	s.EjectedUntil.Store(testNow - 1)
	if n := pickCounts(p, svc, 1000, 0)[0]; n == 0 || n > 250 {
		t.Errorf("endpoint due for a trial request picked %d times", n)
	}
	ObserveStart(s, testNow, false)
	if n := pickCounts(p, svc, 1000, 0)[0]; n > 0 {
		t.Errorf("endpoint picked %d times during a trial request", n)
	}
	ObserveResult(s, testNow+5, 5, Success, false)
	if s.EjectedUntil.Load() != 0 || s.AdmittedAt.Load() != testNow+5 {
		t.Error("a successful trial request did not begin slow start")
	}
}

// Guards against allocations in Pick.
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
						e.Stats.LatencyUpdatedAt.Store(testNow)
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

// Guards against counting requests in transit to another region as occupied slots, which would make an
// idle endpoint there look full.
func TestRequestsInTransitOccupyNoSlot(t *testing.T) {
	svc := newService(1, 0, 1)
	remote := svc.Endpoints[1].Stats
	for _, e := range svc.Endpoints {
		ObserveReport(e.Stats, testNow, &wire.Load{InFlight: 12, QueuedShort: 60, ServiceTimeUs: 5000})
	}
	for range 40 {
		ObserveStart(remote, testNow-int64(10*time.Millisecond), false)
	}
	ObserveReport(remote, testNow, &wire.Load{InFlight: 5, ServiceTimeUs: 5000})
	remote.LatencyNanos.Store(int64(45 * time.Millisecond))
	remote.LatencyUpdatedAt.Store(testNow)
	if counts := pickCounts(newPicker(t, Dandelionspoke), svc, 200, 0); counts[1] != 200 {
		t.Errorf("picks %v, want all in the other region", counts)
	}
}

// Guards against a failed trial request that re-admits the endpoint or is followed by another one without
// a delay, and against a failure that ejects an endpoint whose ejection has already ended.
func TestFailedTrial(t *testing.T) {
	s := &table.Stats{}
	s.EjectedUntil.Store(testNow)
	s.EjectionCount.Store(1)
	ObserveStart(s, testNow, false)
	ObserveResult(s, testNow+1, 1, Failed, false)
	if got, want := s.EjectedUntil.Load(), testNow+1+int64(2*trialRetryDelay); got != want {
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
func TestObservationCountersReturnToZero(t *testing.T) {
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
	if s.OwnInFlight.Load() != 0 || s.OwnLongInFlight.Load() != 0 || s.StartTimeSum.Load() != 0 {
		t.Errorf("in flight %d, long %d, start time sum %d", s.OwnInFlight.Load(), s.OwnLongInFlight.Load(), s.StartTimeSum.Load())
	}
}

// Guards against hedges to another region, to a busy endpoint, and to the endpoint of the first attempt.
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

// Guards against hedges in a peak to an endpoint whose report is outdated: while the region's other endpoints are full, a
// hedge takes the slot of a first attempt.
func TestNoHedgeWhileTheRegionIsUtilized(t *testing.T) {
	svc := newService(6, 0, 0)
	report := func(inFlight, queued uint32) {
		for _, e := range svc.Endpoints[:5] {
			ObserveReport(e.Stats, testNow, &wire.Load{InFlight: inFlight, QueuedShort: queued, ServiceTimeUs: 5000})
		}
	}
	report(2, 0)
	if i := PickHedge(testNow, newRNG(1), svc, 1, false); i == None {
		t.Error("no hedge although the region has room")
	}
	report(uint32(svc.Endpoints[0].Slots), 5)
	if i := PickHedge(testNow, newRNG(1), svc, 1, false); i != None {
		t.Errorf("hedge to position %d while the region's other endpoints are full", i)
	}
}

// Guards against keeping work in a region whose gates refuse it while another region has free
// capacity, and against moving it because of a single refusal or a short queue, or while the local region
// has free capacity.
func TestRefusalsMoveWorkToOtherRegion(t *testing.T) {
	svc := newService(1, 0, 1)
	local := svc.Endpoints[0].Stats
	ObserveReport(svc.Endpoints[1].Stats, testNow, &wire.Load{InFlight: 4, ServiceTimeUs: 1000})
	for _, test := range []struct {
		refusals int
		inFlight uint32
		want     int
	}{{1, 40, 0}, {5, 40, 1}, {5, 14, 0}, {5, 4, 0}} {
		for range test.refusals {
			ObserveStart(local, testNow, false)
			ObserveResult(local, testNow, 0, Refused, false)
		}
		ObserveReport(local, testNow, &wire.Load{InFlight: test.inFlight, ServiceTimeUs: 1000})
		if counts := pickCounts(newPicker(t, Dandelionspoke), svc, 200, 0); counts[test.want] != 200 {
			t.Errorf("%+v: picks %v", test, counts)
		}
	}
}
