package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is what a proxy does with the bytes that pass it.
type proxyMode int32

const (
	passAll proxyMode = iota
	// dropBoth and dropOut swallow bytes in both directions, or only those towards the target. Connections stay open.
	dropBoth
	dropOut
	// slowDown delays each piece by slowDelay.
	slowDown
	proxyModes
)

const slowDelay = 30 * time.Millisecond

// proxy forwards TCP connections to one address and injects faults between processes.
type proxy struct {
	listener net.Listener
	mode     atomic.Int32
	mu       sync.Mutex
	target   string
	conns    map[net.Conn]struct{}
	wg       sync.WaitGroup
}

func newProxy(t *testing.T) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, conns: map[net.Conn]struct{}{}}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
		p.wg.Wait()
	})
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *proxy) setMode(m proxyMode) { p.mode.Store(int32(m)) }

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(in) })
	}
}

func (p *proxy) forward(in net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	out, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	p.track(in, out)
	defer p.untrack(in, out)
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, dropOut); done <- struct{}{} }()
	go func() { p.copy(in, out, dropBoth); done <- struct{}{} }()
	<-done
	_ = in.Close()
	_ = out.Close()
	<-done
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// copy moves bytes until one end closes. Bytes are lost while the mode is dropBoth or the given one; a connection
// that has lost bytes passes none afterwards, as if the path had broken for good.
func (p *proxy) copy(to io.Writer, from io.Reader, drop proxyMode) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		mode := proxyMode(p.mode.Load())
		lost = lost || mode == dropBoth || mode == drop
		if mode == slowDown {
			time.Sleep(slowDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
