package httpconn

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxReadAhead bounds what a connection buffers beyond what the HTTP server has read.
	maxReadAhead = 64 << 10
	// readChunk is the size of one read from the socket.
	readChunk = 4 << 10
	// maxHeldOutput bounds the answer bytes that one request holds while an earlier one is unanswered. A longer
	// answer waits for its turn.
	maxHeldOutput = 256 << 10
	// maxOverlapping bounds the requests of one connection that are served at the same time.
	maxOverlapping = 16
)

// conn is a caller's connection. It reads also while the HTTP server does not, so that a caller's close is noticed
// behind further requests and unread bodies; net/http stops watching for the close once further bytes have arrived.
// It hands each request to a stream. The first stream lives as long as the connection. A request without a body that
// arrives while the first stream is busy gets a stream of its own, since net/http serves one request at a time. What
// the streams write leaves in the order of their requests.
type conn struct {
	net.Conn // the socket
	listener *Listener

	mu      sync.Mutex
	changed *sync.Cond // any of the fields below, or of a stream, has changed
	buffer  []byte     // read and not yet handed to a stream
	err     error      // ended reading: the caller's close, or Close
	closed  bool       // the socket is closed
	first   *stream
	// running holds the streams with a request, in the order of the requests. An answered one stays until all
	// before it have been answered.
	running []*stream
	// head is what the first stream has got of a request whose head is not complete; nil between requests.
	head []byte
	// rest is the number of bytes of the first stream's request that are still to come.
	rest int64
	// opaque means that the ends of requests are not known; all bytes go to the first stream.
	opaque bool
	// ending means that no further request is taken, since an answer ends the connection.
	ending bool
}

func newConn(socket net.Conn, l *Listener) *conn {
	c := &conn{Conn: socket, listener: l}
	c.changed = sync.NewCond(&c.mu)
	c.first = &stream{conn: c}
	go c.fill()
	return c
}

// fill reads until the connection ends.
func (c *conn) fill() {
	chunk := make([]byte, readChunk)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.buffer = append(c.buffer, chunk[:n]...)
		if err != nil && c.err == nil {
			c.err = err
		}
		c.assign()
		c.changed.Broadcast()
		for c.err == nil && len(c.buffer)+len(c.first.in) >= maxReadAhead {
			c.changed.Wait()
		}
		ended := c.err != nil
		c.mu.Unlock()
		if ended {
			c.lose()
			return
		}
	}
}

// lose ends the contexts of the requests.
func (c *conn) lose() {
	c.mu.Lock()
	streams := append(slices.Clone(c.running), c.first)
	var notify []func()
	for _, s := range streams {
		if s.onLost != nil {
			notify = append(notify, s.onLost)
		}
	}
	c.mu.Unlock()
	for _, lost := range notify {
		lost()
	}
}

// assign hands buffered bytes to streams as far as possible. It is called with mu held.
func (c *conn) assign() {
	for len(c.buffer) > 0 && !c.closed {
		switch {
		case c.opaque:
			c.hand(len(c.buffer))
		case c.rest > 0:
			n := min(c.rest, int64(len(c.buffer)))
			c.rest -= n
			c.hand(int(n))
		case c.head != nil:
			c.handHead()
		case c.ending:
			return
		case !c.first.busy:
			c.begin(c.first)
			c.handHead()
		case !c.split():
			return
		}
	}
}

// hand gives the first n buffered bytes to the first stream.
func (c *conn) hand(n int) {
	c.first.in = append(c.first.in, c.buffer[:n]...)
	c.drop(n)
}

func (c *conn) drop(n int) {
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil // frees the consumed part
	}
}

var headEnd = []byte("\r\n\r\n")

// handHead gives the first stream what has arrived of the head of its request. It goes on without the ends of
// requests when the head does not say where its request ends.
func (c *conn) handHead() {
	before := len(c.head)
	c.head = append(c.head, c.buffer...)
	end := bytes.Index(c.head[max(0, before-len(headEnd)+1):], headEnd)
	if end < 0 {
		c.opaque = len(c.head) > maxReadAhead
		c.hand(len(c.buffer))
		return
	}
	end += max(0, before-len(headEnd)+1) + len(headEnd)
	body, known := bodyLength(c.head[:end])
	c.hand(end - before)
	c.head, c.rest, c.opaque = nil, body, !known
	c.first.body = body > 0 || !known
}

// split starts a request behind those that run on a stream of its own. It reports false when the request has to wait
// for the first stream: its head is not complete, or one of the requests has a body, whose refusal would end the
// connection before the answers behind it.
func (c *conn) split() bool {
	if len(c.running) >= maxOverlapping || slices.ContainsFunc(c.running, (*stream).hasBody) {
		return false
	}
	end := bytes.Index(c.buffer, headEnd) + len(headEnd)
	if end < len(headEnd) {
		return false
	}
	if body, known := bodyLength(c.buffer[:end]); body > 0 || !known {
		return false
	}
	s := &stream{conn: c, in: slices.Clone(c.buffer[:end])}
	if !c.listener.offer(s) {
		return false
	}
	c.listener.PipelinedRequests.Add(1)
	c.drop(end)
	c.begin(s)
	return true
}

// begin records that a stream has got a request.
func (c *conn) begin(s *stream) {
	s.busy, s.done, s.ends, s.body = true, false, false, false
	s.turn = len(c.running) == 0
	c.running = append(c.running, s)
}

// finish records that the server has written the whole answer of a stream, or has given the stream up: then ends is
// true, and the connection ends with what has been written.
func (c *conn) finish(s *stream, ends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.busy || s.done {
		return
	}
	s.done, s.ends = true, ends
	c.ending = c.ending || ends
	if s.turn {
		c.advance()
	}
	c.changed.Broadcast()
}

// advance passes the right to write on while answers are complete. It is called with mu held, by the stream that has
// the right, and releases mu while it writes.
func (c *conn) advance() {
	for len(c.running) > 0 && !c.closed {
		s := c.running[0]
		if len(s.out) > 0 {
			held := s.out
			s.out = nil
			c.changed.Broadcast()
			c.mu.Unlock()
			_, err := c.Conn.Write(held)
			c.mu.Lock()
			if err != nil {
				c.shut()
			}
			continue
		}
		s.turn = true
		c.changed.Broadcast()
		if !s.done {
			return
		}
		c.running = c.running[1:]
		s.busy, s.turn = false, false
		if s.ends {
			c.shut()
		}
	}
	if c.first.closed {
		c.shut()
	}
	c.first.restartDeadline()
	c.assign()
}

// mayEnd reports whether the answer of s may end the connection, because no request behind it has started. None
// starts afterwards.
func (c *conn) mayEnd(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.running) > 0 && c.running[len(c.running)-1] != s {
		return false
	}
	c.ending = true
	return true
}

// shut closes the socket. It is called with mu held.
func (c *conn) shut() {
	if c.closed {
		return
	}
	c.closed = true
	if c.err == nil {
		c.err = net.ErrClosed
	}
	_ = c.Conn.Close() // the caller is gone either way, and fill ends with it
	c.changed.Broadcast()
}

// deadlinePassed reports whether a deadline that is not zero has passed.
func deadlinePassed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
