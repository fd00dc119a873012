// Package ingress accepts HTTP requests from callers, chooses an endpoint for each and relays the answer.
package ingress

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/httpconn"
	"dandelionspoke/internal/metrics"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// firstBundleWait is the longest time for which a request waits for the first bundle, and firstSnapshotPoll the time
	// between two looks at the published snapshot.
	firstBundleWait   = 2 * time.Second
	firstSnapshotPoll = 20 * time.Millisecond
	// firstEndpointsWait is the time after the start in which a node learns the members of its fleet.
	firstEndpointsWait = time.Second
)

// Opener opens a stream to the gate of an endpoint. Nothing has been sent when it returns.
type Opener interface {
	Open(ctx context.Context, ep *table.Endpoint, lane peer.SessionClass) (*peer.Conn, error)
}

// Config holds an ingress's collaborators.
type Config struct {
	Snapshots *table.Publisher
	Opener    Opener
	Chooser   *Chooser
	// Claimer returns the keys of a service; nil refuses keyed requests.
	ClaimsFor func(service string) claim.KeyClaimer
	Budget  *retry.Budget // of retries and hedges
	// Windows holds the budgets of the services; they go before Budget. Nil or without limits: Budget counts.
	ServiceBudgets *retry.ServiceBudgets
	Logger  *slog.Logger
	// Latency records the time of each request; nil records nothing.
	Latency *metrics.Histogram
	// Protocol of the callers; nil means the product's own.
	Protocol Protocol
	Region   string // of this node
	// MaxBodyBytes bounds request bodies besides the route's limit; 0 means that only the route counts.
	MaxBodyBytes int64
	// IsQuarantined reports whether a fingerprint is refused; nil means that none is.
	IsQuarantined func(fingerprint []byte) bool
	// OnRequest is told of each request's service, so that stale load figures are refreshed; nil means no report.
	OnRequest func(service string)
	// OnSuccess is told of requests that ran to the end; nil means no report.
	OnSuccess func(fingerprint []byte)
}

// Counters are totals since start. All are safe for concurrent use.
type Counters struct {
	Requests, Answered, Failed, Aborted, Attempts, Moved, Retries, Hedges, Queries, Replays atomic.Int64
}

// Ingress is an http.Handler. It is safe for concurrent use.
type Ingress struct {
	Config
	Counters Counters
	draining atomic.Bool
	latency  sync.Map // service name to *retry.Latencies
	started  time.Time
	classes  admission.Classes
	splits   sync.Map // name of a split route to *splitCounter
	inFlight sync.WaitGroup
	// waiting holds the attempts without an answer: *wire.AttemptQuery to *table.Endpoint.
	waiting sync.Map
	// closing is set when no further attempt may start.
	closing atomic.Bool
}

// New returns an ingress.
func New(cfg Config) *Ingress {
	if cfg.Protocol == nil {
		cfg.Protocol = nativeProtocol{}
	}
	return &Ingress{Config: cfg, started: time.Now()}
}

// SetDraining makes answers close their connections while true, so that callers move to other nodes.
// Requests that still arrive are served through the gates of other nodes.
func (in *Ingress) SetDraining(draining bool) { in.draining.Store(draining) }

// Withdraw ends what has not started: gates refuse the attempts that still wait for a slot, and no further attempt
// starts. A node calls it shortly before it would cut off the requests in flight, whose callers then hear that theirs
// has not run. Work that has started goes on. It returns when the gates have been told, or with ctx.
func (in *Ingress) Withdraw(ctx context.Context) {
	in.closing.Store(true)
	var told sync.WaitGroup
	in.waiting.Range(func(key, value any) bool {
		query, ep := proto.CloneOf(key.(*wire.AttemptQuery)), value.(*table.Endpoint)
		query.Withdraw = true
		told.Go(func() {
			conn, err := in.Opener.Open(ctx, ep, peer.SessionControl)
			if err == nil {
				_, err = exchangeQuery(ctx, conn, query)
			}
			if err != nil {
				in.Logger.Info("attempt not withdrawn", "event", "withdraw_failed", "endpoint", ep.ID, "error", err)
			}
		})
		return true
	})
	told.Wait()
}

