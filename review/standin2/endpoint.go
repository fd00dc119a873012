package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	slots             = 16
	heartbeatInterval = 1500 * time.Millisecond
)

// endpoint is a stand-in of a backend server: one process of it, on a machine.
type endpoint struct {
	machine *machine
	id      string
	born    int64
	// serve handles one request on a connection and reports whether the connection goes on.
	serve func(e *endpoint, c net.Conn, in *bufio.Reader, r *http.Request) bool

	listener net.Listener
	done     chan struct{} // closed when no more heartbeats are sent
	mu       sync.Mutex
	sequence int // of the latest heartbeat
	conns    map[net.Conn]bool
	running  int
}

type serveFunc = func(e *endpoint, c net.Conn, in *bufio.Reader, r *http.Request) bool

// startEndpoint starts a backend server on the machine, and its heartbeats.
func startEndpoint(m *machine, id string, serve serveFunc) (*endpoint, error) {
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		machine: m, id: id, born: time.Now().UnixMilli(), serve: serve, listener: l, done: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go e.accept()
	go e.sendHeartbeats()
	m.fleet.record.printf("backend server %s of %s starts beside %s", id, m.service, m.name)
	return e, nil
}

func (e *endpoint) sendHeartbeats() {
	for {
		wait := heartbeatInterval
		if !e.machine.heartbeat(e.id, e.born, e.nextSequence(), "ready") {
			wait = 200 * time.Millisecond
		}
		select {
		case <-e.done:
			return
		case <-time.After(wait):
		}
	}
}

func (e *endpoint) nextSequence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.sequence
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.handle(c)
	}
}

func (e *endpoint) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", e.id, e.load())
			continue
		}
		if r.Header.Get("Expected-Instance") != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, r.Header.Get("Attempt-Id"))
			continue
		}
		e.mu.Lock()
		e.running++
		e.mu.Unlock()
		goOn := e.serve(e, c, in, r)
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		if !goOn {
			return
		}
	}
}

func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", e.running, slots)
}

// head returns the head of a successful response to r, up to the header that states the length.
func (e *endpoint) head(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%d\r\nServer-Load: %s\r\n", r.Header.Get("Attempt-Id"), e.id, e.born, e.load())
}

// crash ends the backend server: its listener and all its connections close.
func (e *endpoint) crash() {
	close(e.done)
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}
