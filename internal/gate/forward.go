package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
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
	trace := &httptrace.ClientTrace{
		// From here on bytes may reach the backend server.
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
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
	if refusedByBackend(resp) {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "the backend server refused the request")
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
	if remaining, ok := ctx.Deadline(); ok {
		req.Header.Set("Dandelionspoke-Deadline-Ms", strconv.FormatInt(time.Until(remaining).Milliseconds(), 10))
	}
	req.Header.Set("Dandelionspoke-Depth", strconv.Itoa(int(c.head.Depth)+1))
	req.Header.Set("Dandelionspoke-Priority", strconv.Itoa(int(c.head.Priority)))
	if c.head.ContentLength == 0 {
		c.setEmptyBody(req)
	} else {
		req.Body = body
	}
	return req.WithContext(ctx), nil
}

// setEmptyBody gives non-idempotent requests a body that net/http can't replay: the transport
// resends a request without a body by itself when it carries an Idempotency-Key header and
// the reused connection breaks.
func (c *call) setEmptyBody(req *http.Request) {
	if c.head.Idempotent {
		req.Body = http.NoBody
		return
	}
	req.Body = emptyBody{}
}

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
	return c.relayStream(resp, head)
}

// relayWhole sends a small answer with one write, once it has been read to the end.
func (c *call) relayWhole(resp *http.Response, head *wire.ResponseHead) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdict.New(verdict.Ran, verdict.BackendBroken, "the answer ended early: %v", err)
	}
	c.keep.headSent = true
	c.keep.add(body)
	frames := []*wire.Frame{{Kind: &wire.Frame_Response{Response: head}}}
	if len(body) > 0 {
		frames = append(frames, &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: body}}})
	}
	_ = c.conn.WriteAll(append(frames, c.end(resp))...)
	return nil
}

func (c *call) relayStream(resp *http.Response, head *wire.ResponseHead) error {
	c.keep.headSent = true
	// After a write error the answer is still read and kept: the ingress may ask for it.
	sendErr := c.conn.Write(&wire.Frame{Kind: &wire.Frame_Response{Response: head}})
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
