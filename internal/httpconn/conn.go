package httpconn

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"

	"dandelionspoke/internal/recovery"
)

const (
	// maxReadAhead bounds the bytes that a connection has read from the socket and the HTTP server has not read yet.
	maxReadAhead = 64 << 10
	// readChunkSize is the size of one read from the socket.
	readChunkSize = 4 << 10
	// maxBufferedOutput bounds the response bytes that are buffered for one request while an earlier request of the
	// connection is unanswered. Beyond that, writes of the response block.
	maxBufferedOutput = 256 << 10
	// lingerQuiet is the time without bytes from the caller after which a connection that closes after its last response is closed
	// for good, maxLinger the longest time until then.
	lingerQuiet = time.Second
	maxLinger   = 5 * time.Second
	// maxConcurrentRequests bounds the requests of one connection that are served concurrently.
	maxConcurrentRequests = 16
)

// conn is a connection from a caller. It reads ahead of the HTTP server, so that it detects a close by the caller even
// behind pipelined requests and unread bodies; net/http stops watching for a close once more bytes have arrived.
//
// It dispatches each request to a stream. The primary stream lives as long as the connection. A request without a body
// that arrives while the primary stream is active gets an additional stream, because net/http serves one request of a
// connection at a time. The responses of the streams are sent in the order of their requests.
type conn struct {
	net.Conn // the socket
	listener *Listener

	mu         sync.Mutex
	changed    *sync.Cond // any of the fields below, or of a stream, has changed
	readBuffer []byte     // read from the socket and not yet dispatched to a stream
	err        error      // why reading has ended: closed by the caller or locally
	closed     bool       // the socket is closed, or is about to be by readLoop
	readEnded  bool       // readLoop reads no more
	lingering  bool       // readLoop discards what the caller still sends before it closes the socket
	primary    *stream
	// pending holds the streams that serve a request, in the order of the requests. A stream whose response is
	// complete stays until the responses before it have been sent.
	pending []*stream
	// partialHead is the part of an incomplete request head that the primary stream has received, or nil if there is
	// none.
	partialHead []byte
	// bodyRemaining is the number of body bytes that the primary stream's request still lacks.
	bodyRemaining int64
	// passthrough is set when request boundaries are unknown. All bytes then go to the primary stream.
	passthrough bool
	// undelimited is set if bytes were passed through since the server last waited for a request.
	undelimited bool
	// closing is set when the connection is to close. No more requests are then accepted.
	closing bool
}

func newConn(socket net.Conn, l *Listener) *conn {
	c := &conn{Conn: socket, listener: l}
	c.changed = sync.NewCond(&c.mu)
	c.primary = &stream{conn: c}
	l.addConn(c)
	go c.readLoop()
	return c
}

// readLoop reads from the socket until the connection ends.
func (c *conn) readLoop() {
	chunk := make([]byte, readChunkSize)
	defer c.listener.removeConn(c)
	defer c.linger(chunk)
	defer c.cancelRequests()
	defer c.recoverRead()
	for c.readChunk(chunk) {
	}
}

// linger reads and discards what the caller still sends, if the connection lingers, and then closes the socket. The kernel resets
// a connection that is closed with unread bytes, and drops what it has not sent yet of the last response.
func (c *conn) linger(chunk []byte) {
	c.mu.Lock()
	c.readEnded = true
	lingering := c.lingering
	c.mu.Unlock()
	if !lingering {
		return
	}
	defer c.listener.endLinger()
	for end := time.Now().Add(maxLinger); time.Now().Before(end); {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerQuiet)) // fails only if the socket is closed
		if _, err := c.Conn.Read(chunk); err != nil {
			break
		}
	}
	_ = c.Conn.Close() // an error changes nothing: the connection is over either way
}

// readChunk reads once from the socket, into chunk, and reports whether the connection goes on.
func (c *conn) readChunk(chunk []byte) bool {
	n, err := c.Conn.Read(chunk)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBuffer = append(c.readBuffer, chunk[:n]...)
	if err != nil && c.err == nil {
		c.err = err
	}
	c.dispatch()
	c.changed.Broadcast()
	for c.err == nil && len(c.readBuffer)+len(c.primary.input) >= maxReadAhead {
		c.changed.Wait()
	}
	return c.err == nil
}

// recoverRead closes a connection whose reading panicked, so that the process and its other connections go on.
func (c *conn) recoverRead() {
	value := recover()
	if value == nil {
		return
	}
	recovery.Log(c.listener.logger, value, "remote", c.Conn.RemoteAddr())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.closeSocket()
}

