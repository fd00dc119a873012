package ingress

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/link"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// verdictGrace is the time after the deadline for which the ingress waits for the gate's verdict, so that
// a request that expires in the gate's queue is reported as not-run instead of may-have-run.
const verdictGrace = 150 * time.Millisecond

// sendAttempt sends the request to one endpoint and returns the response once its head has arrived. The gate
// refuses the attempt when it expects a wait above maxWait; 0 accepts any. Errors carry a verdict. It recovers panics, since
// it may run in a goroutine of its own.
func (in *Ingress) sendAttempt(ctx context.Context, q *request, ep *table.Endpoint, maxWait time.Duration) (resp *response, err error) {
	in.Counters.Attempts.Add(1)
	obs := startObservation(ep, q.long)
	defer func() {
		if value := recover(); value != nil {
			in.recordPanic(q, value)
			obs.end(balance.Failed, nil)
			if resp != nil {
				resp.close()
			}
			resp, err = nil, errHandlingPanicked()
		}
	}()
	conn, err := in.Opener.Open(in.openContext(ctx, q, ep), ep, sessionClass(q.long))
	if err != nil {
		obs.end(openOutcome(ctx), nil)
		return nil, verdict.New(verdict.NotRun, verdict.PeerUnreachable, "%v", err)
	}
	resp = &response{endpoint: ep, conn: conn, body: peer.NewBody(conn), observation: obs}
	// The context ends verdictGrace after the deadline, or when the attempt is canceled. Closing the stream cancels the request at the gate.
	resp.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	head := in.requestHead(q, ep, conn.Remote())
	head.MaxWaitUs = uint32(maxWait.Microseconds())
	query := &wire.AttemptQuery{AttemptId: head.AttemptId, Instance: conn.Remote().Instance, Generation: head.Generation}
	err = in.exchangePending(ctx, q, resp, head, query)
	if err != nil {
		resp.close()
		return in.resolveFailure(ctx, q, resp, query, err)
	}
	return resp, nil
}

// openContext returns a context with the priority of the request if its stream uses a link between regions.
func (in *Ingress) openContext(ctx context.Context, q *request, ep *table.Endpoint) context.Context {
	if ep.Region == in.Region {
		return ctx
	}
	return link.WithPriority(ctx, q.priority)
}

func openOutcome(ctx context.Context) balance.Outcome {
	if ctx.Err() != nil {
		return balance.Canceled
	}
	return balance.Failed
}

func sessionClass(long bool) peer.SessionClass {
	if long {
		return peer.SessionLong
	}
	return peer.SessionShort
}

func newAttemptID() []byte {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return id
}

// requestHead returns the head of an attempt on ep, its first frame.
func (in *Ingress) requestHead(q *request, ep *table.Endpoint, remote *peer.Remote) *wire.RequestHead {
	head := &wire.RequestHead{
		AttemptId: newAttemptID(), Service: q.serviceName, Route: q.route.Name, Endpoint: ep.ID,
		Method: q.httpRequest.Method, Target: requestTarget(q.httpRequest), Host: q.httpRequest.Host, Headers: q.headers,
		ContentLength: q.contentLength(), Streamed: q.bodyRest != nil,
		DeadlineMs: uint32(max(time.Until(q.deadline).Milliseconds(), 0)), Priority: uint32(q.priority),
		Long: q.long, Region: in.Region, Depth: uint32(q.depth), Idempotent: q.idempotent,
		Fingerprint: q.fingerprint, CallerFingerprint: q.callerFingerprint, IdempotencyKey: q.idempotencyKey, Generation: remote.Generation.Load(),
	}
	if objective := q.route.Objective.D(); objective > 0 {
		head.HasObjective = true
		head.ObjectiveMs = uint32(max(time.Until(q.startedAt.Add(objective)).Milliseconds(), 0))
	}
	head.QuarantineTrial = q.trial
	setAccount(q, head)
	return head
}

// exchange sends the request and reads the head of the response.
func (in *Ingress) exchange(ctx context.Context, q *request, resp *response, head *wire.RequestHead) error {
	if err := sendRequest(q, resp.conn, head); err != nil {
		if errors.Is(err, peer.ErrNotSent) {
			resp.observation.end(balance.Canceled, nil)
			return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "waited for the link between regions: %v", err)
		}
		return err
	}
	f, err := resp.conn.Read()
	if err != nil {
		return err
	}
	if f.GetContinue() != nil {
		q.bodyRestUsed = true
		go in.streamBody(q, resp.conn)
		if f, err = resp.conn.Read(); err != nil {
			return err
		}
	}
	switch k := f.Kind.(type) {
	case *wire.Frame_Response:
		resp.head = k.Response
		resp.conn.Remote().RecordGeneration(k.Response.GetLoad().GetGeneration())
		return checkResponse(q, resp, k.Response)
	case *wire.Frame_Refusal:
		return in.refusalError(ctx, resp, k.Refusal)
	}
	return errors.Newf("unexpected frame %T instead of an answer", f.Kind)
}

