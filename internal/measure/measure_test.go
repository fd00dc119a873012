package measure

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/balance"
)

// testDuration is in virtual time. It keeps the tests of this file within seconds.
const testDuration = 12 * time.Second

// targetTestDuration is longer because the 99th percentile of the head-of-line wait varies between short
// runs.
const targetTestDuration = 30 * time.Second

const testSeed = 7

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		t.Fatalf("no scenario %s", name)
	}
	return all[i]
}

func run(t *testing.T, name string, w Workload, policy string, d time.Duration) *Result {
	t.Helper()
	return Run(scenario(t, name), w, Config{Policy: policy, Duration: d, Seed: testSeed})
}

// Guards against a policy or gate that misses the targets of design section 1.6. Each target bounds the
// ratio of dandelionspoke's value to that of a baseline; both come from runs with the same seed.
func TestTargets(t *testing.T) {
	targets := []struct {
		scenario, baseline string
		metric             func(*Result) float64
		ratio              float64
	}{
		{"archive_pulls", balance.P2C, (*Result).ShortHOLP99MS, 0.5},
		{"noisy_neighbour", balance.P2C, (*Result).P99MS, 0.7},
		{"swing", balance.P2C, (*Result).P99MS, 0.7},
		{"fast_failure", balance.LeastRequests, (*Result).FailedShare, 0.2},
	}
	for _, target := range targets {
		for _, w := range Workloads() {
			t.Run(target.scenario+"/"+w.Name, func(t *testing.T) {
				t.Parallel()
				baseline := target.metric(run(t, target.scenario, w, target.baseline, targetTestDuration))
				measured := target.metric(run(t, target.scenario, w, balance.Dandelionspoke, targetTestDuration))
				if baseline <= 0 {
					t.Fatalf("%s has %v, so there is no ratio to compare", target.baseline, baseline)
				}
				if measured > target.ratio*baseline {
					t.Errorf("%.2f with dandelionspoke, %.2f with %s: ratio %.2f, want at most %.2f",
						measured, baseline, target.baseline, measured/baseline, target.ratio)
				}
			})
		}
	}
}

// Guards against a gate whose queueing or refusals waste slot time at twice the load that the slots can serve.
func TestOverloadGoodput(t *testing.T) {
	for _, w := range Workloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			r := run(t, "overload", w, balance.Dandelionspoke, testDuration)
			if r.GoodputRatio() < 0.9 {
				t.Errorf("goodput %.3f of capacity, want at least 0.9", r.GoodputRatio())
			}
			if offered := float64(r.Requests) / r.Capacity; offered < 1.9 || offered > 2.1 {
				t.Errorf("offered load %.2f of capacity, want 2", offered)
			}
		})
	}
}

// Guards against probing above the bundle's budget in any scenario.
func TestProbesStayWithinBudget(t *testing.T) {
	// burst is how much unused budget a node may accumulate, as time, in addition to one exchange.
	const burst = 250 * time.Millisecond
	bound := func(rate float64) int { return int(rate*(time.Second+burst).Seconds()) + messagesPerExchange }
	for _, s := range Scenarios() {
		for _, w := range s.Workloads() {
			t.Run(s.Name+"/"+w.Name, func(t *testing.T) {
				t.Parallel()
				r := run(t, s.Name, w, balance.Dandelionspoke, testDuration)
				policy := w.bundle().Policy
				if r.ProbeMessages == 0 {
					t.Fatal("no probes sent")
				}
				nodes := float64(len(w.Domains) * w.callerNodes())
				seconds := (testDuration + burst).Seconds()
				if total := policy.ProbesPerSecond * nodes * seconds; float64(r.ProbeMessages) > total {
					t.Errorf("%d probe messages, budget %.0f", r.ProbeMessages, total)
				}
				bytes := policy.ProbeBytesPerSecond * nodes * seconds
				if float64(r.ProbeBytes) > bytes {
					t.Errorf("%d probe bytes, budget %.0f", r.ProbeBytes, bytes)
				}
				if crossRegion := policy.LinkProbeBytesPerSecond * nodes * seconds; float64(r.CrossRegionProbeBytes) > crossRegion {
					t.Errorf("%d probe bytes between regions, budget %.0f", r.CrossRegionProbeBytes, crossRegion)
				}
				if r.PeakNodeProbes > bound(policy.ProbesPerSecond) {
					t.Errorf("one node caused %d probe messages in a second, budget %v", r.PeakNodeProbes, policy.ProbesPerSecond)
				}
				if r.PeakNodeCrossRegionProbes > bound(policy.LinkProbesPerSecond) {
					t.Errorf("one node caused %d probe messages between regions in a second, budget %v",
						r.PeakNodeCrossRegionProbes, policy.LinkProbesPerSecond)
				}
				if s.Name == "steady" && r.ProbesPerRequest() > 0.2 {
					t.Errorf("%.3f probe messages per request, want at most 0.2", r.ProbesPerRequest())
				}
			})
		}
	}
}

