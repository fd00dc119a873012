package gate

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// loadFresh is the age up to which a backend server's statement of its speed is used. Neighbours on its
	// machine come and go within a few hundred milliseconds.
	loadFresh = 60 * time.Millisecond
	// loadProbeTimeout bounds the delay of a request by a question for the load.
	loadProbeTimeout = 10 * time.Millisecond
	// holdPoll is the time between two questions for the load while requests wait for the end of a slow spell. It
	// keeps within 30 questions a second.
	holdPoll = 35 * time.Millisecond
	// maxLoadBytes bounds the body of an answer that is read so that its connection can be used again.
	maxLoadBytes = 4 << 10
)

// speed is what the gate knows of the speed of its backend server. It is safe for concurrent use.
type speed struct {
	mu      sync.Mutex
	value   float64 // time that work takes in multiples of the usual time; 0 is unknown
	at      time.Time
	limit   *rate.Limiter // of probes
	path    string        // where the backend server states its load; empty: nowhere
	running chan struct{} // closed when the probe that is under way ends; nil without one
}

func newSpeed() *speed { return &speed{limit: rate.NewLimiter(0, 1)} }

// configure sets where and how often the backend server may be asked.
func (s *speed) configure(path string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path = path
	s.limit.SetLimit(rate.Limit(perSecond))
}

func (s *speed) observe(slowness float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.at = slowness, now
}

// current returns the newest figure, or 0 when it is older than loadFresh.
func (s *speed) current(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at) > loadFresh {
		return 0
	}
	return s.value
}

// begin returns a channel that ends with the probe under way, and the path to ask at when the caller is to make that
// probe. It returns neither when the figure is at most maxAge old or the budget is spent.
func (s *speed) begin(now time.Time, maxAge time.Duration) (path string, running chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.path == "" || now.Sub(s.at) <= maxAge:
		return "", nil
	case s.running != nil:
		return "", s.running
	case !s.limit.AllowN(now, 1):
		return "", nil
	}
	s.running = make(chan struct{})
	return s.path, s.running
}

func (s *speed) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.running)
	s.running = nil
}

// freshSlowness returns the present speed of the backend server. It asks the server when no answer has stated it
// lately, and returns 0 when that takes too long.
func (g *Gate) freshSlowness(ctx context.Context, b *Backend) float64 {
	path, running := g.speed.begin(time.Now(), loadFresh)
	if path != "" {
		go g.probeLoad(b.Address, path)
	}
	if running != nil {
		timer := time.NewTimer(loadProbeTimeout)
		defer timer.Stop()
		select {
		case <-running:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return g.speed.current(time.Now())
}

// observeSlowness records a statement of the backend server about its speed; 0 states nothing.
func (g *Gate) observeSlowness(slowness float64) {
	if slowness <= 0 || math.IsNaN(slowness) {
		return
	}
	now := time.Now()
	g.speed.observe(slowness, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue != nil {
		g.deliver(g.queue.SetSlowness(now, slowness))
		g.scheduleExpiry()
	}
}

// pollLoad asks for the speed while requests wait for the end of a slow spell.
func (g *Gate) pollLoad() {
	g.mu.Lock()
	g.polling = false
	backend := g.backend
	g.mu.Unlock()
	if backend == nil {
		return
	}
	if path, _ := g.speed.begin(time.Now(), holdPoll/2); path != "" {
		g.probeLoad(backend.Address, path)
		return
	}
	g.mu.Lock()
	g.scheduleExpiry()
	g.mu.Unlock()
}

func (g *Gate) probeLoad(address, path string) {
	defer g.speed.end()
	ctx, cancel := context.WithTimeout(context.Background(), backendDialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		g.logger.Warn("load not asked", "event", "load_probe_failed", "path", path, "error", err)
		return
	}
	g.Counters.LoadProbes.Add(1)
	resp, err := g.transport.Load().RoundTrip(req)
	if err != nil {
		g.logger.Info("load not answered", "event", "load_probe_failed", "address", address, "error", err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxLoadBytes)); err != nil {
		g.logger.Info("load not answered", "event", "load_probe_failed", "address", address, "error", err)
		return
	}
	g.observeSlowness(g.protocol.Read(req.Header, resp).Slowness)
}
