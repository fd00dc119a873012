package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/bundle"
	_ "dandelionspoke/internal/fixedseed"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

func countEjected(endpoints []*table.Endpoint) int {
	ejected, _ := ejectedAndLive(endpoints)
	return len(ejected)
}

// Guards against ejecting more endpoints than the bundle's share permits, whatever their results, also
// when the share or the list shrinks and when trial requests end between the passes.
func TestEjectedShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		svc := newService(rapid.IntRange(1, 12).Draw(t, "n"))
		now := testNow
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += int64(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			for _, e := range svc.Endpoints {
				for range rapid.IntRange(0, 6).Draw(t, "results") {
					latency := time.Duration(rapid.SampledFrom([]int{1, 2, 300}).Draw(t, "latency")) * time.Millisecond
					outcome := rapid.SampledFrom([]Outcome{Success, Failed, Failed, Refused, Canceled}).Draw(t, "outcome")
					ObserveStart(e.Stats, now, false)
					ObserveResult(e.Stats, now+int64(latency), latency, outcome, false)
				}
				e.Stats.Suspect.Store(rapid.IntRange(0, 4).Draw(t, "suspect") == 0)
			}
			share := rapid.SampledFrom([]float64{0, 0.1, 0.34, 0.5, 1}).Draw(t, "share")
			count := rapid.IntRange(1, len(svc.Endpoints)).Draw(t, "count")
			current := svc.Endpoints[:count]
			Eject(now, current, bundle.Policy{EjectConsecutiveFailures: 5, EjectShare: share, EjectFor: bundle.Duration(2 * time.Second)})
			if n, limit := countEjected(current), MaxEjected(count, share); n > limit {
				t.Fatalf("%d of %d endpoints ejected, limit %d", n, count, limit)
			}
		}
	})
}

// Guards against ignoring one of the reasons for an ejection, and against ejecting without a reason.
func TestEjectReasons(t *testing.T) {
	policy := bundle.Policy{EjectConsecutiveFailures: 3, EjectShare: 0.34, EjectFor: bundle.Duration(2 * time.Second)}
	result := func(s *table.Stats, n int, latency time.Duration, outcome Outcome) {
		for range n {
			ObserveStart(s, testNow-int64(latency), false)
			ObserveResult(s, testNow, latency, outcome, false)
		}
	}
	tests := []struct {
		name   string
		first  func(*table.Stats)
		reason EjectReason
	}{
		{"healthy", func(s *table.Stats) { result(s, 5, 5*time.Millisecond, Success) }, ""},
		{"two failures", func(s *table.Stats) { result(s, 2, time.Millisecond, Failed) }, ""},
		{"three failures", func(s *table.Stats) { result(s, 3, time.Millisecond, Failed) }, EjectFailures},
		{"refusals", func(s *table.Stats) { result(s, 9, time.Millisecond, Refused) }, ""},
		{"mixed failures", func(s *table.Stats) {
			for range 12 {
				result(s, 1, time.Millisecond, Success)
				result(s, 2, time.Millisecond, Failed)
			}
		}, EjectFailureRate},
		{"slow responses", func(s *table.Stats) { result(s, 3, 90*time.Millisecond, Success) }, EjectLatency},
		{"no response", func(s *table.Stats) {
			result(s, 3, 5*time.Millisecond, Success)
			ObserveStart(s, testNow-int64(90*time.Millisecond), false)
		}, EjectLatency},
		{"long work without a response", func(s *table.Stats) {
			result(s, 3, 5*time.Millisecond, Success)
			ObserveStart(s, testNow-int64(90*time.Millisecond), true)
		}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			svc := newService(4)
			for _, e := range svc.Endpoints[1:] {
				result(e.Stats, 3, 5*time.Millisecond, Success)
			}
			test.first(svc.Endpoints[0].Stats)
			var reason EjectReason
			for pass, now := range []int64{testNow, testNow + int64(minSlowDuration)} {
				for _, event := range Eject(now, svc.Endpoints, policy) {
					if event.Endpoint != svc.Endpoints[0] {
						t.Errorf("ejected %s", event.Endpoint.ID)
					}
					if event.Reason == EjectLatency && pass == 0 {
						t.Error("ejected at the first slow pass")
					}
					reason = event.Reason
				}
			}
			if reason != test.reason {
				t.Errorf("reason %q, want %q", reason, test.reason)
			}
		})
	}
}

