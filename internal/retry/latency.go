package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shape of the latency histograms.
const (
	latencyMin    = int64(10 * time.Microsecond)
	latencyMax    = int64(time.Minute)
	latencyDigits = 2
	// latencyWindow is the time after which a new histogram begins. The quantile is that of the
	// newest window with enough samples, of the current one and the one before.
	latencyWindow = 5 * time.Second
	// minLatencies is the number of samples that a quantile needs.
	minLatencies = 50
	// quantileEvery is the number of samples after which the quantile is computed again.
	quantileEvery = 64
)

// Latencies keeps a quantile of the recent latency of a service's short requests, for the delay of
// hedges. It is safe for concurrent use.
type Latencies struct {
	mu               sync.Mutex
	current, earlier *hdrhistogram.Histogram
	since            time.Time
	quantile         float64
	fresh            int // samples since value was computed
	value            time.Duration
}

// NewLatencies returns an empty record of the given quantile, between 0 and 1.
func NewLatencies(now time.Time, quantile float64) *Latencies {
	return &Latencies{current: newLatencyHistogram(), earlier: newLatencyHistogram(), since: now, quantile: quantile}
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
}

// Record adds the latency of one successful attempt.
func (l *Latencies) Record(now time.Time, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	// The value is in range, so that it cannot be refused.
	_ = l.current.RecordValue(min(max(int64(latency), latencyMin), latencyMax))
	if l.fresh++; l.fresh >= quantileEvery || l.value == 0 {
		l.compute()
	}
}

// Quantile returns the quantile of the recent latencies, or 0 when too few are known.
func (l *Latencies) Quantile(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	return l.value
}

// rotate replaces the histograms whose window has passed.
func (l *Latencies) rotate(now time.Time) {
	windows := now.Sub(l.since) / latencyWindow
	if windows <= 0 {
		return
	}
	l.since = l.since.Add(windows * latencyWindow)
	l.current, l.earlier = l.earlier, l.current
	l.current.Reset()
	if windows > 1 {
		l.earlier.Reset()
	}
	l.compute()
}

func (l *Latencies) compute() {
	l.fresh, l.value = 0, 0
	recent := l.current
	if recent.TotalCount() < minLatencies {
		recent = l.earlier
	}
	if recent.TotalCount() >= minLatencies {
		l.value = time.Duration(recent.ValueAtPercentile(100 * l.quantile))
	}
}
