package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/ingress"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// requestPath is one ingress and one gate, connected by a real peer session.
type requestPath struct {
	caller  *httptest.Server
	gate    *gate.Gate
	pool    *peer.Pool
	ingress *ingress.Ingress
}

type handler struct{ gate *gate.Gate }

func (h handler) Generation() uint64 { return h.gate.Generation() }

func (h handler) ServePeer(ctx context.Context, conn *peer.Conn, first *wire.Frame) {
	switch k := first.Kind.(type) {
	case *wire.Frame_Request:
		h.gate.Serve(ctx, conn, k.Request)
	case *wire.Frame_AttemptQuery:
		h.gate.ServeQuery(ctx, conn, k.AttemptQuery)
	}
}

type opener struct{ pool *peer.Pool }

func (o opener) Open(ctx context.Context, ep *table.Endpoint, class peer.SessionClass) (*peer.Conn, error) {
	return o.pool.Open(ctx, ep.PeerAddr, class)
}

func testBundle() *bundle.Bundle {
	notIdempotent := false
	b := &bundle.Bundle{
		Version:  1,
		Services: map[string]bundle.Service{"katalog": {Slots: 2, LongSlots: 1, QueueShort: 4}},
		Routes: []bundle.Route{
			{Name: "read", Service: "katalog", PathPrefix: "/", MaxBodyBytes: 1 << 20, Timeout: bundle.Duration(2 * time.Second)},
			{Name: "order", Service: "katalog", PathPrefix: "/order", Methods: []string{"POST"}, Idempotent: &notIdempotent, Timeout: bundle.Duration(3 * time.Second)},
			{Name: "upload", Service: "katalog", PathPrefix: "/upload", MaxBodyBytes: 4 << 20, Timeout: bundle.Duration(8 * time.Second)},
		},
	}
	b.SetDefaults()
	return b
}

// newRequestPath starts an ingress, a gate and a backend server. replaceAddr, if set, replaces the gate's address in
// the snapshot.
func newRequestPath(t *testing.T, backend http.Handler, replaceAddr func(gateAddr string) string) *requestPath {
	t.Helper()
	server := httptest.NewServer(backend)
	logger := slog.New(slog.DiscardHandler)
	g := gate.New(7, logger)
	b := testBundle()
	g.SetLimits(b.Services["katalog"], b.Policy)
	g.SetBackend(&gate.Backend{ID: "katalog-1", Service: "katalog", Address: strings.TrimPrefix(server.URL, "http://")})
	peers := peer.NewServer("gate-node", 7, handler{g}, logger)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers.Serve(listener)
	addr := listener.Addr().String()
	if replaceAddr != nil {
		addr = replaceAddr(addr)
	}
	snapshots := &table.Publisher{}
	ep := &table.Endpoint{ID: "katalog-1", Service: "katalog", PeerAddr: addr, Slots: 2, Stats: &table.Stats{}}
	snapshots.Store(&table.Snapshot{Version: 1, Bundle: b, Services: map[string]*table.Service{
		"katalog": {Name: "katalog", Config: b.Services["katalog"], Endpoints: []*table.Endpoint{ep}, LocalityEnd: [table.Localities]int{1, 1, 1}},
	}})
	picker, err := balance.New(balance.P2C)
	if err != nil {
		t.Fatal(err)
	}
	pool := peer.NewPool("ingress-node", 8)
	in := ingress.New(ingress.Config{Snapshots: snapshots, Opener: opener{pool}, Chooser: ingress.NewChooser(picker), Logger: logger, Budget: retry.NewBudget(time.Now(), 0.1, 10)})
	caller := httptest.NewServer(in)
	t.Cleanup(func() {
		caller.Close()
		pool.Close()
		peers.Close()
		g.Close()
		server.Close()
	})
	return &requestPath{caller: caller, gate: g, pool: pool, ingress: in}
}

// Guards against lost or altered parts of a request or a response: body, headers, status, trailers.
func TestRequestAndResponseAreComplete(t *testing.T) {
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Header.Get("X-Sent"))
		w.Header().Set("Trailer", "X-Sum")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", fmt.Sprint(len(body)))
	}), nil)
	for _, size := range []int{0, 1, 30_000, 64 << 10, 900_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			req, _ := http.NewRequest("PUT", p.caller.URL+"/echo?x=1", strings.NewReader(strings.Repeat("a", size)))
			req.Header.Set("X-Sent", "value")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil || len(body) != size {
				t.Fatalf("read %d bytes, error %v; want %d", len(body), err, size)
			}
			if resp.StatusCode != http.StatusCreated || resp.Header.Get("X-Seen") != "value" || resp.Trailer.Get("X-Sum") != fmt.Sprint(size) {
				t.Errorf("status %d, headers %v, trailers %v", resp.StatusCode, resp.Header, resp.Trailer)
			}
		})
	}
}

