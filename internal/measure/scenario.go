package measure

import "time"

// Scenario is a load over time with disturbances. Shares of the run are of Config.Duration.
type Scenario struct {
	Name string
	// Load is the offered work at a time of the run, in multiples of the capacity of a region's endpoints.
	Load func(run, at time.Duration, region int) float64
	// LongShare of the requests are archive pulls.
	LongShare float64
	// Slowdown multiplies the service time of an endpoint; nil means 1.
	Slowdown func(run, at time.Duration, endpoint int) float64
	// Failing says that the endpoint answers each request at once with an error; nil means never.
	Failing func(run, at time.Duration, endpoint int) bool
	// Cut says that no message passes between regions; nil means never.
	Cut func(run, at time.Duration) bool
	// Joins is the share of the run at which the last endpoint joins; 0 means that it is there from the start.
	Joins float64
	// MeasureFrom is the share of the run from which requests are measured, after a start of warmup.
	MeasureFrom float64
}

const (
	swingFrom     = 0.3
	swingLow      = 0.08
	swingRise     = time.Second
	swingMultiple = 10

	archiveShare = 0.01

	noisyFactor = 10
	noisySpell  = 200 * time.Millisecond
	noisyPeriod = time.Second

	failFrom, failTo = 0.3, 0.7
	failAfter        = 200 * time.Microsecond

	coldJoin   = 0.3
	coldFactor = 8.0
	coldFor    = 2 * time.Second

	cutFrom, cutTo = 0.4, 0.7
)

// Scenarios returns the scenarios in the order of the rows.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Load: constantLoad(0.7)},
		{Name: "swing", Load: swingLoad, MeasureFrom: swingFrom},
		{Name: "archive_pulls", Load: constantLoad(0.7), LongShare: archiveShare},
		{Name: "noisy_neighbour", Load: constantLoad(0.6), Slowdown: noisyNeighbour},
		{Name: "fast_failure", Load: constantLoad(0.6), Failing: failsFast},
		{Name: "cold_start", Load: constantLoad(0.4), Joins: coldJoin, Slowdown: coldStart, MeasureFrom: coldJoin},
		{Name: "overload", Load: constantLoad(2)},
		{Name: "region_cut", Load: skewedLoad, Cut: regionCut},
	}
}

func constantLoad(load float64) func(time.Duration, time.Duration, int) float64 {
	return func(time.Duration, time.Duration, int) float64 { return load }
}

// swingLoad rises from a trickle to ten times that within swingRise.
func swingLoad(run, at time.Duration, _ int) float64 {
	rise := float64(at-share(run, swingFrom)) / float64(swingRise)
	return swingLow * (1 + (swingMultiple-1)*min(max(rise, 0), 1))
}

// skewedLoad exceeds the capacity of the first region, so that it depends on the second one.
func skewedLoad(_, _ time.Duration, region int) float64 {
	if region == 0 {
		return 1.1
	}
	return 0.4
}

func noisyNeighbour(_, at time.Duration, endpoint int) float64 {
	if endpoint == 0 && at%noisyPeriod < noisySpell {
		return noisyFactor
	}
	return 1
}

func failsFast(run, at time.Duration, endpoint int) bool {
	return endpoint == 0 && at >= share(run, failFrom) && at < share(run, failTo)
}

// coldStart slows the last endpoint after it joined, less with time.
func coldStart(run, at time.Duration, endpoint int) float64 {
	warm := float64(at-share(run, coldJoin)) / float64(coldFor)
	if endpoint != lastEndpoint || warm < 0 || warm >= 1 {
		return 1
	}
	return coldFactor - (coldFactor-1)*warm
}

// lastEndpoint is the one that joins late; there is one endpoint in each of four failure domains.
const lastEndpoint = 3

func regionCut(run, at time.Duration) bool {
	return at >= share(run, cutFrom) && at < share(run, cutTo)
}

func share(run time.Duration, part float64) time.Duration {
	return time.Duration(float64(run) * part)
}
