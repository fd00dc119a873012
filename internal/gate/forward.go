package gate

import (
	"context"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

const (
	// crashProbeDelay gives a crashing process time to close its listener before the gate probes it.
	crashProbeDelay   = 50 * time.Millisecond
	crashProbeTimeout = 200 * time.Millisecond
	// maxRefusalBodyBytes bounds how much of a refusal is read to make its connection reusable.
	maxRefusalBodyBytes = 4 << 10
)

// forward sends the request to the backend server and streams the response to the ingress. The slot must be held until
// forward returns; by then the response has ended or the connection is closed.
func (c *call) forward(ctx context.Context, backend *Backend, body io.ReadCloser) error {
	guard := newSendGuard(ctx)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*backendConn).guardNextWrite(guard) },
	}
	req, err := c.backendRequest(httptrace.WithClientTrace(ctx, trace), backend, body)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	if c.head.ContentLength < 0 || c.head.Streamed {
		_ = c.conn.Write(&wire.Frame{Kind: &wire.Frame_Continue{Continue: &wire.Continue{}}})
	}
	requestID := c.gate.protocol.RequestID(c.head.Headers)
	conn, err := c.gate.connections.Load().acquire(ctx, requestID)
	if err != nil {
		return err
	}
	reusable := false
	defer func() { conn.release(reusable) }()
	// The wait for a connection may have taken as long as its dial.
	if err := c.gate.checkEvacuation(); err != nil {
		return err
	}
	sentAt, err := c.gate.recordSend()
	if err != nil {
		reusable = true // nothing has been sent
		return err
	}
	c.reserved = false
	resp, err := conn.transport.RoundTrip(req)
	if err != nil {
		mayBeSent := guard.revoke()
		if !mayBeSent {
			c.gate.cancelSend(sentAt)
		}
		return c.roundTripError(ctx, backend, err, mayBeSent)
	}
	defer resp.Body.Close()
	c.backendStatus = resp.StatusCode
	if err := CheckStatus(resp.StatusCode); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.BackendBroken, "malformed response: %v", err)
	}
	info := c.gate.protocol.Read(req.Header, resp)
	c.gate.recordSlowness(info.Slowness)
	switch {
	case info.MismatchReason != "":
		return verdict.New(verdict.MayHaveRun, verdict.BackendBroken, "the answer is not to this request: %s", info.MismatchReason)
	case info.OtherInstance:
		c.gate.cancelSend(sentAt)
		reusable = info.Identified && conn.recordRefusal(requestID) && drained(resp)
		return verdict.New(verdict.NotRun, verdict.WrongGate, "another backend server has the address %s", backend.Address)
	case info.NotRun:
		reusable = info.Identified && conn.recordRefusal(requestID) && drained(resp)
		return verdict.New(verdict.NotRun, verdict.BackendRefused, "the backend server refused the request")
	}
	received := &responseBody{ReadCloser: resp.Body}
	resp.Body = received
	err = c.relay(resp)
	reusable = err == nil && !resp.Close
	if received.broken && ctx.Err() == nil {
		c.reportCrash(backend)
	}
	return err
}

// drained reads the rest of a short response, so that its connection can be used again, and reports whether it can.
func drained(resp *http.Response) bool {
	n, err := io.CopyN(io.Discard, resp.Body, maxRefusalBodyBytes)
	return n < maxRefusalBodyBytes && errors.Is(err, io.EOF) && !resp.Close
}

// responseBody records whether the body of a response ended early.
type responseBody struct {
	io.ReadCloser
	broken bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.broken = b.broken || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

func (c *call) backendRequest(ctx context.Context, backend *Backend, body io.ReadCloser) (*http.Request, error) {
	target, err := url.ParseRequestURI(c.head.Target)
	if err != nil {
		return nil, err
	}
	if path, _, _ := strings.Cut(c.head.Target, "?"); strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		// Keeps net/http from escaping characters that the caller sent unescaped.
		target.Opaque = path
	}
	target.Scheme = "http"
	target.Host = backend.Address
	req := &http.Request{
		Method: c.head.Method, URL: target, Host: c.head.Host, Header: make(http.Header, len(c.head.Headers)+4),
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: c.head.ContentLength,
	}
	for _, h := range c.head.Headers {
		req.Header[h.Name] = h.All()
	}
	requestContext := RequestContext{
		Endpoint: backend.ID, Depth: int(c.head.Depth) + 1, Priority: int(c.head.Priority), Account: c.head.Account,
		AttemptID: hex.EncodeToString(c.id[:]),
	}
	if deadline, ok := ctx.Deadline(); ok {
		requestContext.Remaining = max(time.Until(deadline), time.Millisecond)
	}
	c.gate.protocol.Prepare(req.Header, requestContext)
	if c.head.ContentLength == 0 {
		req.Body = emptyBody{}
	} else {
		req.Body = body
	}
	return req.WithContext(ctx), nil
}

// emptyBody is an empty body that net/http can't replay. If a reused connection breaks, the transport resends a request
// without a body by itself, and that attempt would bypass the retry budget.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// roundTripError converts an error of the transport to a verdict. mayBeSent tells whether bytes of the request may have
// reached the backend server.
func (c *call) roundTripError(ctx context.Context, backend *Backend, err error, mayBeSent bool) error {
	if !mayBeSent {
		if ctx.Err() != nil || errors.Is(err, errExpired) {
			return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "ended before it was sent to the backend server")
		}
		return verdict.New(verdict.NotRun, verdict.BackendDown, "%v", err)
	}
	if ctx.Err() != nil {
		reason := verdict.DeadlineExceeded
		if errors.Is(context.Cause(ctx), context.Canceled) {
			reason = verdict.Canceled
		}
		return verdict.New(verdict.MayHaveRun, reason, "%v", context.Cause(ctx))
	}
	c.reportCrash(backend)
	return verdict.New(verdict.MayHaveRun, verdict.BackendBroken, "%v", err)
}

