package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

const (
	// crashProbeDelay is left for a dying process to close its listener before the gate tests it.
	crashProbeDelay   = 50 * time.Millisecond
	crashProbeTimeout = 200 * time.Millisecond
)

// forward sends the request to the backend server and streams the answer to the ingress.
// The slot stays held until it returns; by then the answer has ended or the connection is closed.
func (c *call) forward(ctx context.Context, backend *Backend, body io.ReadCloser) error {
	var written atomic.Bool
	var used atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{
		// From here on bytes may reach the backend server.
		GotConn: func(info httptrace.GotConnInfo) {
			used.Store(&info)
			written.Store(true)
		},
	}
	req, err := c.backendRequest(httptrace.WithClientTrace(ctx, trace), backend, body)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	if c.head.ContentLength < 0 || c.head.Streamed {
		_ = c.conn.Write(&wire.Frame{Kind: &wire.Frame_Continue{Continue: &wire.Continue{}}})
	}
	resp, err := c.gate.transport.Load().RoundTrip(req)
	if err != nil {
		return c.roundTripError(ctx, backend, err, written.Load())
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	answer := c.gate.protocol.Read(req.Header, resp)
	c.gate.observeSlowness(answer.Slowness)
	switch {
	case answer.MismatchReason != "":
		// Whatever follows on the connection belongs to another request as well.
		_ = used.Load().Conn.Close()
		return verdict.New(verdict.MayHaveRun, verdict.BackendBroken, "the answer is not to this request: %s", answer.MismatchReason)
	case answer.OtherInstance:
		return verdict.New(verdict.NotRun, verdict.WrongGate, "another backend server has the address %s", backend.Address)
	case answer.NotRun:
		return verdict.New(verdict.NotRun, verdict.BackendRefused, "the backend server refused the request")
	}
	return c.relay(resp)
}

func (c *call) backendRequest(ctx context.Context, backend *Backend, body io.ReadCloser) (*http.Request, error) {
	target, err := url.ParseRequestURI(c.head.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = backend.Address
	req := &http.Request{
		Method: c.head.Method, URL: target, Host: c.head.Host, Header: make(http.Header, len(c.head.Headers)+4),
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: c.head.ContentLength,
	}
	for _, h := range c.head.Headers {
		req.Header[h.Name] = h.Values
	}
	about := RequestContext{Endpoint: backend.ID, Depth: int(c.head.Depth) + 1, Priority: int(c.head.Priority)}
	if deadline, ok := ctx.Deadline(); ok {
		about.Remaining = max(time.Until(deadline), time.Millisecond)
	}
	c.gate.protocol.Prepare(req.Header, about)
	if c.head.ContentLength == 0 {
		req.Body = emptyBody{}
	} else {
		req.Body = body
	}
	return req.WithContext(ctx), nil
}

// emptyBody is a body that net/http can't replay: the transport sends a request without a body again by itself
// when the reused connection breaks, which would be an attempt that no budget knows of.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

func (c *call) roundTripError(ctx context.Context, backend *Backend, err error, written bool) error {
	if !written {
		if ctx.Err() != nil {
			return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "ended before a connection to the backend server was ready")
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

// reportCrash tells the quarantine about a request whose backend server stopped listening.
func (c *call) reportCrash(backend *Backend) {
	report := c.gate.OnCrash
	if report == nil || len(c.head.Fingerprint) == 0 {
		return
	}
	time.Sleep(crashProbeDelay)
	probe, err := net.DialTimeout("tcp", backend.Address, crashProbeTimeout)
	if err == nil {
		_ = probe.Close()
		return
	}
	c.gate.Counters.Crashes.Add(1)
	report(backend.ID, c.head.Fingerprint)
}

// relay sends the answer. A body that ends early leaves the stream without an End frame.
func (c *call) relay(resp *http.Response) error {
	head := &wire.ResponseHead{
		Status: uint32(resp.StatusCode), Headers: HeadersToWire(resp.Header),
		ContentLength: resp.ContentLength, Load: c.gate.Load(),
	}
	c.keep.kept.Response = head
	if resp.ContentLength >= 0 && resp.ContentLength <= wire.MaxChunkBytes {
		return c.relayWhole(resp, head)
	}
	if endsWithConnection(resp) {
		return c.relayUnframed(resp, head)
	}
	return c.relayStream(resp, head, nil)
}

// endsWithConnection reports whether only the end of the connection shows where the answer ends.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// relayUnframed holds the start of the answer back until it is known whether the connection ended well, so that a
// small answer that is reset on the way becomes a failure and not a broken answer.
func (c *call) relayUnframed(resp *http.Response, head *wire.ResponseHead) error {
	start, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxChunkBytes))
	if err != nil {
		return verdict.New(verdict.Ran, verdict.BackendBroken, "the answer ended early: %v", err)
	}
	if len(start) < wire.MaxChunkBytes {
		head.ContentLength = int64(len(start))
		return c.sendWhole(resp, head, start)
	}
	return c.relayStream(resp, head, start)
}

// relayWhole sends a small answer with one write, once it has been read to the end.
func (c *call) relayWhole(resp *http.Response, head *wire.ResponseHead) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdict.New(verdict.Ran, verdict.BackendBroken, "the answer ended early: %v", err)
	}
	return c.sendWhole(resp, head, body)
}

func (c *call) sendWhole(resp *http.Response, head *wire.ResponseHead, body []byte) error {
	c.keep.headSent = true
	c.keep.add(body)
	frames := []*wire.Frame{{Kind: &wire.Frame_Response{Response: head}}}
	if len(body) > 0 {
		frames = append(frames, &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: body}}})
	}
	_ = c.conn.WriteAll(append(frames, c.end(resp))...)
	return nil
}

// relayStream sends the answer as it arrives; start has been read already.
func (c *call) relayStream(resp *http.Response, head *wire.ResponseHead, start []byte) error {
	c.keep.headSent = true
	frames := []*wire.Frame{{Kind: &wire.Frame_Response{Response: head}}}
	if len(start) > 0 {
		c.keep.add(start)
		frames = append(frames, &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: start}}})
	}
	// After a write error the answer is still read and kept: the ingress may ask for it.
	sendErr := c.conn.WriteAll(frames...)
	buf := make([]byte, wire.MaxChunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			c.keep.add(buf[:n])
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
		if sendErr != nil && (c.keep.limit == 0 || c.keep.overflow) {
			return verdict.New(verdict.Ran, verdict.PeerBroken, "%v", sendErr)
		}
	}
	_ = c.conn.Write(c.end(resp))
	return nil
}

func (c *call) end(resp *http.Response) *wire.Frame {
	c.keep.kept.Trailers = HeadersToWire(resp.Trailer)
	return &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Trailers: c.keep.kept.Trailers, Load: c.gate.Load()}}}
}

// HeadersToWire converts HTTP headers; hop-by-hop headers are left out.
func HeadersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if !hopByHop(name) {
			out = append(out, &wire.Header{Name: name, Values: values})
		}
	}
	return out
}

func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
