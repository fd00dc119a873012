package demo

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
)

var (
	testReadKind  = RequestKind{Name: "read", Class: bundle.Short, Method: "GET", Path: "/katalog/items", Weight: 1, ReplyBytes: 100_000, Trailers: true}
	testOrderKind = RequestKind{Name: "order", Class: bundle.Short, Method: "POST", Path: "/ordre/orders", Weight: 1, BodyBytes: 600, ReplyBytes: 400}
)

// writeResponse writes the expected response to r, with its body modified by edit.
func writeResponse(w http.ResponseWriter, r *http.Request, edit func([]byte) []byte) {
	id := r.Header.Get(backendtest.RequestIDHeader)
	n, _ := strconv.Atoi(r.Header.Get(backendtest.ReplyBytesHeader))
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(backendtest.RequestDigestHeader, backendtest.FormatDigest(backendtest.DigestOf(body)))
	w.Header().Set("Trailer", backendtest.ReplyDigestTrailer)
	full := backendtest.Body(id, n)
	_, _ = w.Write(edit(full))
	w.Header().Set(backendtest.ReplyDigestTrailer, backendtest.FormatDigest(backendtest.DigestOf(full)))
}

func unchanged(b []byte) []byte { return b }

// Guards against failure counters that stay at zero because callers do not detect failures.
func TestCallersDetect(t *testing.T) {
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name    string
		kind    RequestKind
		handler http.HandlerFunc
		want    Outcome
	}{
		{"expected response", testReadKind, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, unchanged) }, OK},
		{"expected response to an order", testOrderKind, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, unchanged) }, OK},
		{"response to another request", testReadKind, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(backendtest.RequestIDHeader, "other")
			writeResponse(w, r, unchanged)
		}, WrongBody},
		{"truncated response that looks complete", testReadKind, func(w http.ResponseWriter, r *http.Request) {
			writeResponse(w, r, func(b []byte) []byte { return b[:len(b)-1] })
		}, WrongBody},
		{"changed request body", testOrderKind, func(w http.ResponseWriter, r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader("another order"))
			writeResponse(w, r, unchanged)
		}, WrongBody},
		{"missing trailer", testReadKind, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(backendtest.Body(r.Header.Get(backendtest.RequestIDHeader), testReadKind.ReplyBytes))
		}, WrongBody},
		{"response aborted midway", testReadKind, func(w http.ResponseWriter, r *http.Request) {
			writeResponse(w, r, func(b []byte) []byte { return b[:70_000] })
			abort(w)
		}, Truncated},
		{"no response", testOrderKind, func(w http.ResponseWriter, _ *http.Request) { abort(w) }, Truncated},
		{"not run", testOrderKind, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdict.Header, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, RefusedNotRun},
		{"unknown verdict", testOrderKind, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdict.Header, "perhaps")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, MayHaveRun},
		{"error of the backend server", testOrderKind, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}, BackendError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			c := newCallers(func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} })
			defer c.close()
			rng := rand.New(rand.NewPCG(1, 1))
			if got := c.send(context.Background(), newOperation("a", tt.kind, rng), 0, rng).outcome; got != tt.want {
				t.Errorf("outcome %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against verdicts that are not compared with the run log.
func TestContradictions(t *testing.T) {
	server, err := backendtest.Start(backendtest.Options{ID: "e", Service: "ordre", Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := newCallers(func() []string { return []string{server.Addr()} })
	defer c.close()
	rng := rand.New(rand.NewPCG(1, 1))
	tl := newTally([]RequestKind{testOrderKind})
	ran, absent := newOperation("ran", testOrderKind, rng), newOperation("absent", testOrderKind, rng)
	for range 2 {
		if got := c.send(context.Background(), ran, 0, rng).outcome; got != OK {
			t.Fatalf("outcome %d", got)
		}
	}
	tl.add(ran, result{outcome: RefusedNotRun})
	tl.add(absent, result{outcome: OK})
	s := &Summary{}
	s.addRuns(tl, server.Log())
	if s.NotRunButRan != 1 || s.OKWithoutRun != 1 || s.DuplicateRuns != 1 || !s.Failed() {
		t.Errorf("%d refused but run, %d OK without a run, %d duplicates; want 1 of each", s.NotRunButRan, s.OKWithoutRun, s.DuplicateRuns)
	}
}

// Guards against callers that fail when one ingress is down although another one is up.
func TestCallersTryNextIngress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, unchanged) }))
	defer server.Close()
	down := httptest.NewServer(nil)
	down.Close()
	addresses := []string{strings.TrimPrefix(down.URL, "http://"), strings.TrimPrefix(server.URL, "http://")}
	c := newCallers(func() []string { return append([]string(nil), addresses...) })
	defer c.close()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 10 {
		if got := c.send(context.Background(), newOperation(strconv.Itoa(i), testReadKind, rng), 0, rng).outcome; got != OK {
			t.Errorf("outcome %d", got)
		}
	}
}

