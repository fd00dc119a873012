package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/slowstart"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// coldPlay is a small load play: ingresses in two failure domains of a region choose among the same servers, whose gates apply
// their ramps and report them.
type coldPlay struct {
	reports bool // the load reports state the slow start
	now     time.Time
	servers []*coldServer
	ingress []*table.Service

	failed, moves, coldRuns int
	maxPerSecond            int // most requests of a cold server in any second
}

type coldServer struct {
	ramp  *slowstart.Ramp
	ends  []time.Time // of running requests
	sent  []time.Time // while cold
	slots int
}

const (
	playPerDomain = 10
	// playService is long enough for a cold server to run a quarter of a request at a time.
	playService    = 20 * time.Millisecond
	playSlowStart  = 3 * time.Second
	playIngresses  = 4
	playRampPerSec = 13
)

var playLimits = slowstart.Limits{PerSecond: playRampPerSec, Tolerance: 1.5, Slack: 8}

// newColdPlay returns a play in which the second half of the servers, the domain of the second half of the ingresses, has
// just returned.
func newColdPlay(reports bool) *coldPlay {
	p := &coldPlay{reports: reports, now: time.Unix(1000, 0)}
	for i := range 2 * playPerDomain {
		s := &coldServer{ramp: slowstart.New(), slots: 6}
		s.ramp.SetLimits(playLimits)
		s.ramp.State(slowstart.Heartbeat, p.now, time.Duration(i/playPerDomain)*playSlowStart)
		p.servers = append(p.servers, s)
	}
	for range playIngresses {
		svc := newService(playPerDomain, playPerDomain)
		svc.Config.Slots = 6
		for _, e := range svc.Endpoints {
			e.Slots = 6
		}
		p.ingress = append(p.ingress, svc)
	}
	return p
}

// server returns the server at an index of an ingress's endpoints, whose own domain comes first.
func (p *coldPlay) server(ingress, index int) (*coldServer, bool) {
	if ingress >= playIngresses/2 {
		index = (index + playPerDomain) % (2 * playPerDomain)
	}
	return p.servers[index], index >= playPerDomain
}

// serve plays the gate of a server. It reports whether the request runs.
func (p *coldPlay) serve(s *coldServer) bool {
	for len(s.ends) > 0 && !s.ends[0].After(p.now) {
		s.ends = s.ends[1:]
	}
	if len(s.ends) >= s.slots || s.ramp.Reserve(p.now) > 0 {
		return false
	}
	if _, wait := s.ramp.Send(p.now); wait > 0 {
		s.ramp.Release()
		return false
	}
	s.ends = append(s.ends, p.now.Add(playService))
	if s.ramp.Remaining(p.now) > 0 {
		s.sent = append(s.sent, p.now)
		inSecond := 0
		for _, at := range s.sent {
			if p.now.Sub(at) < time.Second {
				inSecond++
			}
		}
		p.maxPerSecond = max(p.maxPerSecond, inSecond)
		p.coldRuns++
	}
	return true
}

func (p *coldPlay) report(s *coldServer) *wire.Load {
	l := &wire.Load{InFlight: uint32(len(s.ends)), Slots: uint32(s.slots), ServiceTimeUs: uint32(playService.Microseconds())}
	if remaining := s.ramp.Remaining(p.now); p.reports && remaining > 0 {
		l.SlowStartMs, l.RampMilli = uint32(remaining.Milliseconds()), uint32(s.ramp.Rate()*1000)
	}
	return l
}

