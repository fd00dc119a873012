package backendtest

import (
	"encoding/json"
	"math"
	"net/http"
	"sync"
	"time"
)

// Load is the answer of the load endpoint.
type Load struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// loadHistory keeps recent figures, so that a lagging load endpoint can report old ones.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// maxLoadSamples bounds the memory of a loadHistory.
const maxLoadSamples = 4096

func (h *loadHistory) record(now time.Time, l Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{now, l})
}

// before returns the newest figures that are not younger than t.
func (h *loadHistory) before(t time.Time) (Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].load, true
		}
	}
	return Load{}, false
}

func (s *Server) currentLoad(l *life) Load {
	return Load{
		InFlight: int(s.running.value.Load()),
		Queued:   int(s.waiting.Load()),
		Slots:    s.opts.Slots,
		Draining: l.draining.Load(),
	}
}

func (s *Server) recordLoad(l *life) {
	if s.opts.LoadLag > 0 {
		s.load.record(time.Now(), s.currentLoad(l))
	}
}

func (s *Server) serveLoad(l *life, w http.ResponseWriter) {
	load := s.currentLoad(l)
	if s.opts.LoadLag > 0 {
		load, _ = s.load.before(time.Now().Add(-s.opts.LoadLag))
		load.Slots = s.opts.Slots
	}
	factor := math.Float64frombits(s.faults.loadFactor.Load())
	load.InFlight = int(float64(load.InFlight) * factor)
	load.Queued = int(float64(load.Queued) * factor)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

// serveHealth answers 200, or 503 while draining. It keeps the previous answer for Options.HealthLag.
func (s *Server) serveHealth(l *life, w http.ResponseWriter) {
	changed := time.Unix(0, s.faults.healthChanged.Load())
	lagging := time.Since(changed) < s.opts.HealthLag
	if l.draining.Load() && !lagging && !s.faults.healthLies.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