// Guards against requests and responses that are changed or refused because of characters that other parts of the path would
// escape or can't encode.
func TestUnusualCharactersPassUnchanged(t *testing.T) {
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["X-Seen"] = r.Header["X-Sent"]
		_, _ = io.WriteString(w, r.RequestURI)
	}), nil)
	for _, target := range []string{
		"/a|b", `/a"b`, "/a^b{c}", "/a%7Cb", "/a%2fb/../c", "/a//b", "/\u00e5?q=a|b&r=%zz", "/a?", "/?x={}", "/a;b=c", "/a%20b+c",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(p.caller.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nX-Sent: caf\xe9\r\nX-Sent: second\r\nConnection: close\r\n\r\n", target); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", target, err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || string(body) != target {
			t.Errorf("%s arrived as %s, status %d", target, body, resp.StatusCode)
		}
		if seen := resp.Header["X-Seen"]; len(seen) != 2 || seen[0] != "caf\xe9" || seen[1] != "second" {
			t.Errorf("%s: header values %q", target, seen)
		}
	}
}

// Guards against a caller that takes a truncated response for a complete one.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/chunked" {
			_, _ = w.Write(make([]byte, 100_000))
			_ = http.NewResponseController(w).Flush()
		} else {
			w.Header().Set("Content-Length", "200000")
			_, _ = w.Write(make([]byte, 100_000))
		}
		panic(http.ErrAbortHandler)
	}), nil)
	for _, path := range []string{"/chunked", "/sized"} {
		resp, err := http.Get(p.caller.URL + path)
		if err != nil {
			continue // broken before the head is a correct outcome too
		}
		if _, err = io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: a truncated response was read as complete", path)
		}
		resp.Body.Close()
	}
}

// Guards against a wrong verdict on each kind of failure.
func TestVerdicts(t *testing.T) {
	var runs atomic.Int64
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http notices a closed connection only once the body has been read.
		_, _ = io.ReadAll(r.Body)
		runs.Add(1)
		if r.URL.Path == "/order/crash" {
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done()
	}), nil)
	tests := []struct {
		name, method, path, body string
		wantVerdict, wantReason  string
		wantRuns                 int64
	}{
		{"broken connection to the backend server", "POST", "/order/crash", "x", "may-have-run", "backend-connection-broken", 1},
		{"deadline exceeded while running", "POST", "/order/slow", "x", "may-have-run", "deadline-exceeded", 1},
		{"body over the limit", "POST", "/big", strings.Repeat("a", 2<<20), "not-run", "body-too-large", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := runs.Load()
			resp, err := http.Post(p.caller.URL+tt.path, "text/plain", strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if v, r := resp.Header.Get(verdict.Header), resp.Header.Get(verdict.ReasonHeader); v != tt.wantVerdict || r != tt.wantReason {
				t.Errorf("verdict %q, reason %q; want %q, %q", v, r, tt.wantVerdict, tt.wantReason)
			}
			if got := runs.Load() - before; got != tt.wantRuns {
				t.Errorf("ran %d times, want %d", got, tt.wantRuns)
			}
		})
	}
}

// Guards against running a request again, or losing its response, when the connection between the
// nodes breaks while the backend server runs it.
func TestBrokenSessionIsResolvedByTheGate(t *testing.T) {
	var runs atomic.Int64
	started := make(chan struct{}, 1)
	release := make(chan struct{})
	var proxy *breakableProxy
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "ordered")
	}), func(gateAddr string) string {
		proxy = newBreakableProxy(t, gateAddr)
		return proxy.listener.Addr().String()
	})
	go func() {
		<-started
		proxy.breakFirst()
		time.Sleep(50 * time.Millisecond)
		close(release)
	}()
	resp, err := http.Post(p.caller.URL+"/order", "text/plain", strings.NewReader("one licence"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || string(body) != "ordered" || runs.Load() != 1 {
		t.Errorf("status %d, body %q, %d runs; want the retained response of the only run", resp.StatusCode, body, runs.Load())
	}
}

// breakableProxy forwards TCP connections and can break the first of them.
type breakableProxy struct {
	listener net.Listener
	broken   chan struct{}
}

func newBreakableProxy(t *testing.T, target string) *breakableProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &breakableProxy{listener: listener, broken: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for first := true; ; first = false {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go pipe(in, out)
			go pipe(out, in)
			if first {
				go func() {
					<-p.broken
					in.Close()
					out.Close()
				}()
			}
		}
	}()
	return p
}

func (p *breakableProxy) breakFirst() { close(p.broken) }

