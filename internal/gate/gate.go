// Package gate forwards requests to the backend server on a node's VM; requests reach it through no other package. It
// admits requests to the server's concurrency slots, queues or refuses the rest, and records the outcome of each
// attempt for a bounded time.
package gate

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/metrics"
	"dandelionspoke/internal/slowstart"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	backendDialTimeout = 500 * time.Millisecond
	// backendIdleTimeout is short because a non-idempotent request ends as may-have-run when the server closes the
	// reused connection at the moment the request is sent.
	backendIdleTimeout  = 5 * time.Second
	maxIdleBackendConns = 64
	// drainQueueTime is the time for which requests that wait when the backend server starts to drain may still be sent to
	// it. Servers go on serving for 2.5 s and more after the acknowledgement, of which connecting may take 0.5 s.
	drainQueueTime = time.Second
	// defaultMaxResponseHeaderBytes replaces the 10 MiB of net/http: a faulty backend server that answers on all of its
	// slots with a header without end would otherwise exhaust the memory of the VM.
	defaultMaxResponseHeaderBytes = 64 << 10
)

// Backend identifies the backend server that has announced itself to the node.
type Backend struct {
	ID      string
	Service string
	Address string // IP address and port
	// Incarnation is the start time of the server's process in Unix milliseconds; 0 if it is not known.
	Incarnation int64
}

// Counters are totals since the process started. Ran counts the forwarded attempts that completed, Broken those that
// failed, and Canceled the requests whose wait for a slot was ended. They are safe for concurrent use.
type Counters struct {
	Admitted, Queued, Refused, Ran, Broken, Canceled, Queries, Crashes, DuplicateAttempts, LoadProbes atomic.Int64
	// Pauses counts the pauses of the process.
	Pauses atomic.Int64
	// Panics counts the panics that ended an attempt.
	Panics atomic.Int64
	// RefusedEvacuated counts the refusals because of an evacuation.
	RefusedEvacuated atomic.Int64
	// RefusedSlowStart counts the refusals because the backend server is cold, SlowStarts how often it was found cold.
	RefusedSlowStart, SlowStarts atomic.Int64
}

// Gate admits and forwards requests to one backend server. It is safe for concurrent use.
type Gate struct {
	instance uint64
	logger   *slog.Logger
	protocol Protocol
	Counters Counters

	attempts *attemptHistory
	accounts accountCounts
	// connections is replaced when the connection limit changes.
	connections atomic.Pointer[connectionPool]
	// OnCrash is called with the backend server and the fingerprints of a request during which the server stopped
	// listening. Set it before the first request; nil disables the report.
	OnCrash func(backend Backend, fingerprints [][]byte)
	// QuarantineEntries returns the entries of fingerprints after OnCrash, which a refusal passes to the ingress. May be nil.
	QuarantineEntries func(fingerprints [][]byte) []*wire.QuarantineEntry
	// OnPause is called after a pause of the process. It must not block. Set it before the first request; may be nil.
	OnPause func()
	// WriteLimiter returns the write limiter for responses to a node in the given region, or nil for no limit. long and
	// priority are those of the request. Set it before the first request; nil disables the limit.
	WriteLimiter func(region string, long bool, priority int) func(bytes int) error
	// ServiceTime and QueueTime record the time at the backend server and the time in the queue. Set them before
	// the first request; a nil histogram records nothing.
	ServiceTime, QueueTime *metrics.Histogram
	// IsQuarantined reports whether requests with a fingerprint are refused; nil refuses none.
	IsQuarantined func(fingerprint []byte) bool

	mu       sync.Mutex
	queue    *admission.Queue
	waiters  map[admission.Ticket]chan admission.Decision
	backend  *Backend
	draining bool
	// endsAt is the time at which a draining node ends; nil if it does not drain or has no deadline. Not guarded by mu.
	endsAt atomic.Pointer[time.Time]
	// backendDraining is set while the backend server drains and the node itself does not. No waiting request is sent to it
	// after drainCutoff.
	backendDraining      bool
	drainCutoff          time.Time
	backendDown          bool
	evacuation           Evacuation
	slowStart            slowStart
	maxResponseKeepBytes int
	slowness             *slownessTracker
	pauses               pauseDetector
	inFlight             sync.WaitGroup
	// trialRunning is set while a trial of a request in quarantine is admitted. Two at a time could not be told apart if the
	// backend server crashed.
	trialRunning  atomic.Bool
	decisionTimer *time.Timer // nil until a request has been queued
	pollScheduled bool        // pollLoad will run within loadPollInterval
}

