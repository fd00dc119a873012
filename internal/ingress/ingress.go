// Package ingress accepts HTTP requests from callers, chooses an endpoint for each and relays the response.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/httpconn"
	"dandelionspoke/internal/metrics"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

const (
	// startupBundleWait bounds how long a request waits for the first bundle; snapshotPollInterval is the interval at
	// which it checks the published snapshot.
	startupBundleWait    = 2 * time.Second
	snapshotPollInterval = 20 * time.Millisecond
	// startupEndpointWait is the time after its start in which a node learns the members of the fleet.
	startupEndpointWait = time.Second
)

// Opener opens a stream to the gate of an endpoint. Nothing of the request has been sent when Open returns.
type Opener interface {
	Open(ctx context.Context, ep *table.Endpoint, class peer.SessionClass) (*peer.Conn, error)
}

// Config holds the dependencies and settings of an ingress.
type Config struct {
	Snapshots *table.Publisher
	Opener    Opener
	Chooser   *Chooser
	// ClaimsFor returns the claims on idempotency keys of a service. If nil, keyed requests are refused.
	ClaimsFor func(service string) claim.KeyClaimer
	Budget    *retry.Budget // for retries and hedges
	// ServiceBudgets holds a retry budget for each service, used instead of Budget. Budget applies if it is nil or has no
	// limits.
	ServiceBudgets *retry.ServiceBudgets
	Logger         *slog.Logger
	// Latency records the duration of each request. May be nil.
	Latency *metrics.Histogram
	// Protocol reads the callers' headers and writes failures. If nil, the default protocol is used.
	Protocol Protocol
	Region   string // region of this node
	// MaxBodyBytes bounds request bodies in addition to the route's limit; 0 means that only the route's limit applies.
	MaxBodyBytes int64
	// IsQuarantined reports whether a fingerprint is refused. If nil, none is.
	IsQuarantined func(fingerprint []byte) bool
	// MergeQuarantine is called with the entries of a request that has crashed a backend server. May be nil.
	MergeQuarantine func([]*wire.QuarantineEntry)
	// ClaimTrial reports whether a request that is refused may run as a trial, and otherwise the time until a trial is due, or 0
	// if none is. ReturnTrial takes back a trial that no backend server has run. If nil, there are no trials.
	ClaimTrial  func(ctx context.Context, fingerprints ...[]byte) (ok bool, wait time.Duration)
	ReturnTrial func(fingerprints ...[]byte)
	// OnRequest is called with the service of each request, so that outdated load reports are refreshed. May be nil.
	OnRequest func(service string)
	// OnSuccess is called with the fingerprints of each request whose response was relayed completely. May be nil.
	OnSuccess func(fingerprints ...[]byte)
	// BundleConfirmed reports whether it was confirmed recently that the bundle in force is the latest. While it returns
	// false, requests with a key are refused. If nil, the bundle that the node has applies.
	BundleConfirmed func() bool
	// FleetRank returns the rank of this node among the members of the fleet, from 0, and false while it knows no other
	// member. Nodes with successive ranks start split routes at successive positions. If nil, the rank is unknown.
	FleetRank func() (rank int, ok bool)
	// Limits holds the rate limits of the accounts. If nil, there are none.
	Limits *ratelimit.Limiter
}

// Counters are totals since the start. They are safe for concurrent use.
type Counters struct {
	Requests, Answered, Failed, Aborted, Attempts, Moved, Retries, Queries, Replays atomic.Int64
	// Hedges counts the hedges sent, HedgesWon those that responded first, and the others the hedges that were not sent
	// because no endpoint had room or the budget did not permit them.
	Hedges, HedgesWon, HedgesNoRoom, HedgesNoBudget atomic.Int64
	// UnknownKeys counts the requests refused for a missing key or one of no account.
	UnknownKeys atomic.Int64
	// Panics counts the panics that ended a request.
	Panics atomic.Int64
	// Returning counts the requests that their callers sent again after a refusal; only with accounts.
	Returning atomic.Int64
	// NoAllowedRegion counts the requests that were refused because no endpoint is known in a region that their route and
	// account allow.
	NoAllowedRegion atomic.Int64
}

