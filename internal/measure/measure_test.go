package measure

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/balance"
)

// testDuration, in virtual time, keeps the runs of this file within seconds.
const testDuration = 12 * time.Second

// targetDuration is longer, since a 99th percentile of head-of-line time varies between short runs.
const targetDuration = 30 * time.Second

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

// Guards against a policy or gate that misses the targets of design section 1.6. Every bound is a ratio
// of the page; both figures come from runs with the same seed.
func TestTargets(t *testing.T) {
	targets := []struct {
		scenario, baseline string
		figure             func(*Result) float64
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
				baseline := target.figure(run(t, target.scenario, w, target.baseline, targetDuration))
				product := target.figure(run(t, target.scenario, w, balance.Dandelionspoke, targetDuration))
				if baseline <= 0 {
					t.Fatalf("%s has %v, so the ratio says nothing", target.baseline, baseline)
				}
				if product > target.ratio*baseline {
					t.Errorf("%.2f with dandelionspoke, %.2f with %s: ratio %.2f, at most %.2f",
						product, baseline, target.baseline, product/baseline, target.ratio)
				}
			})
		}
	}
}

// Guards against a gate whose queue or refusals waste slots under 2x load.
func TestOverloadGoodput(t *testing.T) {
	for _, w := range Workloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			r := run(t, "overload", w, balance.Dandelionspoke, testDuration)
			if r.GoodputRatio() < 0.9 {
				t.Errorf("goodput %.3f of capacity, at least 0.9", r.GoodputRatio())
			}
			if offered := float64(r.Requests) / r.Capacity; offered < 1.9 || offered > 2.1 {
				t.Errorf("offered %.2f of capacity, want 2", offered)
			}
		})
	}
}

// Guards against probing above the budget of the bundle in any scenario.
func TestProbesStayWithinBudget(t *testing.T) {
	// burst is the time whose unused budget a node may save up, in addition to one exchange.
	const burst = 250 * time.Millisecond
	bound := func(rate float64) int { return int(rate*(time.Second+burst).Seconds()) + messagesPerExchange }
	for _, s := range Scenarios() {
		for _, w := range Workloads() {
			t.Run(s.Name+"/"+w.Name, func(t *testing.T) {
				t.Parallel()
				r := run(t, s.Name, w, balance.Dandelionspoke, testDuration)
				policy := w.bundle().Policy
				if r.ProbeMessages == 0 {
					t.Fatal("no probe was sent")
				}
				nodes := float64(len(w.Domains) * callersPerDomain)
				seconds := (testDuration + burst).Seconds()
				if total := policy.ProbesPerSecond * nodes * seconds; float64(r.ProbeMessages) > total {
					t.Errorf("%d probe messages, budget %.0f", r.ProbeMessages, total)
				}
				bytes := policy.ProbeBytesPerSecond * nodes * seconds
				if float64(r.ProbeBytes) > bytes {
					t.Errorf("%d probe bytes, budget %.0f", r.ProbeBytes, bytes)
				}
				if link := policy.LinkProbeBytesPerSecond * nodes * seconds; float64(r.LinkProbeBytes) > link {
					t.Errorf("%d probe bytes between regions, budget %.0f", r.LinkProbeBytes, link)
				}
				if r.PeakNodeProbes > bound(policy.ProbesPerSecond) {
					t.Errorf("%d probe messages of one node in a second, budget %v", r.PeakNodeProbes, policy.ProbesPerSecond)
				}
				if r.PeakNodeLinkProbes > bound(policy.LinkProbesPerSecond) {
					t.Errorf("%d probe messages of one node between regions in a second, budget %v",
						r.PeakNodeLinkProbes, policy.LinkProbesPerSecond)
				}
				if s.Name == "steady" && r.ProbesPerRequest() > 0.2 {
					t.Errorf("%.3f probe messages per request, at most 0.2", r.ProbesPerRequest())
				}
			})
		}
	}
}

