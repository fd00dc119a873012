package gate

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Guards against a response that breaks off halfway and looks complete, for each way in which the end of a body is marked.
// Responses below wire.MaxChunkBytes are read before anything is sent on, larger ones are streamed.
func TestTruncatedResponsesAreNotComplete(t *testing.T) {
	const (
		small = 100
		large = 3 * wire.MaxChunkBytes
	)
	tests := []struct {
		name, head string
		bodyBytes  int
		reset      bool
	}{
		{"length, small", "Content-Length: 200\r\n\r\n", small, false},
		{"length, large", "Content-Length: 200000\r\n\r\n", large, false},
		{"length, reset", "Content-Length: 200\r\n\r\n", small, true},
		{"chunked, in a chunk", "Transfer-Encoding: chunked\r\n\r\n1000\r\n", small, false},
		{"chunked, before a chunk", "Transfer-Encoding: chunked\r\n\r\n", 0, false},
		{"chunked, reset", "Transfer-Encoding: chunked\r\n\r\n1000\r\n", small, true},
		{"close-delimited, reset", "Connection: close\r\n\r\n", small, true},
		{"close-delimited, large and reset", "Connection: close\r\n\r\n", large, true},
		{"in the header", "Content-Type: text/pl", 0, false},
	}
	for _, test := range tests {
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
