package main

import (
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

// load sends requests from several callers until stop is called.
type load struct {
	t         *testing.T
	addresses []string
	client    *http.Client
	done      sync.WaitGroup
	stopped   atomic.Bool
	ok        atomic.Int64
	refused   atomic.Int64
	mu        sync.Mutex
	problems  []string
	notRun    []string
}

// callerCount is the number of concurrent callers.
const callerCount = 8

// startLoad sends requests to the ingresses of nodes.
func startLoad(t *testing.T, nodes []*process) *load {
	l := &load{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}, Timeout: processTimeout}}
	for _, n := range nodes {
		l.addresses = append(l.addresses, n.fields["ingress"])
	}
	for c := range callerCount {
		l.done.Go(func() { l.call(c) })
	}
	return l
}

func (l *load) stop() {
	l.stopped.Store(true)
	l.done.Wait()
	l.client.CloseIdleConnections()
}

// call sends short reads, orders and long answers in turn.
func (l *load) call(c int) {
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

// send tries the ingresses in turn until one accepts the connection.
func (l *load) send(id string, n int, method, path string, size int, body, work string) {
	for i := range l.addresses {
		address := l.addresses[(n+i)%len(l.addresses)]
		req := request(context.Background(), l.t, method, address, path, id, size, body)
		req.Header.Set(backendtest.WorkHeader, work)
		resp, err := l.client.Do(req)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			continue
		}
		if err != nil {
			l.problem("%s %s: %v", method, id, err)
			return
		}
		l.read(resp, method, id, size)
		return
	}
	l.problem("%s %s: no ingress accepts connections", method, id)
}

func (l *load) read(resp *http.Response, method, id string, size int) {
	defer resp.Body.Close()
	switch v := resp.Header.Get(verdict.Header); {
	case v == "not-run":
		l.refused.Add(1)
		l.mu.Lock()
		l.notRun = append(l.notRun, id)
		l.mu.Unlock()
	case v != "":
		l.problem("%s %s: verdict %s, reason %s", method, id, v, resp.Header.Get(verdict.ReasonHeader))
	case resp.StatusCode != http.StatusOK:
		text, _ := io.ReadAll(resp.Body)
		l.problem("%s %s: %s: %s", method, id, resp.Status, text)
	default:
		if err := backendtest.Verify(resp.Body, id, int64(size)); err != nil {
			l.problem("%s %s: %v", method, id, err)
			return
		}
		l.ok.Add(1)
	}
}

func (l *load) problem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// Guards against a graceful shutdown that cuts off, loses, duplicates or wrongly answers requests of callers.
func TestRollingRestart(t *testing.T) {
	f := startFleet(t, 3)
	l := startLoad(t, f.nodes)
	for i := range f.nodes {
		time.Sleep(300 * time.Millisecond)
		f.restart(i)
	}
	time.Sleep(300 * time.Millisecond)
	l.stop()
	t.Logf("answered %d, refused as not run %d", l.ok.Load(), l.refused.Load())
	for i, p := range l.problems {
		if i < 10 {
			t.Error(p)
		}
	}
	if l.ok.Load() == 0 {
		t.Error("no request was answered")
	}
	l.checkRuns(f.runs())
}

// checkRuns compares the run logs with what callers were told.
func (l *load) checkRuns(runs map[string]backendtest.Run) {
	l.t.Helper()
	for id, r := range runs {
		if r.NonIdempotent && r.Started > 1 {
			l.t.Errorf("%s ran %d times", id, r.Started)
		}
	}
	for _, id := range l.notRun {
		if runs[id].Started > 0 {
			l.t.Errorf("%s was refused as not run and ran", id)
		}
	}
}

// Guards against false verdicts, duplicate runs and lasting failures after the sudden death of a node.
func TestNodeKilled(t *testing.T) {
	f := startFleet(t, 3)
	l := startLoad(t, f.nodes[:2])
	time.Sleep(300 * time.Millisecond)
	f.nodes[2].kill()
	time.Sleep(time.Second)
	l.stop()
	for _, p := range l.problems {
		if strings.Contains(p, backendtest.ErrWrongBody.Error()) || strings.Contains(p, "no ingress") {
			t.Error(p)
		}
	}
	l.checkRuns(f.runs())
	t.Logf("answered %d, refused as not run %d, other failures %d: %v", l.ok.Load(), l.refused.Load(), len(l.problems), l.problems)
	after := startLoad(t, f.nodes[:2])
	time.Sleep(500 * time.Millisecond)
	after.stop()
	if len(after.problems) > 0 || after.ok.Load() == 0 {
		t.Errorf("1 s after the death: answered %d, failures %v", after.ok.Load(), after.problems)
	}
}

// Guards against a second signal that waits for the drain.
func TestSecondSignalExitsAtOnce(t *testing.T) {
	f := startFleet(t, 1)
	go func() {
		req := request(context.Background(), t, http.MethodGet, f.nodes[0].fields["ingress"], "/katalog/slow", "slow", 10, "")
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
		t.Fatal("the first signal did not wait for the request in flight")
	case <-time.After(200 * time.Millisecond):
	}
	f.nodes[0].signal(syscall.SIGTERM)
	if code := f.nodes[0].wait(); code != 1 {
		t.Errorf("exit code %d after the second signal, want 1", code)
	}
}

// Guards against callers that hold connections open or send more than the limits.
func TestIngressLimits(t *testing.T) {
	f := startFleet(t, 1)
	ingress := f.nodes[0].fields["ingress"]
	t.Run("slow header", func(t *testing.T) {
		conn, err := net.Dial("tcp", ingress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET /katalog/1 HTTP/1.1\r\nHost: a\r\nX-Slow: "); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("the connection stays open without a whole header")
		}
	})
	t.Run("large header", func(t *testing.T) {
		req := request(context.Background(), t, http.MethodGet, ingress, "/katalog/1", "header", 10, "")
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
		req := request(context.Background(), t, http.MethodPost, ingress, "/katalog/orders", "body", 10, strings.Repeat("x", 200_000))
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

// Guards against a node that starts in part, or that does not say what is wrong.
func TestStartFaults(t *testing.T) {
	f := startFleet(t, 1)
	t.Run("address in use", func(t *testing.T) {
		code, _, errText := run(t, "node", "--settings", f.settings[0])
		if code != 1 || !strings.Contains(errText, f.nodes[0].fields["ingress"]) && !strings.Contains(errText, "address already in use") {
			t.Errorf("exit code %d: %s", code, errText)
		}
	})
	t.Run("bad settings", func(t *testing.T) {
		code, _, errText := run(t, "node", "--settings", f.write("bad.toml", "colour = 1\n"))
		if code != 1 || !strings.Contains(errText, "bad.toml:1: colour") {
			t.Errorf("exit code %d: %s", code, errText)
		}
	})
	if code := f.nodes[0].terminate(); code != 0 {
		t.Errorf("exit code %d after SIGTERM without load", code)
	}
}

// Guards against one request that crashes every backend server that runs it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := startFleet(t, 3)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: processTimeout}
	quarantined := false
	for i := 0; i < 50 && !quarantined; i++ {
		req := request(context.Background(), t, http.MethodPost, f.nodes[i%3].fields["ingress"], "/katalog/orders", "poison", 10, "poison")
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
