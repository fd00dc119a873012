package gate

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newGate returns a gate with two slots in front of handler.
func newGate(t *testing.T, handler http.Handler) *Gate {
	t.Helper()
	server := httptest.NewServer(handler)
	g := New(1, slog.New(slog.DiscardHandler))
	b := &bundle.Bundle{Services: map[string]bundle.Service{"katalog": {Slots: 2, LongSlots: 1, QueueShort: 1, QueueLong: 1}}}
	b.SetDefaults()
	g.SetLimits(b.Services["katalog"], b.Policy)
	g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: strings.TrimPrefix(server.URL, "http://")})
	t.Cleanup(func() {
		g.Wait()
		g.Close()
		server.Close()
	})
	return g
}

func requestHead(n uint64) *wire.RequestHead {
	attempt := newAttemptID(n)
	return &wire.RequestHead{
		AttemptId: attempt[:], Service: "katalog", Endpoint: "katalog-1", Method: http.MethodPost, Target: "/", Host: "katalog",
		DeadlineMs: 5000, Generation: 2,
	}
}

// serveAttempt serves one attempt in the background and returns the ingress end of its stream.
func serveAttempt(t *testing.T, g *Gate, h *wire.RequestHead) *peer.Conn {
	t.Helper()
	client, server := peer.Pipe(&peer.Remote{Instance: 1})
	go func() {
		defer server.Close()
		g.Serve(context.Background(), server, h)
	}()
	t.Cleanup(func() { client.Close() })
	return client
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached within 5s", what)
		}
	}
}

// Guards against a slot that is released while the backend server may still be working on a canceled request.
func TestCanceledRequestHoldsSlotUntilConnectionCloses(t *testing.T) {
	var running atomic.Int32
	g := newGate(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	}))
	conn := serveAttempt(t, g, requestHead(1))
	if err := conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "request running", func() bool { return running.Load() == 1 })
	if got := g.Load().InFlight; got != 1 {
		t.Errorf("%d slots in use while the request runs, want 1", got)
	}
	conn.Close()
	waitFor(t, "slot freed", func() bool { return g.Load().InFlight == 0 })
	waitFor(t, "backend server stopped", func() bool { return running.Load() == 0 })
}

// Guards against trials of requests in quarantine that are refused, and against two at a time, which would both be suspects if
// the backend server crashed.
func TestTrialsRunOneAtATime(t *testing.T) {
	release := make(chan struct{})
	var running atomic.Int32
	g := newGate(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { running.Add(1); <-release }))
	g.IsQuarantined = func(f []byte) bool { return string(f) != "sound" }
	send := func(id uint64, fingerprint string) *peer.Conn {
		head := requestHead(id)
		head.Fingerprint, head.QuarantineTrial = []byte(fingerprint), true
		conn := serveAttempt(t, g, head)
		if err := conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}}); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	first := send(1, "a")
	waitFor(t, "the trial runs", func() bool { return running.Load() == 1 })
	if f, err := send(2, "b").Read(); err != nil || f.GetRefusal().GetReason() != string(verdict.Busy) {
		t.Errorf("second trial: %v, %v", f, err)
	}
	sound := send(3, "sound")
	waitFor(t, "a request that is no longer in quarantine runs", func() bool { return running.Load() == 2 })
	close(release)
	expectResponse := func(conn *peer.Conn) {
		t.Helper()
		if f, err := conn.Read(); err != nil || f.GetResponse() == nil {
			t.Errorf("got %v, %v; want a response", f, err)
		}
	}
	expectResponse(first)
	expectResponse(sound)
	waitFor(t, "the trial has ended", func() bool { return !g.trialRunning.Load() })
	expectResponse(send(4, "b"))
}

