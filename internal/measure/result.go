package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run. Unless stated otherwise, they cover the requests that arrived
// in the measured part of the run.
type Result struct {
	Scenario, Policy, Workload string
	Seed                       uint64
	// Requests, Succeeded and Failed count the measured requests of all routes. A failed request got an
	// error, a refusal or no response by its deadline.
	Requests, Succeeded, Failed uint64
	Retries                     uint64
	// Capacity is the number of requests that all slots together can serve in the measured time.
	Capacity float64
	// ProbeMessages and ProbeBytes count probes and replies in the whole run. CrossRegionProbeBytes counts
	// those between regions.
	ProbeMessages, ProbeBytes, CrossRegionProbeBytes uint64
	// DomainBytes counts the payload of requests, responses and probes between failure domains in the whole run.
	DomainBytes uint64
	// InObjective counts the measured requests that succeeded within the workload's objective.
	InObjective uint64
	// CapacityBound is an upper bound of ObjectiveShare that the capacity of all endpoints together sets; see
	// Scenario.capacityBound.
	CapacityBound float64
	// InBound counts the measured requests that would succeed within the objective if each started at once, at the node
	// itself, on a backend server that is not slow at the time; see simulation.sampleBound.
	InBound       uint64
	placementWait time.Duration
	// AllRequests counts the requests of the whole run; ProbesPerRequest divides by it.
	AllRequests uint64
	// PeakNodeProbes is the largest number of probe messages, replies included, that one node caused in one
	// second of the run or of the drain time after it. PeakNodeCrossRegionProbes counts only those between
	// regions.
	PeakNodeProbes, PeakNodeCrossRegionProbes int

	duration    time.Duration
	measureFrom time.Duration
	short       *hdrhistogram.Histogram
	long        *hdrhistogram.Histogram
	headOfLine  *hdrhistogram.Histogram
	series      []*hdrhistogram.Histogram // latency of short requests in each seriesStep of the run
}

const (
	maxLatencyUS      = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
	seriesStep        = 500 * time.Millisecond
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, significantDigits)
}

func newResult(s Scenario, w Workload, c Config) Result {
	from := max(warmup, fractionOf(c.Duration, s.MeasureFrom))
	r := Result{
		Scenario: s.Name, Policy: c.Policy, Workload: w.Name, Seed: c.Seed, duration: c.Duration, placementWait: c.PlacementWait, measureFrom: from,
		short: newHistogram(), long: newHistogram(), headOfLine: newHistogram(),
		Capacity: w.capacity(w.endpoints(), s.LongShare) * (c.Duration - from).Seconds(),
	}
	if w.Objective > 0 {
		r.CapacityBound = s.capacityBound(w, c.Duration, from)
	}
	for range c.Duration / seriesStep {
		r.series = append(r.series, newHistogram())
	}
	return r
}

// record adds a completed request to the result. The latency of a failed request is at least its timeout,
// so that a policy can't improve its latency by refusing requests.
func (s *simulation) record(r *request, ok bool) {
	s.result.AllRequests++
	latency := time.Duration(s.loop.now-r.arrived) + 2*s.workload.CallerDelay
	if !ok {
		latency = max(latency, s.workload.timeout(r.route))
	}
	arrived := time.Duration(r.arrived - s.loop.start)
	s.result.observeSeries(arrived, latency, r.route)
	if arrived < s.result.measureFrom {
		return
	}
	s.result.observe(latency, ok, r)
}

func (r *Result) observe(latency time.Duration, ok bool, req *request) {
	r.Requests++
	if req.inBound {
		r.InBound++
	}
	if ok {
		r.Succeeded++
		if objective := req.callerNode.sim.workload.Objective; objective > 0 && latency <= objective {
			r.InObjective++
		}
	} else {
		r.Failed++
	}
	if req.route.trulyLong {
		recordDuration(r.long, latency)
		return
	}
	recordDuration(r.short, latency)
	recordDuration(r.headOfLine, req.headOfLineWait)
}

func (r *Result) observeSeries(arrived, latency time.Duration, route *route) {
	step := int(arrived / seriesStep)
	if !route.trulyLong && step < len(r.series) {
		recordDuration(r.series[step], latency)
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyUS)) // can't fail: the value is in range
}

func (r *Result) addProbe(bytes int, crossRegion bool) {
	r.ProbeMessages++
	r.ProbeBytes += uint64(bytes)
	if crossRegion {
		r.CrossRegionProbeBytes += uint64(bytes)
	}
}

