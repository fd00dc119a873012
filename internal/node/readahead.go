package node

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAhead bounds what a connection buffers beyond what the HTTP server has read.
const maxReadAhead = 64 << 10

// readAheadConn reads from its connection also while the HTTP server does not, so that a caller's close is noticed
// behind pipelined requests and bodies that nobody reads yet. net/http stops watching for the close once further
// bytes have arrived.
type readAheadConn struct {
	net.Conn

	mu       sync.Mutex
	changed  *sync.Cond // buffer, err or deadline has changed
	buffer   []byte
	err      error
	deadline time.Time
	timer    *time.Timer
	onLost   func()
}

const readAheadChunk = 4 << 10

func newReadAheadConn(c net.Conn) *readAheadConn {
	r := &readAheadConn{Conn: c}
	r.changed = sync.NewCond(&r.mu)
	go r.fill()
	return r
}

func (c *readAheadConn) fill() {
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.buffer = append(c.buffer, chunk[:n]...)
		c.err = err
		c.changed.Broadcast()
		for err == nil && len(c.buffer) >= maxReadAhead && c.err == nil {
			c.changed.Wait()
		}
		stopped, lost := c.err != nil, c.onLost
		c.mu.Unlock()
		if stopped {
			if lost != nil {
				lost()
			}
			return
		}
	}
}

// Read implements net.Conn.
func (c *readAheadConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buffer) == 0 {
		if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if c.err != nil {
			return 0, c.err
		}
		c.changed.Wait()
	}
	n := copy(p, c.buffer)
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil // frees the consumed part
	}
	c.changed.Broadcast()
	return n, nil
}

// SetReadDeadline implements net.Conn. The goroutine that reads ahead is not bound by it.
func (c *readAheadConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		c.timer = time.AfterFunc(wait, c.changed.Broadcast)
	}
	c.changed.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (c *readAheadConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *readAheadConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return err
}

// CloseWrite lets net/http end its side first, so that a refused body does not reset the answer before it.
func (c *readAheadConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// lostContext returns a context that ends when the caller has closed its connection.
func lostContext(ctx context.Context, c net.Conn) context.Context {
	r, ok := c.(*readAheadConn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	gone := r.err != nil
	r.onLost = cancel
	r.mu.Unlock()
	if gone {
		cancel()
	}
	return ctx
}