// request plays one request at an ingress.
func (p *coldPlay) request(ingress int, rng *rand.Rand) {
	svc, now := p.ingress[ingress], p.now.UnixNano()
	exclude := uint64(0)
	for move := 0; ; move++ {
		i := dandelionspoke{}.Pick(now, rng, svc, exclude, false)
		if i == None || move > retry.MaxMoves {
			p.failed++
			return
		}
		exclude |= 1 << i
		s, _ := p.server(ingress, i)
		stats := svc.Endpoints[i].Stats
		ObserveStart(stats, now, false)
		if p.serve(s) {
			// The end of the request is observed at once with its later latency: the play has no queues.
			ObserveResult(stats, now, playService, Success, false)
			ObserveReport(stats, now, p.report(s))
			return
		}
		ObserveResult(stats, now, 0, Refused, false)
		ObserveReport(stats, now, p.report(s))
		p.moves++
	}
}

func (p *coldPlay) run(perSecond int) {
	rng := newRNG(3)
	start := p.now
	for n := 0; p.now.Before(start.Add(playSlowStart)); n++ {
		p.now = start.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		p.request(n%playIngresses, rng)
	}
}

// Guards against a domain that returns cold and is flooded, or gets nothing, while the others could carry the rest: its
// ingresses prefer its servers, whose gates would refuse most requests.
func TestColdDomainGetsWhatItCanHandle(t *testing.T) {
	const perSecond = 1200 // the warm domain can run 3,000
	with, without := newColdPlay(true), newColdPlay(false)
	with.run(perSecond)
	without.run(perSecond)
	t.Logf("with reports: %d failed, %d moves, %d runs on cold servers; without: %d failed, %d moves, %d runs",
		with.failed, with.moves, with.coldRuns, without.failed, without.moves, without.coldRuns)
	if float64(with.maxPerSecond) > playRampPerSec*1.5+8 {
		t.Errorf("a cold server got %d requests in a second", with.maxPerSecond)
	}
	total := perSecond * int(playSlowStart/time.Second)
	if with.failed > 0 || with.moves > total/20 || with.moves > without.moves/4 {
		t.Errorf("%d of %d requests failed, %d moves; without reports %d moves", with.failed, total, with.moves, without.moves)
	}
	full := newColdPlay(true)
	full.run(3300)
	fullWithout := newColdPlay(false)
	fullWithout.run(3300)
	t.Logf("beyond the warm domain: %d failed, %d runs on cold servers; without: %d failed", full.failed, full.coldRuns, fullWithout.failed)
	if full.failed > fullWithout.failed {
		t.Errorf("beyond the warm domain %d requests failed, without reports %d", full.failed, fullWithout.failed)
	}
	if possible := playPerDomain * playRampPerSec * int(playSlowStart/time.Second); with.coldRuns == 0 || full.coldRuns < possible/2 {
		t.Errorf("%d runs on cold servers, %d when the warm ones are full, of %d that they can handle", with.coldRuns, full.coldRuns, possible)
	}
}

// Guards against a cold endpoint that keeps its share after the slow start has ended, or is preferred for its idle slots, and
// against other endpoints that are affected.
func TestColdEndpointHasTheCapacityOfItsRamp(t *testing.T) {
	for _, test := range []struct {
		name     string
		service  time.Duration
		remain   uint32
		min, max float64 // share of draws of the one cold endpoint among 3, of which the others have load
	}{
		{"short requests", 10 * time.Millisecond, 1000, 0.05, 0.2},
		{"long requests", time.Second, 1000, 0.9, 1},
		{"warm", 10 * time.Millisecond, 0, 0.9, 1},
	} {
		svc := newService(3)
		for i, e := range svc.Endpoints {
			l := &wire.Load{InFlight: 13, Slots: 12, ServiceTimeUs: uint32(test.service.Microseconds())}
			if i == 0 {
				l.InFlight, l.SlowStartMs, l.RampMilli = 0, test.remain, 13_000
			}
			ObserveReport(e.Stats, testNow, l)
		}
		const draws = 4000
		counts := pickCounts(dandelionspoke{}, svc, draws, 0)
		if share := float64(counts[0]) / draws; share < test.min || share > test.max {
			t.Errorf("%s: share %v, want %v to %v", test.name, share, test.min, test.max)
		}
	}
}
