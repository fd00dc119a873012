// Package httpconn provides a net.Listener and connections for net/http servers. Connections read ahead of the server,
// and the server handles their pipelined requests concurrently. The listener closes without resetting connections that
// are still in the kernel's accept queue.
package httpconn

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/sleep"
)

// acceptGracePeriod is the time for which a closing listener still accepts connections.
const acceptGracePeriod = 50 * time.Millisecond

// settlePeriod is the time between the moment from which a closing listener drops connection requests and the close of its
// socket, in which handshakes in progress end. It covers the round trip to callers of the same region. Callers that connect
// in this time learn only a second later that the listener has closed, so it is short.
const settlePeriod = 2 * time.Millisecond

// maxSettlePeriod limits the time for which a closing listener accepts what is still in its queue. Where the kernel refuses to
// drop connection requests, as a seccomp policy may, new ones can keep the queue filled.
const maxSettlePeriod = 20 * time.Millisecond

const (
	// idlePeriod is the time without an open request after which the remaining connections count as idle. A caller
	// that sends a request on an idle connection within this time gets a response that closes the connection.
	idlePeriod = 500 * time.Millisecond
	// idlePollInterval is the time between two checks for open requests.
	idlePollInterval = 10 * time.Millisecond
)

// Listener accepts the connections in the kernel's accept queue before it closes, because closing the socket at once
// resets them. Use Shutdown in place of http.Server.Shutdown, after which each response closes its connection, also in front of
// pipelined requests that have started.
type Listener struct {
	tcp         *net.TCPListener
	logger      *slog.Logger
	queue       acceptQueue
	closing     atomic.Bool
	accepted    chan acceptResult
	streamReady chan struct{} // holds an item while pendingStreams is not empty
	acceptDone  chan struct{} // closed when no more connections are accepted
	closeErr    error         // error of closing tcp; valid once acceptDone is closed
	// PipelinedRequests counts the requests that started while an earlier request of their connection was unanswered.
	PipelinedRequests atomic.Int64
	lingering         atomic.Int64 // connections that have sent their last response and are not closed yet
	mu                sync.Mutex
	activeConns       map[net.Conn]struct{} // that have an open request or have not sent a request yet
	conns             map[*conn]struct{}    // whose sockets are read
	pendingStreams    []*stream             // additional streams of connections, to be returned by Accept
	streamsClosed     bool                  // no more streams are accepted
}

// acceptQueue is the access to the kernel's queue of connections of a listener; tests replace it.
type acceptQueue struct {
	dropRequests func(*net.TCPListener) error
	hasQueued    func(*net.TCPListener) (bool, error)
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// ListenConfig returns the configuration with which sockets for NewListener are opened. The kernel does not let Multipath TCP
// sockets drop connection requests, which Close needs.
func ListenConfig() *net.ListenConfig {
	config := &net.ListenConfig{}
	config.SetMultipathTCP(false)
	return config
}

// NewListener returns a listener that accepts connections from tcp and takes ownership of it.
func NewListener(tcp *net.TCPListener, logger *slog.Logger) *Listener {
	return newListener(tcp, logger, acceptQueue{dropConnectionRequests, hasQueuedConnections})
}

func newListener(tcp *net.TCPListener, logger *slog.Logger, queue acceptQueue) *Listener {
	l := &Listener{
		tcp: tcp, logger: logger, queue: queue, accepted: make(chan acceptResult), streamReady: make(chan struct{}, 1), acceptDone: make(chan struct{}),
		activeConns: map[net.Conn]struct{}{},
	}
	go l.acceptLoop()
	return l
}

// acceptLoop passes connections from tcp to Accept, until acceptGracePeriod after Close and until the accept queue is empty.
func (l *Listener) acceptLoop() {
	defer close(l.acceptDone)
	var settlingSince time.Time // when the deadline after Close had passed first
	for {
		socket, err := l.tcp.Accept()
		if err != nil && l.closing.Load() {
			if l.extendForQueued(&settlingSince) {
				continue
			}
			l.closeErr = l.tcp.Close()
			l.mu.Lock()
			l.streamsClosed = true
			l.mu.Unlock()
			return
		}
		result := acceptResult{err: err}
		if err == nil {
			result.conn = newConn(socket, l).primary
		}
		l.accepted <- result
	}
}

// extendForQueued is called when the deadline of a closing listener has passed. It reports true, with a new deadline, if
// handshakes in progress or queued connections have to be awaited: closing the socket resets queued connections, and Accept
// does not look for them once its deadline has passed.
func (l *Listener) extendForQueued(settlingSince *time.Time) bool {
	if settlingSince.IsZero() {
		*settlingSince = time.Now()
		if err := l.queue.dropRequests(l.tcp); err != nil {
			// Connections that arrive between the last look at the queue and the close are reset.
			l.logger.Info("connection requests are not dropped before the close", "event", "listener_filter_refused", "error", err)
		}
	} else if queued, err := l.queue.hasQueued(l.tcp); err != nil || !queued || time.Since(*settlingSince) >= maxSettlePeriod {
		return false
	}
	return l.tcp.SetDeadline(time.Now().Add(settlePeriod)) == nil
}

// Accept implements net.Listener. It returns streams.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if s := l.dequeueStream(); s != nil {
			return s, nil
		}
		select {
		case result := <-l.accepted:
			return result.conn, result.err
		case <-l.streamReady:
		case <-l.acceptDone:
			if s := l.dequeueStream(); s != nil {
				return s, nil
			}
			return nil, errors.CombineErrors(net.ErrClosed, l.closeErr)
		}
	}
}

