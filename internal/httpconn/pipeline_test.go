package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// dialTestServer serves a handler on loopback and returns a connection to it and its listener.
func dialTestServer(t *testing.T, handler http.HandlerFunc) (net.Conn, *Listener) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener), slog.New(slog.DiscardHandler))
	server := &http.Server{Handler: handler, ConnState: l.TrackState, ConnContext: Context, IdleTimeout: 300 * time.Millisecond}
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(l) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = server.Close(); <-served })
	_ = caller.SetDeadline(time.Now().Add(10 * time.Second))
	return caller, l
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readBodies reads n responses and returns their bodies, or fewer if the connection ends early.
func readBodies(caller net.Conn, n int) []string {
	var bodies []string
	r := bufio.NewReader(caller)
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return bodies
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return append(bodies, "truncated")
		}
		bodies = append(bodies, string(body))
	}
	return bodies
}

// Guards against a pipelined request that waits for the response to a slow earlier one, and against responses that are
// sent in another order than the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	var started sync.WaitGroup
	started.Add(3)
	caller, l := dialTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		started.Done()
		started.Wait() // ends only when all three have started
		if r.URL.Path == "/1" {
			time.Sleep(50 * time.Millisecond) // the handlers of the other requests return earlier
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	if _, err := io.WriteString(caller, getRequest("/1")+getRequest("/2")+getRequest("/3")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/1", "/2", "/3"}, readBodies(caller, 3)); diff != "" {
		t.Error(diff)
	}
	if got := l.PipelinedRequests.Load(); got != 2 {
		t.Errorf("%d pipelined requests counted, want 2", got)
	}
}

// Guards against responses to the wrong request when requests arrive fragmented, several at once and at varying times.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	caller, _ := dialTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(len(r.URL.Path)*7%5) * time.Millisecond)
		if len(r.URL.Path)%3 == 0 {
			_ = http.NewResponseController(w).Flush() // chunked
		}
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	var text strings.Builder
	var want []string
	for i := range 120 {
		path := "/" + strings.Repeat("x", i%7) + fmt.Sprint(i)
		switch {
		case i%11 == 5:
			fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", path)
			want = append(want, path+"hello")
		default:
			text.WriteString(getRequest(path))
			want = append(want, path)
		}
	}
	go func() {
		for rest, size := text.String(), 1; len(rest) > 0; size = size*5%97 + 1 {
			n := min(size, len(rest))
			_, _ = io.WriteString(caller, rest[:n])
			rest = rest[n:]
			if size%8 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	if diff := cmp.Diff(want, readBodies(caller, len(want))); diff != "" {
		t.Error(diff)
	}
}

// Guards against wrong request boundaries after a chunked body.
func TestChunkedBodyIsServedInSequence(t *testing.T) {
	caller, _ := dialTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	chunked := "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	if _, err := io.WriteString(caller, getRequest("/a")+chunked+getRequest("/c")+getRequest("/d")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/a", "/bhello", "/c", "/d"}, readBodies(caller, 4)); diff != "" {
		t.Error(diff)
	}
}

