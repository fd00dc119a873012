package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of recorded latencies in microseconds.
const (
	minLatency       = 1
	maxLatency       = 120_000_000
	latencyPrecision = 3 // significant digits
)

// latencies is a histogram that is safe for concurrent use.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(minLatency, maxLatency, latencyPrecision)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

// ms returns a quantile, 0 to 100, in milliseconds; 0 when nothing was recorded.
func (l *latencies) ms(quantile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.hist.ValueAtQuantile(quantile)) / 1000
}

func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.TotalCount()
}
