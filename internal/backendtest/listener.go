package backendtest

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener limits the number of open connections and delays the first read from each new one.
type listener struct {
	net.Listener
	limit int
	delay time.Duration
	open  *gauge
}

// Accept returns the next connection within the limit and closes connections that exceed it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.add(1) <= int64(l.limit) || l.limit == 0 {
			return &delayedConn{Conn: conn, ready: time.Now().Add(l.delay), open: l.open}, nil
		}
		l.open.add(-1)
		_ = conn.Close()
	}
}

type delayedConn struct {
	net.Conn
	ready     time.Time
	open      *gauge
	waited    atomic.Bool
	closeOnce sync.Once
}

// Read delays the first read until the connect delay has passed.
func (c *delayedConn) Read(p []byte) (int, error) {
	if !c.waited.Swap(true) {
		time.Sleep(time.Until(c.ready))
	}
	return c.Conn.Read(p)
}

// Close closes the connection and decrements the number of open connections once.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { c.open.add(-1) })
	return c.Conn.Close()
}

// gauge is a counter that records its peak value.
type gauge struct{ value, peak atomic.Int64 }

func (g *gauge) add(n int64) int64 {
	v := g.value.Add(n)
	for p := g.peak.Load(); v > p && !g.peak.CompareAndSwap(p, v); {
		p = g.peak.Load()
	}
	return v
}