// New returns a gate without a backend server. instance identifies this process of the node.
func New(instance uint64, logger *slog.Logger) *Gate {
	g := &Gate{
		instance: instance, logger: logger, protocol: nativeProtocol{}, slowness: newSlownessTracker(),
		attempts: newAttemptHistory(time.Now(), time.Minute), accounts: newAccountCounts(),
		waiters: make(map[admission.Ticket]chan admission.Decision),
	}
	g.slowStart.ramp = slowstart.New()
	g.connections.Store(newConnectionPool(0, defaultMaxResponseHeaderBytes))
	return g
}

// SetProtocol replaces the built-in protocol for the backend server. Call it before the first request.
func (g *Gate) SetProtocol(p Protocol) { g.protocol = p }

// SetMaxResponseHeaderBytes limits the header of a response, together with the informational responses before it. Call it
// before the first request.
func (g *Gate) SetMaxResponseHeaderBytes(limit int64) {
	g.connections.Store(newConnectionPool(g.connections.Load().maxConnections, limit))
}

// SetBackend sets the backend server. With a nil backend, the gate refuses all requests. Requests that wait for another
// server are refused.
func (g *Gate) SetBackend(b *Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.backend.isServer(b) {
		g.withdrawWaiting(0)
	}
	previous := g.backend
	g.backend = b
	g.backendDown = false
	g.restartSlowStartLocked(previous, b)
}

// isServer reports whether both are the same backend server, also after a restart under the same ID and address.
func (b *Backend) isServer(other *Backend) bool {
	return b != nil && other != nil && b.ID == other.ID && b.Service == other.Service && b.Address == other.Address
}

// Backend returns the announced backend server, or nil.
func (g *Gate) Backend() *Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend
}

// SetLimits applies a service's limits, and the policy's limits on load probes, retained responses and the attempt
// history.
func (g *Gate) SetLimits(s bundle.Service, p bundle.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := admission.LimitsOf(s)
	if g.queue == nil {
		g.queue = admission.New(limits)
	} else {
		g.deliverDecisions(g.queue.SetLimits(time.Now(), limits))
	}
	g.slowness.configure(s.LoadPath, p.LoadProbesPerSecond)
	g.configureSlowStartLocked(s)
	g.maxResponseKeepBytes = p.MaxResponseKeepBytes
	g.attempts.mu.Lock()
	g.attempts.retention = p.AttemptMemory.D()
	g.attempts.mu.Unlock()
	if old := g.connections.Load(); old.maxConnections != s.Connections {
		g.connections.Store(newConnectionPool(s.Connections, old.maxHeaderBytes))
		old.close()
	}
}

// Load returns the current load of the gate.
func (g *Gate) Load() *wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := &wire.Load{}
	if g.queue != nil {
		l = g.queue.Load()
		if slowness := g.slowness.current(time.Now()); slowness > 1 {
			l.ServiceTimeUs = uint32(float64(l.ServiceTimeUs) * slowness)
		}
	}
	l.Draining = l.Draining || g.draining || g.backendDraining || g.backendDown || g.evacuation != NotEvacuated
	g.addSlowStartLocked(l)
	l.Generation = g.attempts.currentGeneration()
	return l
}

// SetDraining makes the gate refuse new requests while draining is true. Admitted and queued requests continue.
func (g *Gate) SetDraining(draining bool) {
	g.mu.Lock()
	g.draining = draining
	g.mu.Unlock()
}

// SetEnd makes the gate refuse requests that may run longer than the node, which ends at the given time, if their backend server
// cannot run them again and the ingress can choose another gate. The others may still be answered in time.
func (g *Gate) SetEnd(at time.Time) { g.endsAt.Store(&at) }

