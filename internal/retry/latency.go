package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency histograms.
const (
	minRecordedLatency       = int64(10 * time.Microsecond)
	maxRecordedLatency       = int64(time.Minute)
	latencySignificantDigits = 2
	// latencyWindow is the time that one histogram covers. The quantile is computed from the current
	// window, or from the previous one while the current has too few samples.
	latencyWindow = 5 * time.Second
	// minLatencySamples is the minimum number of samples for a quantile.
	minLatencySamples = 50
	// samplesPerUpdate is the number of samples after which the quantile is recomputed.
	samplesPerUpdate = 64
)

// LatencyTracker computes a quantile of the latencies of recent successful attempts at a service. The
// quantile sets the delay of hedges. A LatencyTracker is safe for concurrent use.
type LatencyTracker struct {
	mu                 sync.Mutex
	current, previous  *hdrhistogram.Histogram
	windowStart        time.Time
	quantile           float64
	samplesSinceUpdate int // samples since cachedQuantile was computed
	cachedQuantile     time.Duration
}

// NewLatencyTracker returns a tracker without samples for the given quantile, between 0 and 1.
func NewLatencyTracker(now time.Time, quantile float64) *LatencyTracker {
	return &LatencyTracker{current: newLatencyHistogram(), previous: newLatencyHistogram(), windowStart: now, quantile: quantile}
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRecordedLatency, maxRecordedLatency, latencySignificantDigits)
}

// Record adds the latency of one successful attempt.
func (l *LatencyTracker) Record(now time.Time, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	_ = l.current.RecordValue(min(max(int64(latency), minRecordedLatency), maxRecordedLatency))
	if l.samplesSinceUpdate++; l.samplesSinceUpdate >= samplesPerUpdate || l.cachedQuantile == 0 {
		l.updateQuantile()
	}
}

// Quantile returns the quantile of the recent latencies, or 0 when there are too few samples.
func (l *LatencyTracker) Quantile(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	return l.cachedQuantile
}

// rotate starts a new window when the current one has ended. The previous window keeps its samples for
// one window length.
func (l *LatencyTracker) rotate(now time.Time) {
	windows := now.Sub(l.windowStart) / latencyWindow
	if windows <= 0 {
		return
	}
	l.windowStart = l.windowStart.Add(windows * latencyWindow)
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if windows > 1 {
		l.previous.Reset()
	}
	l.updateQuantile()
}

func (l *LatencyTracker) updateQuantile() {
	l.samplesSinceUpdate, l.cachedQuantile = 0, 0
	recent := l.current
	if recent.TotalCount() < minLatencySamples {
		recent = l.previous
	}
	if recent.TotalCount() >= minLatencySamples {
		l.cachedQuantile = time.Duration(recent.ValueAtPercentile(100 * l.quantile))
	}
}
