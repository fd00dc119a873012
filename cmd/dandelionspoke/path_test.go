package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

// loadGenerator sends requests from several callers until stop is called and counts the results.
type loadGenerator struct {
	t         *testing.T
	addresses []string
	client    *http.Client
	wg        sync.WaitGroup
	stopped   atomic.Bool
	succeeded atomic.Int64
	refused   atomic.Int64
	mu        sync.Mutex
	failures  []string
	notRunIDs []string
}

// callerCount is the number of concurrent callers.
const callerCount = 8

// startLoadGenerator starts callers that send requests to the ingresses of nodes.
func startLoadGenerator(t *testing.T, nodes []*process) *loadGenerator {
	l := &loadGenerator{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}, Timeout: processTimeout}}
	for _, n := range nodes {
		l.addresses = append(l.addresses, n.fields["ingress"])
	}
	for c := range callerCount {
		l.wg.Go(func() { l.runCaller(c) })
	}
	return l
}

func (l *loadGenerator) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

// runCaller sends orders, long reads and short reads in turn.
func (l *loadGenerator) runCaller(c int) {
	for n := 0; !l.stopped.Load(); n++ {
		id := fmt.Sprintf("c%d-%d", c, n)
		switch n % 4 {
		case 0:
			l.send(id, n, http.MethodPost, "/katalog/orders", 400, "order", "4ms")
		case 1:
			l.send(id, n, http.MethodGet, "/katalog/reports", 400_000, "", "120ms")
		default:
			l.send(id, n, http.MethodGet, "/katalog/items", 2000, "", "2ms")
		}
	}
}

// send sends a request to the first ingress that accepts the connection and checks the response.
func (l *loadGenerator) send(id string, n int, method, path string, responseBytes int, body, work string) {
	for i := range l.addresses {
		address := l.addresses[(n+i)%len(l.addresses)]
		req := newRequest(context.Background(), l.t, method, address, path, id, responseBytes, body)
		req.Header.Set(backendtest.WorkHeader, work)
		resp, err := l.client.Do(req)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			continue
		}
		if err != nil {
			l.recordFailure("%s %s: %v", method, id, err)
			return
		}
		l.readResponse(resp, method, id, responseBytes)
		return
	}
	l.recordFailure("%s %s: no ingress accepts connections", method, id)
}

func (l *loadGenerator) readResponse(resp *http.Response, method, id string, responseBytes int) {
	defer resp.Body.Close()
	switch v := resp.Header.Get(verdict.Header); {
	case v == "not-run":
		l.refused.Add(1)
		l.mu.Lock()
		l.notRunIDs = append(l.notRunIDs, id)
		l.mu.Unlock()
	case v != "":
		l.recordFailure("%s %s: verdict %s, reason %s", method, id, v, resp.Header.Get(verdict.ReasonHeader))
	case resp.StatusCode != http.StatusOK:
		text, _ := io.ReadAll(resp.Body)
		l.recordFailure("%s %s: %s: %s", method, id, resp.Status, text)
	default:
		if err := backendtest.Verify(resp.Body, id, int64(responseBytes)); err != nil {
			l.recordFailure("%s %s: %v", method, id, err)
			return
		}
		l.succeeded.Add(1)
	}
}

func (l *loadGenerator) recordFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// Guards against a graceful shutdown that truncates or loses responses, runs requests twice or returns wrong bodies.
func TestRollingRestart(t *testing.T) {
	f := startFleet(t, 3)
	l := startLoadGenerator(t, f.nodes)
	for i := range f.nodes {
		time.Sleep(300 * time.Millisecond)
		f.restart(i)
	}
	time.Sleep(300 * time.Millisecond)
	l.stop()
	t.Logf("succeeded %d, refused as not run %d", l.succeeded.Load(), l.refused.Load())
	for i, failure := range l.failures {
		if i < 10 {
			t.Error(failure)
		}
	}
	if l.succeeded.Load() == 0 {
		t.Error("no request succeeded")
	}
	l.checkRuns(f.runs())
}

// checkRuns reports non-idempotent requests that ran more than once and requests that ran although refused as not run.
func (l *loadGenerator) checkRuns(runs map[string]backendtest.Run) {
	l.t.Helper()
	for id, r := range runs {
		if r.NonIdempotent && r.Started > 1 {
			l.t.Errorf("%s ran %d times", id, r.Started)
		}
	}
	for _, id := range l.notRunIDs {
		if runs[id].Started > 0 {
			l.t.Errorf("%s was refused as not run, but ran", id)
		}
	}
}

// Guards against false verdicts, duplicate runs and lasting failures after a node is killed.
func TestNodeKilled(t *testing.T) {
	f := startFleet(t, 3)
	l := startLoadGenerator(t, f.nodes[:2])
	time.Sleep(300 * time.Millisecond)
	f.nodes[2].kill()
	time.Sleep(time.Second)
	l.stop()
	for _, failure := range l.failures {
		if strings.Contains(failure, backendtest.ErrWrongBody.Error()) || strings.Contains(failure, "no ingress") {
			t.Error(failure)
		}
	}
	l.checkRuns(f.runs())
	t.Logf("succeeded %d, refused as not run %d, other failures %d: %v", l.succeeded.Load(), l.refused.Load(), len(l.failures), l.failures)
	afterKill := startLoadGenerator(t, f.nodes[:2])
	time.Sleep(500 * time.Millisecond)
	afterKill.stop()
	if len(afterKill.failures) > 0 || afterKill.succeeded.Load() == 0 {
		t.Errorf("1 s after the kill: succeeded %d, failures %v", afterKill.succeeded.Load(), afterKill.failures)
	}
}