// Wait blocks until no request is in flight.
func (in *Ingress) Wait() { in.inFlight.Wait() }

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler when an answer broke
// after its status line was sent, so that the caller never takes it for complete.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.inFlight.Add(1)
	defer in.inFlight.Done()
	in.Counters.Requests.Add(1)
	started := time.Now()
	defer func() { in.Latency.Record(time.Since(started)) }()
	if err := in.serve(w, r); err != nil {
		in.fail(w, r, err)
	}
}

func (in *Ingress) serve(w http.ResponseWriter, r *http.Request) error {
	q, err := in.parse(r, in.firstSnapshot(r.Context()))
	if err != nil {
		e := verdict.As(err)
		in.Logger.Info("request refused", "event", "request_refused", "method", r.Method, "host", r.Host, "path", r.URL.Path,
			"verdict", e.Verdict, "reason", e.Reason, "detail", e.Detail)
		return err
	}
	err = in.serveParsed(w, r, q)
	in.logServed(r.Context(), q, err)
	return err
}

func (in *Ingress) serveParsed(w http.ResponseWriter, r *http.Request, q *request) error {
	in.awaitEndpoints(r.Context(), q)
	if q.service == nil {
		return verdict.New(verdict.NotRun, verdict.NoEndpoint, "service %s has no endpoint", q.to)
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if !q.idempotent {
		if err := httpconn.AwaitEarlierResponses(ctx); err != nil {
			return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "behind unanswered requests of its connection: %v", err)
		}
	}
	if err := q.readPrefix(ctx, w, in.bodyLimit(q.route)); err != nil {
		return err
	}
	if in.IsQuarantined != nil && in.IsQuarantined(q.fingerprint) {
		return verdict.New(verdict.NotRun, verdict.Quarantined, "the request has crashed backend servers")
	}
	if q.key != "" && !q.idempotent {
		return in.serveKeyed(ctx, w, q)
	}
	a, err := in.run(ctx, q)
	if err != nil {
		return err
	}
	return in.relay(w, q, a)
}

// firstSnapshot returns the newest snapshot. Right after the start it waits for the first bundle, which
// comes from a peer or the store within about a second, so that callers of a restarted node are not refused.
func (in *Ingress) firstSnapshot(ctx context.Context) *table.Snapshot {
	return in.awaitSnapshot(ctx, time.Now().Add(firstBundleWait), func(s *table.Snapshot) bool {
		return s != nil && s.Bundle != nil
	})
}

// awaitEndpoints lets a request to a service without endpoints wait while the node has just started: it hears of the
// endpoints from its peers within some hundred milliseconds. Later such a request is refused at once.
func (in *Ingress) awaitEndpoints(ctx context.Context, q *request) {
	known := func(s *table.Service) bool { return s != nil && len(s.Endpoints) > 0 }
	if known(q.service) {
		return
	}
	q.snapshot = in.awaitSnapshot(ctx, in.started.Add(firstEndpointsWait), func(s *table.Snapshot) bool {
		return known(s.Service(q.to))
	})
	q.service = q.snapshot.Service(q.to)
}

// awaitSnapshot returns the newest snapshot as soon as ok accepts it, and at the latest when the deadline has passed or
// the request has ended.
func (in *Ingress) awaitSnapshot(ctx context.Context, deadline time.Time, ok func(*table.Snapshot) bool) *table.Snapshot {
	for {
		snapshot := in.Snapshots.Load()
		if ok(snapshot) || ctx.Err() != nil || time.Now().After(deadline) {
			return snapshot
		}
		time.Sleep(firstSnapshotPoll)
	}
}

func (in *Ingress) bodyLimit(r *bundle.Route) int64 {
	if in.MaxBodyBytes == 0 {
		return r.MaxBodyBytes
	}
	return min(in.MaxBodyBytes, r.MaxBodyBytes)
}

// fail writes a failed answer with its verdict.
func (in *Ingress) fail(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, http.ErrAbortHandler) {
		in.Counters.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	in.Counters.Failed.Add(1)
	e := verdict.As(err)
	in.endConnection(w, r)
	in.Protocol.Fail(w, r, e, retryAfter(e))
}

