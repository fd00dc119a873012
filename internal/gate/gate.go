// Package gate is the only way from the system to the backend server beside a node. It admits requests to
// the server's slots, queues or refuses the rest, and remembers the fate of each attempt for a bounded time.
package gate

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/metrics"
	"dandelionspoke/internal/netopt"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	backendDialTimeout = 500 * time.Millisecond
	// backendIdleTimeout is short because a reused connection that the server closes at the same moment
	// turns a non-idempotent request into may-have-run.
	backendIdleTimeout = 5 * time.Second
	maxIdleConnections = 64
)

// Backend is the backend server that has announced itself.
type Backend struct {
	ID      string
	Service string
	Address string // IP address and port
}

// Counters are totals since start. All are safe for concurrent use.
type Counters struct {
	Admitted, Queued, Refused, Ran, Broken, Canceled, Queries, Crashes, DuplicateAttempts, LoadProbes atomic.Int64
}

// Gate is safe for concurrent use.
type Gate struct {
	instance uint64
	logger   *slog.Logger
	protocol Protocol
	Counters Counters

	attempts *attemptMemory
	// transport is replaced when the connection cap changes, since its fields must not change in use.
	transport atomic.Pointer[http.Transport]
	// OnCrash is called with the fingerprint of a request whose backend server stopped listening
	// while running it. Set it before the first request; nil means no report.
	OnCrash func(endpoint string, fingerprint []byte)
	// Pace returns the pacing of answers to a node in the named region; a nil result does not pace.
	// Set it before the first request; nil means no pacing.
	Pace func(region string, long bool) func(bytes int) error
	// ServiceTime and QueueTime record the time at the backend server and the time in the queue. Set them before
	// the first request; nil records nothing.
	ServiceTime, QueueTime *metrics.Histogram
	// IsQuarantined reports whether a fingerprint is refused. Nil means that none is.
	IsQuarantined func(fingerprint []byte) bool

	mu       sync.Mutex
	queue    *admission.Queue
	waiters  map[admission.Ticket]chan admission.Decision
	backend  *Backend
	draining bool
	// backendDraining is set while the backend server drains although the node stays.
	backendDraining bool
	backendDown     bool
	keepBytes       int
	speed           *speed
	inFlight        sync.WaitGroup
	expiry          *time.Timer // nil until a request has waited
	polling         bool        // the load will be asked for within holdPoll
}

// New returns a gate without a backend server. instance is the node's process identifier.
func New(instance uint64, logger *slog.Logger) *Gate {
	g := &Gate{
		instance: instance, logger: logger, protocol: nativeProtocol{}, speed: newSpeed(),
		attempts: newAttemptMemory(time.Now(), time.Minute),
		waiters:  make(map[admission.Ticket]chan admission.Decision),
	}
	g.transport.Store(newTransport(0))
	return g
}

// SetProtocol replaces the product's own protocol towards the backend server. Call it before the first request.
func (g *Gate) SetProtocol(p Protocol) { g.protocol = p }

// newTransport returns a transport with at most connections connections; 0 means no cap.
func newTransport(connections int) *http.Transport {
	dialer := netopt.Dialer(backendDialTimeout)
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     backendIdleTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		MaxConnsPerHost:     connections,
	}
}

// SetBackend names the backend server. A nil backend refuses all requests.
func (g *Gate) SetBackend(b *Backend) {
	g.mu.Lock()
	g.backend = b
	g.backendDown = false
	g.mu.Unlock()
}

// Backend returns the announced backend server, or nil.
func (g *Gate) Backend() *Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend
}

// SetLimits applies a service's limits and the policy's memory bounds.
func (g *Gate) SetLimits(s bundle.Service, p bundle.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := admission.LimitsOf(s)
	if g.queue == nil {
		g.queue = admission.New(limits)
	} else {
		g.deliver(g.queue.SetLimits(time.Now(), limits))
	}
	g.speed.configure(s.LoadPath, p.LoadProbesPerSecond)
	g.keepBytes = p.MaxResponseKeepBytes
	g.attempts.mu.Lock()
	g.attempts.keep = p.AttemptMemory.D()
	g.attempts.mu.Unlock()
	if old := g.transport.Load(); old.MaxConnsPerHost != s.Connections {
		g.transport.Store(newTransport(s.Connections))
		old.CloseIdleConnections()
	}
}

// Load returns the gate's state at this moment.
func (g *Gate) Load() *wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := &wire.Load{}
	if g.queue != nil {
		l = g.queue.Load()
		if slowness := g.speed.current(time.Now()); slowness > 1 {
			l.ServiceTimeUs = uint32(float64(l.ServiceTimeUs) * slowness)
		}
	}
	l.Draining = l.Draining || g.draining || g.backendDraining || g.backendDown
	l.Generation = g.attempts.currentGeneration()
	return l
}

// SetDraining refuses new work while true; work that has been admitted or queued goes on.
func (g *Gate) SetDraining(draining bool) {
	g.mu.Lock()
	g.draining = draining
	g.mu.Unlock()
}

// SetBackendDraining refuses new work while the backend server beside the node drains.
func (g *Gate) SetBackendDraining(draining bool) {
	g.mu.Lock()
	g.backendDraining = draining
	g.mu.Unlock()
}

