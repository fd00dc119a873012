package backendtest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, o Options) (*Server, *http.Client) {
	t.Helper()
	o.ID, o.Service = "e1", "katalog"
	if o.Slots == 0 {
		o.Slots = 4
	}
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		s.Close()
	})
	return s, client
}

func request(t *testing.T, s *Server, method, id string, n int, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.Addr()+"/katalog/1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(RequestIDHeader, id)
	req.Header.Set(ReplyBytesHeader, strconv.Itoa(n))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// Guards against responses that a caller cannot distinguish from the response to another request.
func TestResponseIsVerifiable(t *testing.T) {
	s, client := start(t, Options{})
	for _, n := range []int{0, 1, 1000, 300_000} {
		resp, err := client.Do(request(t, s, http.MethodPost, "a", n, "order", TrailersHeader, "1"))
		if err != nil {
			t.Fatal(err)
		}
		if err := Verify(resp.Body, "a", int64(n)); err != nil {
			t.Errorf("%d bytes: %v", n, err)
		}
		resp.Body.Close()
		if got, want := resp.Trailer.Get(ReplyDigestTrailer), FormatDigest(DigestOf(Body("a", n))); got != want {
			t.Errorf("trailer %q, want %q", got, want)
		}
		if got, want := resp.Header.Get(RequestDigestHeader), FormatDigest(DigestOf([]byte("order"))); got != want {
			t.Errorf("request digest %q, want %q", got, want)
		}
	}
}

// Guards against a Verify that accepts the response to another request, a truncated one or one with extra bytes.
func TestVerifyRejects(t *testing.T) {
	body := string(Body("a", 100_000))
	tests := map[string]string{
		"truncated":      body[:99_999],
		"extended":       body + "x",
		"other response": string(Body("b", 100_000)),
		"changed byte":   body[:50_000] + "\x00\x01" + body[50_002:],
		"empty":          "",
	}
	for name, got := range tests {
		if err := Verify(strings.NewReader(got), "a", 100_000); !errors.Is(err, ErrWrongBody) {
			t.Errorf("%s: got %v, want ErrWrongBody", name, err)
		}
	}
	broken := io.MultiReader(strings.NewReader(body[:10]), &failingReader{})
	if err := Verify(broken, "a", 100_000); err == nil || errors.Is(err, ErrWrongBody) {
		t.Errorf("response with a read error: got %v, want the read error", err)
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a run log that misses duplicate runs or counts repeated idempotent requests as duplicates.
func TestDuplicates(t *testing.T) {
	s, client := start(t, Options{})
	for _, method := range []string{http.MethodPost, http.MethodPost, http.MethodGet, http.MethodGet} {
		resp, err := client.Do(request(t, s, method, "id-"+method, 0, ""))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	if got := s.Log().Duplicates(); len(got) != 1 || got[0] != "id-POST" {
		t.Errorf("duplicates %v, want id-POST", got)
	}
}

// Guards against more concurrent requests than slots, which would hide overload from the code under test.
func TestSlots(t *testing.T) {
	s, client := start(t, Options{Slots: 2, ServiceTime: Distribution{Median: 5 * time.Millisecond}})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			resp, err := client.Do(request(t, s, http.MethodGet, strconv.Itoa(i), 10, ""))
			if err != nil {
				t.Error(err)
				return
			}
			resp.Body.Close()
		})
	}
	wg.Wait()
	if got := s.PeakRunning(); got > 2 {
		t.Errorf("%d requests ran concurrently, want at most 2", got)
	}
}

// Guards against a connection limit that is not enforced.
func TestConnectionLimit(t *testing.T) {
	s, client := start(t, Options{Connections: 1, ServiceTime: Distribution{Median: 20 * time.Millisecond}})
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range 4 {
		wg.Go(func() {
			resp, err := client.Do(request(t, s, http.MethodPost, strconv.Itoa(i), 10, "x"))
			if err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
				return
			}
			resp.Body.Close()
		})
	}
	wg.Wait()
	if got := s.connections.value.Load(); got > 1 {
		t.Errorf("%d connections are open, want at most 1", got)
	}
	if failed == 0 {
		t.Error("no connection above the limit was closed")
	}
}

