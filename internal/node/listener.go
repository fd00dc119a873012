package node

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

// gracefulListener accepts the connections in its queue before it closes, because the system resets those that a
// plain close leaves there. It also counts the connections that wait for an answer or have not sent a request yet:
// http.Server.Shutdown drops requests whose header arrives after the call, so it must not be called before they end.
type gracefulListener struct {
	*net.TCPListener
	closing atomic.Bool

	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

// Accept returns connections until acceptGrace after Close.
func (l *gracefulListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil && l.closing.Load() {
		return nil, errors.CombineErrors(net.ErrClosed, l.TCPListener.Close())
	}
	if err != nil {
		return nil, err
	}
	return newReadAheadConn(conn), nil
}

// Close starts the end of the listener, which Accept completes.
func (l *gracefulListener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	return l.SetDeadline(time.Now().Add(acceptGrace))
}

// track is the ConnState hook of the server.
func (l *gracefulListener) track(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		l.busy[c] = struct{}{}
		return
	}
	delete(l.busy, c)
}

// waitQuiet returns when no connection has been busy for quietFor, after limit, or when ctx ends.
func (l *gracefulListener) waitQuiet(ctx context.Context, limit time.Duration) {
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
