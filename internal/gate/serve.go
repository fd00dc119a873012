package gate

import (
	"context"
	"io"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// maxQueryWait bounds how long a query waits for an attempt that is still running.
const maxQueryWait = time.Second

// errPeerBroken is the cancellation cause when the session to the ingress broke while a request ran.
var errPeerBroken = errors.New("gate: the session to the ingress broke")

// call is one attempt that is being served.
type call struct {
	gate   *Gate
	conn   *peer.Conn
	head   *wire.RequestHead
	id     attemptID
	body   *requestBody
	keep   *answerKeeper
	cancel context.CancelCauseFunc
	waited time.Duration // for a slot
	// slowness of the backend server when the attempt was offered; 0 is unknown
	slowness float64
	status   int // of the backend server's answer; 0 without one
}

// Serve runs one attempt whose head has been read from conn, and writes the answer to conn.
func (g *Gate) Serve(ctx context.Context, conn *peer.Conn, head *wire.RequestHead) {
	g.inFlight.Add(1)
	defer g.inFlight.Done()
	c := &call{gate: g, conn: conn, head: head, body: newRequestBody()}
	if g.Pace != nil {
		conn.SetWriteLimiter(g.Pace(head.Region, head.Long))
	}
	if len(head.AttemptId) != len(c.id) {
		c.refuse(verdict.New(verdict.NotRun, verdict.BadRequest, "attempt identifier of %d bytes", len(head.AttemptId)))
		return
	}
	copy(c.id[:], head.AttemptId)
	attempt := g.attempts.begin(c.id, head.Generation, time.Now())
	if attempt == nil {
		g.Counters.DuplicateAttempts.Add(1)
		c.refuse(verdict.New(verdict.NotRun, verdict.AttemptRefused, "the attempt was refused earlier or is a duplicate"))
		return
	}
	timeout := time.Duration(head.DeadlineMs) * time.Millisecond
	ctx, cancelTimeout := context.WithTimeout(ctx, timeout)
	defer cancelTimeout()
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	c.run(ctx, attempt.withdrawn)
}

func (c *call) run(ctx context.Context, withdrawn <-chan struct{}) {
	deadline, _ := ctx.Deadline()
	// readRequest must not stay blocked on a body that nobody reads any more.
	defer c.body.Close()
	c.keep = newAnswerKeeper(c.head.Idempotent, c.gate.keepLimit())
	// The reader notices a caller that goes away while the request waits for a slot.
	go c.readRequest()

	if err := c.check(); err != nil {
		c.finishRefused(err)
		return
	}
	offered := time.Now()
	if b := c.gate.Backend(); b != nil && (c.head.MaxWaitUs > 0 || c.head.HasObjective) {
		c.slowness = c.gate.freshSlowness(ctx, b)
	}
	var objective time.Time
	if c.head.HasObjective {
		objective = offered.Add(time.Duration(c.head.ObjectiveMs) * time.Millisecond)
	}
	ticket, backend, err := c.gate.admit(ctx.Done(), withdrawn, admission.Request{
		Route: c.head.Service + " " + c.head.Route, Long: c.head.Long, Priority: int(c.head.Priority), Deadline: deadline,
		MaxWait: time.Duration(c.head.MaxWaitUs) * time.Microsecond, Slowness: c.slowness,
		Objective: objective,
	})
	if err != nil {
		c.finishRefused(err)
		return
	}
	started := time.Now()
	c.waited = started.Sub(offered)
	c.gate.QueueTime.Record(c.waited)
	err = c.forward(ctx, backend, c.body)
	ran := time.Since(started)
	c.gate.ServiceTime.Record(ran)
	c.logRan(ctx, backend, ran, err)
	if err != nil && verdict.Of(err) == verdict.NotRun {
		ran = 0
	}
	c.gate.release(ticket, ran)
	c.finish(err)
}

func (g *Gate) keepLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keepBytes
}

func (c *call) check() error {
	backend := c.gate.Backend()
	if backend != nil && (backend.ID != c.head.Endpoint || backend.Service != c.head.Service) {
		return verdict.New(verdict.NotRun, verdict.WrongGate, "endpoint %s is not beside this node", c.head.Endpoint)
	}
	if q := c.gate.IsQuarantined; q != nil && len(c.head.Fingerprint) > 0 && q(c.head.Fingerprint) {
		return verdict.New(verdict.NotRun, verdict.Quarantined, "the request has crashed backend servers")
	}
	return nil
}