// Guards against a crash after which the server sends a response, finishes work or cannot reuse its address.
func TestCrashAndRestart(t *testing.T) {
	s, client := start(t, Options{})
	addr := s.Addr()
	if resp, err := client.Do(request(t, s, http.MethodPost, "poison", 10, "x", CrashHeader, "1")); err == nil {
		t.Errorf("crashed request got status %d", resp.StatusCode)
		resp.Body.Close()
	}
	if resp, err := client.Do(request(t, s, http.MethodGet, "next", 10, "")); err == nil {
		t.Error("crashed server sent a response")
		resp.Body.Close()
	}
	if r := s.Log().Get("poison"); r.Started != 1 || r.Completed != 0 {
		t.Errorf("run log has %+v, want one start and no completion", r)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	if s.Addr() != addr {
		t.Errorf("address %s after the restart, want %s", s.Addr(), addr)
	}
	resp, err := client.Do(request(t, s, http.MethodGet, "after", 10, ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against a drain that aborts the request in flight.
func TestDrainFinishesWork(t *testing.T) {
	s, client := start(t, Options{})
	result := make(chan error, 1)
	go func() {
		resp, err := client.Do(request(t, s, http.MethodGet, "a", 200_000, "", WorkHeader, "300ms"))
		if err != nil {
			result <- err
			return
		}
		defer resp.Body.Close()
		result <- Verify(resp.Body, "a", 200_000)
	}()
	for s.Log().Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := s.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// Guards against work that continues after the deadline passed or the caller canceled the request.
func TestDeadlineAndCancel(t *testing.T) {
	s, client := start(t, Options{Slots: 1})
	resp, err := client.Do(request(t, s, http.MethodGet, "late", 10, "", WorkHeader, "1h", deadlineHeader, "20"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d after the deadline, want 504", resp.StatusCode)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Do(request(t, s, http.MethodGet, "gone", 10, "", WorkHeader, "1h").WithContext(ctx))
	if err == nil {
		t.Error("canceled request got a response")
	}
	resp, err = client.Do(request(t, s, http.MethodGet, "next", 10, ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200: the slot of the canceled request was not released", resp.StatusCode)
	}
}

// Guards against faults that have no effect.
func TestFaults(t *testing.T) {
	s, client := start(t, Options{LoadLag: time.Hour})
	status := func(path string) int {
		resp, err := client.Get("http://" + s.Addr() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	s.SetErrorRate(1)
	if got := status("/katalog/1"); got != http.StatusInternalServerError {
		t.Errorf("status %d with an error rate of 1, want 500", got)
	}
	s.SetErrorRate(0)
	if got := status("/katalog/1"); got != http.StatusOK {
		t.Errorf("status %d with an error rate of 0, want 200", got)
	}
	s.Freeze()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr()+HealthPath, nil)
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close()
		t.Error("frozen server sent a response")
	}
	s.Thaw()
	if got := status(HealthPath); got != http.StatusOK {
		t.Errorf("health status %d after the thaw, want 200", got)
	}
	resp, err := client.Get("http://" + s.Addr() + LoadPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var load Load
	if err := json.NewDecoder(resp.Body).Decode(&load); err != nil || load.Slots != 4 {
		t.Errorf("load %+v, %v", load, err)
	}
}

// Guards against an announcement that follows the drain notice and cancels the drain.
func TestAnnounce(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	var last Announcement
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, r.Method+" "+r.URL.Path)
		if r.Method == http.MethodPut {
			_ = json.NewDecoder(r.Body).Decode(&last)
		}
	}))
	defer node.Close()
	s, _ := start(t, Options{Announce: strings.TrimPrefix(node.URL, "http://"), Slots: 7, Connections: 9})
	for announced := false; !announced; time.Sleep(time.Millisecond) {
		mu.Lock()
		announced = last.ID != ""
		mu.Unlock()
	}
	if err := s.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	want := Announcement{"e1", "katalog", s.Addr(), 7, 9, HealthPath, LoadPath, nil}
	mu.Lock()
	defer mu.Unlock()
	if last != want {
		t.Errorf("announced %+v, want %+v", last, want)
	}
	n := len(seen)
	if n < 3 || seen[n-2] != "POST /v1/backend/drain" || seen[n-1] != "DELETE /v1/backend" {
		t.Errorf("node received %v, want the drain and the withdrawal last", seen)
	}
}

// Guards against calls that lose the context headers or the remaining paths.
func TestCallChain(t *testing.T) {
	var got []http.Header
	var mu sync.Mutex
	target, _ := start(t, Options{})
	ingress := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		got = append(got, r.Header.Clone())
		mu.Unlock()
		target.serve(target.instance, w, r)
	}))
	defer ingress.Close()
	s, client := start(t, Options{Ingress: strings.TrimPrefix(ingress.URL, "http://")})
	resp, err := client.Do(request(t, s, http.MethodGet, "a", 10, "", CallHeader, "/farge/1,/ordre/2", "Dandelionspoke-Depth", "3"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	mu.Lock()
	defer mu.Unlock()
	if resp.StatusCode != http.StatusOK || len(got) != 1 {
		t.Fatalf("status %d, %d calls", resp.StatusCode, len(got))
	}
	if got[0].Get("Dandelionspoke-Depth") != "3" || got[0].Get(CallHeader) != "/ordre/2" {
		t.Errorf("call has headers %v, want depth 3 and the remaining path", got[0])
	}
}
