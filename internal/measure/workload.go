package measure

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/bundle"
)

// Workload describes a deployment of one service, with the sizes of design section 1.1.
type Workload struct {
	Name    string
	Domains []Domain
	// Slots and Connections are those of one endpoint. Each failure domain has Domain.Endpoints endpoints.
	Slots, Connections int
	// One-way delays between a caller and its ingress, between failure domains of a region, and between
	// regions.
	CallerDelay, DomainDelay, RegionDelay time.Duration
	// ShortMean is the mean service time of short requests on an undisturbed backend server.
	ShortMean time.Duration
	// ShortTimeout and LongTimeout are the timeouts that callers set for short and long requests.
	ShortTimeout, LongTimeout time.Duration
	// Objective is the latency at the caller within which requests should succeed; 0 if there is none.
	Objective time.Duration
	// CallerNodes is the number of caller nodes in each failure domain; 0 means callerNodesPerDomain.
	CallerNodes int
}

// Domain is a failure domain in a region.
type Domain struct {
	Name, Region string
	Endpoints    int // 0 means 1
}

func (w *Workload) callerNodes() int { return cmp.Or(w.CallerNodes, callerNodesPerDomain) }

func (d Domain) endpoints() int { return max(d.Endpoints, 1) }

func (w *Workload) endpoints() int {
	n := 0
	for _, d := range w.Domains {
		n += d.endpoints()
	}
	return n
}

const (
	// callerNodesPerDomain is the usual number of caller nodes in each failure domain.
	callerNodesPerDomain = 3
	// localDelay is the one-way delay within a failure domain.
	localDelay = 250 * time.Microsecond
	// gateDelay is the delay that the gate adds in each direction. The baselines queue in the backend server
	// and have no gate on the path.
	gateDelay = 100 * time.Microsecond
	// serviceSigma is the sigma of the log-normal service times. Their 99th percentile is 2.8 times the mean.
	serviceSigma = 0.5
	// longServiceFactor is the mean service time of long requests as a multiple of ShortMean.
	longServiceFactor = 50
	serviceKey        = "measured"
	// Payload of a request, of the response of a backend server, and of a refusal.
	requestBytes, responseBytes, refusalBytes = 1 << 10, 8 << 10, 200
)

// Interference by other VMs on shared machines: short periods of slower service, in every scenario.
const (
	interferenceMeanGap    = 100 * time.Millisecond // mean time between slow periods
	interferenceMeanLength = 10 * time.Millisecond  // mean length of a slow period
	interferenceSlowdown   = 3.0                    // factor on the service time in a slow period
)

// Workloads returns all workloads in the order of the output rows.
func Workloads() []Workload {
	return []Workload{
		{
			Name: "nordlys",
			Domains: []Domain{
				{Name: "oslo-a", Region: "ostlandet"}, {Name: "oslo-b", Region: "ostlandet"}, {Name: "bergen-a", Region: "vestlandet"}, {Name: "bergen-b", Region: "vestlandet"},
			},
			Slots: 12, Connections: 200,
			CallerDelay: time.Millisecond, DomainDelay: 1500 * time.Microsecond, RegionDelay: 20 * time.Millisecond,
			ShortMean: 8 * time.Millisecond, ShortTimeout: 250 * time.Millisecond, LongTimeout: 10 * time.Second,
		},
		{
			Name: "prairie",
			Domains: []Domain{
				{Name: "regina-a", Region: "saskatchewan"}, {Name: "saskatoon-b", Region: "saskatchewan"}, {Name: "winnipeg-a", Region: "manitoba"}, {Name: "brandon-b", Region: "manitoba"},
			},
			Slots: 16, Connections: 250,
			CallerDelay: 8 * time.Millisecond, DomainDelay: time.Millisecond, RegionDelay: 20 * time.Millisecond,
			ShortMean: 12 * time.Millisecond, ShortTimeout: 400 * time.Millisecond, LongTimeout: 10 * time.Second,
		},
	}
}

// delay returns the one-way delay between two failure domains.
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

// route is a kind of request. declaredLong is its class in the bundle, trulyLong its actual class, which the
// decision code doesn't see.
type route struct {
	name         string
	share        float64 // fraction of all requests
	trulyLong    bool
	declaredLong bool
	idempotent   bool
	priority     int
}

// routes returns the request mix. Half of the long requests use a route that the bundle wrongly
// declares short.
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

// serviceTime returns a random service time for a request on an undisturbed backend server.
func (w *Workload) serviceTime(r *route, rng *rand.Rand) time.Duration {
	mean := float64(w.ShortMean)
	if r.trulyLong {
		mean *= longServiceFactor
	}
	return time.Duration(mean * math.Exp(serviceSigma*rng.NormFloat64()-serviceSigma*serviceSigma/2))
}

// capacity returns the number of requests per second that n endpoints serve with all slots busy, with the
// interference that every scenario has.
func (w *Workload) capacity(n int, longShare float64) float64 {
	cycle := float64(interferenceMeanGap + interferenceMeanLength)
	speed := (float64(interferenceMeanGap) + float64(interferenceMeanLength)/interferenceSlowdown) / cycle
	mean := w.ShortMean.Seconds() * (1 + longShare*(longServiceFactor-1))
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