// Guards against a run that depends on anything but its arguments.
func TestSameSeedSameRow(t *testing.T) {
	w := Workloads()[0]
	c := Config{Policy: balance.Dandelionspoke, Duration: 4 * time.Second, Seed: testSeed}
	rowWith := func(seed uint64) string {
		c.Seed = seed
		return Run(scenario(t, "archive_pulls"), w, c).Row()
	}
	if diff := cmp.Diff(rowWith(testSeed), rowWith(testSeed)); diff != "" {
		t.Errorf("two runs with one seed differ:\n%s", diff)
	}
	if rowWith(testSeed) == rowWith(testSeed+1) {
		t.Error("the seed has no effect")
	}
}

// Guards against events that run out of order.
func TestLoopOrder(t *testing.T) {
	l := newLoop()
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	l.after(2*time.Millisecond, note("late"))
	l.after(time.Millisecond, note("first"))
	l.after(time.Millisecond, note("second"))
	l.after(-time.Second, note("now"))
	l.after(time.Minute, note("never"))
	l.run(time.Second)
	if diff := cmp.Diff([]string{"now", "first", "second", "late"}, got); diff != "" {
		t.Error(diff)
	}
	if l.elapsed() != time.Second {
		t.Errorf("the loop stopped at %v", l.elapsed())
	}
}

// Guards against a fake backend server whose slowness does not last as long as the disturbance.
func TestSpeedCurve(t *testing.T) {
	// A tenth of the speed from 100 ms to 200 ms: 10 ms of work done in that time.
	curve := speedCurve{0}
	for at := time.Duration(0); at < time.Second; at += speedStep {
		step := float64(speedStep)
		if at >= 100*time.Millisecond && at < 200*time.Millisecond {
			step /= 10
		}
		curve = append(curve, curve[len(curve)-1]+step)
	}
	tests := []struct{ at, work, want time.Duration }{
		{0, 50 * time.Millisecond, 50 * time.Millisecond},
		{90 * time.Millisecond, 15 * time.Millisecond, 150 * time.Millisecond},
		{100 * time.Millisecond, 20 * time.Millisecond, 210 * time.Millisecond},
		{990 * time.Millisecond, 20 * time.Millisecond, 1010 * time.Millisecond},
	}
	for _, test := range tests {
		got := curve.finish(test.at, test.work)
		if diff := got - test.want; diff.Abs() > time.Microsecond {
			t.Errorf("work of %v from %v ends at %v, want %v", test.work, test.at, got, test.want)
		}
	}
}

// Guards against a head-of-line figure that misses or invents waiting behind an archive pull.
func TestBlockedTime(t *testing.T) {
	w := Workloads()[0]
	w.Slots = 2
	s := newSimulation(Scenario{Name: "blocked", Load: constantLoad(0)}, w, Config{Policy: balance.P2C, Duration: time.Minute})
	s.ended = true // no arrivals of its own
	g := s.gates[0].(*fifoGate)
	browse, archive := &s.routes[0], &s.routes[2]
	offer := func(r *route) *attempt {
		a := &attempt{request: &request{caller: s.callers[0], route: r, done: true}, endpoint: s.callers[0].service().Endpoints[0], finished: true}
		g.offer(a)
		return a
	}
	offer(browse)
	offer(browse)
	behindShort := offer(browse)
	s.loop.run(5 * time.Second)
	if got := behindShort.request.blocked; got != 0 {
		t.Errorf("blocked for %v without an archive pull", got)
	}
	offer(archive)
	offer(archive)
	began := s.loop.elapsed()
	behindLong := offer(browse)
	for behindLong.waiting {
		s.loop.run(s.loop.elapsed() + speedStep)
	}
	waited := s.loop.elapsed() - began
	if diff := waited - behindLong.request.blocked; diff < 0 || diff > speedStep {
		t.Errorf("waited %v, blocked %v", waited, behindLong.request.blocked)
	}
}
