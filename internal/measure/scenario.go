package measure

import "time"

// Scenario is a load over time with injected disturbances. Its functions receive the length of the run
// (Config.Duration) and a time since the start of the run.
type Scenario struct {
	Name string
	// Load returns the offered load of a failure domain at a time, as a multiple of the capacity of all endpoints divided by the
	// number of failure domains.
	Load func(run, at time.Duration, domain int) float64
	// LongShare is the share of long requests (archive pulls).
	LongShare float64
	// Slowdown returns the factor on the service time of an endpoint; nil means 1.
	Slowdown func(run, at time.Duration, endpoint int) float64
	// Failing reports whether the endpoint fails each request after failureLatency; nil means never.
	Failing func(run, at time.Duration, endpoint int) bool
	// Partitioned reports whether messages between regions are lost; nil means never.
	Partitioned func(run, at time.Duration) bool
	// JoinAt is the fraction of the run after which the late endpoint joins; 0 means that all endpoints are
	// present from the start.
	JoinAt float64
	// MeasureFrom is the fraction of the run after which requests are measured, but not before the end of
	// warmup.
	MeasureFrom float64
	// ReportsSlowness means that the backend servers report Slowdown to their gates.
	ReportsSlowness bool
	// IngressMoves means that requests move between busy gates by the rules of the ingress. Otherwise, as when the results
	// of the older scenarios were recorded, they move once and may return to the same gate.
	IngressMoves bool
	// Workload is the only workload of the scenario; nil means that it runs with each of Workloads.
	Workload *Workload
}

// Workloads returns the workloads that the scenario runs with.
func (s *Scenario) Workloads() []Workload {
	if s.Workload != nil {
		return []Workload{*s.Workload}
	}
	return Workloads()
}

// Parameters of the scenarios. Values named From, To or Join are fractions of the run, shares are fractions of
// the requests, loads are multiples of the capacity, and slowdowns are factors on the service time.
const (
	swingFrom     = 0.3
	swingBaseLoad = 0.08
	swingRiseTime = time.Second
	swingMultiple = 10

	archiveShare = 0.01

	noisySlowdown = 10
	noisyDuration = 200 * time.Millisecond
	noisyPeriod   = time.Second

	failFrom, failTo = 0.3, 0.7
	failureLatency   = 200 * time.Microsecond

	coldJoin     = 0.3
	coldSlowdown = 8.0
	coldDuration = 2 * time.Second

	partitionFrom, partitionTo = 0.4, 0.7
)

// Scenarios returns all scenarios in the order of the output rows.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Load: constantLoad(0.7)},
		{Name: "swing", Load: swingLoad, MeasureFrom: swingFrom},
		{Name: "archive_pulls", Load: constantLoad(0.7), LongShare: archiveShare},
		{Name: "noisy_neighbour", Load: constantLoad(0.6), Slowdown: noisyNeighbour},
		{Name: "fast_failure", Load: constantLoad(0.6), Failing: failsFast},
		{Name: "cold_start", Load: constantLoad(0.4), JoinAt: coldJoin, Slowdown: coldStart, MeasureFrom: coldJoin},
		{Name: "overload", Load: constantLoad(2)},
		{Name: "region_cut", Load: skewedLoad, Partitioned: regionPartition},
		unevenScenario(),
	}
}

func constantLoad(load float64) func(time.Duration, time.Duration, int) float64 {
	return func(time.Duration, time.Duration, int) float64 { return load }
}

// swingLoad rises from swingBaseLoad to swingMultiple times that within swingRiseTime.
func swingLoad(run, at time.Duration, _ int) float64 {
	rise := float64(at-fractionOf(run, swingFrom)) / float64(swingRiseTime)
	return swingBaseLoad * (1 + (swingMultiple-1)*min(max(rise, 0), 1))
}

// skewedLoad exceeds the capacity of the first region, which therefore needs the second one.
func skewedLoad(_, _ time.Duration, domain int) float64 {
	if domain < 2 {
		return 1.1
	}
	return 0.4
}

func noisyNeighbour(_, at time.Duration, endpoint int) float64 {
	if endpoint == 0 && at%noisyPeriod < noisyDuration {
		return noisySlowdown
	}
	return 1
}

func failsFast(run, at time.Duration, endpoint int) bool {
	return endpoint == 0 && at >= fractionOf(run, failFrom) && at < fractionOf(run, failTo)
}

// coldStart slows the late endpoint after it has joined, by a factor that falls linearly to 1.
func coldStart(run, at time.Duration, endpoint int) float64 {
	progress := float64(at-fractionOf(run, coldJoin)) / float64(coldDuration)
	if endpoint != lateEndpoint || progress < 0 || progress >= 1 {
		return 1
	}
	return coldSlowdown - (coldSlowdown-1)*progress
}

// lateEndpoint is the index of the endpoint that joins late, the last of four: there is one endpoint in
// each failure domain.
const lateEndpoint = 3

func regionPartition(run, at time.Duration) bool {
	return at >= fractionOf(run, partitionFrom) && at < fractionOf(run, partitionTo)
}

func fractionOf(run time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(run) * fraction)
}
