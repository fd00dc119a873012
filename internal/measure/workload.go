package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/bundle"
)

// Workload has the sizes of design section 1.1 for one service of a user.
type Workload struct {
	Name    string
	Domains []Domain
	// Slots and Connections are those of one endpoint. Each failure domain has one endpoint.
	Slots, Connections int
	// One-way delays.
	CallerDelay, DomainDelay, RegionDelay time.Duration
	// ShortMean is the mean service time of short work on an undisturbed backend server.
	ShortMean time.Duration
	// ShortTimeout and LongTimeout are the deadlines that callers set.
	ShortTimeout, LongTimeout time.Duration
}

// Domain is a failure domain in a region.
type Domain struct{ Name, Region string }

const (
	// callersPerDomain is the number of caller nodes in each failure domain.
	callersPerDomain = 3
	// localDelay is the one-way delay within a failure domain.
	localDelay = 250 * time.Microsecond
	// gateHop is the delay that the gate adds in each direction; the baselines do not pay it.
	gateHop = 100 * time.Microsecond
	// serviceSigma is the shape of the log-normal service times; their 99th percentile is 2.8 means.
	serviceSigma = 0.5
	// longFactor is the service time of an archive pull in multiples of ShortMean.
	longFactor = 50
	serviceKey = "measured"
)

// Interference by neighbours on shared machines, in every scenario: short spells of slower service.
const (
	interferenceGap    = 100 * time.Millisecond // mean time between spells
	interferenceSpell  = 10 * time.Millisecond  // mean length of a spell
	interferenceFactor = 3.0                    // service time during a spell
)

// Workloads returns the workloads in the order of the rows.
func Workloads() []Workload {
	return []Workload{
		{
			Name: "nordlys",
			Domains: []Domain{
				{"oslo-a", "ostlandet"}, {"oslo-b", "ostlandet"}, {"bergen-a", "vestlandet"}, {"bergen-b", "vestlandet"},
			},
			Slots: 12, Connections: 200,
			CallerDelay: time.Millisecond, DomainDelay: 1500 * time.Microsecond, RegionDelay: 20 * time.Millisecond,
			ShortMean: 8 * time.Millisecond, ShortTimeout: 250 * time.Millisecond, LongTimeout: 10 * time.Second,
		},
		{
			Name: "prairie",
			Domains: []Domain{
				{"regina-a", "saskatchewan"}, {"saskatoon-b", "saskatchewan"}, {"winnipeg-a", "manitoba"}, {"brandon-b", "manitoba"},
			},
			Slots: 16, Connections: 250,
			CallerDelay: 8 * time.Millisecond, DomainDelay: time.Millisecond, RegionDelay: 20 * time.Millisecond,
			ShortMean: 12 * time.Millisecond, ShortTimeout: 400 * time.Millisecond, LongTimeout: 10 * time.Second,
		},
	}
}

// delay is the one-way delay between two failure domains.
func (w *Workload) delay(a, b Domain) time.Duration {
	switch {
	case a == b:
		return localDelay
	case a.Region == b.Region:
		return w.DomainDelay
	default:
		return w.RegionDelay
	}
}

// route is a kind of request. trulyLong is known to the harness only; declaredLong is what the bundle says.
type route struct {
	name         string
	share        float64 // of requests
	trulyLong    bool
	declaredLong bool
	idempotent   bool
	priority     int
}

// routes returns the mix of requests. Half of the archive pulls come on a route that the bundle
// wrongly declares short.
func routes(longShare float64) []route {
	shortShare := 1 - longShare
	return []route{
		{name: "browse", share: 0.9 * shortShare, idempotent: true, priority: 3},
		{name: "order", share: 0.1 * shortShare, priority: 0},
		{name: "season-report", share: longShare / 2, trulyLong: true, declaredLong: true, idempotent: true, priority: 5},
		{name: "colour-study", share: longShare / 2, trulyLong: true, idempotent: true, priority: 5},
	}
}

func (w *Workload) timeout(r *route) time.Duration {
	if r.trulyLong {
		return w.LongTimeout
	}
	return w.ShortTimeout
}

// serviceTime draws the time that an undisturbed backend server works on a request.
func (w *Workload) serviceTime(r *route, rng *rand.Rand) time.Duration {
	mean := float64(w.ShortMean)
	if r.trulyLong {
		mean *= longFactor
	}
	return time.Duration(mean * math.Exp(serviceSigma*rng.NormFloat64()-serviceSigma*serviceSigma/2))
}

// capacity is the number of requests per second that the slots of n endpoints can serve when no slot is
// idle, with the interference that every scenario has.
func (w *Workload) capacity(n int, longShare float64) float64 {
	cycle := float64(interferenceGap + interferenceSpell)
	speed := (float64(interferenceGap) + float64(interferenceSpell)/interferenceFactor) / cycle
	mean := w.ShortMean.Seconds() * (1 + longShare*(longFactor-1))
	return float64(n*w.Slots) / mean * speed
}

func (w *Workload) bundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Version:  1,
		Services: map[string]bundle.Service{serviceKey: {Slots: w.Slots, Connections: w.Connections}},
	}
	b.SetDefaults()
	return b
}
