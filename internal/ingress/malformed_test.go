package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// recordPanics returns what the HTTP server of the ingress logs, which includes the panics of its handler.
func (p *requestPath) recordPanics() *lockedBuffer {
	logged := &lockedBuffer{}
	p.caller.Config.ErrorLog = log.New(logged, "", 0)
	return logged
}

// rawBackend makes the gate forward requests to a server that sends response, as it is, on each connection and closes it.
func (p *requestPath) rawBackend(t *testing.T, response string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	served.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, response)
			}
			conn.Close()
		}
	})
	t.Cleanup(func() { listener.Close(); served.Wait() })
	p.gate.SetBackend(&gate.Backend{ID: "katalog-1", Service: "katalog", Address: listener.Addr().String()})
}

// exchangeRaw sends a request on conn and returns the response, whose body has been read, as the bytes of its head and a
// http.Response.
func exchangeRaw(t *testing.T, conn net.Conn, method, path string) (*http.Response, string, error) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", method, path); err != nil {
		t.Fatal(err)
	}
	raw := &bytes.Buffer{}
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, raw)), &http.Request{Method: method})
	if err != nil {
		return nil, raw.String(), err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp, raw.String(), err
}

func (p *requestPath) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.caller.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// expectBadGateway sends two requests on one connection, each of which must get a complete 502 that may have run.
func expectBadGateway(t *testing.T, p *requestPath, method string) {
	t.Helper()
	conn := p.dial(t)
	for range 2 {
		resp, raw, err := exchangeRaw(t, conn, method, "/order")
		if err != nil {
			t.Fatalf("no complete response: %v\n%s", err, raw)
		}
		if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(verdict.Header) != "may-have-run" {
			t.Errorf("status %d, verdict %q; want 502, may-have-run", resp.StatusCode, resp.Header.Get(verdict.Header))
		}
	}
}

// Guards against a response of a backend server that ends the handler with a panic, or reaches the caller with a status
// that HTTP lacks, without a final status, or with fields that were dropped, changed or are ambiguous.
func TestMalformedBackendResponsesAreBadGateways(t *testing.T) {
	heads := map[string]string{}
	for _, status := range []string{"000", "001", "042", "099", "+20", "-20", "100", "101", "103", "199", "600", "999", "20", "2000", "abc"} {
		heads["status "+status] = "HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\nok"
	}
	for _, fields := range []string{
		"Content-Length : 2", "Foo Bar: x\r\nContent-Length: 2", "F\xe9: x\r\nContent-Length: 2", ": x\r\nContent-Length: 2", "(a): x\r\nContent-Length: 2",
		"X-A: a\x00b\r\nContent-Length: 2", "X-A: a\rX-B: b\r\nContent-Length: 2", "X-A: \x7f\r\nContent-Length: 2", "X-A: \x1b[0m\r\nContent-Length: 2",
		"Content-Length: -2", "Content-Length: +2", "Content-Length: 2\r\nContent-Length: 3", "Content-Length: 2, 2", "Content-Length: 0x2",
		"Content-Length: 99999999999999999999", "Content-Length:", "Transfer-Encoding: gzip", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	} {
		heads[fmt.Sprintf("%q", fields)] = "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\nok"
	}
	for name, response := range heads {
		t.Run(name, func(t *testing.T) {
			p := newRequestPath(t, http.NotFoundHandler(), nil)
			logged := p.recordPanics()
			p.rawBackend(t, response)
			expectBadGateway(t, p, http.MethodPost)
			if logged.Len() > 0 {
				t.Errorf("logged by the server: %s", logged.String())
			}
		})
	}
}