// Guards against an ejection time that does not double, or that exceeds the maximum.
func TestEjectionTimeDoublesUpToMaximum(t *testing.T) {
	last := time.Duration(0)
	for n := range int32(40) {
		d := ejectionTime(2*time.Second, n)
		if want := min(2*last, maxEjectionTime); n > 0 && d != want {
			t.Errorf("repeat %d: %v, want %v", n, d, want)
		}
		last = d
	}
	if last != maxEjectionTime {
		t.Errorf("last duration %v", last)
	}
}

// Guards against more probe messages or bytes in any second than the budgets permit, and against probing
// endpoints with a fresh report.
func TestProbeBudgetIsNeverExceeded(t *testing.T) {
	const exchange = 120
	rapid.Check(t, func(t *rapid.T) {
		p := bundle.Policy{
			ProbesPerSecond:         rapid.Float64Range(0, 200).Draw(t, "messages"),
			ProbeBytesPerSecond:     rapid.Float64Range(0, 20000).Draw(t, "bytes"),
			LinkProbesPerSecond:     rapid.Float64Range(0, 20).Draw(t, "link messages"),
			LinkProbeBytesPerSecond: rapid.Float64Range(0, 2000).Draw(t, "link bytes"),
		}
		svc := newService(2, 4, 10)
		rng := newRNG(rapid.Uint64().Draw(t, "seed"))
		now, requests := testNow, 0
		type countsAt struct {
			at     int64
			counts ProbeCounts
		}
		var history []countsAt
		pp := NewProbePlanner(now, p, exchange)
		for range rapid.IntRange(1, 200).Draw(t, "ticks") {
			now += int64(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 100).Draw(t, "requests")
			requests += n
			pp.ObserveRequests(n)
			fresh := svc.Endpoints[rng.IntN(len(svc.Endpoints))]
			ObserveReport(fresh.Stats, now, &wire.Load{})
			svc.Endpoints[0].Stats.Draining.Store(n%2 == 0 && fresh != svc.Endpoints[0])
			for _, e := range pp.Plan(now, rng, svc, nil) {
				if e == fresh {
					t.Fatal("an endpoint with a fresh report was probed")
				}
			}
			c := pp.Counts()
			history = append(history, countsAt{now, c})
			before := ProbeCounts{}
			for _, h := range history {
				if h.at <= now-int64(time.Second) {
					before = h.counts
				}
			}
			requireWithinBudget := func(name string, got uint64, budget, item float64) {
				if float64(got) > math.Max(budget, item) || (budget == 0 && got > 0) {
					t.Fatalf("%s: %d sent in a second, budget %v", name, got, budget)
				}
			}
			requireWithinBudget("messages", c.Messages-before.Messages, p.ProbesPerSecond, messagesPerExchange)
			requireWithinBudget("bytes", c.Bytes-before.Bytes, p.ProbeBytesPerSecond, exchange)
			requireWithinBudget("link messages", c.LinkMessages-before.LinkMessages, p.LinkProbesPerSecond, messagesPerExchange)
			requireWithinBudget("link bytes", c.LinkBytes-before.LinkBytes, p.LinkProbeBytesPerSecond, exchange)
			if float64(c.Messages) > 0.2*float64(requests) {
				t.Fatalf("%d messages for %d requests", c.Messages, requests)
			}
		}
	})
}

// Guards against a planner that never probes although budget and traffic permit it.
func TestPlanReturnsProbes(t *testing.T) {
	var b bundle.Bundle
	b.SetDefaults()
	svc := newService(4, 0, 4)
	pp := NewProbePlanner(testNow, b.Policy, 100)
	pp.ObserveRequests(1000)
	if n := len(pp.Plan(testNow, newRNG(1), svc, nil)); n < 2 {
		t.Errorf("%d probes", n)
	}
}

// Guards against an endpoint that is never used again because its last report states that it drains, and no request or probe
// brings another report.
func TestDrainingEndpointsAreProbed(t *testing.T) {
	var b bundle.Bundle
	b.SetDefaults()
	svc := newService(4, 0, 4)
	draining := svc.Endpoints[1]
	pp := NewProbePlanner(testNow, b.Policy, 100)
	var probed []time.Duration
	for at := time.Duration(0); at < 5*time.Second; at += 50 * time.Millisecond {
		now := testNow + int64(at)
		draining.Stats.Draining.Store(true)
		pp.ObserveRequests(3)
		if slices.Contains(pp.Plan(now, newRNG(uint64(at)), svc, nil), draining) {
			probed = append(probed, at)
		}
	}
	if len(probed) < 5 || len(probed) > 10 {
		t.Errorf("probed at %v, want about every %v", probed, drainingProbeInterval)
	}
}