// cancelRequests cancels the contexts of all requests of the connection.
func (c *conn) cancelRequests() {
	c.mu.Lock()
	streams := append(slices.Clone(c.pending), c.primary)
	var cancels []func()
	for _, s := range streams {
		if s.cancel != nil {
			cancels = append(cancels, s.cancel)
		}
	}
	c.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// dispatch passes bytes from readBuffer to streams as far as possible. It is called with mu held.
func (c *conn) dispatch() {
	for len(c.readBuffer) > 0 && !c.closed {
		switch {
		case c.passthrough:
			c.deliver(len(c.readBuffer))
		case c.bodyRemaining > 0:
			n := min(c.bodyRemaining, int64(len(c.readBuffer)))
			c.bodyRemaining -= n
			c.deliver(int(n))
		case c.partialHead != nil:
			c.deliverHead()
		case c.closing:
			return
		case !c.primary.active:
			c.beginRequest(c.primary)
			c.deliverHead()
		case !c.dispatchPipelined():
			return
		}
	}
}

// deliver moves the first n bytes of readBuffer to the primary stream.
func (c *conn) deliver(n int) {
	c.undelimited = c.passthrough
	c.primary.input = append(c.primary.input, c.readBuffer[:n]...)
	c.consume(n)
}

// consume removes the first n bytes of readBuffer.
func (c *conn) consume(n int) {
	c.readBuffer = c.readBuffer[n:]
	if len(c.readBuffer) == 0 {
		c.readBuffer = nil // release the consumed memory
	}
}

var headEnd = []byte("\r\n\r\n")

// deliverHead passes the available bytes of a request head to the primary stream. It switches to passthrough if the
// complete head does not give the length of the body, or if the head exceeds maxReadAhead.
func (c *conn) deliverHead() {
	before := len(c.partialHead)
	c.partialHead = append(c.partialHead, c.readBuffer...)
	end := bytes.Index(c.partialHead[max(0, before-len(headEnd)+1):], headEnd)
	if end < 0 {
		c.passthrough = len(c.partialHead) > maxReadAhead
		c.deliver(len(c.readBuffer))
		return
	}
	end += max(0, before-len(headEnd)+1) + len(headEnd)
	body, known := bodyLength(c.partialHead[:end])
	c.deliver(end - before)
	c.partialHead, c.bodyRemaining, c.passthrough = nil, body, !known
	c.primary.requestHasBody = body > 0 || !known
}

// dispatchPipelined starts the next request on an additional stream while earlier ones are pending. It reports false if
// the request has to wait for the primary stream: its head is incomplete, maxConcurrentRequests are pending, one of the
// requests has a body, or the listener has closed. A server that refuses a body closes the connection, so responses to
// later requests would be lost.
func (c *conn) dispatchPipelined() bool {
	if len(c.pending) >= maxConcurrentRequests || slices.ContainsFunc(c.pending, (*stream).hasBody) {
		return false
	}
	end := bytes.Index(c.readBuffer, headEnd) + len(headEnd)
	if end < len(headEnd) {
		return false
	}
	if body, known := bodyLength(c.readBuffer[:end]); body > 0 || !known {
		return false
	}
	s := &stream{conn: c, input: slices.Clone(c.readBuffer[:end])}
	if !c.listener.enqueueStream(s) {
		return false
	}
	c.listener.PipelinedRequests.Add(1)
	c.consume(end)
	c.beginRequest(s)
	return true
}

// beginRequest records that a stream receives a request. It is called with mu held.
func (c *conn) beginRequest(s *stream) {
	s.active, s.responseDone, s.closeAfterResponse, s.requestHasBody = true, false, false, false
	s.mayWrite = len(c.pending) == 0
	c.pending = append(c.pending, s)
}

// finishResponse records that the server has written the complete response of a stream or has closed the stream. In the
// latter case closeAfter is true, and the connection closes after the bytes that the stream has written.
func (c *conn) finishResponse(s *stream, closeAfter bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == c.primary {
		c.undelimited = false
	}
	if !s.active || s.responseDone {
		return
	}
	s.responseDone, s.closeAfterResponse = true, closeAfter
	c.closing = c.closing || closeAfter
	if s.mayWrite {
		c.flushResponses()
	}
	c.changed.Broadcast()
}

// flushResponses sends buffered output in request order and lets the first stream with an incomplete response write to
// the socket. It is called with mu held, for the stream that may write, and releases mu during writes.
func (c *conn) flushResponses() {
	for len(c.pending) > 0 && !c.closed {
		s := c.pending[0]
		if len(s.output) > 0 {
			output := s.output
			s.output = nil
			c.changed.Broadcast()
			c.mu.Unlock()
			_, err := c.Conn.Write(output)
			c.mu.Lock()
			if err != nil {
				c.closeSocket()
			}
			continue
		}
		s.mayWrite = true
		c.changed.Broadcast()
		if !s.responseDone {
			return
		}
		c.pending = c.pending[1:]
		s.active, s.mayWrite = false, false
		if s.closeAfterResponse {
			c.closeAfterResponse(s)
		}
	}
	if c.primary.closed {
		c.closeAfterResponse(c.primary)
	}
	c.primary.restartReadDeadline()
	c.dispatch()
}

// mayClose reports whether the response of s may close the connection, because no later request has started. If it
// returns true, no more requests start.
func (c *conn) mayClose(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 && c.pending[len(c.pending)-1] != s {
		return false
	}
	c.closing = true
	return true
}

// closeIfIdle closes the connection if it has no request, and reports whether it is closed or about to be.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && len(c.pending) == 0 && c.partialHead == nil && !c.undelimited && len(c.readBuffer) == 0 {
		c.closing = true
		c.closeAfterResponse(c.primary)
	}
	return c.closed
}

// delaysAnswers reports whether responses to later requests wait for that of s.
func (c *conn) delaysAnswers(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.pending, s)
	return i >= 0 && slices.ContainsFunc(c.pending[i+1:], func(later *stream) bool { return later.responseDone || len(later.output) > 0 })
}

// closeAfterResponse ends the connection after the response of s, its last one: it closes the write side, and readLoop closes the
// socket once the caller sends no more. It is called with mu held.
func (c *conn) closeAfterResponse(s *stream) {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if c.closed || c.readEnded || s.aborted || !ok || closer.CloseWrite() != nil {
		c.closeSocket()
		return
	}
	c.closed, c.lingering = true, true
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.listener.startLinger()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerQuiet)) // for a read that waits
	c.changed.Broadcast()
}

// closeSocket closes the socket. It is called with mu held.
func (c *conn) closeSocket() {
	if c.closed {
		return
	}
	c.closed = true
	if c.err == nil {
		c.err = net.ErrClosed
	}
	_ = c.Conn.Close() // an error changes nothing: the connection is over either way, and readLoop ends
	c.changed.Broadcast()
}

// deadlineExceeded reports whether the deadline t is set and has passed.
func deadlineExceeded(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
