// Package peer transports requests and bulk state between nodes as protobuf frames on the streams of yamux sessions
// over TCP. Two nodes use separate sessions for short work, long work and control messages, so that a long
// response never delays a short one in the same TCP connection.
package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// SessionClass is the class of a session. Streams of different classes use different TCP connections.
type SessionClass uint8

// Session classes.
const (
	SessionShort SessionClass = iota
	SessionLong
	SessionControl
	sessionClassCount
)

const (
	streamBufferBytes    = 4 << 10
	sessionWriteTimeout  = 5 * time.Second
	sessionKeepAlive     = 10 * time.Second
	streamCloseTimeout   = 30 * time.Second
	streamWindowBytes    = 256 << 10
	sessionAcceptBacklog = 1024
)

// ErrNotSent reports a write of which nothing was sent, because the write limiter returned an error.
var ErrNotSent = errors.New("peer: nothing was sent")

// Conn reads and writes frames on one stream. One goroutine may read while another writes.
type Conn struct {
	stream        net.Conn
	session       *yamux.Session // nil for an in-process connection
	reader        *bufio.Reader
	maxFrameBytes int
	remote        *Remote
	limitWrite    func(bytes int) error
}

// Remote describes the process at the remote end of a session.
type Remote struct {
	// Instance is the random ID of the process.
	Instance uint64
	// Generation is the newest known generation of the attempt history of the remote gate.
	Generation atomic.Uint64
}

// RecordGeneration raises Generation to a generation that the remote process has sent, if that is newer.
func (r *Remote) RecordGeneration(generation uint64) {
	for {
		old := r.Generation.Load()
		if generation <= old || r.Generation.CompareAndSwap(old, generation) {
			return
		}
	}
}

// Remote returns the description of the remote process. It is nil on the accepting side.
func (c *Conn) Remote() *Remote { return c.remote }

func newConn(stream net.Conn, session *yamux.Session, maxFrameBytes int) *Conn {
	return &Conn{
		stream: stream, session: session, reader: bufio.NewReaderSize(stream, streamBufferBytes),
		maxFrameBytes: maxFrameBytes,
	}
}

// Pipe returns the two ends of an in-process stream, with remote as the client's Remote.
func Pipe(remote *Remote) (client, server *Conn) {
	a, b := net.Pipe()
	client = newConn(a, nil, wire.MaxFrameBytes)
	client.remote = remote
	return client, newConn(b, nil, wire.MaxFrameBytes)
}

// Read returns the next frame. io.EOF means that the remote side closed the stream or that the session ended;
// SessionClosed distinguishes the two.
func (c *Conn) Read() (*wire.Frame, error) { return wire.ReadFrame(c.reader, c.maxFrameBytes) }

// SetWriteLimiter sets a rate limiter: each write first calls limit with its size, and limit may block or return an error.
// SetWriteLimiter must be called before the first write.
func (c *Conn) SetWriteLimiter(limit func(bytes int) error) { c.limitWrite = limit }

// Write sends one frame. It blocks while the receive window of the remote side is full.
func (c *Conn) Write(f *wire.Frame) error { return c.WriteAll(f) }

// WriteAll sends several frames with one write to the stream.
func (c *Conn) WriteAll(frames ...*wire.Frame) error {
	buf := wire.GetBuffer(0)
	defer wire.PutBuffer(buf)
	for _, f := range frames {
		var err error
		if *buf, err = wire.AppendFrame(*buf, f, c.maxFrameBytes); err != nil {
			return err
		}
	}
	if c.limitWrite != nil {
		if err := c.limitWrite(len(*buf)); err != nil {
			return errors.Mark(err, ErrNotSent)
		}
	}
	_, err := c.stream.Write(*buf)
	return err
}

// SessionClosed reports whether the stream's session has ended, not only the stream.
func (c *Conn) SessionClosed() bool { return c.session != nil && c.session.IsClosed() }

// AllowBulkFrames raises the frame size limit to wire.MaxBulkFrameBytes, for streams that carry member lists and bundles.
func (c *Conn) AllowBulkFrames() { c.maxFrameBytes = wire.MaxBulkFrameBytes }

// Close closes the stream and unblocks a pending Read or Write.
func (c *Conn) Close() error {
	err := c.stream.Close()
	// Close of a yamux stream closes only the sending side; the deadline unblocks a reader.
	_ = c.stream.SetReadDeadline(time.Unix(1, 0))
	return err
}

// Exchange sends one frame and returns the frame sent in reply. It closes the stream when ctx is done.
func (c *Conn) Exchange(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := c.Write(f); err != nil {
		return nil, err
	}
	reply, err := c.Read()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return reply, err
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = sessionAcceptBacklog
	cfg.KeepAliveInterval = sessionKeepAlive
	cfg.ConnectionWriteTimeout = sessionWriteTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.StreamOpenTimeout = sessionKeepAlive
	cfg.MaxStreamWindowSize = streamWindowBytes
	cfg.LogOutput = io.Discard
	return cfg
}
