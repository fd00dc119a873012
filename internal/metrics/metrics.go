// Package metrics provides the latency histograms of a node and writes counters and histograms in text form.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Range of the histograms in microseconds, and their precision in significant decimal digits.
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 2
	// namePrefix is prepended to each name in the text form.
	namePrefix = "dandelionspoke_"
)

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Histogram records durations. It is safe for concurrent use. A nil Histogram discards all durations.
type Histogram struct {
	mu  sync.Mutex
	h   *hdrhistogram.Histogram
	sum time.Duration
}

// Record adds one duration. Durations above one minute are counted as one minute, but enter the sum in full.
func (h *Histogram) Record(d time.Duration) {
	if h == nil {
		return
	}
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only if the value is out of range, and micros is within the range.
	_ = h.h.RecordValue(micros)
	h.sum += d
}

// Registry holds histograms by name. It is safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	histograms map[string]*Histogram
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{histograms: map[string]*Histogram{}} }

// Histogram returns the histogram of this name and creates it if necessary. The name ends in the unit, as in
// "request_seconds".
func (r *Registry) Histogram(name string) *Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[name]
	if h == nil {
		h = &Histogram{h: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
		r.histograms[name] = h
	}
	return h
}

// Write writes the counters, and then the quantiles, sum and count of each histogram. Both are sorted by name. Each
// line has the form "name value".
func (r *Registry) Write(w io.Writer, counters map[string]int64) error {
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if _, err := fmt.Fprintf(w, "%s%s %d\n", namePrefix, name, counters[name]); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.histograms)) {
		if err := r.histograms[name].write(w, namePrefix+name); err != nil {
			return err
		}
	}
	return nil
}

func (h *Histogram) write(w io.Writer, name string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range quantiles {
		value := time.Duration(h.h.ValueAtQuantile(100*q)) * time.Microsecond
		if _, err := fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, value.Seconds()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, h.sum.Seconds(), name, h.h.TotalCount())
	return err
}
