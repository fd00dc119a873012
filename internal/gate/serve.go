package gate

import (
	"context"
	"io"
	"slices"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// maxQueryWait bounds how long a query waits for an attempt that is still running.
const maxQueryWait = time.Second

// errPeerBroken is the cancellation cause of a request during which the session to the ingress broke.
var errPeerBroken = errors.New("gate: the session to the ingress broke")

// call holds the state of one attempt while the gate serves it.
type call struct {
	gate      *Gate
	conn      *peer.Conn
	head      *wire.RequestHead
	id        attemptID
	body      *requestBody
	recorder  *responseRecorder
	cancel    context.CancelCauseFunc
	queueTime time.Duration // time spent waiting for a slot
	// slowness of the backend server when the attempt was offered to the queue; 0 if unknown
	slowness      float64
	backendStatus int // status code of the backend server's response; 0 if there is none
	// ticket is that of the slot that the attempt holds while holdsSlot is set. forwarded is set once the backend server may
	// have received the request.
	ticket               admission.Ticket
	holdsSlot, forwarded bool
	registered           bool                    // the attempt history holds a record of the attempt that is still running
	crashEntries         []*wire.QuarantineEntry // of the request, if it has crashed the backend server
	holdsTrial           bool                    // gate.trialRunning is set for the attempt
	// reserved is set while the ramp of the backend server holds a place for the request; it ends when the request is sent.
	reserved bool
}

// Serve serves one attempt, whose head has already been read from conn, and writes the response or a refusal to conn.
func (g *Gate) Serve(ctx context.Context, conn *peer.Conn, head *wire.RequestHead) {
	g.inFlight.Add(1)
	defer g.inFlight.Done()
	c := &call{gate: g, conn: conn, head: head, body: newRequestBody()}
	defer c.recoverServe()
	if g.WriteLimiter != nil {
		conn.SetWriteLimiter(g.WriteLimiter(head.Region, head.Long, int(head.Priority)))
	}
	if len(head.AttemptId) != len(c.id) {
		c.refuse(verdict.New(verdict.NotRun, verdict.BadRequest, "attempt identifier of %d bytes", len(head.AttemptId)))
		return
	}
	copy(c.id[:], head.AttemptId)
	record := g.attempts.begin(c.id, head.Generation, time.Now())
	if record == nil {
		g.Counters.DuplicateAttempts.Add(1)
		c.refuse(verdict.New(verdict.NotRun, verdict.AttemptRefused, "the attempt was refused earlier or is a duplicate"))
		return
	}
	c.registered = true
	timeout := time.Duration(head.DeadlineMs) * time.Millisecond
	ctx, cancelTimeout := context.WithTimeout(ctx, timeout)
	defer cancelTimeout()
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	c.run(ctx, record.withdrawn)
}

// run admits the attempt, forwards it to the backend server and records its outcome.
func (c *call) run(ctx context.Context, withdrawn <-chan struct{}) {
	deadline, _ := ctx.Deadline()
	// Closing the body unblocks readRequest when the backend server no longer reads it.
	defer c.body.Close()
	defer c.releaseTrial()
	c.recorder = newResponseRecorder(c.head.Idempotent, c.gate.responseKeepLimit())
	// Reading in the background detects a caller that disconnects while the request waits for a slot.
	go c.readRequest()

	err := c.gate.checkEvacuation()
	if err == nil {
		err = c.checkRequest()
	}
	if err == nil {
		err = c.checkEnd(deadline)
	}
	if err != nil {
		c.finishRefused(err)
		return
	}
	if c.gate.pauses.justResumed(time.Now()) {
		c.finishRefused(verdict.New(verdict.NotRun, verdict.BackendDown, "the node was paused and the deadline may have passed"))
		return
	}
	if b := c.gate.Backend(); b != nil {
		c.gate.watchSlowStart(b)
	}
	if err := c.gate.reserveSend(); err != nil {
		c.finishRefused(err)
		return
	}
	c.reserved = true
	offeredAt := time.Now()
	if b := c.gate.Backend(); b != nil && (c.head.MaxWaitUs > 0 || c.head.HasObjective) {
		c.slowness = c.gate.currentSlowness(ctx, b)
	}
	var objective time.Time
	if c.head.HasObjective {
		objective = offeredAt.Add(time.Duration(c.head.ObjectiveMs) * time.Millisecond)
	}
	ticket, backend, err := c.gate.admit(ctx.Done(), withdrawn, admission.Request{
		Route: c.head.Service + " " + c.head.Route, Long: c.head.Long, Priority: int(c.head.Priority), Deadline: deadline,
		MaxWait: time.Duration(c.head.MaxWaitUs) * time.Microsecond, Slowness: c.slowness,
		Objective: objective, Account: c.head.Account, AccountWeight: c.head.AccountWeight, Returning: c.head.Returning,
	})
	c.gate.accounts.count(c.head.Account, err)
	if err != nil {
		c.releaseSend()
		c.finishRefused(err)
		return
	}
	c.ticket, c.holdsSlot = ticket, true
	admittedAt := time.Now()
	if hasPassed(deadline, admittedAt) {
		// The process may have been paused while the request waited, and the timer of ctx is late.
		c.releaseSlot(0)
		c.releaseSend()
		c.finishRefused(verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed before the request was sent"))
		return
	}
	c.queueTime = admittedAt.Sub(offeredAt)
	c.gate.QueueTime.Record(c.queueTime)
	c.forwarded = true
	err = c.forward(ctx, backend, c.body)
	c.releaseSend()
	serviceTime := time.Since(admittedAt)
	c.gate.ServiceTime.Record(serviceTime)
	c.logForwarded(ctx, backend, serviceTime, err)
	if err != nil && verdict.Of(err) == verdict.NotRun {
		serviceTime = 0
	}
	c.releaseSlot(serviceTime)
	c.finish(err)
}

// releaseSlot releases the slot of the attempt, if it holds one.
func (c *call) releaseSlot(serviceTime time.Duration) {
	if c.holdsSlot {
		c.holdsSlot = false
		c.gate.releaseSlot(c.ticket, serviceTime)
	}
}

// releaseSend returns the reserved place of the attempt in the ramp, if it holds one.
func (c *call) releaseSend() {
	if c.reserved {
		c.reserved = false
		c.gate.releaseSend()
	}
}

func (g *Gate) responseKeepLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maxResponseKeepBytes
}

// checkRequest refuses requests for another endpoint or service, and requests in quarantine that are no trials.
func (c *call) checkRequest() error {
	backend := c.gate.Backend()
	if backend != nil && (backend.ID != c.head.Endpoint || backend.Service != c.head.Service) {
		return verdict.New(verdict.NotRun, verdict.WrongGate, "endpoint %s is not beside this node", c.head.Endpoint)
	}
	if q := c.gate.IsQuarantined; q == nil || !slices.ContainsFunc(c.fingerprints(), q) {
		return nil
	}
	if !c.head.QuarantineTrial {
		return verdict.New(verdict.NotRun, verdict.Quarantined, "the request has crashed backend servers")
	}
	if !c.gate.trialRunning.CompareAndSwap(false, true) {
		return verdict.New(verdict.NotRun, verdict.Busy, "another trial of a request in quarantine is running")
	}
	c.holdsTrial = true
	return nil
}

// checkEnd refuses a request that may be broken off when the node ends; see SetEnd. An ingress that has no other gate to choose accepts
// any wait.
func (c *call) checkEnd(deadline time.Time) error {
	end := c.gate.endsAt.Load()
	if end == nil || c.head.Idempotent || c.head.MaxWaitUs == 0 || !deadline.After(*end) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Draining, "the node ends before the deadline of the request")
}

