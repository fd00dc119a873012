package gate

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// cutHeads are heads of responses in each form that the gate accepts.
var cutHeads = map[string]string{
	"length":              "HTTP/1.1 200 OK\r\nLabel: a.1\r\nContent-Length: 12\r\n\r\n",
	"empty":               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"chunked":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"close-delimited":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":            "HTTP/1.0 200 OK\r\nLabel: a.1\r\n\r\n",
	"no content":          "HTTP/1.1 204 No Content\r\nLabel: a.1\r\n\r\n",
	"after informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"bare LF":             "HTTP/1.1 200 OK\nLabel: a.1\nContent-Length: 0\n\n",
	"longer than a read":  "HTTP/1.1 200 OK\r\nPad: " + strings.Repeat("p", 9000) + "\r\nContent-Length: 0\r\n\r\n",
}

// cuts returns the numbers of bytes of a head that are sent before the connection ends; all of them for a short head.
func cuts(head string) []int {
	var at []int
	for i := range len(head) {
		if len(head) < 1000 || i < 20 || i > len(head)-40 || i%1000 < 2 || i >= 4094 && i <= 4098 {
			at = append(at, i)
		}
	}
	return at
}

// Guards against a response that breaks off in its head and looks complete, at each byte of the head: on new and used
// connections, that close or are reset, and while the request body is still being written.
func TestResponsesCutInTheHeadAreNotComplete(t *testing.T) {
	type variant struct {
		method              string
		used, reset, upload bool
	}
	var variants []variant
	for _, reset := range []bool{false, true} {
		variants = append(variants,
			variant{method: http.MethodGet, reset: reset}, variant{method: http.MethodGet, used: true, reset: reset},
			variant{method: http.MethodHead, reset: reset}, variant{method: http.MethodHead, used: true, reset: reset},
			variant{method: http.MethodPost, reset: reset, upload: true})
	}
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			var plays sync.WaitGroup
			for _, v := range variants {
				plays.Go(func() {
					server := newCuttingServer(t)
					for _, cut := range cuts(head) {
						got, complete := server.play(v.method, head[:cut], v.used, v.reset, v.upload)
						if complete || got == verdict.NotRun {
							t.Errorf("%+v, cut after %d bytes (%q): verdict %v, complete %t", v, cut, head[max(0, cut-30):cut], got, complete)
						}
					}
				})
			}
			plays.Wait()
			if _, complete := newCuttingServer(t).play(http.MethodHead, head, false, false, false); !complete {
				t.Error("the whole head, in response to HEAD, is not complete")
			}
		})
	}
}

// cuttingServer is a backend server that ends its connections within a response, and a gate beside it.
type cuttingServer struct {
	t        *testing.T
	gate     *Gate
	listener net.Listener
	attempts uint64
}

func newCuttingServer(t *testing.T) *cuttingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(func() { listener.Close() })
	g := newGate(t, http.NotFoundHandler())
	g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: listener.Addr().String()})
	return &cuttingServer{t: t, gate: g, listener: listener}
}

// play sends a request that the server answers with text before it ends the connection, and returns its verdict and whether the
// response was complete. used sends it on a connection on which another request has been answered.
func (s *cuttingServer) play(method, text string, used, reset, upload bool) (verdict.Verdict, bool) {
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.serve(text, used, reset)
	}()
	defer func() { <-served }()
	if used {
		conn := s.send(http.MethodGet, false)
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
		if v, complete := answerVerdict(s.t, conn.Read); !complete {
			s.t.Errorf("first request on the connection: verdict %v", v)
		}
		s.gate.Wait() // the connection is idle
	}
	conn := s.send(method, upload)
	if !upload {
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
		return answerVerdict(s.t, conn.Read)
	}
	go func() {
		for piece := make([]byte, 16<<10); conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: piece}}}) == nil; {
			time.Sleep(time.Millisecond)
		}
	}()
	defer conn.Close()
	return answerVerdict(s.t, conn.Read)
}

func (s *cuttingServer) send(method string, upload bool) *peer.Conn {
	s.attempts++
	h := requestHead(s.attempts)
	h.Method = method
	if upload {
		h.ContentLength, h.Streamed = 1<<20, true
	}
	return serveAttempt(s.t, s.gate, h)
}

// serve answers one connection.
func (s *cuttingServer) serve(text string, used, reset bool) {
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 4096)
	if used {
		_, _ = conn.Read(buf)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
	_, _ = conn.Read(buf)
	_, _ = conn.Write([]byte(text))
	if reset {
		time.Sleep(2 * time.Millisecond) // a reset at once discards what was sent
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}
