package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// stream is the net.Conn that the HTTP server gets. The primary stream of a connection carries a sequence of requests,
// an additional stream carries one. Its fields are guarded by the mutex of its connection.
type stream struct {
	conn   *conn
	input  []byte // bytes of its request that the server has not read yet
	output []byte // buffered until the earlier requests have been answered

	active             bool // serves a request and is in conn.pending
	requestHasBody     bool // its request has a body
	mayWrite           bool // all earlier responses have been sent, so it may write to the socket
	responseDone       bool // the server has written the response or closed the stream
	closeAfterResponse bool // the connection closes after its response
	closed             bool
	aborted            bool   // its response has broken off
	cancel             func() // cancels the context that Context returned

	deadline      time.Time
	readTimeout   time.Duration // time from the call of SetReadDeadline to the deadline
	deadlineTimer *time.Timer
}

func (s *stream) hasBody() bool { return s.requestHasBody }

// awaitsRequest reports whether the server waits for the next request. This does not count as idle time while other
// requests of the connection are pending.
func (s *stream) awaitsRequest() bool { return !s.active || s.responseDone }

// Read implements net.Conn.
func (s *stream) Read(p []byte) (int, error) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(s.input) == 0 {
		if deadlineExceeded(s.deadline) && !(s.awaitsRequest() && len(c.pending) > 0) {
			return 0, os.ErrDeadlineExceeded
		}
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case c.err != nil:
			return 0, c.err
		case s != c.primary && s.responseDone:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
	n := copy(p, s.input)
	s.input = s.input[n:]
	if len(s.input) == 0 {
		s.input = nil // release the consumed memory
	}
	c.changed.Broadcast()
	return n, nil
}

// Write implements net.Conn. Until all earlier requests have been answered, it buffers up to maxBufferedOutput bytes
// and then blocks.
func (s *stream) Write(p []byte) (int, error) {
	c := s.conn
	c.mu.Lock()
	for {
		switch {
		case c.closed || s.closed:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case s.mayWrite || len(c.pending) == 0:
			c.mu.Unlock()
			return c.Conn.Write(p)
		case len(s.output) == 0 || len(s.output)+len(p) <= maxBufferedOutput:
			s.output = append(s.output, p...)
			c.mu.Unlock()
			return len(p), nil
		}
		c.changed.Wait()
	}
}

// Close implements net.Conn. Closing the primary stream closes the connection once the requests of the other streams
// have been answered.
func (s *stream) Close() error {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	s.closed = true
	s.stopTimer()
	if s == c.primary {
		c.closing = true
	}
	unanswered := s.mayWrite && !s.responseDone
	if unanswered || s == c.primary && len(c.pending) == 0 {
		c.closeAfterResponse(s)
	}
	c.changed.Broadcast()
	return nil
}

// CloseWrite closes the write side of the socket. net/http calls it before it closes a connection with an unread body,
// so that a reset does not discard the response.
func (s *stream) CloseWrite() error {
	s.conn.mu.Lock()
	mayWrite := s.mayWrite
	s.conn.mu.Unlock()
	if closer, ok := s.conn.Conn.(interface{ CloseWrite() error }); ok && mayWrite {
		return closer.CloseWrite()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.conn.RemoteAddr() }

// SetReadDeadline implements net.Conn. It applies to Read, not to the goroutine that reads from the socket.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.readTimeout = time.Until(t)
	s.setDeadline(t)
	return nil
}

func (s *stream) setDeadline(t time.Time) {
	s.deadline = t
	s.stopTimer()
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		s.deadlineTimer = time.AfterFunc(wait, s.conn.changed.Broadcast)
	}
	s.conn.changed.Broadcast()
}

func (s *stream) stopTimer() {
	if s.deadlineTimer != nil {
		s.deadlineTimer.Stop()
		s.deadlineTimer = nil
	}
}

// restartReadDeadline starts the read timeout anew if the server waits for the next request.
func (s *stream) restartReadDeadline() {
	if !s.deadline.IsZero() && s.awaitsRequest() && s.readTimeout > 0 {
		s.setDeadline(time.Now().Add(s.readTimeout))
	}
}

// SetWriteDeadline implements net.Conn.
func (s *stream) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// SetDeadline implements net.Conn.
func (s *stream) SetDeadline(t time.Time) error {
	_ = s.SetReadDeadline(t) // never fails
	return s.SetWriteDeadline(t)
}

// streamContextKey is the context key for the stream of a request.
type streamContextKey struct{}

// Context returns a context that is canceled when the caller closes the connection. Set it as the ConnContext hook of
// the http.Server.
func Context(ctx context.Context, c net.Conn) context.Context {
	s, ok := c.(*stream)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, streamContextKey{}, s))
	s.conn.mu.Lock()
	closed := s.conn.err != nil
	s.cancel = cancel
	s.conn.mu.Unlock()
	if closed {
		cancel()
	}
	return ctx
}

// AwaitEarlierResponses waits until all earlier requests on the connection of the request with context ctx have been
// answered. It returns the error of ctx if ctx ends first. Non-idempotent requests must wait here: an earlier response
// may close the connection, and the caller then assumes that the request was not read and may resend it.
func AwaitEarlierResponses(ctx context.Context) error {
	s, ok := ctx.Value(streamContextKey{}).(*stream)
	if !ok {
		return nil
	}
	c := s.conn
	stop := context.AfterFunc(ctx, c.changed.Broadcast)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !s.mayWrite && len(c.pending) > 0 && ctx.Err() == nil {
		c.changed.Wait()
	}
	return ctx.Err()
}

// MayClose reports whether the response to the request with context ctx may close the connection, because no later
// request on it has started. If it returns true, no more requests start on the connection.
func MayClose(ctx context.Context) bool {
	s, ok := ctx.Value(streamContextKey{}).(*stream)
	return !ok || s.conn.mayClose(s)
}

// DelaysAnswers reports whether responses to later requests of its connection wait for that to the request with context ctx.
func DelaysAnswers(ctx context.Context) bool {
	s, ok := ctx.Value(streamContextKey{}).(*stream)
	return ok && s.conn.delaysAnswers(s)
}

// AbortResponse makes the close of the connection show that the response to a request has broken off. Callers of HTTP/1.0 take a
// clean close for the end of a response without a length, so that the connection is reset.
func AbortResponse(r *http.Request) {
	s, ok := r.Context().Value(streamContextKey{}).(*stream)
	if !ok {
		return
	}
	s.conn.mu.Lock()
	s.aborted = true
	s.conn.mu.Unlock()
	if socket, ok := s.conn.Conn.(interface{ SetLinger(seconds int) error }); ok && !r.ProtoAtLeast(1, 1) {
		_ = socket.SetLinger(0) // fails only if the connection has ended
	}
}
