package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a backend server.
type server struct {
	run         *run
	node        *node // on the same VM
	id, service string
	born        int64
	listener    net.Listener
	sequence    atomic.Int64
	draining    atomic.Bool
	silent      atomic.Bool // sends no more heartbeats
	stopped     chan struct{}
	stopOnce    sync.Once

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// respond replaces the normal handling of a request if it returns true.
	respond func(c *serverConn, request *http.Request) bool
}

func (s *server) setRespond(respond func(*serverConn, *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = respond
}

// serverConn is a connection of a server. Requests on it are served one after the other.
type serverConn struct {
	net.Conn
	server *server
	number int
	extra  string // bytes to send where the next answer is expected
}

const slots = 18

// addServer starts the backend server beside a node. It sends heartbeats once the node serves them.
func (r *run) addServer(n *node) (*server, error) {
	s := &server{
		run: r, node: n, id: "i-" + r.newID()[:10], service: n.service, born: time.Now().UnixMilli(),
		stopped: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	l, err := net.Listen("tcp", n.addr(appPort))
	if err != nil {
		return nil, err
	}
	s.listener = l
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go s.accept()
	go s.sendHeartbeats()
	r.log("server %s of service %s started beside %s", s.id, s.service, n.name)
	return s, nil
}

// close ends the server as the end of its process does: it resets its connections.
func (s *server) close() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		_ = s.listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

func (s *server) accept() {
	for number := 1; ; number++ {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(&serverConn{Conn: c, server: s, number: number})
	}
}

func (s *server) serve(c *serverConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if c.extra != "" {
			s.run.log("server %s sends the second copy of an earlier answer on connection %d: %.40q", s.id, c.number, c.extra)
			_, _ = io.WriteString(c, c.extra)
			c.extra = ""
		}
		s.mu.Lock()
		respond := s.respond
		s.mu.Unlock()
		if respond == nil || !respond(c, request) {
			s.handle(c, request)
		}
	}
}

// handle answers a request as a sound server does.
func (s *server) handle(c *serverConn, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	switch expected := request.Header.Get("Expected-Instance"); {
	case request.URL.Path == "/healthz":
		c.answer(200, "Instance-Id: "+s.id+"\r\n", "")
		return
	case id == "":
		c.answer(400, "Not-Executed: 1\r\n", "")
		return
	case expected != "" && expected != s.id:
		c.answer(421, "Attempt-Id: "+id+"\r\nInstance-Id: "+s.id+"\r\n", "")
		return
	}
	c.execute(request)
}

// execute runs a request and answers it.
func (c *serverConn) execute(request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	c.server.run.recordRun(id, c.server.id)
	work, _ := strconv.Atoi(request.Header.Get("Work-Ms"))
	time.Sleep(time.Duration(max(work, 5)) * time.Millisecond)
	c.answer(200, fmt.Sprintf("Attempt-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\n", id, c.server.id, id), "done "+id)
}

func answerText(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sServer-Load: 1,0,%d,100\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headers, slots, len(body), body)
}

func (c *serverConn) answer(status int, headers, body string) {
	_, _ = io.WriteString(c, answerText(status, headers, body))
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat(state string) map[string]any {
	return map[string]any{
		"address": s.node.addr(appPort), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.node.zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": s.sequence.Add(1), "slow_start_ms": 0},
	}
}

// tell sends a call to the control address of the server's VM and reports whether it was acknowledged.
func (s *server) tell(call string, body map[string]any) bool {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/rpc?call=instances.%s&of=%s", s.node.addr(controlPort), call, s.id)
	resp, err := client.Post(url, "application/json", bytes.NewReader(encoded))
	if err != nil {
		s.run.log("%s of server %s is not answered: %v", call, s.id, err)
		return false
	}
	_ = resp.Body.Close()
	s.run.log("%s of server %s %s answered with %d", call, s.id, encoded, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// sendHeartbeats sends a heartbeat each heartbeatPeriod, and more often while none is acknowledged.
func (s *server) sendHeartbeats() {
	for wait := time.Duration(0); ; {
		select {
		case <-s.stopped:
			return
		case <-time.After(wait):
		}
		if s.silent.Load() {
			return
		}
		state := "ready"
		if s.draining.Load() {
			state = "draining"
		}
		wait = heartbeatPeriod
		if !s.tell("heartbeat", s.heartbeat(state)) {
			wait = 300 * time.Millisecond
		}
	}
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }

// readAnswer reads one complete answer.
func readAnswer(reader *bufio.Reader, id, method string) answer {
	a := answer{id: id}
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get("Server-Stamp"), string(body)
	if got := resp.Header.Get("Attempt-Id"); got != id {
		a.err = fmt.Errorf("the answer names request %q", got)
	}
	return a
}
