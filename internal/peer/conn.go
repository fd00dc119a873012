// Package peer carries requests and bulk state between nodes: yamux sessions over TCP, protobuf frames on
// their streams. Each pair of nodes uses separate sessions for short work, long work and control, so that
// a long answer never delays a short one in the same TCP stream.
package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// Lane selects the session that carries a stream.
type SessionClass uint8

// Lanes between two nodes.
const (
	SessionShort SessionClass = iota
	SessionLong
	SessionControl
	laneCount
)

const (
	streamBufferBytes    = 4 << 10
	sessionWriteTimeout  = 5 * time.Second
	sessionKeepAlive     = 10 * time.Second
	streamCloseTimeout   = 30 * time.Second
	streamWindowBytes    = 256 << 10
	sessionAcceptBacklog = 1024
)

// Conn is one stream with its framing. Frames may be read by one goroutine and written by another.
type Conn struct {
	raw     net.Conn
	session *yamux.Session // nil for an in-process connection
	reader  *bufio.Reader
	limit   int
	remote  *Remote
	pace    func(bytes int) error
}

// Remote describes the process at the other end of a session.
type Remote struct {
	// Instance identifies the process.
	Instance uint64
	// Generation is the newest generation of the gate's attempt memory that this node has heard of.
	Generation atomic.Uint64
}

// Note records a generation that an answer carried.
func (r *Remote) RecordGeneration(generation uint64) {
	for {
		old := r.Generation.Load()
		if generation <= old || r.Generation.CompareAndSwap(old, generation) {
			return
		}
	}
}

// Remote returns the description of the other end; nil on the accepting side.
func (c *Conn) Remote() *Remote { return c.remote }

func newConn(raw net.Conn, session *yamux.Session, limit int) *Conn {
	return &Conn{raw: raw, session: session, reader: bufio.NewReaderSize(raw, streamBufferBytes), limit: limit}
}

// Pipe returns the two ends of an in-process stream.
func Pipe(remote *Remote) (client, server *Conn) {
	a, b := net.Pipe()
	client = newConn(a, nil, wire.MaxFrameBytes)
	client.remote = remote
	return client, newConn(b, nil, wire.MaxFrameBytes)
}

// Read returns the next frame. io.EOF means that the remote side closed the stream or the session broke;
// Broken tells which.
func (c *Conn) Read() (*wire.Frame, error) { return wire.ReadFrame(c.reader, c.limit) }

// SetWriteLimiter makes each write call pace first with the number of bytes, which may block or fail. Call it
// before the first write.
func (c *Conn) SetWriteLimiter(pace func(bytes int) error) { c.pace = pace }

// Write sends one frame. It blocks while the remote side's window is full.
func (c *Conn) Write(f *wire.Frame) error { return c.WriteAll(f) }

// WriteAll sends several frames with one write to the session.
func (c *Conn) WriteAll(frames ...*wire.Frame) error {
	var buf bytes.Buffer
	for _, f := range frames {
		if err := wire.WriteFrame(&buf, f, c.limit); err != nil {
			return err
		}
	}
	if c.pace != nil {
		if err := c.pace(buf.Len()); err != nil {
			return err
		}
	}
	_, err := c.raw.Write(buf.Bytes())
	return err
}

// Broken reports whether the session below the stream has ended, as opposed to the stream alone.
func (c *Conn) SessionClosed() bool { return c.session != nil && c.session.IsClosed() }

// AllowBulkFrames raises the frame limit for streams that carry member lists and bundles.
func (c *Conn) AllowBulkFrames() { c.limit = wire.MaxBulkFrameBytes }

// Close ends the stream and unblocks a pending Read or Write.
func (c *Conn) Close() error {
	err := c.raw.Close()
	// A yamux Close only ends the writing side; the deadline unblocks a reader.
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	return err
}

// Exchange sends one frame and returns the answer. The end of ctx closes the stream.
func (c *Conn) Exchange(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := c.Write(f); err != nil {
		return nil, err
	}
	answer, err := c.Read()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return answer, err
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