// endConnection makes an answer close its connection while the node leaves, unless requests behind it have started:
// the answer to the last of these does.
func (in *Ingress) endConnection(w http.ResponseWriter, r *http.Request) {
	if in.draining.Load() && httpconn.MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// Bounds of the time after which a refused caller should try again. Below the least, the same endpoints would
// most likely refuse again; above the most, load that changes within milliseconds can't be foreseen.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter is the time after which a request that was refused may find room, or 0 when the refusal does not
// depend on time.
func retryAfter(e *verdict.Error) time.Duration {
	if e.Verdict != verdict.NotRun || e.Reason.Status() < http.StatusInternalServerError || e.Reason == verdict.Quarantined {
		return 0
	}
	return min(max(e.Wait, minRetryAfter), maxRetryAfter)
}

// answer is a response whose head has arrived.
type answer struct {
	endpoint *table.Endpoint
	head     *wire.ResponseHead
	conn     *peer.Conn
	body     *peer.Body
	stop     func() bool // detaches the request's context from conn
	release  func()      // ends the context of the attempts; nil for none
	cancel   context.CancelFunc
	seen     *observation
	kept     *wire.AttemptFate // set instead of conn when the gate had kept the whole answer
}

func (a *answer) close() {
	if a.conn != nil {
		a.stop()
		_ = a.conn.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.release != nil {
		a.release()
	}
}

// relay writes the answer to the caller.
func (in *Ingress) relay(w http.ResponseWriter, q *request, a *answer) error {
	defer a.close()
	q.status = int(a.head.Status)
	in.endConnection(w, q.http)
	writeHead(w, a.head)
	if a.kept != nil {
		_, _ = w.Write(a.kept.Body)
		writeTrailers(w, a.kept.Trailers)
		in.Counters.Answered.Add(1)
		return nil
	}
	err := copyBody(w, a)
	outcome := outcomeOf(q.http.Context(), a.head.Status, err)
	a.seen.end(outcome, a.body.End().GetLoad())
	if outcome == balance.Success {
		in.classes.Record(q.to, q.route.Name, q.route.Class == bundle.Long, a.seen.age())
		if q.route.Hedge {
			in.latencies(q).Record(time.Now(), a.seen.age())
		}
	}
	if err != nil {
		return http.ErrAbortHandler
	}
	writeTrailers(w, a.body.End().Trailers)
	in.Counters.Answered.Add(1)
	if in.OnSuccess != nil {
		in.OnSuccess(q.fingerprint)
	}
	return nil
}

func writeHead(w http.ResponseWriter, head *wire.ResponseHead) {
	h := w.Header()
	for _, header := range head.Headers {
		h[header.Name] = header.Values
	}
	if head.ContentLength >= 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(head.ContentLength, 10))
	}
	w.WriteHeader(int(head.Status))
	if head.ContentLength < 0 {
		// Without a flush net/http would send an empty answer with a length and drop its trailers.
		_ = http.NewResponseController(w).Flush()
	}
}

func writeTrailers(w http.ResponseWriter, trailers []*wire.Header) {
	for _, t := range trailers {
		w.Header()[http.TrailerPrefix+t.Name] = t.Values
	}
}

func copyBody(w http.ResponseWriter, a *answer) error {
	flush := a.head.ContentLength < 0
	buf := make([]byte, wire.MaxChunkBytes)
	for {
		n, err := a.body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return writeErr
			}
			if flush {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if a.body.End() != nil && err != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func newAttemptID() []byte {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return id
}

// fateOf asks the gate what became of an attempt whose connection broke.
func (in *Ingress) fateOf(ctx context.Context, ep *table.Endpoint, query *wire.AttemptQuery) *wire.AttemptFate {
	unknown := &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	for ctx.Err() == nil {
		in.Counters.Queries.Add(1)
		conn, err := in.Opener.Open(ctx, ep, peer.SessionControl)
		if err != nil {
			return unknown
		}
		fate, err := exchangeQuery(ctx, conn, query)
		if err != nil {
			return unknown
		}
		if !fate.InProgress {
			return fate
		}
	}
	return unknown
}

func exchangeQuery(ctx context.Context, conn *peer.Conn, query *wire.AttemptQuery) (*wire.AttemptFate, error) {
	defer conn.Close()
	f, err := conn.Exchange(ctx, &wire.Frame{Kind: &wire.Frame_AttemptQuery{AttemptQuery: query}})
	if err != nil {
		return nil, err
	}
	if f.GetAttemptFate() == nil {
		return nil, errors.New("unexpected answer to an attempt query")
	}
	return f.GetAttemptFate(), nil
}