// Guards against a run whose result depends on anything but its arguments.
func TestSameSeedSameRow(t *testing.T) {
	w := Workloads()[0]
	c := Config{Policy: balance.Dandelionspoke, Duration: 4 * time.Second, Seed: testSeed}
	rowWith := func(seed uint64) string {
		c.Seed = seed
		return Run(scenario(t, "archive_pulls"), w, c).Row()
	}
	if diff := cmp.Diff(rowWith(testSeed), rowWith(testSeed)); diff != "" {
		t.Errorf("two runs with the same seed differ:\n%s", diff)
	}
	if rowWith(testSeed) == rowWith(testSeed+1) {
		t.Error("the seed has no effect")
	}
}

// Guards against events that run out of order or after the end of the run.
func TestEventLoopOrder(t *testing.T) {
	l := newEventLoop()
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	l.after(2*time.Millisecond, record("late"))
	l.after(time.Millisecond, record("first"))
	l.after(time.Millisecond, record("second"))
	l.after(-time.Second, record("now"))
	l.after(time.Minute, record("never"))
	l.run(time.Second)
	if diff := cmp.Diff([]string{"now", "first", "second", "late"}, got); diff != "" {
		t.Error(diff)
	}
	if l.elapsed() != time.Second {
		t.Errorf("the loop stopped at %v, want 1s", l.elapsed())
	}
}

// Guards against a simulated backend server whose slowdown doesn't last exactly as long as the disturbance.
func TestSpeedProfile(t *testing.T) {
	// From 100 ms to 200 ms the speed is a tenth, so 10 ms of work is completed in that time.
	profile := speedProfile{0}
	for at := time.Duration(0); at < time.Second; at += speedStep {
		step := float64(speedStep)
		if at >= 100*time.Millisecond && at < 200*time.Millisecond {
			step /= 10
		}
		profile = append(profile, profile[len(profile)-1]+step)
	}
	tests := []struct{ at, work, want time.Duration }{
		{0, 50 * time.Millisecond, 50 * time.Millisecond},
		{90 * time.Millisecond, 15 * time.Millisecond, 150 * time.Millisecond},
		{100 * time.Millisecond, 20 * time.Millisecond, 210 * time.Millisecond},
		{990 * time.Millisecond, 20 * time.Millisecond, 1010 * time.Millisecond},
	}
	for _, test := range tests {
		got := profile.finishTime(test.at, test.work)
		if diff := got - test.want; diff.Abs() > time.Microsecond {
			t.Errorf("work of %v from %v ends at %v, want %v", test.work, test.at, got, test.want)
		}
	}
}

// Guards against a head-of-line wait that leaves out waiting behind a long request, or counts waiting behind
// short requests.
func TestHeadOfLineWait(t *testing.T) {
	w := Workloads()[0]
	w.Slots = 2
	s := newSimulation(Scenario{Name: "blocked", Load: constantLoad(0)}, w, Config{Policy: balance.P2C, Duration: time.Minute})
	s.arrivalsEnded = true // only the test offers requests
	g := s.gates[0].(*fifoGate)
	browse, seasonReport := &s.routes[0], &s.routes[2]
	offer := func(r *route) *attempt {
		a := &attempt{request: &request{callerNode: s.callerNodes[0], route: r, done: true}, endpoint: s.callerNodes[0].service().Endpoints[0], finished: true}
		g.offer(a)
		return a
	}
	offer(browse)
	offer(browse)
	behindShort := offer(browse)
	s.loop.run(5 * time.Second)
	if got := behindShort.request.headOfLineWait; got != 0 {
		t.Errorf("head-of-line wait %v without a long request", got)
	}
	offer(seasonReport)
	offer(seasonReport)
	started := s.loop.elapsed()
	behindLong := offer(browse)
	for behindLong.waiting {
		s.loop.run(s.loop.elapsed() + speedStep)
	}
	waited := s.loop.elapsed() - started
	if diff := waited - behindLong.request.headOfLineWait; diff < 0 || diff > speedStep {
		t.Errorf("waited %v, head-of-line wait %v", waited, behindLong.request.headOfLineWait)
	}
}
