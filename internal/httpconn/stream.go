package httpconn

import (
	"context"
	"io"
	"net"
	"os"
	"time"
)

// stream is what the HTTP server takes for a connection: one request, or for the first stream of a connection one
// request after the other. Its fields belong to the mutex of its connection.
type stream struct {
	conn *conn
	in   []byte // of its request, not read yet
	out  []byte // held until the earlier requests have been answered

	busy   bool // has a request that is in conn.running
	body   bool // its request has a body
	turn   bool // may write to the socket
	done   bool // the server has written its answer, or given it up
	ends   bool // the connection ends with its answer
	closed bool
	onLost func()

	deadline time.Time
	patience time.Duration // between the setting of the deadline and the deadline
	timer    *time.Timer
}

func (s *stream) hasBody() bool { return s.body }

// waiting reports whether the server waits for a further request. While others of the connection run, that is no
// idle time.
func (s *stream) waiting() bool { return !s.busy || s.done }

// Read implements net.Conn.
func (s *stream) Read(p []byte) (int, error) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(s.in) == 0 {
		if deadlinePassed(s.deadline) && !(s.waiting() && len(c.running) > 0) {
			return 0, os.ErrDeadlineExceeded
		}
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case c.err != nil:
			return 0, c.err
		case s != c.first && s.done:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
	n := copy(p, s.in)
	s.in = s.in[n:]
	if len(s.in) == 0 {
		s.in = nil // frees the consumed part
	}
	c.changed.Broadcast()
	return n, nil
}

// Write implements net.Conn. Before its turn it keeps what it gets, up to maxHeldOutput.
func (s *stream) Write(p []byte) (int, error) {
	c := s.conn
	c.mu.Lock()
	for {
		switch {
		case c.closed || s.closed:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case s.turn || len(c.running) == 0:
			c.mu.Unlock()
			return c.Conn.Write(p)
		case len(s.out) == 0 || len(s.out)+len(p) <= maxHeldOutput:
			s.out = append(s.out, p...)
			c.mu.Unlock()
			return len(p), nil
		}
		c.changed.Wait()
	}
}

// Close implements net.Conn. The connection ends with its first stream, but not before the requests of other streams
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
	if s == c.first {
		c.ending = true
	}
	unanswered := s.turn && !s.done
	if unanswered || s == c.first && len(c.running) == 0 {
		c.shut()
	}
	c.changed.Broadcast()
	return nil
}

// CloseWrite lets net/http end its side first, so that a refused body does not reset the answer before it.
func (s *stream) CloseWrite() error {
	s.conn.mu.Lock()
	turn := s.turn
	s.conn.mu.Unlock()
	if half, ok := s.conn.Conn.(interface{ CloseWrite() error }); ok && turn {
		return half.CloseWrite()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.conn.RemoteAddr() }

// SetReadDeadline implements net.Conn. The goroutine that reads from the socket is not bound by it.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.patience = time.Until(t)
	s.setDeadline(t)
	return nil
}

func (s *stream) setDeadline(t time.Time) {
	s.deadline = t
	s.stopTimer()
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		s.timer = time.AfterFunc(wait, s.conn.changed.Broadcast)
	}
	s.conn.changed.Broadcast()
}

func (s *stream) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// restartDeadline lets the wait for a further request begin now.
func (s *stream) restartDeadline() {
	if !s.deadline.IsZero() && s.waiting() && s.patience > 0 {
		s.setDeadline(time.Now().Add(s.patience))
	}
}

// SetWriteDeadline implements net.Conn.
func (s *stream) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// SetDeadline implements net.Conn.
func (s *stream) SetDeadline(t time.Time) error {
	_ = s.SetReadDeadline(t) // never fails
	return s.SetWriteDeadline(t)
}

// streamKey is the context key of a request's stream.
type streamKey struct{}

// Context is the ConnContext hook of the server. The context ends when the caller has closed its connection.
func Context(ctx context.Context, c net.Conn) context.Context {
	s, ok := c.(*stream)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, streamKey{}, s))
	s.conn.mu.Lock()
	gone := s.conn.err != nil
	s.onLost = cancel
	s.conn.mu.Unlock()
	if gone {
		cancel()
	}
	return ctx
}

// AwaitEarlierResponses returns when all requests before that of ctx on its connection have been answered, or with the error of
// ctx. Requests that may run only once wait for it: an earlier answer may end the connection, and the caller then
// takes the request for not read.
func AwaitEarlierResponses(ctx context.Context) error {
	s, ok := ctx.Value(streamKey{}).(*stream)
	if !ok {
		return nil
	}
	c := s.conn
	stop := context.AfterFunc(ctx, c.changed.Broadcast)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !s.turn && len(c.running) > 0 && ctx.Err() == nil {
		c.changed.Wait()
	}
	return ctx.Err()
}

// MayClose reports whether the answer to the request of ctx may end its connection: no request behind it has been
// started, and none will be.
func MayClose(ctx context.Context) bool {
	s, ok := ctx.Value(streamKey{}).(*stream)
	return !ok || s.conn.mayEnd(s)
}