// enqueueStream makes Accept return an additional stream of a connection. It reports false if the listener has closed.
func (l *Listener) enqueueStream(s *stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streamsClosed {
		return false
	}
	l.pendingStreams = append(l.pendingStreams, s)
	select {
	case l.streamReady <- struct{}{}:
	default: // a signal is already pending, and Accept takes all queued streams
	}
	return true
}

// dequeueStream removes and returns the oldest queued stream, or returns nil.
func (l *Listener) dequeueStream() *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pendingStreams) == 0 {
		return nil
	}
	s := l.pendingStreams[0]
	l.pendingStreams = l.pendingStreams[1:]
	return s
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Close implements net.Listener. Connections are still accepted for acceptGracePeriod, after which Accept returns an
// error.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	return l.tcp.SetDeadline(time.Now().Add(acceptGracePeriod))
}

// TrackState records the state of connections. Set it as the ConnState hook of the http.Server.
func (l *Listener) TrackState(c net.Conn, state http.ConnState) {
	if s, ok := c.(*stream); ok && (state == http.StateIdle || state == http.StateClosed) {
		s.conn.finishResponse(s, state == http.StateClosed)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		l.activeConns[c] = struct{}{}
		return
	}
	delete(l.activeConns, c)
}

func (l *Listener) addConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*conn]struct{}{}
	}
	l.conns[c] = struct{}{}
}

func (l *Listener) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Shutdown closes the connections without a request, and the others once their requests have been answered. It returns when all
// have sent their last response and are closed, or ctx ends. Call Close and WaitIdle before, so that callers can leave.
func (l *Listener) Shutdown(ctx context.Context) {
	for l.closeIdleConns() > 0 && sleep.For(ctx, idlePollInterval) {
	}
	l.WaitLingering(ctx)
}

// closeIdleConns closes the connections without a request and returns the number of the others.
func (l *Listener) closeIdleConns() (busy int) {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

func (l *Listener) startLinger() { l.lingering.Add(1) }

func (l *Listener) endLinger() { l.lingering.Add(-1) }

// WaitLingering waits until the connections that have sent their last response are closed, or ctx ends. A process that ends
// before may reset them while they still send it.
func (l *Listener) WaitLingering(ctx context.Context) {
	for l.lingering.Load() > 0 && sleep.For(ctx, idlePollInterval) {
	}
}

// WaitIdle waits until no connection has been active for idlePeriod. It returns earlier when limit has passed or ctx
// ends.
func (l *Listener) WaitIdle(ctx context.Context, limit time.Duration) {
	idleSince := time.Now()
	deadline := idleSince.Add(limit)
	for time.Since(idleSince) < idlePeriod && time.Now().Before(deadline) {
		if !sleep.For(ctx, idlePollInterval) {
			return
		}
		l.mu.Lock()
		if len(l.activeConns) > 0 {
			idleSince = time.Now()
		}
		l.mu.Unlock()
	}
}
