package backendtest

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"
)

// faults holds the injected faults of a server.
type faults struct {
	slowdown       atomic.Uint64 // float64 bits
	errorRate      atomic.Uint64 // float64 bits
	loadFactor     atomic.Uint64 // float64 bits
	healthAlwaysOK atomic.Bool
	healthChanged  atomic.Int64 // Unix nanoseconds
	thaw           atomic.Pointer[chan struct{}]
	crashRule      atomic.Pointer[func(*http.Request) bool]
}

func (f *faults) init() {
	f.slowdown.Store(math.Float64bits(1))
	f.loadFactor.Store(math.Float64bits(1))
}

// SetSlowdown multiplies service times by factor; 1 restores the normal service time.
func (s *Server) SetSlowdown(factor float64) { s.faults.slowdown.Store(math.Float64bits(factor)) }

// SetErrorRate sets the fraction of requests, from 0 to 1, that fail immediately with status 500.
func (s *Server) SetErrorRate(rate float64) { s.faults.errorRate.Store(math.Float64bits(rate)) }

// SetLoadFactor multiplies the load that the load endpoint reports by factor; 1 reports the actual load.
func (s *Server) SetLoadFactor(factor float64) { s.faults.loadFactor.Store(math.Float64bits(factor)) }

// SetHealthAlwaysOK makes the health endpoint respond with status 200 even while the server is draining.
func (s *Server) SetHealthAlwaysOK(alwaysOK bool) { s.faults.healthAlwaysOK.Store(alwaysOK) }

// SetCrashRule makes the server crash when it starts to run a request for which f returns true. A nil f removes
// the rule.
func (s *Server) SetCrashRule(f func(*http.Request) bool) {
	if f == nil {
		s.faults.crashRule.Store(nil)
		return
	}
	s.faults.crashRule.Store(&f)
}

// Freeze blocks announcements and all new requests, including those for health and load, until Thaw. Connections stay
// open.
func (s *Server) Freeze() {
	thaw := make(chan struct{})
	s.faults.thaw.CompareAndSwap(nil, &thaw)
}

// Thaw ends a Freeze.
func (s *Server) Thaw() {
	if thaw := s.faults.thaw.Swap(nil); thaw != nil {
		close(*thaw)
	}
}

// waitWhileFrozen blocks until the server is not frozen or the instance ends.
func (s *Server) waitWhileFrozen(inst *instance) {
	thaw := s.faults.thaw.Load()
	if thaw == nil {
		return
	}
	select {
	case <-*thaw:
	case <-inst.ended:
	}
}

func (s *Server) shouldCrash(r *http.Request) bool {
	if r.Header.Get(CrashHeader) != "" {
		return true
	}
	rule := s.faults.crashRule.Load()
	return rule != nil && (*rule)(r)
}

func (s *Server) shouldFail() bool {
	rate := math.Float64frombits(s.faults.errorRate.Load())
	if rate <= 0 {
		return false
	}
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return s.rng.Float64() < rate
}

// serviceTime returns the service time of the request, from its WorkHeader or a random sample, with the slowdown and
// the cold start factor applied.
func (s *Server) serviceTime(inst *instance, r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(WorkHeader))
	if err != nil {
		s.rngMu.Lock()
		d = s.opts.ServiceTime.Sample(s.rng.NormFloat64())
		s.rngMu.Unlock()
	}
	factor := math.Float64frombits(s.faults.slowdown.Load())
	if time.Since(inst.started) < s.opts.ColdStart {
		factor *= s.opts.ColdFactor
	}
	return time.Duration(float64(d) * factor)
}