// Ingress is an http.Handler. It is safe for concurrent use.
type Ingress struct {
	Config
	Counters        Counters
	draining        atomic.Bool
	latencyTrackers sync.Map // service name to *retry.LatencyTracker
	startedAt       time.Time
	classes         admission.Classes
	accountRefusals accountRefusals
	overloads       sync.Map // service name to the time.Time of its last overload
	splitSequences  sync.Map // name of a split route to *splitSequence
	inFlight        sync.WaitGroup
	// pendingAttempts holds the attempts without a response yet: *wire.AttemptQuery to *table.Endpoint.
	pendingAttempts sync.Map
	// unanswered holds the requests that run and have no response yet: *request to its context.CancelCauseFunc.
	unanswered sync.Map
	// closing is set when no more attempts may start.
	closing atomic.Bool
	// latestDeadline is the latest deadline of new requests while the node is about to end; nil at other times.
	latestDeadline atomic.Pointer[time.Time]
	refused        *refusedRequests
}

// New returns an ingress.
func New(cfg Config) *Ingress {
	if cfg.Protocol == nil {
		cfg.Protocol = nativeProtocol{}
	}
	return &Ingress{Config: cfg, startedAt: time.Now(), refused: newRefusedRequests()}
}

// SetDraining controls draining. While it is true, responses close their connections, so that callers connect to
// other nodes. Requests that still arrive are served through the gates of other nodes.
func (in *Ingress) SetDraining(draining bool) { in.draining.Store(draining) }

// LimitDeadlines makes the ingress refuse new requests whose deadline is after latest: the node ends then, and a request that
// still runs would be cut off without a response. Requests that have been sent to a gate continue.
func (in *Ingress) LimitDeadlines(latest time.Time) { in.latestDeadline.Store(&latest) }

// Wait blocks until no request is in flight.
func (in *Ingress) Wait() { in.inFlight.Wait() }

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler when a response fails after its status line
// was sent, so that the caller never takes it for complete.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.inFlight.Add(1)
	defer in.inFlight.Done()
	in.Counters.Requests.Add(1)
	startedAt := time.Now()
	defer func() { in.Latency.Record(time.Since(startedAt)) }()
	if err := in.serve(w, r); err != nil {
		in.writeFailure(w, r, err)
	}
}

func (in *Ingress) serve(w http.ResponseWriter, r *http.Request) (err error) {
	var q *request
	defer func() {
		if value := recover(); value != nil {
			if err = in.handlerPanic(q, value); q != nil {
				in.returnTokenAfter(q, err)
				in.accountRefusals.record(q, err)
				in.logRequestEnd(r.Context(), q, err)
			}
		}
	}()
	q, err = in.parse(r, in.awaitBundle(r.Context()))
	if err != nil {
		e := verdict.As(err)
		in.Logger.Info("request refused", "event", "request_refused", "method", r.Method, "host", r.Host, "path", r.URL.Path,
			"verdict", e.Verdict, "reason", e.Reason, "detail", e.Detail)
		return err
	}
	err = in.serveParsed(w, r, q)
	in.returnTokenAfter(q, err)
	in.accountRefusals.record(q, err)
	in.logRequestEnd(r.Context(), q, err)
	return err
}

func (in *Ingress) serveParsed(w http.ResponseWriter, r *http.Request, q *request) error {
	if err := in.selectAccount(q); err != nil {
		return err
	}
	if err := in.restrictRegions(q); err != nil {
		return err
	}
	if err := in.takeToken(r.Context(), q); err != nil {
		return err
	}
	in.awaitEndpoints(r.Context(), q)
	if err := in.checkEndpointKnown(q); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if !q.idempotent {
		if err := httpconn.AwaitEarlierResponses(ctx); err != nil {
			return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "behind unanswered requests of its connection: %v", err)
		}
	}
	if err := q.readBodyPrefix(ctx, w, in.bodyLimit(q.route)); err != nil {
		return err
	}
	if latest := in.latestDeadline.Load(); latest != nil && q.deadline.After(*latest) {
		return verdict.New(verdict.NotRun, verdict.Draining, "the node ends before the deadline of the request")
	}
	if err := in.checkQuarantine(ctx, q); err != nil {
		return err
	}
	err := in.serveAdmitted(ctx, w, q)
	if q.trial && err != nil && verdict.Of(err) == verdict.NotRun {
		in.ReturnTrial(q.fingerprint, q.callerFingerprint)
	}
	return err
}

func (in *Ingress) isQuarantined(q *request) bool {
	return in.IsQuarantined != nil && (in.IsQuarantined(q.fingerprint) || in.IsQuarantined(q.callerFingerprint))
}