// Guards against request kinds without a matching route, and against a workload without keyed, non-keyed, chained or
// long requests.
func TestWorkloads(t *testing.T) {
	for _, name := range []string{"nordlys", "prairie"} {
		w, err := FindWorkload(name)
		if err != nil {
			t.Fatal(err)
		}
		b := w.Bundle()
		keyed, unkeyed, calls, longs := 0, 0, 0, 0
		for _, k := range w.Kinds {
			for _, path := range append([]string{k.Path}, k.Calls...) {
				if route := b.Match(k.Method, "", path+"/1"); route == nil || path == k.Path && route.Class != k.Class {
					t.Errorf("%s: %s matches %+v, want a route of class %s", name, path, route, k.Class)
				}
			}
			switch {
			case k.Keyed:
				keyed++
			case k.Method == "POST":
				unkeyed++
			case len(k.Calls) > 0:
				calls++
			case k.Class == bundle.Long:
				longs++
			}
		}
		if len(w.Services) != 4 || len(w.FailureDomains) != 4 || keyed*unkeyed*calls*longs == 0 {
			t.Errorf("%s: %d services, %d domains, kinds: %d keyed, %d non-keyed, %d with calls, %d long",
				name, len(w.Services), len(w.FailureDomains), keyed, unkeyed, calls, longs)
		}
	}
	if _, err := FindWorkload("other"); err == nil {
		t.Error("unknown workload found")
	}
}

// Guards against a generator that loses operations or repeats those without an idempotency key.
func TestGenerator(t *testing.T) {
	server, err := backendtest.Start(backendtest.Options{ID: "e", Service: "ordre", Slots: 8})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := newCallers(func() []string { return []string{server.Addr()} })
	defer c.close()
	w := Workload{Kinds: []RequestKind{testReadKind, testOrderKind}}
	tl := newTally(w.Kinds)
	newGenerator(w, 7, c, tl).run(context.Background(), 300*time.Millisecond, 200)
	if sent, ok := tl.sent(), tl.count(OK); sent == 0 || sent != ok || int(sent) != server.Log().Len() {
		t.Errorf("sent %d, OK %d, in the run log %d; want the same number", sent, ok, server.Log().Len())
	}
	if d := server.Log().Duplicates(); len(d) != 0 {
		t.Errorf("duplicates %v", d)
	}
}

// Guards against a light load measurement that omits one of the compared paths or records no samples.
func TestMeasureLightLoad(t *testing.T) {
	server, err := backendtest.Start(backendtest.Options{ID: "e", Service: "katalog", Slots: 8})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := newCallers(func() []string { return []string{server.Addr()} })
	defer c.close()
	var forwarded atomic.Int64
	server.SetCrashRule(func(r *http.Request) bool {
		if r.Header.Get("X-Forwarded-For") != "" {
			forwarded.Add(1)
		}
		return false
	})
	w := nordlys()
	tl := newTally(w.Kinds)
	l := measureLightLoad(context.Background(), w, []string{server.Addr()}, c, tl, 300*time.Millisecond, 1)
	if n := l.direct.count(); n == 0 || n != l.system.count() || n != l.reverseProxy.count() {
		t.Errorf("samples: direct %d, system %d, reverse proxy %d", n, l.system.count(), l.reverseProxy.count())
	}
	if got, want := forwarded.Load(), l.reverseProxy.count()+warmUpRounds; got != want {
		t.Errorf("%d requests came through the reverse proxy, want %d", got, want)
	}
}
