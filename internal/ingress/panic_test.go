package ingress_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const injected = "injected panic"

type panickingOpener struct{}

func (panickingOpener) Open(context.Context, *table.Endpoint, peer.SessionClass) (*peer.Conn, error) {
	panic(injected)
}

// panickingClaims panics when a key is claimed, or when a claim is released. Its permits have ended, so that claimed requests
// are not run.
type panickingClaims struct{ onAcquire bool }

func (c panickingClaims) Acquire(context.Context, string, []byte, []byte) (claim.Result, error) {
	if c.onAcquire {
		panic(injected)
	}
	return claim.Result{Kind: claim.Run}, nil
}

func (panickingClaims) Complete(context.Context, string, claim.Outcome) error { panic(injected) }

func (panickingClaims) Release(context.Context, string) error { panic(injected) }

// panickingProtocol panics before the request is sent to the backend server, or when the response is read.
type panickingProtocol struct{ onRead bool }

func (panickingProtocol) RequestID([]*wire.Header) string { return "" }

func (p panickingProtocol) Prepare(http.Header, gate.RequestContext) {
	if !p.onRead {
		panic(injected)
	}
}

func (panickingProtocol) Read(http.Header, *http.Response) gate.ResponseInfo { panic(injected) }

func panickingCheck([]byte) bool { panic(injected) }

// Guards against a panic in the handling of a request that ends the process, leaves the caller without a response, holds a
// slot for ever, or is answered with an untrue verdict. The panics are in the caller's goroutine, in those started for an
// attempt or a claim, and at the gate.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	for _, test := range []struct {
		name, method string
		inject       func(p *requestPath)
		keyed        bool
		verdict      string
		reason       verdict.Reason
	}{
		{"before any attempt", "POST", func(p *requestPath) { p.ingress.IsQuarantined = panickingCheck }, false, "not-run", verdict.InternalError},
		{"in an attempt", "POST", func(p *requestPath) { p.ingress.Opener = panickingOpener{} }, false, "may-have-run", verdict.InternalError},
		{"in a concurrent attempt", "GET", func(p *requestPath) { p.ingress.Opener = panickingOpener{} }, false, "may-have-run", verdict.InternalError},
		{"claiming", "POST", func(p *requestPath) {
			p.ingress.ClaimsFor = func(string) claim.KeyClaimer { return panickingClaims{onAcquire: true} }
		}, true, "may-have-run", verdict.InternalError},
		{"settling a claim", "POST", func(p *requestPath) {
			p.ingress.ClaimsFor = func(string) claim.KeyClaimer { return panickingClaims{} }
		}, true, "not-run", verdict.ClaimUnavailable},
		{"gate, before the queue", "POST", func(p *requestPath) { p.gate.IsQuarantined = panickingCheck }, false, "not-run", verdict.InternalError},
		{"gate, before its history", "POST", func(p *requestPath) {
			p.gate.WriteLimiter = func(string, bool, int) func(int) error { panic(injected) }
		}, false, "not-run", verdict.InternalError},
		{"gate, sending", "GET", func(p *requestPath) { p.gate.SetProtocol(panickingProtocol{}) }, false, "may-have-run", verdict.InternalError},
		{"gate, reading", "POST", func(p *requestPath) { p.gate.SetProtocol(panickingProtocol{onRead: true}) }, false, "may-have-run", verdict.InternalError},
	} {
		t.Run(test.name, func(t *testing.T) {
			var runs atomic.Int64
			p := newRequestPath(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }), nil)
			log := &lockedBuffer{}
			p.ingress.Logger = slog.New(slog.NewTextHandler(log, nil))
			test.inject(p)
			for range 3 { // more than the gate has slots
				req, _ := http.NewRequest(test.method, p.caller.URL+"/order", strings.NewReader(""))
				if test.keyed {
					req.Header.Set("Idempotency-Key", "k")
				}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatalf("no response: %v", err)
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				v, reason := resp.Header.Get(verdict.Header), resp.Header.Get(verdict.ReasonHeader)
				if err != nil || v != test.verdict || reason != string(test.reason) {
					t.Errorf("error %v, status %d, verdict %q, reason %q; want %s, %s", err, resp.StatusCode, v, reason, test.verdict, test.reason)
				}
			}
			p.ingress.Wait()
			p.gate.Wait()
			if ran := runs.Load(); ran > 0 && test.verdict == "not-run" {
				t.Errorf("ran %d times", ran)
			}
			if load := p.gate.Load(); load.InFlight != 0 {
				t.Errorf("%d slots are held", load.InFlight)
			}
			if got := p.ingress.Counters.Panics.Load() + p.gate.Counters.Panics.Load(); got != 3 {
				t.Errorf("%d panics counted, want 3", got)
			}
			if logged := p.ingress.Counters.Panics.Load(); int64(bytes.Count(log.Bytes(), []byte("event=panic_recovered"))) != logged {
				t.Errorf("%d panics of the ingress, log:\n%s", logged, log.String())
			}
		})
	}
}

// Guards against a panic after the response has begun that makes the caller take a truncated response for complete, and
// against one in the goroutine that reads a large body.
func TestPanicDuringABody(t *testing.T) {
	p := newRequestPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}), nil)
	p.ingress.OnSuccess = func(...[]byte) { panic(injected) }
	resp, err := http.Post(p.caller.URL+"/", "", &onlyReader{strings.NewReader(strings.Repeat("a", 100_000))})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err == nil {
		t.Error("the response looks complete")
	}
	p.ingress.OnSuccess = nil
	req := httptest.NewRequest(http.MethodPost, "/order", &panickingReader{left: 100_000})
	req.ContentLength = 200_000
	w := httptest.NewRecorder()
	p.ingress.ServeHTTP(&deadlineRecorder{w}, req)
	if w.Header().Get(verdict.Header) == "not-run" || w.Code < http.StatusInternalServerError {
		t.Errorf("status %d, verdict %q", w.Code, w.Header().Get(verdict.Header))
	}
	p.gate.Wait()
	if got := p.ingress.Counters.Panics.Load(); got != 2 {
		t.Errorf("%d panics counted, want 2", got)
	}
}

// onlyReader hides the other methods of a reader, so that the length of the body is unknown.
type onlyReader struct{ io.Reader }

// panickingReader panics once left bytes have been read.
type panickingReader struct{ left int }

func (r *panickingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		panic(injected)
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

// deadlineRecorder is a ResponseRecorder that accepts read deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// Guards against a panic with http.ErrAbortHandler that is logged as a fault.
func TestAbortIsNoPanic(t *testing.T) {
	p := newRequestPath(t, http.NotFoundHandler(), nil)
	p.ingress.IsQuarantined = func([]byte) bool { panic(http.ErrAbortHandler) }
	if _, err := http.Get(p.caller.URL + "/"); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want a closed connection", err)
	}
	if got := p.ingress.Counters.Panics.Load(); got != 0 {
		t.Errorf("%d panics counted", got)
	}
}
