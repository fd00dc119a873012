package gate

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// resetWriteWait bounds the wait of a read for a write that is running on a connection that was reset. The write returns at
	// once; only the scheduler delays it.
	resetWriteWait = 5 * time.Second
	// writeErrorWait replaces resetWriteWait if the state of the connection is not known. A write that still waits after this
	// time shows that only the other direction has ended.
	writeErrorWait = 100 * time.Millisecond
	// tcpStateClosed is the state of a connection that was reset, TCP_CLOSE of Linux. After a clean close of the other
	// direction the state is TCP_CLOSE_WAIT.
	tcpStateClosed = 7
)

// backendConn is a connection to a backend server whose reads report a reset as an error. The kernel reports a reset once: if a
// write learns of it, a read finds the end of the connection, as after a clean close.
type backendConn struct {
	net.Conn

	mu       sync.Mutex
	guard    *sendGuard // of the request whose first byte the next write sends; nil if it has been asked
	writing  int
	idle     chan struct{} // closed when writing falls to 0; nil while no read waits for that
	writeErr error         // first error of a write; nil for one after a clean close of the other direction
}

// dialBackendConn wraps the connections of a dial function in backendConn.
func dialBackendConn(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &backendConn{Conn: conn}, nil
	}
}

// guardNextWrite makes the next write ask guard first.
func (c *backendConn) guardNextWrite(guard *sendGuard) {
	c.mu.Lock()
	c.guard = guard
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *backendConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	guard := c.guard
	c.guard = nil
	c.mu.Unlock()
	if guard != nil {
		if err := guard.begin(time.Now()); err != nil {
			c.endWrite(err)
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

func (c *backendConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// EPIPE is the error after a clean close of the other direction.
	if c.writeErr == nil && !errors.Is(err, syscall.EPIPE) {
		c.writeErr = err
	}
	if c.writing--; c.writing == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Read implements net.Conn. It returns io.EOF only if no write has failed because the connection broke.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := c.awaitWriteError(); writeErr != nil {
			return n, errors.Wrap(writeErr, "the connection broke during a write")
		}
	}
	return n, err
}

// awaitWriteError returns the first error of a write. If the connection may have been reset, it waits for writes that are
// running.
func (c *backendConn) awaitWriteError() error {
	if idle := c.writesIdle(); idle != nil {
		timer := time.NewTimer(c.writeWait())
		defer timer.Stop()
		select {
		case <-idle:
		case <-timer.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// writesIdle returns a channel that is closed when no write is running, or nil if none is.
func (c *backendConn) writesIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 && c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}

// writeWait returns the longest wait for running writes at the end of the connection.
func (c *backendConn) writeWait() time.Duration {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return writeErrorWait
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return writeErrorWait
	}
	var info *unix.TCPInfo
	controlErr := control.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case controlErr != nil || err != nil || info == nil:
		return writeErrorWait
	case info.State == tcpStateClosed:
		return resetWriteWait
	}
	return 0
}