// Guards against running requests that the gate must refuse, and against refusals without the verdict not-run.
func TestRefusals(t *testing.T) {
	var runs atomic.Int32
	g := newGate(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	g.IsQuarantined = func(f []byte) bool { return string(f) == "poison" }
	tests := []struct {
		name   string
		change func(*wire.RequestHead)
		before func()
		after  func()
		want   verdict.Reason
	}{
		{"other endpoint", func(h *wire.RequestHead) { h.Endpoint = "katalog-2" }, nil, nil, verdict.WrongGate},
		{"other service", func(h *wire.RequestHead) { h.Service = "ordre" }, nil, nil, verdict.WrongGate},
		{"quarantined", func(h *wire.RequestHead) { h.Fingerprint = []byte("poison") }, nil, nil, verdict.Quarantined},
		{"bad attempt identifier", func(h *wire.RequestHead) { h.AttemptId = []byte{1} }, nil, nil, verdict.BadRequest},
		{"evicted generation", func(h *wire.RequestHead) { h.Generation = 0 }, nil, nil, verdict.AttemptRefused},
		{"no time left", func(h *wire.RequestHead) { h.DeadlineMs = 0 }, nil, nil, ""},
		{"bad target", func(h *wire.RequestHead) { h.Target = "::" }, nil, nil, verdict.BadRequest},
		{
			"node draining", func(*wire.RequestHead) {}, func() { g.SetDraining(true) }, func() { g.SetDraining(false) }, verdict.Draining,
		},
		{
			"backend server draining", func(*wire.RequestHead) {},
			func() { g.SetBackendDraining(true) }, func() { g.SetBackendDraining(false) }, verdict.Draining,
		},
		{
			"backend server down", func(*wire.RequestHead) {},
			func() { g.SetBackendDown(true) }, func() { g.SetBackendDown(false) }, verdict.BackendDown,
		},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.before != nil {
				tt.before()
				defer tt.after()
			}
			h := requestHead(uint64(100 + i))
			tt.change(h)
			conn := serveAttempt(t, g, h)
			// The unread body of a refused request must not leak a goroutine of the gate; goleak would report it.
			go func() {
				_ = conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: []byte("body")}}})
			}()
			f, err := conn.Read()
			if err != nil {
				t.Fatal(err)
			}
			refusal := f.GetRefusal()
			if refusal == nil || refusal.Verdict != wire.Verdict_NOT_RUN || (tt.want != "" && refusal.Reason != string(tt.want)) {
				t.Errorf("got %v, want a refusal with not-run and %q", f, tt.want)
			}
			if refusal.GetLoad() == nil {
				t.Error("the refusal has no load")
			}
		})
	}
	if runs.Load() != 0 {
		t.Errorf("%d refused requests ran", runs.Load())
	}
}

// Guards against a non-idempotent request running twice because the net/http transport resends it by itself when a
// reused connection breaks.
func TestBrokenReusedConnectionDoesNotRunTwice(t *testing.T) {
	var runs atomic.Int32
	g := newGate(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	for n := uint64(1); n <= 2; n++ {
		h := requestHead(n)
		h.Headers = []*wire.Header{{Name: "Idempotency-Key", Values: []string{"k"}}}
		conn := serveAttempt(t, g, h)
		if err := conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}}); err != nil {
			t.Fatal(err)
		}
		f, err := conn.Read()
		if err != nil {
			t.Fatal(err)
		}
		if n == 2 && f.GetRefusal().GetVerdict() != wire.Verdict_MAY_HAVE_RUN {
			t.Errorf("got %v, want may-have-run", f)
		}
	}
	if runs.Load() != 2 {
		t.Errorf("two requests ran %d times", runs.Load())
	}
}

// Guards against requests that fail because the gate of a newly started node has no bundle yet, although other gates
// could serve them.
func TestGateWithoutBundleSendsRequestsElsewhere(t *testing.T) {
	g := New(1, slog.New(slog.DiscardHandler))
	g.SetBackend(&Backend{ID: "a", Service: "katalog", Address: "127.0.0.1:1"})
	_, _, err := g.admit(nil, nil, admission.Request{})
	e := verdict.As(err)
	policy := retry.Policy{MaxAttempts: 1}
	moves := policy.Move(retry.Attempt{Number: 1, Verdict: e.Verdict, Reason: e.Reason, Remaining: time.Second}, 0)
	if e.Verdict != verdict.NotRun || !moves {
		t.Fatalf("verdict %s, reason %s, moves %v; want not-run and a move to another gate", e.Verdict, e.Reason, moves)
	}
}
