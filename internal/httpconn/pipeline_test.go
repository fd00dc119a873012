package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testServer serves a handler on loopback and returns a connection to it.
func testServer(t *testing.T, handler http.HandlerFunc) (net.Conn, *Listener) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener))
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

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// answers reads n answers and returns their bodies; a connection that ends early ends the list.
func answers(caller net.Conn, n int) []string {
	var bodies []string
	r := bufio.NewReader(caller)
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return bodies
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return append(bodies, "cut off")
		}
		bodies = append(bodies, string(body))
	}
	return bodies
}

// Guards against a short request that waits for the answer to a long one which its caller sent before on the same
// connection, and against answers that leave in another order than that of the requests.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	var together sync.WaitGroup
	together.Add(3)
	caller, l := testServer(t, func(w http.ResponseWriter, r *http.Request) {
		together.Done()
		together.Wait() // ends only when all three have started
		if r.URL.Path == "/1" {
			time.Sleep(50 * time.Millisecond) // the others have been answered before
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	if _, err := io.WriteString(caller, get("/1")+get("/2")+get("/3")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/1", "/2", "/3"}, answers(caller, 3)); diff != "" {
		t.Error(diff)
	}
	if got := l.PipelinedRequests.Load(); got != 2 {
		t.Errorf("%d requests overlapped, want 2", got)
	}
}

// Guards against answers to the wrong request when requests come in pieces, in series and at random moments.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	caller, _ := testServer(t, func(w http.ResponseWriter, r *http.Request) {
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
			text.WriteString(get(path))
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
	if diff := cmp.Diff(want, answers(caller, len(want))); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests behind a chunked body being taken apart at the wrong place.
func TestChunkedBodyIsServedInSequence(t *testing.T) {
	caller, _ := testServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	chunked := "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	if _, err := io.WriteString(caller, get("/a")+chunked+get("/c")+get("/d")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/a", "/bhello", "/c", "/d"}, answers(caller, 4)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a request that may run only once and is started behind an answer that ends the connection: its
// caller takes it for not read and sends it again.
func TestAwaitTurnHoldsBehindAnEndingConnection(t *testing.T) {
	ran := make(chan string, 4)
	caller, _ := testServer(t, func(w http.ResponseWriter, r *http.Request) {
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
	if _, err := io.WriteString(caller, get("/first")+get("/order")); err != nil {
		t.Fatal(err)
	}
	if got := answers(caller, 2); len(got) != 0 {
		t.Errorf("answers %q behind one that broke off", got)
	}
	select {
	case path := <-ran:
		t.Errorf("%s ran", path)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against an answer that announces the end of the connection while requests behind it are running: they would
// be lost.
func TestOnlyTheLastAnswerEndsTheConnection(t *testing.T) {
	release := make(chan struct{})
	caller, _ := testServer(t, func(w http.ResponseWriter, r *http.Request) {
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
	if _, err := io.WriteString(caller, get("/1")+get("/2")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/1", "/2"}, answers(caller, 3)); diff != "" {
		t.Error(diff)
	}
}

// Guards against an idle limit that ends the connection while a request of another stream is running, and against one
// that is not in force afterwards.
func TestIdleLimitCountsFromTheLastAnswer(t *testing.T) {
	caller, _ := testServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			time.Sleep(500 * time.Millisecond) // beyond the idle limit of the first stream
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	if _, err := io.WriteString(caller, get("/1")+get("/2")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/1", "/2"}, answers(caller, 2)); diff != "" {
		t.Fatal(diff)
	}
	time.Sleep(150 * time.Millisecond)
	if _, err := io.WriteString(caller, get("/3")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"/3"}, answers(caller, 2)); diff != "" {
		t.Error(diff)
	}
}

// Guards against work that goes on for callers that have left, on all streams of their connection.
func TestCloseEndsAllPipelinedRequests(t *testing.T) {
	started, ended := make(chan struct{}, 3), make(chan struct{}, 3)
	caller, _ := testServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	if _, err := io.WriteString(caller, get("/1")+get("/2")+get("/3")); err != nil {
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
			t.Fatal("a request goes on for a caller that has left")
		}
	}
}

// Guards against heads of which net/http and the split read different ends, which would smuggle a request.
func TestBodyLength(t *testing.T) {
	for _, c := range []struct {
		head  string
		body  int64
		known bool
	}{
		{get("/"), 0, true},
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
			t.Errorf("%q: body of %d bytes, known %v", c.head, body, known)
		}
	}
}

// Guards against a listener that still offers streams when nobody accepts them.
func TestOfferAfterClose(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener))
	_ = l.Close()
	if _, err := l.Accept(); err == nil {
		t.Fatal("a closed listener accepts")
	}
	if l.offer(&stream{}) {
		t.Error("a closed listener takes a stream")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := AwaitEarlierResponses(ctx); err != nil {
		t.Errorf("a request without a stream waits: %v", err)
	}
}