// SetBackendDown refuses new work while the backend server does not answer.
func (g *Gate) SetBackendDown(down bool) {
	g.mu.Lock()
	g.backendDown = down
	g.mu.Unlock()
}

// Wait blocks until no request is queued or in flight.
func (g *Gate) Wait() { g.inFlight.Wait() }

// Close drops idle connections to the backend server.
func (g *Gate) Close() { g.transport.Load().CloseIdleConnections() }

// Generation returns the generation of the attempt memory.
func (g *Gate) Generation() uint64 { return g.attempts.currentGeneration() }

// Attempts returns the number of remembered attempts.
func (g *Gate) Attempts() int { return g.attempts.len() }

// admit returns a held slot, or an error with verdict NotRun. The wait for a slot ends with done or withdrawn.
func (g *Gate) admit(done, withdrawn <-chan struct{}, r admission.Request) (admission.Ticket, *Backend, error) {
	g.mu.Lock()
	backend := g.backend
	if err := g.checkOpen(backend); err != nil {
		g.mu.Unlock()
		return 0, nil, err
	}
	ticket, outcome := g.queue.Offer(time.Now(), r)
	g.deliver(outcome.Decisions)
	if outcome.State != admission.Queued {
		g.mu.Unlock()
		return g.decided(ticket, backend, outcome.State == admission.Admitted, outcome.Reason)
	}
	granted := make(chan admission.Decision, 1)
	g.waiters[ticket] = granted
	g.scheduleExpiry()
	g.mu.Unlock()
	g.Counters.Queued.Add(1)
	return g.await(done, withdrawn, ticket, backend, granted)
}

func (g *Gate) checkOpen(backend *Backend) error {
	switch {
	case g.draining:
		return verdict.New(verdict.NotRun, verdict.Draining, "the node is leaving")
	case g.backendDraining:
		return verdict.New(verdict.NotRun, verdict.Draining, "the backend server is draining")
	case g.backendDown:
		return verdict.New(verdict.NotRun, verdict.BackendDown, "the backend server does not answer")
	case backend == nil:
		return verdict.New(verdict.NotRun, verdict.BackendDown, "no backend server has announced itself")
	case g.queue == nil:
		// Not NoBundle: other gates have one, so the request may go there.
		return verdict.New(verdict.NotRun, verdict.BackendDown, "the node has no bundle yet")
	}
	return nil
}

func (g *Gate) decided(t admission.Ticket, b *Backend, admitted bool, reason verdict.Reason) (admission.Ticket, *Backend, error) {
	if admitted {
		g.Counters.Admitted.Add(1)
		return t, b, nil
	}
	g.Counters.Refused.Add(1)
	return 0, nil, verdict.New(verdict.NotRun, reason, "refused by the gate")
}

func (g *Gate) await(done, withdrawn <-chan struct{}, t admission.Ticket, b *Backend, granted chan admission.Decision) (admission.Ticket, *Backend, error) {
	ended := verdict.New(verdict.NotRun, verdict.QueueTimeout, "ended while waiting for a slot")
	select {
	case grant := <-granted:
		return g.decided(t, b, grant.Admitted, grant.Reason)
	case <-done:
	case <-withdrawn:
		ended = verdict.New(verdict.NotRun, verdict.Draining, "withdrawn by the ingress while waiting for a slot")
	}
	g.mu.Lock()
	_, waiting := g.waiters[t]
	if waiting {
		delete(g.waiters, t)
		g.deliver(g.queue.Cancel(time.Now(), t))
	}
	g.mu.Unlock()
	if !waiting {
		// The grant was decided at the same moment; an admitted slot must be given back.
		if grant := <-granted; grant.Admitted {
			g.release(t, 0)
		}
	}
	g.Counters.Canceled.Add(1)
	return 0, nil, ended
}

// deliver hands decisions to the waiting requests. It is called with mu held.
func (g *Gate) deliver(grants []admission.Decision) {
	for _, grant := range grants {
		if waiter, ok := g.waiters[grant.Ticket]; ok {
			delete(g.waiters, grant.Ticket)
			waiter <- grant
		}
	}
}

// release gives a slot back after ran, the time that the backend server spent on the request.
func (g *Gate) release(t admission.Ticket, ran time.Duration) {
	g.mu.Lock()
	g.deliver(g.queue.Release(time.Now(), t, ran))
	g.scheduleExpiry()
	g.mu.Unlock()
}

// scheduleExpiry arms the timer for the next time at which a waiting request may be refused or started
// without another request's end. It is called with mu held. Without waiting requests no timer runs, so that
// an idle gate costs no processor time.
func (g *Gate) scheduleExpiry() {
	if !g.polling && len(g.waiters) > 0 && g.queue.HasDeferred(time.Now()) {
		g.polling = true
		time.AfterFunc(holdPoll, g.pollLoad)
	}
	at, ok := g.queue.NextDecision()
	if !ok || len(g.waiters) == 0 {
		return
	}
	wait := max(time.Until(at), 0)
	if g.expiry == nil {
		g.expiry = time.AfterFunc(wait, g.expire)
		return
	}
	g.expiry.Reset(wait)
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Expire(time.Now()))
	g.scheduleExpiry()
}
