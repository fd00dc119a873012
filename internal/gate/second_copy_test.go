package gate

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// serveTwice sends each response a second time when the next request of the connection has arrived, before the response to
// that. The body of a response is the identifier of the attempt.
func serveTwice(conn net.Conn) {
	defer conn.Close()
	reader, previous := bufio.NewReader(conn), ""
	for {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(attemptIDHeader)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", attemptIDHeader, id, len(id), id)
		if _, err := fmt.Fprint(conn, previous+response); err != nil {
			return
		}
		previous = response
	}
}

// Guards against a response that belongs to another request: a backend server that uses the native protocol sends a second
// copy of a response when the next request has been sent on the connection.
func TestSecondCopyOfAnAnswerIsNotDelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTwice(conn)
		}
	}()
	t.Cleanup(func() { listener.Close() })
	g := newGate(t, http.NotFoundHandler())
	g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: listener.Addr().String()})
	answered, refused := 0, 0
	for n := range 20 {
		g.Wait() // the connection has been given back
		head := requestHead(uint64(n + 1))
		conn := serveAttempt(t, g, head)
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
		f, err := conn.Read()
		if err != nil {
			t.Fatal(err)
		}
		if refusal := f.GetRefusal(); refusal != nil {
			if v := verdict.FromWire(refusal.Verdict); v != verdict.MayHaveRun {
				t.Fatalf("attempt %d: verdict %v, want may-have-run", n, v)
			}
			refused++
			continue
		}
		for _, h := range f.GetResponse().GetHeaders() {
			if h.Name == attemptIDHeader {
				t.Errorf("attempt %d: the identifier is passed on", n)
			}
		}
		if f, err = conn.Read(); err != nil || string(f.GetChunk().GetData()) != hex.EncodeToString(head.AttemptId) {
			t.Fatalf("attempt %d got the response to another: %v, error %v", n, f, err)
		}
		answered++
	}
	if answered < 5 || refused < 5 {
		t.Errorf("%d of 20 attempts answered, %d failed; want those on new connections answered and those on used ones failed", answered, refused)
	}
}