// checkQuarantine refuses a request in quarantine, unless it becomes a trial.
func (in *Ingress) checkQuarantine(ctx context.Context, q *request) error {
	if !in.isQuarantined(q) {
		return nil
	}
	refusal := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Quarantined, Detail: "the request has crashed backend servers"}
	if in.ClaimTrial != nil {
		q.trial, refusal.Wait = in.ClaimTrial(ctx, q.fingerprint, q.callerFingerprint)
	}
	if q.trial {
		return nil
	}
	return refusal
}

// serveAdmitted runs a request that may run, and relays its response.
func (in *Ingress) serveAdmitted(ctx context.Context, w http.ResponseWriter, q *request) error {
	if q.idempotencyKey != "" && !q.idempotent {
		return in.serveKeyed(ctx, w, q)
	}
	resp, err := in.run(ctx, q)
	if err != nil {
		return err
	}
	return in.relay(w, q, resp)
}

// awaitBundle returns the newest snapshot. After a start it waits for the first bundle, which arrives from a peer or
// the store within about a second, so that a restarted node does not refuse its first requests.
func (in *Ingress) awaitBundle(ctx context.Context) *table.Snapshot {
	return in.awaitSnapshot(ctx, time.Now().Add(startupBundleWait), func(s *table.Snapshot) bool {
		return s != nil && s.Bundle != nil
	})
}

// awaitEndpoints delays a request to a service without endpoints shortly after the node's start, since the node learns
// of the endpoints from its peers within a few hundred milliseconds. Later, such a request is refused immediately.
func (in *Ingress) awaitEndpoints(ctx context.Context, q *request) {
	known := func(s *table.Service) bool { return s != nil && len(s.Endpoints) > 0 }
	if known(q.service) {
		return
	}
	q.snapshot = in.awaitSnapshot(ctx, in.startedAt.Add(startupEndpointWait), func(s *table.Snapshot) bool {
		return known(q.view(s))
	})
	q.service = q.view(q.snapshot)
}

// awaitSnapshot waits until ok accepts the newest snapshot, the deadline has passed or ctx has ended, and returns the
// newest snapshot.
func (in *Ingress) awaitSnapshot(ctx context.Context, deadline time.Time, ok func(*table.Snapshot) bool) *table.Snapshot {
	for {
		snapshot := in.Snapshots.Load()
		if ok(snapshot) || ctx.Err() != nil || time.Now().After(deadline) {
			return snapshot
		}
		time.Sleep(snapshotPollInterval)
	}
}

func (in *Ingress) bodyLimit(r *bundle.Route) int64 {
	if in.MaxBodyBytes == 0 {
		return r.MaxBodyBytes
	}
	return min(in.MaxBodyBytes, r.MaxBodyBytes)
}

// writeFailure responds to a failed request with its verdict. It aborts the connection when a response has begun.
func (in *Ingress) writeFailure(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, http.ErrAbortHandler) {
		in.Counters.Aborted.Add(1)
		httpconn.AbortResponse(r)
		panic(http.ErrAbortHandler)
	}
	in.Counters.Failed.Add(1)
	e := verdict.As(err)
	in.closeIfDraining(w, r)
	if e.Reason == verdict.UnknownKey {
		w.Header().Set("WWW-Authenticate", "Bearer") // HTTP requires it in each response with status 401
	}
	in.Protocol.Fail(w, r, e, retryAfter(e))
}

// closeIfDraining makes the response close its connection while the node drains. If pipelined requests behind it have
// started, only the response to the last of them closes the connection.
func (in *Ingress) closeIfDraining(w http.ResponseWriter, r *http.Request) {
	if in.draining.Load() && httpconn.MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// Bounds of the delay after which a refused caller should retry. After a shorter delay, the same endpoints would most
// likely refuse again; for a longer one, load that changes within milliseconds cannot be predicted.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = admission.MaxReturnDelay
)

// retryAfter returns the delay after which a refused request may be accepted, or 0 when the refusal does not depend on
// time. That of a rate limit is known and is not bounded.
func retryAfter(e *verdict.Error) time.Duration {
	if e.Verdict == verdict.NotRun && e.Reason.Status() == http.StatusTooManyRequests {
		return e.Wait
	}
	if e.Verdict != verdict.NotRun || e.Reason.Status() < http.StatusInternalServerError || e.Reason == verdict.Quarantined && e.Wait == 0 {
		return 0
	}
	return min(max(e.Wait, minRetryAfter), maxRetryAfter)
}
