package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of recorded latencies.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 120_000_000
	latencySignificantDigits = 3
)

// latencies is a latency histogram. It is safe for concurrent use.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// percentileMillis returns a percentile, from 0 to 100, in milliseconds, or 0 if nothing was recorded.
func (l *latencies) percentileMillis(percentile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.hist.ValueAtQuantile(percentile)) / 1000
}

func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.TotalCount()
}
