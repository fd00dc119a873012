package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// truncatedResponses break off in each way in which the end of a response is marked.
var truncatedResponses = []struct {
	name, head string
	bodyBytes  int
	reset      bool
}{
	{"length, small", "Content-Length: 200\r\n\r\n", smallBodyBytes, false},
	{"length, large", "Content-Length: 200000\r\n\r\n", largeBodyBytes, false},
	{"length, reset", "Content-Length: 200\r\n\r\n", smallBodyBytes, true},
	{"chunked, in a chunk", "Transfer-Encoding: chunked\r\n\r\n1000\r\n", smallBodyBytes, false},
	{"chunked, before a chunk", "Transfer-Encoding: chunked\r\n\r\n", 0, false},
	{"chunked, reset", "Transfer-Encoding: chunked\r\n\r\n1000\r\n", smallBodyBytes, true},
	{"close-delimited, reset", "Connection: close\r\n\r\n", smallBodyBytes, true},
	{"close-delimited, large and reset", "Connection: close\r\n\r\n", largeBodyBytes, true},
	{"in the header", "Content-Type: text/pl", 0, false},
}

const (
	smallBodyBytes = 100
	largeBodyBytes = 3 * wire.MaxChunkBytes
)

// Guards against a response that breaks off halfway and looks complete, for each way in which the end of a body is marked.
// Responses below wire.MaxChunkBytes are read before anything is sent on, larger ones are streamed.
func TestTruncatedResponsesAreNotComplete(t *testing.T) {
	for _, test := range truncatedResponses {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			served := make(chan struct{})
			go func() {
				defer close(served)
				serveTruncated(listener, "HTTP/1.1 200 OK\r\n"+test.head+strings.Repeat("x", test.bodyBytes), test.reset)
			}()
			t.Cleanup(func() {
				listener.Close()
				<-served
			})
			g := newGate(t, http.NotFoundHandler())
			g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: listener.Addr().String()})
			conn := serveAttempt(t, g, requestHead(1))
			_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
			v, complete := answerVerdict(t, conn.Read)
			if complete || v == verdict.NotRun {
				t.Errorf("verdict %v, complete %t; want an incomplete response that may have run", v, complete)
			}
		})
	}
}

// serveTruncated sends text on the first connection and closes or resets it.
func serveTruncated(listener net.Listener, text string, reset bool) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond) // the gate has read what was sent
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a request that crashes backend servers during their responses and is never quarantined, and against
// crashes reported for a server that still listens.
func TestCrashDuringAResponseIsReported(t *testing.T) {
	for _, test := range truncatedResponses {
		for _, crash := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, crash %t", test.name, crash), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer listener.Close()
				go func() {
					serveTruncated(listener, "HTTP/1.1 200 OK\r\n"+test.head+strings.Repeat("x", test.bodyBytes), test.reset)
					if crash {
						listener.Close()
					}
				}()
				g := newGate(t, http.NotFoundHandler())
				reports := make(chan [][]byte, 4)
				g.OnCrash = func(b Backend, fingerprints [][]byte) {
					if b.ID != "katalog-1" || b.Incarnation != 7 {
						t.Errorf("crash of %+v reported", b)
					}
					reports <- fingerprints
				}
				g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: listener.Addr().String(), Incarnation: 7})
				h := requestHead(1)
				h.Fingerprint, h.CallerFingerprint = []byte("request"), []byte("request and caller")
				conn := serveAttempt(t, g, h)
				_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
				answerVerdict(t, conn.Read)
				g.Wait()
				if len(reports) != 1 && crash || len(reports) != 0 && !crash {
					t.Fatalf("%d crashes reported", len(reports))
				}
				if crash {
					if got := <-reports; len(got) != 2 || string(got[0]) != "request" || string(got[1]) != "request and caller" {
						t.Errorf("reported with the fingerprints %q", got)
					}
				}
			})
		}
	}
}

// Guards against a response without a length that is reset while the request body is still being written, and looks complete:
// the write learns of the reset, and the read then finds the end of the connection.
func TestResetDuringAnUploadIsNotComplete(t *testing.T) {
	const plays, uploadBytes, pieceBytes = 240, 2 << 20, 16 << 10
	var running sync.WaitGroup
	limit := make(chan struct{}, 24)
	var complete, answered atomic.Int32
	for i := range plays {
		limit <- struct{}{}
		running.Go(func() {
			defer func() { <-limit }()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Error(err)
				return
			}
			defer listener.Close()
			bodyBytes := []int{100, 5000, 70_000}[i%3]
			go serveTruncated(listener, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", bodyBytes), true)
			g := newGate(t, http.NotFoundHandler())
			g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: listener.Addr().String()})
			h := requestHead(1)
			h.ContentLength, h.Streamed, h.DeadlineMs = uploadBytes, true, 20_000
			conn := serveAttempt(t, g, h)
			go func() {
				piece := make([]byte, pieceBytes)
				for range uploadBytes / pieceBytes {
					if conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: piece}}}) != nil {
						return
					}
					time.Sleep(time.Duration(i%5) * 500 * time.Microsecond)
				}
				_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
			}()
			v, whole := answerVerdict(t, conn.Read)
			if whole {
				complete.Add(1)
			}
			if v != verdict.NotRun {
				answered.Add(1)
			}
		})
	}
	running.Wait()
	if complete.Load() > 0 || answered.Load() != plays {
		t.Errorf("%d of %d responses were passed on as complete, %d requests may have run", complete.Load(), plays, answered.Load())
	}
}

// Guards against a complete response without a length that counts as broken because the request body is still being written.
func TestCloseDuringAnUploadIsComplete(t *testing.T) {
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprintf("server reads on %t", reads), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			answered, served := make(chan struct{}), make(chan struct{})
			t.Cleanup(func() {
				listener.Close()
				<-served
			})
			go func() {
				defer close(served)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"))
				_ = conn.(*net.TCPConn).CloseWrite()
				if !reads {
					<-answered
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
			g := newGate(t, http.NotFoundHandler())
			g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: listener.Addr().String()})
			h := requestHead(1)
			h.ContentLength, h.Streamed = 16<<20, true
			conn := serveAttempt(t, g, h)
			go func() {
				for piece := make([]byte, 16<<10); conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: piece}}}) == nil; {
				}
			}()
			start := time.Now()
			defer close(answered)
			if v, complete := answerVerdict(t, conn.Read); !complete || time.Since(start) > time.Second {
				t.Errorf("verdict %v, complete %t after %v; want a complete response", v, complete, time.Since(start))
			}
		})
	}
}
