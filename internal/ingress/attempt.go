package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// verdictGrace is the time after the deadline in which a gate's verdict is still awaited: a request
// that expires in the gate's queue is then reported as not-run instead of may-have-run.
const verdictGrace = 150 * time.Millisecond

// attempt sends the request to one endpoint and returns the answer once its head has arrived.
// Errors carry a verdict.
func (in *Ingress) attempt(ctx context.Context, q *request, ep *table.Endpoint, maxWait time.Duration) (*answer, error) {
	in.Counters.Attempts.Add(1)
	seen := observe(ep, q.long)
	conn, err := in.Opener.Open(ctx, ep, laneOf(q.long))
	if err != nil {
		seen.end(openOutcome(ctx), nil)
		return nil, verdict.New(verdict.NotRun, verdict.PeerUnreachable, "%v", err)
	}
	a := &answer{endpoint: ep, conn: conn, body: peer.NewBody(conn), seen: seen}
	// The context ends shortly after the deadline; closing the stream cancels the work at the gate.
	a.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	head := in.head(q, ep, conn.Remote())
	head.MaxWaitUs = uint32(maxWait.Microseconds())
	query := &wire.AttemptQuery{AttemptId: head.AttemptId, Instance: conn.Remote().Instance, Generation: head.Generation}
	in.waiting.Store(query, ep)
	err = in.exchange(ctx, q, a, head)
	in.waiting.Delete(query)
	if err != nil {
		a.close()
		return in.resolve(ctx, a, query, err)
	}
	return a, nil
}

func openOutcome(ctx context.Context) balance.Outcome {
	if ctx.Err() != nil {
		return balance.Canceled
	}
	return balance.Failed
}

func laneOf(long bool) peer.SessionClass {
	if long {
		return peer.SessionLong
	}
	return peer.SessionShort
}

// head returns the first frame of an attempt at ep.
func (in *Ingress) head(q *request, ep *table.Endpoint, remote *peer.Remote) *wire.RequestHead {
	head := &wire.RequestHead{
		AttemptId: newAttemptID(), Service: q.to, Route: q.route.Name, Endpoint: ep.ID,
		Method: q.http.Method, Target: q.http.URL.RequestURI(), Host: q.http.Host, Headers: q.headers,
		ContentLength: q.contentLength(), Streamed: q.rest != nil,
		DeadlineMs: uint32(max(time.Until(q.deadline).Milliseconds(), 0)), Priority: uint32(q.priority),
		Long: q.long, Region: in.Region, Depth: uint32(q.depth), Idempotent: q.idempotent,
		Fingerprint: q.fingerprint, IdempotencyKey: q.key, Generation: remote.Generation.Load(),
	}
	if objective := q.route.Objective.D(); objective > 0 {
		head.HasObjective = true
		head.ObjectiveMs = uint32(max(time.Until(q.started.Add(objective)).Milliseconds(), 0))
	}
	return head
}

// exchange sends the request and reads up to the head of the answer.
func (in *Ingress) exchange(ctx context.Context, q *request, a *answer, head *wire.RequestHead) error {
	if err := sendRequest(q, a.conn, head); err != nil {
		return err
	}
	f, err := a.conn.Read()
	if err != nil {
		return err
	}
	if f.GetContinue() != nil {
		q.restUsed = true
		go sendRest(q, a.conn)
		if f, err = a.conn.Read(); err != nil {
			return err
		}
	}
	switch k := f.Kind.(type) {
	case *wire.Frame_Response:
		a.head = k.Response
		a.conn.Remote().RecordGeneration(k.Response.GetLoad().GetGeneration())
		return nil
	case *wire.Frame_Refusal:
		return in.refused(ctx, a, k.Refusal)
	}
	return errors.Newf("unexpected frame %T instead of an answer", f.Kind)
}

// refused returns the gate's verdict as an error.
func (in *Ingress) refused(ctx context.Context, a *answer, r *wire.Refusal) error {
	a.conn.Remote().RecordGeneration(r.GetLoad().GetGeneration())
	v := verdict.FromWire(r.Verdict)
	outcome := balance.Failed
	switch {
	case ctx.Err() != nil:
		outcome = balance.Canceled
	case v == verdict.NotRun:
		outcome = balance.Refused
	}
	if r.Reason == string(verdict.BackendDown) {
		outcome = balance.Failed
	}
	a.seen.end(outcome, r.Load)
	return &verdict.Error{Verdict: v, Reason: verdict.Reason(r.Reason), Detail: r.Detail, Wait: expectedWait(r.Load)}
}

// expectedWait is the time until a gate with this load has worked off what runs and waits, or 0 when its
// service time is not known.
func expectedWait(l *wire.Load) time.Duration {
	if l == nil || l.Slots == 0 {
		return 0
	}
	ahead := l.InFlight + l.QueuedShort + l.QueuedLong
	return time.Duration(l.ServiceTimeUs) * time.Microsecond * time.Duration(ahead) / time.Duration(l.Slots)
}

// sendRequest writes the head and, unless the body is streamed, the whole body.
func sendRequest(q *request, conn *peer.Conn, head *wire.RequestHead) error {
	frames := []*wire.Frame{{Kind: &wire.Frame_Request{Request: head}}}
	if q.rest != nil {
		return conn.WriteAll(frames...)
	}
	for rest := q.prefix; len(rest) > 0; {
		n := min(len(rest), wire.MaxChunkBytes)
		frames = append(frames, &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: rest[:n]}}})
		rest = rest[n:]
	}
	return conn.WriteAll(append(frames, &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})...)
}

// sendRest streams a large body. On a read error it closes the stream, which cancels the request.
func sendRest(q *request, conn *peer.Conn) {
	body := io.MultiReader(bytes.NewReader(q.prefix), q.rest)
	buf := make([]byte, wire.MaxChunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: buf[:n]}}}) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Trailers: gate.HeadersToWire(q.http.Trailer)}}})
			return
		}
		if err != nil {
			_ = conn.Close()
			return
		}
	}
}

// resolve turns a failed exchange into a verdict. When the connection broke, it asks the gate.
func (in *Ingress) resolve(ctx context.Context, a *answer, query *wire.AttemptQuery, err error) (*answer, error) {
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	if ctx.Err() != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// A frozen endpoint gives no other evidence than deadlines that pass.
			a.seen.end(balance.Failed, nil)
			return nil, verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "no answer within the deadline")
		}
		a.seen.end(balance.Canceled, nil)
		return nil, verdict.New(verdict.MayHaveRun, verdict.Canceled, "the caller went away")
	}
	a.seen.end(balance.Failed, nil)
	fate := in.fateOf(ctx, a.endpoint, query)
	in.Logger.Info("attempt resolved", "event", "attempt_resolved", "endpoint", a.endpoint.ID,
		"verdict", verdict.FromWire(fate.Verdict), "has_answer", fate.HasAnswer, "cause", err)
	if fate.HasAnswer {
		return &answer{endpoint: a.endpoint, head: fate.Response, kept: fate}, nil
	}
	return nil, verdict.New(verdict.FromWire(fate.Verdict), verdict.PeerBroken, "the connection to the gate broke")
}

func outcomeOf(ctx context.Context, status uint32, err error) balance.Outcome {
	switch {
	case ctx.Err() != nil:
		return balance.Canceled
	case err != nil, status >= http.StatusInternalServerError:
		return balance.Failed
	}
	return balance.Success
}