// SetBackendDraining makes the gate refuse new requests while the backend server drains. Waiting requests are refused too,
// unless they are expected to start within drainQueueTime and do, so that they can be sent to other endpoints.
func (g *Gate) SetBackendDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if draining && !g.backendDraining {
		g.drainCutoff = time.Now().Add(drainQueueTime)
		g.withdrawWaiting(drainQueueTime)
		time.AfterFunc(drainQueueTime, g.endDrainQueue)
	}
	g.backendDraining = draining
}

// endDrainQueue refuses the requests that still wait for a draining backend server at drainCutoff.
func (g *Gate) endDrainQueue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backendDraining && !time.Now().Before(g.drainCutoff) {
		g.withdrawWaiting(0)
	}
}

// withdrawWaiting refuses the waiting requests that are not expected to start within maxWait. It is called with mu held.
func (g *Gate) withdrawWaiting(maxWait time.Duration) {
	if g.queue != nil {
		g.deliverDecisions(g.queue.Withdraw(time.Now(), maxWait))
	}
}

// SetBackendDown makes the gate refuse new requests while the backend server fails its health check.
func (g *Gate) SetBackendDown(down bool) {
	g.mu.Lock()
	g.backendDown = down
	g.mu.Unlock()
}

// Tick tells the gate that the process runs. After a pause of the process, the gate refuses requests for a short time,
// because their deadlines may have passed while their data waited. Call it at least every 100 ms; without any call, no pause
// is detected.
func (g *Gate) Tick(now time.Time) {
	if pause := g.pauses.tick(now); pause > 0 {
		g.Counters.Pauses.Add(1)
		if g.OnPause != nil {
			g.OnPause()
		}
		g.logger.Warn("process was paused", "event", "paused", "for", pause)
	}
}

// Wait blocks until no request is queued or in flight.
func (g *Gate) Wait() { g.inFlight.Wait() }

// Close closes idle connections to the backend server.
func (g *Gate) Close() { g.connections.Load().close() }

// Generation returns the current generation of the attempt history.
func (g *Gate) Generation() uint64 { return g.attempts.currentGeneration() }

// Attempts returns the number of attempts in the attempt history.
func (g *Gate) Attempts() int { return g.attempts.len() }

// admit acquires a slot and returns its ticket, or an error with verdict NotRun. The wait for a slot ends when done or
// withdrawn is closed.
func (g *Gate) admit(done, withdrawn <-chan struct{}, r admission.Request) (admission.Ticket, *Backend, error) {
	ticket, backend, outcome, decided, err := g.offer(r)
	switch {
	case err != nil:
		return 0, nil, err
	case decided == nil:
		return g.admissionResult(ticket, backend, outcome.State == admission.Admitted, outcome.Reason, outcome.Wait)
	}
	g.Counters.Queued.Add(1)
	return g.awaitDecision(done, withdrawn, ticket, backend, decided)
}

// offer offers a request to the queue. decided receives the decision on a queued request; it is nil for others.
func (g *Gate) offer(r admission.Request) (ticket admission.Ticket, backend *Backend, outcome admission.Outcome, decided chan admission.Decision, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	backend = g.backend
	if err := g.checkAccepting(backend); err != nil {
		return 0, nil, outcome, nil, err
	}
	ticket, outcome = g.queue.Offer(time.Now(), r)
	g.deliverDecisions(outcome.Decisions)
	if outcome.State == admission.Queued {
		decided = make(chan admission.Decision, 1)
		g.waiters[ticket] = decided
		g.scheduleNextDecision()
	}
	return ticket, backend, outcome, decided, nil
}

// checkAccepting returns an error with verdict NotRun when the gate accepts no requests. It is called with mu held.
func (g *Gate) checkAccepting(backend *Backend) error {
	if err := g.evacuationError(); err != nil {
		return err
	}
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
		// The reason is not NoBundle, so that the ingress retries at other gates, which may have a bundle.
		return verdict.New(verdict.NotRun, verdict.BackendDown, "the node has no bundle yet")
	}
	return nil
}