// releaseTrial lets the next trial run, if the attempt is one.
func (c *call) releaseTrial() {
	if c.holdsTrial {
		c.holdsTrial = false
		c.gate.trialRunning.Store(false)
	}
}

// readRequest copies the chunks of the request body to c.body, and cancels the request when the ingress closes the
// stream early.
func (c *call) readRequest() {
	defer c.recoverRead()
	for {
		f, err := c.conn.Read()
		if err != nil {
			c.handleReadError(err)
			return
		}
		switch k := f.Kind.(type) {
		case *wire.Frame_Chunk:
			// A write error means that the backend server no longer reads the body. Reading goes on in order to
			// detect a cancellation.
			_, _ = c.body.Write(k.Chunk.Data)
		case *wire.Frame_End:
			c.body.CloseWithError(nil)
		default:
			c.body.CloseWithError(errors.Newf("unexpected frame %T in a request", k))
			c.cancel(errors.New("malformed request stream"))
			return
		}
	}
}

func (c *call) handleReadError(err error) {
	if !errors.Is(err, io.EOF) || c.conn.SessionClosed() {
		c.body.CloseWithError(errPeerBroken)
		// A non-idempotent request continues, so that the ingress can query its retained response.
		if c.head.Idempotent {
			c.cancel(errPeerBroken)
		}
		return
	}
	c.body.CloseWithError(context.Canceled)
	c.cancel(context.Canceled)
}

