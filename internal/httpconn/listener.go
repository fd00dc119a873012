// Package httpconn holds callers' connections between the sockets and net/http. It reads ahead of the server, serves
// the requests that callers send before their earlier ones have been answered at the same time, and closes without
// resetting connections that are being opened.
package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/sleep"
)

// acceptGrace is the time for which a closing listener still accepts.
const acceptGrace = 50 * time.Millisecond

// quietFor is the time without an open request after which the remaining connections count as idle, quietPoll the
// time between two checks. A caller that sends within quietFor on an idle connection is answered and told to close it.
const (
	quietFor  = 500 * time.Millisecond
	quietPoll = 10 * time.Millisecond
)

// Listener accepts the connections in its queue before it closes, because the system resets those that a plain close
// leaves there. It also counts the connections that wait for an answer or have not sent a request yet:
// http.Server.Shutdown drops requests whose header arrives after the call, so it must not be called before they end.
type Listener struct {
	tcp      *net.TCPListener
	closing  atomic.Bool
	accepted chan acceptResult
	offered  chan struct{} // holds an item while streams is not empty
	ended    chan struct{} // closed when no connection is accepted any more
	closeErr error         // of the TCP listener; valid once ended is closed
	// Overlapping counts the requests that started while an earlier one of their connection was unanswered.
	PipelinedRequests atomic.Int64

	mu      sync.Mutex
	busy    map[net.Conn]struct{}
	streams []*stream // further streams of connections, to be accepted
	over    bool      // no further stream is accepted
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// NewListener returns a listener that accepts from tcp, which it owns.
func NewListener(tcp *net.TCPListener) *Listener {
	l := &Listener{
		tcp: tcp, accepted: make(chan acceptResult), offered: make(chan struct{}, 1), ended: make(chan struct{}),
		busy: map[net.Conn]struct{}{},
	}
	go l.acceptTCP()
	return l
}

// acceptTCP passes on what the TCP listener accepts, until acceptGrace after Close.
func (l *Listener) acceptTCP() {
	defer close(l.ended)
	for {
		socket, err := l.tcp.Accept()
		if err != nil && l.closing.Load() {
			l.closeErr = l.tcp.Close()
			l.mu.Lock()
			l.over = true
			l.mu.Unlock()
			return
		}
		result := acceptResult{err: err}
		if err == nil {
			result.conn = newConn(socket, l).first
		}
		l.accepted <- result
	}
}

// Accept implements net.Listener. Its results are streams.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if s := l.takeStream(); s != nil {
			return s, nil
		}
		select {
		case result := <-l.accepted:
			return result.conn, result.err
		case <-l.offered:
		case <-l.ended:
			if s := l.takeStream(); s != nil {
				return s, nil
			}
			return nil, errors.CombineErrors(net.ErrClosed, l.closeErr)
		}
	}
}

// offer makes the server accept a further stream of a connection. It reports false when the listener has closed.
func (l *Listener) offer(s *stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return false
	}
	l.streams = append(l.streams, s)
	select {
	case l.offered <- struct{}{}:
	default: // Accept has yet to see an earlier one, and takes all
	}
	return true
}

// takeStream returns the stream that was offered first, or nil.
func (l *Listener) takeStream() *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.streams) == 0 {
		return nil
	}
	s := l.streams[0]
	l.streams = l.streams[1:]
	return s
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Close starts the end of the listener, which Accept completes.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	return l.tcp.SetDeadline(time.Now().Add(acceptGrace))
}

// Track is the ConnState hook of the server.
func (l *Listener) TrackState(c net.Conn, state http.ConnState) {
	if s, ok := c.(*stream); ok && (state == http.StateIdle || state == http.StateClosed) {
		s.conn.finish(s, state == http.StateClosed)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		l.busy[c] = struct{}{}
		return
	}
	delete(l.busy, c)
}

// WaitIdle returns when no connection has been busy for quietFor, after limit, or when ctx ends.
func (l *Listener) WaitIdle(ctx context.Context, limit time.Duration) {
	quietSince := time.Now()
	end := quietSince.Add(limit)
	for time.Since(quietSince) < quietFor && time.Now().Before(end) {
		if !sleep.For(ctx, quietPoll) {
			return
		}
		l.mu.Lock()
		if len(l.busy) > 0 {
			quietSince = time.Now()
		}
		l.mu.Unlock()
	}
}
