package backendtest

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Load is the response of the load endpoint.
type Load struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// loadHistory keeps recent load samples, so that the load endpoint can report values of age Options.LoadLag.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// maxLoadSamples bounds the number of samples in a loadHistory.
const maxLoadSamples = 4096

func (h *loadHistory) record(now time.Time, l Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{now, l})
}

// latestAt returns the latest sample taken at or before t.
func (h *loadHistory) latestAt(t time.Time) (Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].load, true
		}
	}
	return Load{}, false
}

func (s *Server) currentLoad(inst *instance) Load {
	return Load{
		InFlight: int(s.running.value.Load()),
		Queued:   int(s.waiting.Load()),
		Slots:    s.opts.Slots,
		Draining: inst.draining.Load(),
	}
}

func (s *Server) recordLoad(inst *instance) {
	if s.opts.LoadLag > 0 {
		s.load.record(time.Now(), s.currentLoad(inst))
	}
}

func (s *Server) serveLoad(inst *instance, w http.ResponseWriter) {
	load := s.currentLoad(inst)
	if s.opts.LoadLag > 0 {
		load, _ = s.load.latestAt(time.Now().Add(-s.opts.LoadLag))
		load.Slots = s.opts.Slots
	}
	factor := math.Float64frombits(s.faults.loadFactor.Load())
	load.InFlight = int(float64(load.InFlight) * factor)
	load.Queued = int(float64(load.Queued) * factor)
	if s.opts.StateSlowStart {
		w.Header().Set(slowStartHeader, strconv.FormatInt(s.slowStartMs(inst), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

// serveHealth responds with status 200, or 503 while the server is draining. It reports a change only after
// Options.HealthLag.
func (s *Server) serveHealth(inst *instance, w http.ResponseWriter) {
	changed := time.Unix(0, s.faults.healthChanged.Load())
	lagging := time.Since(changed) < s.opts.HealthLag
	if inst.draining.Load() && !lagging && !s.faults.healthAlwaysOK.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
