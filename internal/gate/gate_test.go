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

func head(n uint64) *wire.RequestHead {
	attempt := id(n)
	return &wire.RequestHead{
		AttemptId: attempt[:], Service: "katalog", Endpoint: "katalog-1", Method: http.MethodPost, Target: "/", Host: "katalog",
		DeadlineMs: 5000, Generation: 2,
	}
}

// send serves one attempt and returns the caller's end of the stream.
func send(t *testing.T, g *Gate, h *wire.RequestHead) *peer.Conn {
	t.Helper()
	client, server := peer.Pipe(&peer.Remote{Instance: 1})
	go func() {
		defer server.Close()
		g.Serve(context.Background(), server, h)
	}()
	t.Cleanup(func() { client.Close() })
	return client
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 5s", what)
		}
	}
}

// Guards against a slot that is given back while the backend server may still work on a canceled request.
func TestCancelFreesTheSlotWithTheConnection(t *testing.T) {
	var running atomic.Int32
	g := newGate(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	}))
	conn := send(t, g, head(1))
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

// Guards against requests that are run although the gate must refuse them, and against refusals without
// the verdict not-run.
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
		{"forgotten generation", func(h *wire.RequestHead) { h.Generation = 0 }, nil, nil, verdict.AttemptRefused},
		{"no time left", func(h *wire.RequestHead) { h.DeadlineMs = 0 }, nil, nil, ""},
		{"bad target", func(h *wire.RequestHead) { h.Target = "::" }, nil, nil, verdict.BadRequest},
		{
			"leaving", func(*wire.RequestHead) {}, func() { g.SetDraining(true) }, func() { g.SetDraining(false) }, verdict.Draining,
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
			h := head(uint64(100 + i))
			tt.change(h)
			conn := send(t, g, h)
			// A body that nobody reads must not keep a goroutine of the gate; goleak finds one that stays.
			go func() {
				_ = conn.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: []byte("body")}}})
			}()
			f, err := conn.Read()
			if err != nil {
				t.Fatal(err)
			}
			refusal := f.GetRefusal()
			if refusal == nil || refusal.Verdict != wire.Verdict_NOT_RUN || (tt.want != "" && refusal.Reason != string(tt.want)) {
				t.Errorf("answer %v, want a refusal with not-run and %q", f, tt.want)
			}
			if refusal.GetLoad() == nil {
				t.Error("the refusal carries no load")
			}
		})
	}
	if runs.Load() != 0 {
		t.Errorf("%d refused requests ran", runs.Load())
	}
}

// Guards against the transport of net/http sending a non-idempotent request again by itself when a reused
// connection breaks.
func TestBrokenReusedConnectionDoesNotRunTwice(t *testing.T) {
	var runs atomic.Int32
	g := newGate(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	for n := uint64(1); n <= 2; n++ {
		h := head(n)
		h.Headers = []*wire.Header{{Name: "Idempotency-Key", Values: []string{"k"}}}
		conn := send(t, g, h)
		if err := conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}}); err != nil {
			t.Fatal(err)
		}
		f, err := conn.Read()
		if err != nil {
			t.Fatal(err)
		}
		if n == 2 && f.GetRefusal().GetVerdict() != wire.Verdict_MAY_HAVE_RUN {
			t.Errorf("answer %v, want may-have-run", f)
		}
	}
	if runs.Load() != 2 {
		t.Errorf("two requests ran %d times", runs.Load())
	}
}

// Guards against requests that are given up because the gate of a node that has just started has no bundle yet,
// although other gates could take them.
func TestGateWithoutBundleSendsRequestsElsewhere(t *testing.T) {
	g := New(1, slog.New(slog.DiscardHandler))
	g.SetBackend(&Backend{ID: "a", Service: "katalog", Address: "127.0.0.1:1"})
	_, _, err := g.admit(nil, nil, admission.Request{})
	e := verdict.As(err)
	policy := retry.Policy{MaxAttempts: 1}
	moves := policy.Move(retry.Attempt{Number: 1, Verdict: e.Verdict, Reason: e.Reason, Remaining: time.Second}, 0)
	if e.Verdict != verdict.NotRun || !moves {
		t.Fatalf("verdict %s, reason %s, moves %v", e.Verdict, e.Reason, moves)
	}
}