// Guards against a check that refuses responses which net/http passes well-formed, and against a Content-Length field that
// the backend server did not send: those with 204, 304 and HEAD would describe another response.
func TestUnusualBackendResponsesPass(t *testing.T) {
	for _, test := range []struct{ method, response, want, wantNot string }{
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "Content-Length: 2\r\n", "Content-Length: 2\r\nContent-Length: 2"},
		{"POST", "HTTP/1.1 299 Own\r\nX-A: caf\xe9\t!\r\nContent-Length: 2\r\n\r\nok", "X-A: caf\xe9\t!\r\n", "X-None"},
		{"POST", "HTTP/1.1 599 Own\r\n!#$%&'*+-.^_`|~: x\r\nContent-Length: 0\r\n\r\n", "!#$%&'*+-.^_`|~: x\r\n", "X-None"},
		{"POST", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200", "103"},
		{"POST", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204", "Content-Length"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204", "Content-Length"},
		{"GET", "HTTP/1.1 304 Not Modified\r\n\r\n", "HTTP/1.1 304", "Content-Length"},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 70\r\n\r\n", "HTTP/1.1 304", "Content-Length"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n", "Content-Length: 70\r\n", "X-None"},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200", "Content-Length"},
		{
			"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\nContent-Length: 9\r\nSet-Cookie: a=b\r\n\r\n",
			"0\r\nX-Sum: 1\r\n\r\n", "Content-Length",
		},
	} {
		t.Run(fmt.Sprintf("%s %q", test.method, test.response), func(t *testing.T) {
			p := newRequestPath(t, http.NotFoundHandler(), nil)
			p.rawBackend(t, test.response)
			_, raw, err := exchangeRaw(t, p.dial(t), test.method, "/order")
			if err != nil || !strings.Contains(raw, test.want) || strings.Contains(raw, test.wantNot) {
				t.Errorf("error %v, response %q; want %q and not %q", err, raw, test.want, test.wantNot)
			}
		})
	}
}

// Guards against trailers whose names or values are dropped or changed: the response must not look complete.
func TestMalformedTrailersBreakOff(t *testing.T) {
	for _, trailer := range []string{"Foo Bar: x", "X-A: a\x00b", "X-A: a\rX-B: b"} {
		p := newRequestPath(t, http.NotFoundHandler(), nil)
		p.rawBackend(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n\r\n")
		if _, raw, err := exchangeRaw(t, p.dial(t), http.MethodPost, "/order"); err == nil {
			t.Errorf("trailer %q: complete response %q", trailer, raw)
		}
	}
}

// malformedPeer responds to each request with a response head.
type malformedPeer struct{ head *wire.ResponseHead }

func (malformedPeer) Generation() uint64 { return 1 }

func (p malformedPeer) ServePeer(_ context.Context, conn *peer.Conn, first *wire.Frame) {
	if first.GetAttemptQuery() != nil {
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_AttemptFate{AttemptFate: &wire.AttemptFate{Verdict: wire.Verdict_RAN, HasAnswer: true, Response: p.head}}})
		return
	}
	if p.head != nil {
		_ = conn.WriteAll(&wire.Frame{Kind: &wire.Frame_Response{Response: p.head}}, &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
	}
}

// Guards against a node with a fault, or of another version, whose responses end the handler of the ingress with a panic or
// reach the caller malformed.
func TestMalformedPeerResponsesAreBadGateways(t *testing.T) {
	header := func(name string, values ...string) []*wire.Header {
		return []*wire.Header{wire.NewHeader(name, values)}
	}
	for name, head := range map[string]*wire.ResponseHead{
		"none retained":     nil,
		"status 0":          {ContentLength: 0},
		"status 42":         {Status: 42},
		"status 103":        {Status: 103},
		"status 600":        {Status: 600},
		"status 2^32-1":     {Status: 1<<32 - 1},
		"length -2":         {Status: 200, ContentLength: -2},
		"two lengths":       {Status: 200, Headers: header("Content-Length", "0", "5")},
		"length field":      {Status: 200, ContentLength: 0, Headers: header("Content-Length", "5")},
		"malformed length":  {Status: 200, Headers: header("Content-Length", "x")},
		"transfer encoding": {Status: 200, Headers: header("Transfer-Encoding", "gzip")},
		"trailer prefix":    {Status: 200, Headers: header("Trailer:X", "1")},
		"name":              {Status: 200, Headers: header("X\r\nY", "1")},
		"value":             {Status: 200, Headers: header("X", "1\r\nY: 2")},
		"raw value":         {Status: 200, Headers: header("X", "\xe9\nY: 2")},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := peer.NewServer("malformed", 9, malformedPeer{head}, slog.New(slog.DiscardHandler))
			server.Serve(listener)
			t.Cleanup(server.Close)
			p := newRequestPath(t, http.NotFoundHandler(), func(string) string { return listener.Addr().String() })
			logged := p.recordPanics()
			expectBadGateway(t, p, http.MethodPost)
			if logged.Len() > 0 {
				t.Errorf("logged by the server: %s", logged.String())
			}
		})
	}
}