// readRequest passes body frames on and cancels the call when the ingress closes the stream early.
func (c *call) readRequest() {
	for {
		f, err := c.conn.Read()
		if err != nil {
			c.readFailed(err)
			return
		}
		switch k := f.Kind.(type) {
		case *wire.Frame_Chunk:
			// A write error means that the backend server no longer wants the body; keep
			// reading so that a cancellation is still noticed.
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

func (c *call) readFailed(err error) {
	if !errors.Is(err, io.EOF) || c.conn.SessionClosed() {
		c.body.CloseWithError(errPeerBroken)
		// Work that must not run twice goes on, so that the ingress can ask for the kept answer.
		if c.head.Idempotent {
			c.cancel(errPeerBroken)
		}
		return
	}
	c.body.CloseWithError(context.Canceled)
	c.cancel(context.Canceled)
}

func (c *call) finishRefused(err error) {
	c.gate.attempts.finish(c.id, time.Now(), verdict.NotRun, nil)
	c.refuse(err)
}

func (c *call) finish(err error) {
	if err == nil {
		c.gate.Counters.Ran.Add(1)
		c.gate.attempts.finish(c.id, time.Now(), verdict.Ran, c.keep.fate())
		return
	}
	v := verdict.Of(err)
	if c.keep.headSent {
		v = verdict.Ran
	}
	c.gate.Counters.Broken.Add(1)
	c.gate.attempts.finish(c.id, time.Now(), v, nil)
	if !c.keep.headSent {
		c.refuse(err)
	}
}

// refuse answers with a verdict instead of a response.
func (c *call) refuse(err error) {
	e := verdict.As(err)
	load := c.gate.Load()
	c.logRefused(e, load)
	refusal := &wire.Refusal{Verdict: e.Verdict.Wire(), Reason: string(e.Reason), Detail: e.Detail, Load: load}
	_ = c.conn.Write(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: refusal}})
}

// ServeQuery answers what became of an attempt.
func (g *Gate) ServeQuery(ctx context.Context, conn *peer.Conn, q *wire.AttemptQuery) {
	g.Counters.Queries.Add(1)
	_ = conn.Write(&wire.Frame{Kind: &wire.Frame_AttemptFate{AttemptFate: g.fate(ctx, q)}})
}

func (g *Gate) fate(ctx context.Context, q *wire.AttemptQuery) *wire.AttemptFate {
	var id attemptID
	if q.Instance != g.instance || len(q.AttemptId) != len(id) {
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	}
	copy(id[:], q.AttemptId)
	if q.Withdraw {
		g.attempts.withdraw(id)
	}
	a := g.attempts.query(id, q.Generation, time.Now())
	if a == nil {
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	}
	timer := time.NewTimer(maxQueryWait)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN, InProgress: true}
	case <-ctx.Done():
		return &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	}
	if a.answer != nil {
		return a.answer
	}
	return &wire.AttemptFate{Verdict: a.verdict.Wire()}
}

// answerKeeper collects a small answer to a non-idempotent request.
type answerKeeper struct {
	limit    int // 0: keep nothing
	headSent bool
	kept     wire.AttemptFate
	overflow bool
}

func newAnswerKeeper(idempotent bool, limit int) *answerKeeper {
	if idempotent {
		limit = 0
	}
	return &answerKeeper{limit: limit}
}

func (k *answerKeeper) add(data []byte) {
	if k.overflow || len(k.kept.Body)+len(data) > k.limit {
		k.overflow = true
		k.kept.Body = nil
		return
	}
	k.kept.Body = append(k.kept.Body, data...)
}

// fate returns the whole answer, or nil when it was too large or is not kept.
func (k *answerKeeper) fate() *wire.AttemptFate {
	if k.limit == 0 || k.overflow {
		return nil
	}
	k.kept.Verdict = wire.Verdict_RAN
	k.kept.HasAnswer = true
	return &k.kept
}