// reportCrash calls OnCrash if the backend server no longer listens after it broke the connection of the request, before or
// during the response.
func (c *call) reportCrash(backend *Backend) {
	report, fingerprints := c.gate.OnCrash, c.fingerprints()
	if report == nil || len(fingerprints) == 0 {
		return
	}
	time.Sleep(crashProbeDelay)
	conn, err := net.DialTimeout("tcp", backend.Address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	c.gate.Counters.Crashes.Add(1)
	report(*backend, fingerprints)
	if c.gate.QuarantineEntries != nil {
		c.crashEntries = c.gate.QuarantineEntries(fingerprints)
	}
}

// fingerprints returns the fingerprints of the request that are known.
func (c *call) fingerprints() [][]byte {
	var known [][]byte
	for _, f := range [][]byte{c.head.Fingerprint, c.head.CallerFingerprint} {
		if len(f) > 0 {
			known = append(known, f)
		}
	}
	return known
}

// relay sends the response to the ingress. If the body ends early, no End frame is sent.
func (c *call) relay(resp *http.Response) error {
	head := &wire.ResponseHead{
		Status: uint32(resp.StatusCode), Headers: HeadersToWire(resp.Header),
		ContentLength: resp.ContentLength, Load: c.gate.Load(),
	}
	if err := CheckResponse(c.head.Method, head); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.BackendBroken, "malformed response: %v", err)
	}
	c.recorder.retained.Response = head
	if resp.ContentLength >= 0 && resp.ContentLength <= wire.MaxChunkBytes {
		return c.relayBuffered(resp, head)
	}
	if isCloseDelimited(resp) && c.head.Method != http.MethodHead {
		return c.relayCloseDelimited(resp, head)
	}
	return c.relayStream(resp, head, nil)
}

// isCloseDelimited reports whether the end of the response body is marked only by the close of the connection.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// relayCloseDelimited buffers up to wire.MaxChunkBytes of the response before it sends the head, so that a reset of the
// connection during a small response becomes a failure instead of a truncated response.
func (c *call) relayCloseDelimited(resp *http.Response, head *wire.ResponseHead) error {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxChunkBytes))
	if err != nil {
		return verdict.New(verdict.Ran, verdict.BackendBroken, "the answer ended early: %v", err)
	}
	if len(prefix) < wire.MaxChunkBytes {
		head.ContentLength = int64(len(prefix))
		return c.sendBuffered(resp, head, prefix)
	}
	return c.relayStream(resp, head, prefix)
}

// relayBuffered reads a small response completely and sends it in one write.
func (c *call) relayBuffered(resp *http.Response, head *wire.ResponseHead) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdict.New(verdict.Ran, verdict.BackendBroken, "the answer ended early: %v", err)
	}
	return c.sendBuffered(resp, head, body)
}

func (c *call) sendBuffered(resp *http.Response, head *wire.ResponseHead, body []byte) error {
	end, err := c.endFrame(resp)
	if err != nil {
		return err
	}
	c.recorder.headSent = true
	c.recorder.addBody(body)
	frames := []*wire.Frame{{Kind: &wire.Frame_Response{Response: head}}}
	if len(body) > 0 {
		frames = append(frames, &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: body}}})
	}
	_ = c.conn.WriteAll(append(frames, end)...)
	return nil
}

// relayStream sends the response as it arrives. prefix is the part of the body that has already been read.
func (c *call) relayStream(resp *http.Response, head *wire.ResponseHead, prefix []byte) error {
	c.recorder.headSent = true
	frames := []*wire.Frame{{Kind: &wire.Frame_Response{Response: head}}}
	if len(prefix) > 0 {
		c.recorder.addBody(prefix)
		frames = append(frames, &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: prefix}}})
	}
	// After a write error the response is still read and retained, because the ingress may query it.
	sendErr := c.conn.WriteAll(frames...)
	buf := make([]byte, wire.MaxChunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			c.recorder.addBody(buf[:n])
			if sendErr == nil {
				sendErr = c.conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: buf[:n]}}})
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return verdict.New(verdict.Ran, verdict.BackendBroken, "the answer ended early: %v", err)
		}
		if sendErr != nil && (c.recorder.maxBodyBytes == 0 || c.recorder.tooLarge) {
			return verdict.New(verdict.Ran, verdict.PeerBroken, "%v", sendErr)
		}
	}
	end, err := c.endFrame(resp)
	if err != nil {
		return err
	}
	_ = c.conn.Write(end)
	return nil
}

// endFrame returns the last frame of a response. It returns an error if the trailers are malformed; the response then ends
// without its last frame, as one that breaks off.
func (c *call) endFrame(resp *http.Response) (*wire.Frame, error) {
	trailers, err := CheckTrailers(HeadersToWire(resp.Trailer))
	if err != nil {
		return nil, verdict.New(verdict.Ran, verdict.BackendBroken, "malformed trailers: %v", err)
	}
	c.recorder.retained.Trailers = trailers
	return &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Trailers: c.recorder.retained.Trailers, Load: c.gate.Load()}}}, nil
}

// HeadersToWire converts HTTP headers to their wire form, without hop-by-hop headers.
func HeadersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if !isHopByHop(name) {
			out = append(out, wire.NewHeader(name, values))
		}
	}
	return out
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
