package ingress_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionspoke/internal/httpconn"
)

// Guards against a response that breaks off and looks complete to a caller of HTTP/1.0, for whom the end of the connection is
// the end of the body.
func TestTruncatedResponseToHTTP10(t *testing.T) {
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 200_000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}), nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: p.ingress, ConnContext: httpconn.Context}
	go func() {
		_ = server.Serve(httpconn.NewListener(listener.(*net.TCPListener), slog.New(slog.DiscardHandler)))
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, "GET /home HTTP/1.0\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err == nil && strings.HasPrefix(string(answer), "HTTP/1.0 200") {
		t.Errorf("%d bytes of a response that broke off look complete", len(answer))
	}
}