// Guards against running a non-idempotent request after an earlier response has closed the connection. The caller
// assumes that such a request was not read and resends it.
func TestAwaitEarlierResponsesFailsAfterClose(t *testing.T) {
	ran := make(chan string, 4)
	caller, _ := dialTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		default:
			if AwaitEarlierResponses(r.Context()) == nil {
				ran <- r.URL.Path
			}
		}
	})
	if _, err := io.WriteString(caller, getRequest("/first")+getRequest("/order")); err != nil {
		t.Fatal(err)
	}
	if got := readBodies(caller, 2); len(got) != 0 {
		t.Errorf("got responses %q after one that was aborted, want none", got)
	}
	select {
	case path := <-ran:
		t.Errorf("%s ran after the connection had closed", path)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against a response with "Connection: close" while later requests on the connection are running, since their
// responses would be lost.
func TestOnlyLastResponseClosesConnection(t *testing.T) {
	release := make(chan struct{})
	caller, _ := dialTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-release // until the second has started
		} else {
			close(release)
			time.Sleep(20 * time.Millisecond)
		}
		if MayClose(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	if _, err := io.WriteString(caller, getRequest("/1")+getRequest("/2")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/1", "/2"}, readBodies(caller, 3)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a shutdown that ends a connection while later requests on it have started, waits for connections without a request,
// or drops a request of which only a part has arrived.
func TestShutdownWaitsForStartedRequests(t *testing.T) {
	release := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		if MayClose(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	tests := map[string]struct {
		before, after string // sent before and after the start of the shutdown
		want          []string
		waits         bool // the shutdown does not end before the release of /slow
	}{
		"no request yet":      {"", "", nil, false},
		"idle after requests": {getRequest("/1"), "", []string{"/1"}, false},
		"pipelined":           {getRequest("/slow") + getRequest("/2") + getRequest("/3"), "", []string{"/slow", "/2", "/3"}, true},
		"pipelined later":     {getRequest("/slow"), getRequest("/2"), []string{"/slow", "/2"}, true},
		"part of a head":      {getRequest("/slow") + getRequest("/2")[:8], getRequest("/2")[8:], []string{"/slow", "/2"}, true},
		"in chunks":           {"POST /slow HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na", "\r\n0\r\n\r\n", []string{"/slow"}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			release = make(chan struct{})
			caller, l := dialTestServer(t, handler)
			if _, err := io.WriteString(caller, test.before); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			ended := make(chan struct{})
			go func() { defer close(ended); l.Shutdown(t.Context()) }()
			bodies := make(chan []string, 1)
			go func() { bodies <- readBodies(caller, len(test.want)+1); caller.Close() }()
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(caller, test.after); err != nil && test.waits {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			select {
			case <-ended:
				if test.waits {
					t.Error("the shutdown ended before the requests")
				}
			default:
			}
			close(release)
			if diff := cmp.Diff(test.want, <-bodies); diff != "" {
				t.Error(diff)
			}
			select {
			case <-ended:
			case <-time.After(3 * time.Second):
				t.Error("the shutdown does not end")
			}
		})
	}
}

// Guards against an idle timeout that closes the connection while a request of another stream is running, and against
// one that no longer applies afterwards.
func TestIdleTimeoutStartsAtLastResponse(t *testing.T) {
	caller, _ := dialTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			time.Sleep(500 * time.Millisecond) // longer than the idle timeout of the primary stream
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	if _, err := io.WriteString(caller, getRequest("/1")+getRequest("/2")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/1", "/2"}, readBodies(caller, 2)); diff != "" {
		t.Fatal(diff)
	}
	time.Sleep(150 * time.Millisecond)
	if _, err := io.WriteString(caller, getRequest("/3")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/3"}, readBodies(caller, 2)); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests that keep running on any stream of a connection that the caller has closed.
func TestCloseCancelsAllPipelinedRequests(t *testing.T) {
	started, ended := make(chan struct{}, 3), make(chan struct{}, 3)
	caller, _ := dialTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	if _, err := io.WriteString(caller, getRequest("/1")+getRequest("/2")+getRequest("/3")); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		<-started
	}
	_ = caller.Close()
	for range 3 {
		select {
		case <-ended:
		case <-time.After(3 * time.Second):
			t.Fatal("a request is still running after the caller has closed the connection")
		}
	}
}

// Guards against request smuggling through a head for which net/http and bodyLength see different request boundaries.
func TestBodyLength(t *testing.T) {
	for _, c := range []struct {
		head  string
		body  int64
		known bool
	}{
		{getRequest("/"), 0, true},
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n", 12, true},
		{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", 0, false},
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 0, false},
		{"GET / HTTP/1.1\nHost: a\r\n\r\n", 0, false},
		{"GET / HTTP/1.1\r\nHost: a\n\nGET /b HTTP/1.1\r\n\r\n", 0, false},
		{"GET / HTTP/1.0\r\nHost: a\r\n\r\n", 0, false},
		{"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 0, false},
		{"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: b\r\n\r\n", 0, false},
		{"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 0, false},
		{"nonsense\r\n\r\n", 0, false},
	} {
		if body, known := bodyLength([]byte(c.head)); body != c.body || known != c.known {
			t.Errorf("%q: got body of %d bytes, known %v", c.head, body, known)
		}
	}
}

// Guards against a closed listener that queues streams which Accept no longer returns.
func TestEnqueueStreamAfterClose(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener), slog.New(slog.DiscardHandler))
	_ = l.Close()
	if _, err := l.Accept(); err == nil {
		t.Fatal("Accept on a closed listener succeeded")
	}
	if l.enqueueStream(&stream{}) {
		t.Error("a closed listener queued a stream")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := AwaitEarlierResponses(ctx); err != nil {
		t.Errorf("AwaitEarlierResponses for a request without a stream: %v", err)
	}
}

// Guards against a last response that is cut off by a reset because the caller has sent another request behind it, and against
// connections that are not closed in the end.
func TestLastResponseIsNotResetByLaterBytes(t *testing.T) {
	const responseBytes = 8 << 20
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener), slog.New(slog.DiscardHandler))
	server := &http.Server{ConnState: l.TrackState, ConnContext: Context, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", strconv.Itoa(responseBytes))
		_, _ = w.Write(make([]byte, responseBytes))
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range 8 {
		caller, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		_ = caller.SetDeadline(time.Now().Add(10 * time.Second))
		go func() {
			_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n")
			_, _ = caller.Write(make([]byte, 300_000))
		}()
		time.Sleep(time.Duration(i) * 10 * time.Millisecond) // the server waits for the caller to read
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); n != responseBytes || err != nil {
			t.Errorf("%d bytes of %d, error %v", n, responseBytes, err)
		}
	}
	start := time.Now()
	l.WaitLingering(t.Context())
	if took := time.Since(start); took > maxLinger || l.lingering.Load() != 0 {
		t.Errorf("%d connections linger after %v", l.lingering.Load(), took)
	}
}
