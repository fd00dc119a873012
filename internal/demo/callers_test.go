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
	testRead  = Kind{Name: "read", Class: bundle.Short, Method: "GET", Path: "/katalog/items", Weight: 1, ReplyBytes: 100_000, Trailers: true}
	testOrder = Kind{Name: "order", Class: bundle.Short, Method: "POST", Path: "/ordre/orders", Weight: 1, BodyBytes: 600, ReplyBytes: 400}
)

// answer writes the right answer to r, changed by edit.
func answer(w http.ResponseWriter, r *http.Request, edit func([]byte) []byte) {
	id := r.Header.Get(backendtest.RequestIDHeader)
	n, _ := strconv.Atoi(r.Header.Get(backendtest.ReplyBytesHeader))
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(backendtest.RequestDigestHeader, backendtest.FormatDigest(backendtest.DigestOf(body)))
	w.Header().Set("Trailer", backendtest.ReplyDigestTrailer)
	full := backendtest.Body(id, n)
	_, _ = w.Write(edit(full))
	w.Header().Set(backendtest.ReplyDigestTrailer, backendtest.FormatDigest(backendtest.DigestOf(full)))
}

func whole(b []byte) []byte { return b }

// Guards against a demo whose counters stay at zero because its callers detect nothing.
func TestCallersDetect(t *testing.T) {
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name    string
		kind    Kind
		handler http.HandlerFunc
		want    Outcome
	}{
		{"right answer", testRead, func(w http.ResponseWriter, r *http.Request) { answer(w, r, whole) }, OK},
		{"right receipt", testOrder, func(w http.ResponseWriter, r *http.Request) { answer(w, r, whole) }, OK},
		{"answer to another request", testRead, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(backendtest.RequestIDHeader, "other")
			answer(w, r, whole)
		}, WrongBody},
		{"shortened answer that looks complete", testRead, func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, func(b []byte) []byte { return b[:len(b)-1] })
		}, WrongBody},
		{"changed request body", testOrder, func(w http.ResponseWriter, r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader("another order"))
			answer(w, r, whole)
		}, WrongBody},
		{"missing trailer", testRead, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(backendtest.Body(r.Header.Get(backendtest.RequestIDHeader), testRead.ReplyBytes))
		}, WrongBody},
		{"broken answer", testRead, func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, func(b []byte) []byte { return b[:70_000] })
			abort(w)
		}, CutOff},
		{"no answer", testOrder, func(w http.ResponseWriter, _ *http.Request) { abort(w) }, CutOff},
		{"not run", testOrder, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdict.Header, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, RefusedNotRun},
		{"unknown verdict", testOrder, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdict.Header, "perhaps")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, MayHaveRun},
		{"error of the backend server", testOrder, func(w http.ResponseWriter, _ *http.Request) {
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

// Guards against verdicts that nobody compares with the run log.
func TestContradictions(t *testing.T) {
	server, err := backendtest.Start(backendtest.Options{ID: "e", Service: "ordre", Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := newCallers(func() []string { return []string{server.Addr()} })
	defer c.close()
	rng := rand.New(rand.NewPCG(1, 1))
	tl := newTally([]Kind{testOrder})
	ran, absent := newOperation("ran", testOrder, rng), newOperation("absent", testOrder, rng)
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
		t.Errorf("%d refused but run, %d answered without a run, %d duplicates; want 1 of each", s.NotRunButRan, s.OKWithoutRun, s.DuplicateRuns)
	}
}

// Guards against callers that give up although another ingress is up.
func TestCallersTryNextIngress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(w, r, whole) }))
	defer server.Close()
	down := httptest.NewServer(nil)
	down.Close()
	addresses := []string{strings.TrimPrefix(down.URL, "http://"), strings.TrimPrefix(server.URL, "http://")}
	c := newCallers(func() []string { return append([]string(nil), addresses...) })
	defer c.close()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 10 {
		if got := c.send(context.Background(), newOperation(strconv.Itoa(i), testRead, rng), 0, rng).outcome; got != OK {
			t.Errorf("outcome %d", got)
		}
	}
}

// Guards against a mix that lacks what the workload's users do.
func TestWorkloads(t *testing.T) {
	for _, name := range []string{"nordlys", "prairie"} {
		w, err := Find(name)
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
		if len(w.Services) != 4 || len(w.Domains) != 4 || keyed*unkeyed*calls*longs == 0 {
			t.Errorf("%s: %d services, %d domains, kinds: %d keyed, %d unkeyed, %d with calls, %d long",
				name, len(w.Services), len(w.Domains), keyed, unkeyed, calls, longs)
		}
	}
	if _, err := Find("other"); err == nil {
		t.Error("unknown workload found")
	}
}

// Guards against a generator that loses or repeats operations without a key.
func TestGenerator(t *testing.T) {
	server, err := backendtest.Start(backendtest.Options{ID: "e", Service: "ordre", Slots: 8})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := newCallers(func() []string { return []string{server.Addr()} })
	defer c.close()
	w := Workload{Kinds: []Kind{testRead, testOrder}}
	tl := newTally(w.Kinds)
	newGenerator(w, 7, c, tl).run(context.Background(), 300*time.Millisecond, 200)
	if sent, ok := tl.sent(), tl.count(OK); sent == 0 || sent != ok || int(sent) != server.Log().Len() {
		t.Errorf("sent %d, answered %d, in the run log %d", sent, ok, server.Log().Len())
	}
	if d := server.Log().Duplicates(); len(d) != 0 {
		t.Errorf("duplicates %v", d)
	}
}

// Guards against a light load that leaves out one of the compared ways or measures nothing.
func TestMeasureLight(t *testing.T) {
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
	l := measureLight(context.Background(), w, []string{server.Addr()}, c, tl, 300*time.Millisecond, 1)
	if n := l.direct.count(); n == 0 || n != l.system.count() || n != l.bareHop.count() {
		t.Errorf("samples: direct %d, system %d, bare hop %d", n, l.system.count(), l.bareHop.count())
	}
	if got, want := forwarded.Load(), l.bareHop.count()+warmUpRounds; got != want {
		t.Errorf("%d requests came through the bare hop, want %d", got, want)
	}
}
