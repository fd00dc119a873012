package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the figures of one run. Requests count when they arrived in the measured part of it.
type Result struct {
	Scenario, Policy, Workload string
	Seed                       uint64
	// Requests, Answered and Failed count the measured requests of every route. Failed ones got an
	// error, a refusal or no answer by their deadline.
	Requests, Answered, Failed uint64
	Retries                    uint64
	// Capacity is the number of requests that all slots could serve in the measured time.
	Capacity float64
	// ProbeMessages and ProbeBytes count probes and replies of the whole run; LinkProbeBytes is the part
	// between regions.
	ProbeMessages, ProbeBytes, LinkProbeBytes uint64
	// AllRequests counts the requests of the whole run, as the ratio of probes does.
	AllRequests uint64
	// PeakNodeProbes is the largest number of probe messages that one node caused in one second of the
	// run, replies included, and PeakNodeLinkProbes the part between regions.
	PeakNodeProbes, PeakNodeLinkProbes int

	duration time.Duration
	from     time.Duration
	short    *hdrhistogram.Histogram
	long     *hdrhistogram.Histogram
	blocked  *hdrhistogram.Histogram
	series   []*hdrhistogram.Histogram // short latency of each seriesStep of the run
}

const (
	maxLatencyUS = int64(60 * time.Second / time.Microsecond)
	digits       = 3
	seriesStep   = 500 * time.Millisecond
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUS, digits) }

func newResult(s Scenario, w Workload, c Config) Result {
	from := max(warmup, share(c.Duration, s.MeasureFrom))
	r := Result{
		Scenario: s.Name, Policy: c.Policy, Workload: w.Name, Seed: c.Seed, duration: c.Duration, from: from,
		short: newHistogram(), long: newHistogram(), blocked: newHistogram(),
		Capacity: w.capacity(len(w.Domains), s.LongShare) * (c.Duration - from).Seconds(),
	}
	for range c.Duration / seriesStep {
		r.series = append(r.series, newHistogram())
	}
	return r
}

// record counts a request that has ended. A failed one counts with its whole timeout, so that a
// policy cannot improve its latency by refusing requests.
func (s *simulation) record(r *request, ok bool) {
	s.result.AllRequests++
	latency := time.Duration(s.loop.now-r.arrived) + 2*s.workload.CallerDelay
	if !ok {
		latency = max(latency, s.workload.timeout(r.route))
	}
	arrived := time.Duration(r.arrived - s.loop.start)
	s.result.observeSeries(arrived, latency, r.route)
	if arrived < s.result.from {
		return
	}
	s.result.observe(latency, ok, r)
}

func (r *Result) observe(latency time.Duration, ok bool, req *request) {
	r.Requests++
	if ok {
		r.Answered++
	} else {
		r.Failed++
	}
	if req.route.trulyLong {
		add(r.long, latency)
		return
	}
	add(r.short, latency)
	add(r.blocked, req.blocked)
}

func (r *Result) observeSeries(arrived, latency time.Duration, route *route) {
	step := int(arrived / seriesStep)
	if !route.trulyLong && step < len(r.series) {
		add(r.series[step], latency)
	}
}

func add(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyUS)) // the value is in range
}

func (r *Result) probe(bytes int, link bool) {
	r.ProbeMessages++
	r.ProbeBytes += uint64(bytes)
	if link {
		r.LinkProbeBytes += uint64(bytes)
	}
}

func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}

// P50MS and P99MS are quantiles of short latency at the caller, in milliseconds. Failed requests count
// with their timeout.
func (r *Result) P50MS() float64 { return quantileMS(r.short, 50) }

// P99MS is the 99th percentile; see P50MS.
func (r *Result) P99MS() float64 { return quantileMS(r.short, 99) }

// LongP99MS is the 99th percentile of the latency of archive pulls, in milliseconds.
func (r *Result) LongP99MS() float64 { return quantileMS(r.long, 99) }

// ShortHOLP99MS is the 99th percentile, over all short requests, of the time in milliseconds that the
// request waited for a slot while an archive pull held a slot of the same endpoint.
func (r *Result) ShortHOLP99MS() float64 { return quantileMS(r.blocked, 99) }

// GoodputRatio is the number of requests answered by their deadline, divided by the smaller of the
// offered requests and the capacity.
func (r *Result) GoodputRatio() float64 {
	return float64(r.Answered) / min(float64(r.Requests), r.Capacity)
}

// FailedShare is the share of requests that failed.
func (r *Result) FailedShare() float64 { return float64(r.Failed) / float64(r.Requests) }

// ProbesPerRequest is the number of probe messages, replies included, per request.
func (r *Result) ProbesPerRequest() float64 {
	return float64(r.ProbeMessages) / float64(r.AllRequests)
}

// LinkBytesPerSecond is the payload of probe messages between regions, in both directions.
func (r *Result) LinkBytesPerSecond() float64 {
	return float64(r.LinkProbeBytes) / r.duration.Seconds()
}

// Row is the result as a line of key=value pairs.
func (r *Result) Row() string {
	return fmt.Sprintf("scenario=%s policy=%s workload=%s p50_ms=%.2f p99_ms=%.2f short_hol_p99_ms=%.2f "+
		"goodput_ratio=%.3f probe_msgs_per_request=%.3f link_control_bytes_per_s=%.0f failed=%d "+
		"requests=%d retries=%d long_p99_ms=%.0f seed=%d",
		r.Scenario, r.Policy, r.Workload, r.P50MS(), r.P99MS(), r.ShortHOLP99MS(),
		r.GoodputRatio(), r.ProbesPerRequest(), r.LinkBytesPerSecond(), r.Failed,
		r.Requests, r.Retries, r.LongP99MS(), r.Seed)
}

// TableHeader is the header of a Markdown table of TableRow lines. Times are in milliseconds.
const TableHeader = "| scenario | workload | policy | p50 | p99 | short HOL p99 | goodput ratio | probe msgs/request " +
	"| link control B/s | failed | requests | retries | long p99 |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// TableRow is the result as a row of a Markdown table.
func (r *Result) TableRow() string {
	return fmt.Sprintf("| %s | %s | %s | %.1f | %.1f | %.2f | %.3f | %.3f | %.0f | %d | %d | %d | %.0f |",
		r.Scenario, r.Workload, r.Policy, r.P50MS(), r.P99MS(), r.ShortHOLP99MS(), r.GoodputRatio(),
		r.ProbesPerRequest(), r.LinkBytesPerSecond(), r.Failed, r.Requests, r.Retries, r.LongP99MS())
}
