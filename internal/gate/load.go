package gate

import (
	"cmp"
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxSlownessAge is the age up to which a reported slowness is used. Contention from other processes on the
	// backend server's machine changes within a few hundred milliseconds.
	maxSlownessAge = 60 * time.Millisecond
	// loadProbeTimeout bounds the time for which a load probe may delay a request.
	loadProbeTimeout = 10 * time.Millisecond
	// loadPollInterval is the time between load probes while requests wait for the end of a slow period. It keeps the
	// rate below 30 probes a second.
	loadPollInterval = 35 * time.Millisecond
	// maxLoadResponseBytes bounds how much of a probe response is read to make its connection reusable.
	maxLoadResponseBytes = 4 << 10
)

// slownessTracker holds the latest slowness that the backend server has reported, and controls load probes. It is safe
// for concurrent use.
type slownessTracker struct {
	mu         sync.Mutex
	slowness   float64 // ratio of the current service time to the normal one; 0 if unknown
	observedAt time.Time
	limiter    *rate.Limiter // limits the rate of load probes
	loadPath   string        // path of the load report at the backend server; empty if it has none
	probeDone  chan struct{} // closed when the running probe ends; nil if none runs
}

func newSlownessTracker() *slownessTracker { return &slownessTracker{limiter: rate.NewLimiter(0, 1)} }

// configure sets the path and the maximum rate of load probes.
func (t *slownessTracker) configure(path string, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadPath = path
	t.limiter.SetLimit(rate.Limit(perSecond))
}

func (t *slownessTracker) observe(slowness float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowness, t.observedAt = slowness, now
}

// current returns the latest slowness, or 0 if it is older than maxSlownessAge.
func (t *slownessTracker) current(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.observedAt) > maxSlownessAge {
		return 0
	}
	return t.slowness
}

// startProbe returns a channel that is closed when the running probe ends. If no probe runs yet, it also returns the
// path of a new probe, which the caller must send and complete with endProbe. It returns neither if the latest slowness
// is at most maxAge old, no path is configured, or the rate limit is reached.
func (t *slownessTracker) startProbe(now time.Time, maxAge time.Duration) (path string, done chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.loadPath == "" || now.Sub(t.observedAt) <= maxAge:
		return "", nil
	case t.probeDone != nil:
		return "", t.probeDone
	case !t.limiter.AllowN(now, 1):
		return "", nil
	}
	t.probeDone = make(chan struct{})
	return t.loadPath, t.probeDone
}

func (t *slownessTracker) endProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.probeDone)
	t.probeDone = nil
}

// currentSlowness returns the slowness of the backend server. If no recent response has reported it, currentSlowness
// sends a load probe, and returns 0 if the slowness is still unknown after loadProbeTimeout.
func (g *Gate) currentSlowness(ctx context.Context, b *Backend) float64 {
	path, probeDone := g.slowness.startProbe(time.Now(), maxSlownessAge)
	if path != "" {
		go g.probeLoad(b.Address, path)
	}
	if probeDone != nil {
		timer := time.NewTimer(loadProbeTimeout)
		defer timer.Stop()
		select {
		case <-probeDone:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return g.slowness.current(time.Now())
}

// recordSlowness records a slowness reported by the backend server; it ignores values that are not positive.
func (g *Gate) recordSlowness(slowness float64) {
	if slowness <= 0 || math.IsNaN(slowness) {
		return
	}
	now := time.Now()
	g.slowness.observe(slowness, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue != nil {
		g.deliverDecisions(g.queue.SetSlowness(now, slowness))
		g.scheduleNextDecision()
	}
}

// pollLoad sends a load probe while requests wait for the end of a slow period.
func (g *Gate) pollLoad() {
	g.mu.Lock()
	g.pollScheduled = false
	backend := g.backend
	g.mu.Unlock()
	if backend == nil {
		return
	}
	if path, _ := g.slowness.startProbe(time.Now(), loadPollInterval/2); path != "" {
		g.probeLoad(backend.Address, path)
		return
	}
	g.mu.Lock()
	g.scheduleNextDecision()
	g.mu.Unlock()
}

// probeLoad sends a load probe and records the slowness that the response reports.
func (g *Gate) probeLoad(address, path string) {
	defer g.recoverBackground()
	defer g.slowness.endProbe()
	ctx, cancel := context.WithTimeout(context.Background(), backendDialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		g.logger.Warn("backend load probe not sent", "event", "load_probe_failed", "path", path, "error", err)
		return
	}
	g.Counters.LoadProbes.Add(1)
	starts := g.beginProbe()
	conn, err := g.connections.Load().acquire(ctx, "")
	if err != nil {
		g.logger.Info("backend load probe not sent", "event", "load_probe_failed", "address", address, "error", err)
		return
	}
	reusable := false
	defer func() { conn.release(reusable) }()
	resp, err := conn.transport.RoundTrip(req)
	if err != nil {
		g.logger.Info("backend load probe failed", "event", "load_probe_failed", "address", address, "error", err)
		return
	}
	defer resp.Body.Close()
	if id := cmp.Or(g.protocol.RequestID(HeadersToWire(resp.Header)), resp.Header.Get(attemptIDHeader)); id != "" {
		g.logger.Info("backend load probe failed", "event", "load_probe_failed", "address", address, "error", "the answer is to request "+id)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxLoadResponseBytes)); err != nil {
		g.logger.Info("backend load probe failed", "event", "load_probe_failed", "address", address, "error", err)
		return
	}
	info := g.protocol.Read(req.Header, resp)
	reusable = !resp.Close && !info.NotRun
	g.recordSlowness(info.Slowness)
	g.recordSlowStart(address, starts, info.SlowStart)
}