// finishRefused records that the attempt has not run, and refuses it.
func (c *call) finishRefused(err error) {
	c.gate.attempts.finish(c.id, time.Now(), verdict.NotRun, nil)
	c.refuse(err)
}

// finish records the outcome of a forwarded attempt, and refuses it if no response head has been sent.
func (c *call) finish(err error) {
	if err == nil {
		c.gate.Counters.Ran.Add(1)
		c.gate.attempts.finish(c.id, time.Now(), verdict.Ran, c.recorder.outcome())
		return
	}
	v := verdict.Of(err)
	if c.recorder.headSent {
		v = verdict.Ran
	}
	c.gate.Counters.Broken.Add(1)
	c.gate.attempts.finish(c.id, time.Now(), v, nil)
	if !c.recorder.headSent {
		c.refuse(err)
	}
}

// refuse sends a refusal with the verdict of err instead of a response.
func (c *call) refuse(err error) {
	e := verdict.As(err)
	load := c.gate.Load()
	c.logRefused(e, load)
	c.sendRefusal(e, load)
}

func (c *call) sendRefusal(e *verdict.Error, load *wire.Load) {
	refusal := &wire.Refusal{Verdict: e.Verdict.Wire(), Reason: string(e.Reason), Detail: e.Detail, Load: load, WaitMs: waitMillis(e.Wait), Quarantine: c.crashEntries}
	_ = c.conn.Write(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: refusal}})
}

// ServeQuery answers a query for the outcome of an attempt.
func (g *Gate) ServeQuery(ctx context.Context, conn *peer.Conn, q *wire.AttemptQuery) {
	g.Counters.Queries.Add(1)
	_ = conn.Write(&wire.Frame{Kind: &wire.Frame_AttemptFate{AttemptFate: g.attemptOutcome(ctx, q)}})
}

// attemptOutcome returns the outcome of an attempt, after waiting up to maxQueryWait for a running one.
func (g *Gate) attemptOutcome(ctx context.Context, q *wire.AttemptQuery) *wire.AttemptFate {
	var id attemptID
	if q.Instance != g.instance || len(q.AttemptId) != len(id) {
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	}
	copy(id[:], q.AttemptId)
	if q.Withdraw {
		g.attempts.withdraw(id)
	}
	record := g.attempts.query(id, q.Generation, time.Now())
	if record == nil {
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	}
	timer := time.NewTimer(maxQueryWait)
	defer timer.Stop()
	select {
	case <-record.done:
	case <-timer.C:
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN, InProgress: true}
	case <-ctx.Done():
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	}
	if record.response != nil {
		return record.response
	}
	return &wire.AttemptFate{Verdict: record.verdict.Wire()}
}

// responseRecorder retains a small response to a non-idempotent request, so that an ingress can query it later.
type responseRecorder struct {
	maxBodyBytes int // 0 retains nothing
	headSent     bool
	retained     wire.AttemptFate
	tooLarge     bool
}

func newResponseRecorder(idempotent bool, limit int) *responseRecorder {
	if idempotent {
		limit = 0
	}
	return &responseRecorder{maxBodyBytes: limit}
}

func (r *responseRecorder) addBody(data []byte) {
	if r.tooLarge || len(r.retained.Body)+len(data) > r.maxBodyBytes {
		r.tooLarge = true
		r.retained.Body = nil
		return
	}
	r.retained.Body = append(r.retained.Body, data...)
}

// outcome returns the complete response, or nil if it was too large or is not retained.
func (r *responseRecorder) outcome() *wire.AttemptFate {
	if r.maxBodyBytes == 0 || r.tooLarge {
		return nil
	}
	r.retained.Verdict = wire.Verdict_RAN
	r.retained.HasAnswer = true
	return &r.retained
}