func pipe(dst, src net.Conn) {
	_, _ = io.Copy(dst, src)
	dst.Close()
}

// Guards against requests in quarantine that never run as a trial, against refusals of trials that use them up, and against callers
// that are not told when to return.
func TestTrialOfARequestInQuarantine(t *testing.T) {
	p := newRequestPath(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
	quarantined := func([]byte) bool { return true }
	p.ingress.IsQuarantined, p.gate.IsQuarantined = quarantined, quarantined
	var returned atomic.Int32
	trial := true
	p.ingress.ClaimTrial = func(context.Context, ...[]byte) (bool, time.Duration) { return trial, 300 * time.Millisecond }
	p.ingress.ReturnTrial = func(...[]byte) { returned.Add(1) }
	get := func() (int, string) {
		t.Helper()
		resp, err := http.Get(p.caller.URL + "/home")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
	if status, _ := get(); status != http.StatusOK || returned.Load() != 0 {
		t.Errorf("trial: status %d, %d trials returned", status, returned.Load())
	}
	p.gate.SetBackendDown(true)
	if status, _ := get(); status != http.StatusServiceUnavailable || returned.Load() != 1 {
		t.Errorf("trial that did not run: status %d, %d trials returned; want one", status, returned.Load())
	}
	trial = false
	if status, retryAfter := get(); status != http.StatusServiceUnavailable || retryAfter == "" {
		t.Errorf("without a trial: status %d, Retry-After %q", status, retryAfter)
	}
}

// Guards against a request that is broken off because its backend server leaves a long body unread for some seconds.
func TestLateReaderOfALongBody(t *testing.T) {
	const unreadTime = 4 * time.Second
	t.Parallel()
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(unreadTime)
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n, err)
	}), nil)
	for _, bodyBytes := range []int{300_000, 2 << 20} {
		t.Run(fmt.Sprint(bodyBytes), func(t *testing.T) {
			t.Parallel()
			req, err := http.NewRequest(http.MethodPut, p.caller.URL+"/upload", strings.NewReader(strings.Repeat("x", bodyBytes)))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if want := fmt.Sprint(bodyBytes, nil); resp.StatusCode != http.StatusOK || string(body) != want || err != nil {
				t.Errorf("status %d, body %q, error %v; want %q", resp.StatusCode, body, err, want)
			}
		})
	}
}

// Guards against a connection that ends without notice after a response which came before a long body was in: a caller that kept it
// would lose its next request.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	const bodyBytes = 1 << 20
	for _, early := range []bool{true, false} {
		p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
				t.Error(err)
			}
			if !early {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(w, "done")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.Copy(io.Discard, r.Body)
		}), nil)
		body, writer := io.Pipe()
		go func() {
			defer writer.Close()
			_, _ = io.WriteString(writer, strings.Repeat("x", bodyBytes/2))
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(writer, strings.Repeat("x", bodyBytes/2)) // fails if the connection has closed
		}()
		req, err := http.NewRequest(http.MethodPut, p.caller.URL+"/echo", body)
		if err != nil {
			t.Fatal(err)
		}
		req.ContentLength = bodyBytes
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the body may end early with the upload
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || resp.Close != early {
			t.Errorf("early %t: status %d, the response closes the connection: %t", early, resp.StatusCode, resp.Close)
		}
	}
}

// Guards against a backend server that answers before it has read a long body and then gets other bytes in place of the rest: the
// HTTP server discards unread parts of a body before it sends the head of a response, unless told otherwise.
func TestEarlyResponseLeavesTheBodyUnchanged(t *testing.T) {
	const pieces, pieceBytes = 24, 8 << 10
	for _, chunked := range []bool{true, false} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			received := make(chan string, 1)
			p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(w, strings.Repeat("y", 1<<20))
				body, err := io.ReadAll(r.Body)
				if err != nil {
					body = append(body, err.Error()...)
				}
				received <- string(body)
			}), nil)
			var sent strings.Builder
			body, writer := io.Pipe()
			go func() {
				for i := range pieces {
					piece := strings.Repeat(string(rune('a'+i)), pieceBytes)
					sent.WriteString(piece)
					if _, err := io.WriteString(writer, piece); err != nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
				_ = writer.Close()
			}()
			req, err := http.NewRequest(http.MethodPut, p.caller.URL+"/echo", body)
			if err != nil {
				t.Fatal(err)
			}
			if !chunked {
				req.ContentLength = pieces * pieceBytes
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); n != 1<<20 || err != nil {
				t.Errorf("response of %d bytes, error %v", n, err)
			}
			if got := <-received; got != sent.String() {
				t.Errorf("the backend server got %d bytes of %d, or others", len(got), sent.Len())
			}
		})
	}
}