// checkResponse returns an error if the head of a response from another node is malformed.
func checkResponse(q *request, resp *response, head *wire.ResponseHead) error {
	if err := gate.CheckResponse(q.httpRequest.Method, head); err != nil {
		resp.observation.end(balance.Failed, head.GetLoad())
		return verdict.New(verdict.MayHaveRun, verdict.PeerBroken, "malformed response: %v", err)
	}
	return nil
}

// refusalError records the refusal of a gate and returns its verdict as an error.
func (in *Ingress) refusalError(ctx context.Context, resp *response, r *wire.Refusal) error {
	resp.conn.Remote().RecordGeneration(r.GetLoad().GetGeneration())
	if len(r.GetQuarantine()) > 0 && in.MergeQuarantine != nil {
		in.MergeQuarantine(r.GetQuarantine())
	}
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
	resp.observation.end(outcome, r.Load)
	return &verdict.Error{Verdict: v, Reason: verdict.Reason(r.Reason), Detail: r.Detail, Wait: refusalWait(r)}
}

// refusalWait returns the time after which the gate expects room for the request, or 0 when it is not known.
func refusalWait(r *wire.Refusal) time.Duration {
	if r.WaitMs > 0 {
		return time.Duration(r.WaitMs) * time.Millisecond
	}
	return expectedWait(r.Load)
}

// expectedWait returns the time that a gate with this load needs for its running and queued requests, or 0 when the
// service time is not known.
func expectedWait(l *wire.Load) time.Duration {
	if l == nil || l.Slots == 0 {
		return 0
	}
	ahead := l.InFlight + l.QueuedShort + l.QueuedLong
	return time.Duration(l.ServiceTimeUs) * time.Microsecond * time.Duration(ahead) / time.Duration(l.Slots)
}

// sendRequest writes the head and, unless the body is streamed, the complete body.
func sendRequest(q *request, conn *peer.Conn, head *wire.RequestHead) error {
	frames := []*wire.Frame{{Kind: &wire.Frame_Request{Request: head}}}
	if q.bodyRest != nil {
		return conn.WriteAll(frames...)
	}
	for remaining := q.bodyPrefix; len(remaining) > 0; {
		n := min(len(remaining), wire.MaxChunkBytes)
		frames = append(frames, &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: remaining[:n]}}})
		remaining = remaining[n:]
	}
	return conn.WriteAll(append(frames, &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})...)
}

// streamBody sends the chunks of a large body, from its start. On a read error it closes the stream, which cancels the request.
func (in *Ingress) streamBody(q *request, conn *peer.Conn) {
	defer func() {
		if value := recover(); value != nil {
			in.recordPanic(q, value)
			_ = conn.Close()
		}
	}()
	body := io.MultiReader(bytes.NewReader(q.bodyPrefix), q.bodyRest)
	buf := make([]byte, wire.MaxChunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: buf[:n]}}}) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			q.bodyRestRead.Store(true)
			_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Trailers: gate.HeadersToWire(q.httpRequest.Trailer)}}})
			return
		}
		if err != nil {
			_ = conn.Close()
			return
		}
	}
}

// resolveFailure returns the verdict of a failed exchange. When the connection broke, it queries the gate and returns
// the response if the gate has retained it.
func (in *Ingress) resolveFailure(ctx context.Context, q *request, resp *response, query *wire.AttemptQuery, err error) (*response, error) {
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	if ctx.Err() != nil {
		if errors.Is(context.Cause(ctx), errNodeEnds) {
			resp.observation.end(balance.Canceled, nil)
			return nil, verdict.New(verdict.MayHaveRun, verdict.NodeEnds, "no answer before the end of the drain")
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// Missed deadlines are the only sign of an endpoint that hangs.
			resp.observation.end(balance.Failed, nil)
			return nil, verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "no answer within the deadline")
		}
		resp.observation.end(balance.Canceled, nil)
		return nil, verdict.New(verdict.MayHaveRun, verdict.Canceled, "the caller went away")
	}
	resp.observation.end(balance.Failed, nil)
	outcome := in.queryAttempt(ctx, resp.endpoint, query)
	in.Logger.Info("attempt resolved", "event", "attempt_resolved", "endpoint", resp.endpoint.ID,
		"verdict", verdict.FromWire(outcome.Verdict), "has_answer", outcome.HasAnswer, "cause", err)
	if outcome.HasAnswer {
		if err := checkResponse(q, resp, outcome.GetResponse()); err != nil {
			return nil, err
		}
		return &response{endpoint: resp.endpoint, head: outcome.Response, retained: outcome}, nil
	}
	return nil, verdict.New(verdict.FromWire(outcome.Verdict), verdict.PeerBroken, "the connection to the gate broke")
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
