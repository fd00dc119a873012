package httpconn

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

func newStreamPair(t *testing.T) (caller net.Conn, accepted *stream) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted = newConn(raw, &Listener{}).primary
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return caller, accepted
}

// Guards against a request that keeps running after the caller has closed the connection: net/http does not detect the
// close of a connection on which another request has arrived.
func TestCloseBehindPipelinedRequestCancelsFirst(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	server := &http.Server{ConnContext: Context, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		select {
		case <-r.Context().Done():
			ended <- struct{}{}
		case <-time.After(5 * time.Second):
		}
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(NewListener(l.(*net.TCPListener), slog.New(slog.DiscardHandler))) }()
	defer server.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	_ = caller.Close()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("the request is still running after the caller has closed the connection")
	}
}

// Guards against a read deadline that does not unblock a waiting Read, or that cannot be cleared.
func TestReadAheadDeadline(t *testing.T) {
	caller, accepted := newStreamPair(t)
	buf := make([]byte, 8)
	_ = accepted.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := accepted.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got error %v, want os.ErrDeadlineExceeded", err)
	}
	_ = accepted.SetReadDeadline(time.Time{})
	if _, err := io.WriteString(caller, "abc"); err != nil {
		t.Fatal(err)
	}
	if n, err := accepted.Read(buf); n != 3 || err != nil {
		t.Fatalf("read %d bytes, error %v; want 3 bytes", n, err)
	}
}

// Guards against a read buffer that grows without bound when the server does not read a request.
func TestReadAheadIsBounded(t *testing.T) {
	caller, accepted := newStreamPair(t)
	_ = caller.SetWriteDeadline(time.Now().Add(time.Second))
	block := make([]byte, 64<<10)
	for range 1024 {
		if _, err := caller.Write(block); err != nil {
			break
		}
	}
	accepted.conn.mu.Lock()
	buffered := len(accepted.conn.readBuffer) + len(accepted.input)
	accepted.conn.mu.Unlock()
	if buffered > maxReadAhead+readChunkSize {
		t.Errorf("%d bytes buffered", buffered)
	}
	ctx := Context(context.Background(), accepted)
	_ = accepted.Close()
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Error("the context is not canceled after the connection has closed")
	}
}