// Guards against a service without endpoints for longer than a report counts, because all of them once stated that they drain.
func TestDrainingEndpointsAreTriedIfThereIsNoOther(t *testing.T) {
	svc, picker := newService(2), newPicker(t, Dandelionspoke)
	for _, e := range svc.Endpoints {
		ObserveReport(e.Stats, testNow, &wire.Load{Draining: true})
	}
	svc.Endpoints[1].Stats.Suspect.Store(true)
	for _, test := range []struct {
		age  time.Duration
		want int
	}{{drainingReportValid / 2, None}, {drainingReportValid, 0}} {
		now := testNow + int64(test.age)
		ExpireDraining(now, svc)
		if got := picker.Pick(now, newRNG(1), svc, 0, false); got != test.want {
			t.Errorf("after %v: endpoint %d, want %d", test.age, got, test.want)
		}
	}
	ObserveReport(svc.Endpoints[0].Stats, testNow, &wire.Load{Draining: true})
	svc.Endpoints[1].Stats.Suspect.Store(false)
	ExpireDraining(testNow+int64(time.Minute), svc)
	if !svc.Endpoints[0].Stats.Draining.Load() {
		t.Error("a draining endpoint gets requests although there is another one")
	}
}

func newEndpoints(count, perDomain int) []*table.Endpoint {
	var all []*table.Endpoint
	for i := range count {
		l := table.Locality(min(i/perDomain, int(table.OtherRegion)))
		all = append(all, &table.Endpoint{ID: fmt.Sprintf("endpoint-%d", i), Locality: l, Stats: &table.Stats{}})
	}
	return all
}

// Guards against a subset of the wrong size, without another failure domain, unbalanced over the nodes,
// or reshuffled when one endpoint is removed.
func TestSubset(t *testing.T) {
	const nodes, size = 600, 24
	all := newEndpoints(300, 100)
	uses := map[string]int{}
	added := 0
	for node := range nodes {
		id := fmt.Sprintf("node-%d", node)
		subset := Subset(id, all, size)
		ends := LocalityEnds(subset)
		if len(subset) != size || ends[table.SameDomain] < size/2 || ends[table.SameDomain] > size*2/3 || ends[table.SameRegion] == size {
			t.Fatalf("%s: %d endpoints, ends %v", id, len(subset), ends)
		}
		kept := map[string]bool{}
		for _, e := range subset {
			uses[e.ID]++
			kept[e.ID] = true
		}
		for _, e := range Subset(id, all[1:], size) {
			if !kept[e.ID] {
				added++
			}
		}
	}
	for i := range 100 {
		if n := uses[fmt.Sprintf("endpoint-%d", i)]; n < 60 || n > 140 {
			t.Errorf("endpoint %d is in %d subsets, mean 96", i, n)
		}
	}
	if added > uses["endpoint-0"] {
		t.Errorf("removing an endpoint from %d subsets added %d others", uses["endpoint-0"], added)
	}
}

// Guards against a subset smaller than requested while more endpoints exist, for any mix of localities.
func TestSubsetHasRequestedSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*table.Endpoint
		nonLocal := 0
		for i := range rapid.IntRange(0, 40).Draw(t, "n") {
			l := table.Locality(rapid.IntRange(0, 2).Draw(t, "locality"))
			if l != table.SameDomain {
				nonLocal++
			}
			all = append(all, &table.Endpoint{ID: fmt.Sprint(i), Locality: l})
		}
		size := rapid.IntRange(1, 50).Draw(t, "size")
		subset := Subset("node", all, size)
		if len(subset) != min(size, len(all)) {
			t.Fatalf("%d endpoints, want %d", len(subset), min(size, len(all)))
		}
		if ends := LocalityEnds(subset); size > 1 && nonLocal > 0 && ends[0] == len(subset) {
			t.Fatalf("no endpoint outside the local failure domain, ends %v", ends)
		}
	})
}

// Guards against a burst that exceeds the budget: no second may have more messages than the bundle permits,
// except for the two of a single exchange.
func TestProbeBudgetOverAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Float64Range(0.1, 100).Draw(t, "budget")
		b := newBucket(budget, messagesPerExchange, testNow)
		now := int64(testNow)
		var sent []int64
		for range 300 {
			now += rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pause")
			for b.refill(now); b.has(messagesPerExchange); {
				b.take(messagesPerExchange)
				sent = append(sent, now)
			}
			for len(sent) > 0 && now-sent[0] >= int64(time.Second) {
				sent = sent[1:]
			}
			if got := float64(messagesPerExchange * len(sent)); got > math.Max(budget, messagesPerExchange)+1e-6 {
				t.Fatalf("%v messages within a second, budget %v", got, budget)
			}
		}
	})
}