// admissionResult counts an admission decision and converts it to the results of admit. wait is the time after which a refused
// request would be accepted; 0 if it is not known.
func (g *Gate) admissionResult(t admission.Ticket, b *Backend, admitted bool, reason verdict.Reason, wait time.Duration) (admission.Ticket, *Backend, error) {
	if admitted {
		g.Counters.Admitted.Add(1)
		return t, b, nil
	}
	g.Counters.Refused.Add(1)
	return 0, nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reason, Detail: "refused by the gate", Wait: wait}
}

// awaitDecision waits for the decision on a queued request.
func (g *Gate) awaitDecision(done, withdrawn <-chan struct{}, t admission.Ticket, b *Backend, decided chan admission.Decision) (admission.Ticket, *Backend, error) {
	waitErr := verdict.New(verdict.NotRun, verdict.QueueTimeout, "ended while waiting for a slot")
	select {
	case decision := <-decided:
		if decision.Admitted && !g.mayStartWaiting(b) {
			g.releaseSlot(t, 0)
			return g.admissionResult(t, b, false, verdict.Draining, 0)
		}
		if !decision.Admitted {
			if err := g.checkEvacuation(); err != nil {
				g.Counters.Refused.Add(1)
				return 0, nil, err
			}
		}
		return g.admissionResult(t, b, decision.Admitted, decision.Reason, decision.Wait)
	case <-done:
	case <-withdrawn:
		waitErr = verdict.New(verdict.NotRun, verdict.Draining, "withdrawn by the ingress while waiting for a slot")
	}
	if !g.cancelWaiting(t) {
		// The request was decided concurrently; if it was admitted, its slot must be released.
		if decision := <-decided; decision.Admitted {
			g.releaseSlot(t, 0)
		}
	}
	g.Counters.Canceled.Add(1)
	return 0, nil, waitErr
}

// cancelWaiting removes a request from the queue. It reports false if the request has been decided.
func (g *Gate) cancelWaiting(t admission.Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waiting := g.waiters[t]; !waiting {
		return false
	}
	delete(g.waiters, t)
	g.deliverDecisions(g.queue.Cancel(time.Now(), t))
	return true
}

// mayStartWaiting reports whether a request that has waited for b may be sent to it. The process may have been paused since
// the decision, and the timer of drainCutoff is late then.
func (g *Gate) mayStartWaiting(b *Backend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend.isServer(b) && (!g.backendDraining || time.Now().Before(g.drainCutoff))
}

// deliverDecisions sends decisions to the waiting requests. It is called with mu held.
func (g *Gate) deliverDecisions(decisions []admission.Decision) {
	for _, decision := range decisions {
		if waiter, ok := g.waiters[decision.Ticket]; ok {
			delete(g.waiters, decision.Ticket)
			waiter <- decision
		}
	}
}

// releaseSlot releases a slot. serviceTime is the time that the backend server spent on the request; 0 records none.
func (g *Gate) releaseSlot(t admission.Ticket, serviceTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverDecisions(g.queue.Release(time.Now(), t, serviceTime))
	g.scheduleNextDecision()
}

// scheduleNextDecision sets the timer to the next time at which a waiting request may be refused or admitted although
// no other request has completed. While the queue defers requests until a slow period ends, it also schedules pollLoad.
// It is called with mu held. Without waiting requests no timer runs, so an idle gate uses no CPU time.
func (g *Gate) scheduleNextDecision() {
	if !g.pollScheduled && len(g.waiters) > 0 && g.queue.HasDeferred(time.Now()) {
		g.pollScheduled = true
		time.AfterFunc(loadPollInterval, g.pollLoad)
	}
	at, ok := g.queue.NextDecision()
	if !ok || len(g.waiters) == 0 {
		return
	}
	wait := max(time.Until(at), 0)
	if g.decisionTimer == nil {
		g.decisionTimer = time.AfterFunc(wait, g.decideWaiting)
		return
	}
	g.decisionTimer.Reset(wait)
}

// decideWaiting refuses or admits the waiting requests that are due, and schedules the next decision.
func (g *Gate) decideWaiting() {
	defer g.recoverBackground()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverDecisions(g.queue.Expire(time.Now()))
	g.scheduleNextDecision()
}
