package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is the fault that a proxy injects into its connections.
type proxyMode int32

const (
	proxyForward proxyMode = iota
	// proxyDropBoth and proxyDropToTarget discard data in both directions, or only data to the target, and keep
	// connections open.
	proxyDropBoth
	proxyDropToTarget
	// proxyDelay delays each chunk of data by proxyChunkDelay.
	proxyDelay
	proxyModeCount
)

const proxyChunkDelay = 30 * time.Millisecond

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

// reset closes all connections with a TCP reset.
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
	go func() { p.forwardData(out, in, proxyDropToTarget); done <- struct{}{} }()
	go func() { p.forwardData(in, out, proxyDropBoth); done <- struct{}{} }()
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

// forwardData copies data from src to dst until one of them closes. It discards data while the mode is proxyDropBoth or
// dropMode. A direction that has discarded data forwards none afterwards, as if the network path had failed for good.
func (p *proxy) forwardData(dst io.Writer, src io.Reader, dropMode proxyMode) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buf)
		mode := proxyMode(p.mode.Load())
		dropped = dropped || mode == proxyDropBoth || mode == dropMode
		if mode == proxyDelay {
			time.Sleep(proxyChunkDelay)
		}
		if n > 0 && !dropped {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