// Guards against a node that still waits for its drain after a second signal.
func TestSecondSignalExitsAtOnce(t *testing.T) {
	f := startFleet(t, 1)
	go func() {
		req := newRequest(context.Background(), t, http.MethodGet, f.nodes[0].fields["ingress"], "/katalog/slow", "slow", 10, "")
		req.Header.Set(backendtest.WorkHeader, "8s")
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
	}()
	for f.runs()["slow"].Started == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	f.nodes[0].signal(syscall.SIGTERM)
	select {
	case <-f.nodes[0].exited:
		t.Fatal("the node exited at the first signal, with a request in flight")
	case <-time.After(200 * time.Millisecond):
	}
	f.nodes[0].signal(syscall.SIGTERM)
	if code := f.nodes[0].wait(); code != 1 {
		t.Errorf("exit code %d after the second signal, want 1", code)
	}
}

// Guards against an ingress that lets callers exceed its limits on header time, header size and body size.
func TestIngressLimits(t *testing.T) {
	f := startFleet(t, 1)
	ingressAddr := f.nodes[0].fields["ingress"]
	t.Run("slow header", func(t *testing.T) {
		conn, err := net.Dial("tcp", ingressAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET /katalog/1 HTTP/1.1\r\nHost: a\r\nX-Slow: "); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("the connection stays open without a complete header")
		}
	})
	t.Run("large header", func(t *testing.T) {
		req := newRequest(context.Background(), t, http.MethodGet, ingressAddr, "/katalog/1", "header", 10, "")
		req.Header.Set("X-Large", strings.Repeat("x", 64<<10))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %s", resp.Status)
		}
	})
	t.Run("large body", func(t *testing.T) {
		req := newRequest(context.Background(), t, http.MethodPost, ingressAddr, "/katalog/orders", "body", 10, strings.Repeat("x", 200_000))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(verdict.Header) != "not-run" {
			t.Errorf("status %s, verdict %q", resp.Status, resp.Header.Get(verdict.Header))
		}
		if r := f.runs()["body"]; r.Started != 0 {
			t.Errorf("ran %d times", r.Started)
		}
	})
}

// Guards against a node that keeps running after a failed start, or whose error does not name the cause.
func TestStartErrors(t *testing.T) {
	f := startFleet(t, 1)
	t.Run("address in use", func(t *testing.T) {
		code, _, errText := runCommand(t, "node", "--settings", f.settingsFiles[0])
		if code != 1 || !strings.Contains(errText, f.nodes[0].fields["ingress"]) && !strings.Contains(errText, "address already in use") {
			t.Errorf("exit code %d: %s", code, errText)
		}
	})
	t.Run("bad settings", func(t *testing.T) {
		code, _, errText := runCommand(t, "node", "--settings", f.write("bad.toml", "colour = 1\n"))
		if code != 1 || !strings.Contains(errText, "bad.toml:1: colour") {
			t.Errorf("exit code %d: %s", code, errText)
		}
	})
	if code := f.nodes[0].terminate(); code != 0 {
		t.Errorf("exit code %d after SIGTERM without load", code)
	}
}

// Guards against a request that crashes one backend server after another without being quarantined.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := startFleet(t, 3)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: processTimeout}
	quarantined := false
	for i := 0; i < 50 && !quarantined; i++ {
		req := newRequest(context.Background(), t, http.MethodPost, f.nodes[i%3].fields["ingress"], "/katalog/orders", "poison", 10, "poison")
		req.Header.Set(backendtest.CrashHeader, "1")
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		quarantined = resp.Header.Get(verdict.ReasonHeader) == string(verdict.Quarantined)
		time.Sleep(100 * time.Millisecond)
	}
	if !quarantined {
		t.Error("the request was never refused as quarantined")
	}
	crashed := 0
	for _, b := range f.backends {
		select {
		case <-b.exited:
			crashed++
		default:
		}
	}
	if crashed > 2 {
		t.Errorf("%d backend servers crashed, want at most 2", crashed)
	}
	f.waitReady(f.nodes[0])
}

// Guards against answers to "OPTIONS *" that no backend server has given.
func TestServerWideOptionsHaveNoRoute(t *testing.T) {
	f := startFleet(t, 1)
	conn, err := net.Dial("tcp", f.nodes[0].fields["ingress"])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("OPTIONS * got status %d, want %d as for any path without a route", resp.StatusCode, http.StatusNotFound)
	}
}

// Guards against a process that ends because its settings change while it starts: it gets SIGHUP while it reads them.
func TestHangupDuringStart(t *testing.T) {
	f := startFleet(t, 1)
	text, err := os.ReadFile(f.settingsFiles[0])
	if err != nil {
		t.Fatal(err)
	}
	f.nodes[0].kill()
	pipe, regular := f.path("pipe.toml"), f.write("regular.toml", string(text))
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p := spawnProcess(t, "node", "--settings", pipe)
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns when the process has opened the pipe
	if err != nil {
		t.Fatal(err)
	}
	defer settings.Close()
	if err := os.Rename(regular, pipe); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	if _, err := settings.Write(text); err != nil {
		t.Fatal(err)
	}
	_ = settings.Close()
	p.awaitListening()
}