func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}

// P50MS returns the median latency of short requests at the caller, in milliseconds. Failed requests count
// with at least their timeout.
func (r *Result) P50MS() float64 { return quantileMS(r.short, 50) }

// P99MS returns the 99th percentile of the latency that P50MS describes.
func (r *Result) P99MS() float64 { return quantileMS(r.short, 99) }

// LongP99MS returns the 99th percentile of the latency of long requests, in milliseconds.
func (r *Result) LongP99MS() float64 { return quantileMS(r.long, 99) }

// ShortHOLP99MS returns the 99th percentile of the head-of-line blocking of short requests, in
// milliseconds: the time that a request waited for a slot while a long request held a slot of the same
// endpoint.
func (r *Result) ShortHOLP99MS() float64 { return quantileMS(r.headOfLine, 99) }

// GoodputRatio returns the number of successful requests, divided by the smaller of the offered requests
// and the capacity.
func (r *Result) GoodputRatio() float64 {
	return float64(r.Succeeded) / min(float64(r.Requests), r.Capacity)
}

// FailedShare returns the fraction of requests that failed.
func (r *Result) FailedShare() float64 { return float64(r.Failed) / float64(r.Requests) }

// ProbesPerRequest returns the number of probe messages, replies included, per request.
func (r *Result) ProbesPerRequest() float64 {
	return float64(r.ProbeMessages) / float64(r.AllRequests)
}

// CrossRegionBytesPerSecond returns the payload of probe messages between regions, in both directions.
func (r *Result) CrossRegionBytesPerSecond() float64 {
	return float64(r.CrossRegionProbeBytes) / r.duration.Seconds()
}

// ObjectiveShare returns the fraction of the requests that succeeded within the workload's objective; 0 if it has none.
func (r *Result) ObjectiveShare() float64 { return float64(r.InObjective) / float64(r.Requests) }

// Bound returns an upper bound of ObjectiveShare: the smaller of CapacityBound and the share of InBound.
func (r *Result) Bound() float64 {
	return min(r.CapacityBound, float64(r.InBound)/float64(r.Requests))
}

// DomainBytesPerRequest returns the payload between failure domains per request.
func (r *Result) DomainBytesPerRequest() float64 {
	return float64(r.DomainBytes) / float64(r.AllRequests)
}

// Row returns the result as a line of key=value pairs.
func (r *Result) Row() string {
	row := fmt.Sprintf("scenario=%s policy=%s workload=%s p50_ms=%.2f p99_ms=%.2f short_hol_p99_ms=%.2f "+
		"goodput_ratio=%.3f probe_msgs_per_request=%.3f link_control_bytes_per_s=%.0f failed=%d "+
		"requests=%d retries=%d long_p99_ms=%.0f seed=%d",
		r.Scenario, r.Policy, r.Workload, r.P50MS(), r.P99MS(), r.ShortHOLP99MS(),
		r.GoodputRatio(), r.ProbesPerRequest(), r.CrossRegionBytesPerSecond(), r.Failed,
		r.Requests, r.Retries, r.LongP99MS(), r.Seed)
	if r.CapacityBound > 0 {
		row += fmt.Sprintf(" in_objective=%.5f bound=%.5f capacity_bound=%.5f domain_bytes_per_request=%.0f placement_wait=%v",
			r.ObjectiveShare(), r.Bound(), r.CapacityBound, r.DomainBytesPerRequest(), r.placementWait)
	}
	return row
}

// TableHeader is the Markdown table header for the lines of TableRow. Times are in milliseconds.
const TableHeader = "| scenario | workload | policy | p50 | p99 | short HOL p99 | goodput ratio | probe msgs/request " +
	"| link control B/s | failed | requests | retries | long p99 |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// TableRow returns the result as a row of a Markdown table.
func (r *Result) TableRow() string {
	return fmt.Sprintf("| %s | %s | %s | %.1f | %.1f | %.2f | %.3f | %.3f | %.0f | %d | %d | %d | %.0f |",
		r.Scenario, r.Workload, r.Policy, r.P50MS(), r.P99MS(), r.ShortHOLP99MS(), r.GoodputRatio(),
		r.ProbesPerRequest(), r.CrossRegionBytesPerSecond(), r.Failed, r.Requests, r.Retries, r.LongP99MS())
}
