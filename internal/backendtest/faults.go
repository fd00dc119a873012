package backendtest

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"
)

// faults are the switchable misbehaviours of a server.
type faults struct {
	slowdown      atomic.Uint64 // float64 bits
	failShare     atomic.Uint64 // float64 bits
	loadFactor    atomic.Uint64 // float64 bits
	healthLies    atomic.Bool
	healthChanged atomic.Int64 // Unix nanoseconds
	thaw          atomic.Pointer[chan struct{}]
	crashOn       atomic.Pointer[func(*http.Request) bool]
}

func (f *faults) init() {
	f.slowdown.Store(math.Float64bits(1))
	f.loadFactor.Store(math.Float64bits(1))
}

// SetSlowdown multiplies service times by factor; 1 is normal.
func (s *Server) SetSlowdown(factor float64) { s.faults.slowdown.Store(math.Float64bits(factor)) }

// SetErrorRate makes this share of requests, 0 to 1, fail at once with status 500.
func (s *Server) SetErrorRate(share float64) { s.faults.failShare.Store(math.Float64bits(share)) }

// SetLoadFactor multiplies the figures of the load endpoint by factor; 1 is truthful.
func (s *Server) SetLoadFactor(factor float64) { s.faults.loadFactor.Store(math.Float64bits(factor)) }

// SetHealthLies makes the health endpoint answer 200 whatever the state.
func (s *Server) SetHealthLies(lies bool) { s.faults.healthLies.Store(lies) }

// SetCrashOn makes the server crash when it begins to run a request for which f returns true. Nil removes the rule.
func (s *Server) SetCrashOn(f func(*http.Request) bool) {
	if f == nil {
		s.faults.crashOn.Store(nil)
		return
	}
	s.faults.crashOn.Store(&f)
}

// Freeze stops all work, including health and load answers, until Thaw. Connections stay open.
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

// waitThawed returns when the server is not frozen, or at the end of its life.
func (s *Server) waitThawed(l *life) {
	thaw := s.faults.thaw.Load()
	if thaw == nil {
		return
	}
	select {
	case <-*thaw:
	case <-l.dead:
	}
}

func (s *Server) mustCrash(r *http.Request) bool {
	if r.Header.Get(CrashHeader) != "" {
		return true
	}
	rule := s.faults.crashOn.Load()
	return rule != nil && (*rule)(r)
}

func (s *Server) failsFast() bool {
	share := math.Float64frombits(s.faults.failShare.Load())
	if share <= 0 {
		return false
	}
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return s.rng.Float64() < share
}

// serviceTime returns the time that one request takes now.
func (s *Server) serviceTime(l *life, r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(WorkHeader))
	if err != nil {
		s.rngMu.Lock()
		d = s.opts.ServiceTime.Sample(s.rng.NormFloat64())
		s.rngMu.Unlock()
	}
	factor := math.Float64frombits(s.faults.slowdown.Load())
	if time.Since(l.started) < s.opts.ColdStart {
		factor *= s.opts.ColdFactor
	}
	return time.Duration(float64(d) * factor)
}
