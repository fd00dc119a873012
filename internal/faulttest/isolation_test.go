package faulttest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
)

// Guards against long requests that take all slots: short requests must be answered while far more long requests wait
// than there are slots, each longer than the timeout of short ones, also while a backend server is slow or a node is
// killed.
func TestShortWorkDuringLongWork(t *testing.T) {
	for _, name := range []string{"", "backend server slow", "node killed"} {
		t.Run("fault "+name, func(t *testing.T) {
			h := start(t, Options{Size: 4, Domains: 2, Slots: 3})
			var long sync.WaitGroup
			for i := range 40 {
				o := Operation{ID: fmt.Sprint("long-", i), Method: "GET", Path: "/archive/x", ReplyBytes: 70 << 10, Work: 5 * time.Second}
				long.Go(func() { h.callers.Send(t.Context(), h.Members[i%2], o) })
			}
			time.Sleep(settleTime)
			target := h.Members[3]
			if name != "" {
				faultByName(t, name).begin(h, target)
			}
			for i := range 200 {
				o := Operation{ID: fmt.Sprint("short-", i), Method: "GET", Path: "/item", ReplyBytes: 100}
				if r := h.callers.Send(t.Context(), h.Members[i%2], o); r.Outcome != Answered {
					t.Errorf("short request failed during long requests: %v", r)
				}
			}
			if name != "" {
				faultByName(t, name).end(h, target)
			}
			long.Wait()
		})
	}
}

// Guards against a request that crashes each backend server that runs it and that its caller keeps repeating.
func TestCrashingRequest(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2})
	refused := 0
	for i := range 12 {
		o := Operation{ID: "crash", Method: "GET", Path: "/item/crash", ReplyBytes: 10, Crash: true}
		r := h.callers.Send(t.Context(), h.Members[i%4], o)
		if r.Outcome == NotRun && strings.HasPrefix(r.Detail, string(verdict.Quarantined)) {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if runs := h.Runs.Get("crash").Started; runs > 3 {
		t.Errorf("the request crashed %d backend servers", runs)
	}
	if refused < 6 {
		t.Errorf("only %d of 12 repeats were refused as quarantined", refused)
	}
	for _, m := range h.Members {
		restartBackend(h, m)
	}
	h.checkRecovery()
}

// Guards against a path that stays refused at all nodes because all backend servers crashed while they ran requests for it.
func TestPopularPathAfterAllServersCrashed(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2})
	var running sync.WaitGroup
	for i := range 16 {
		o := Operation{ID: fmt.Sprint("before-", i), Method: "GET", Path: "/item/popular", ReplyBytes: 10, Work: time.Second}
		running.Go(func() { h.callers.Send(t.Context(), h.Members[i%4], o) })
	}
	time.Sleep(300 * time.Millisecond)
	for _, m := range h.Members {
		m.Backend.Crash()
	}
	running.Wait()
	for _, m := range h.Members {
		restartBackend(h, m)
	}
	returned, answered := time.Now(), 0
	for i := 0; answered < 20; i++ {
		o := Operation{ID: fmt.Sprint("after-", i), Method: "GET", Path: "/item/popular", ReplyBytes: 10}
		r := h.callers.Send(t.Context(), h.Members[i%4], o)
		if answered++; r.Outcome != Answered {
			answered = 0
		}
		if time.Since(returned) > 10*time.Second {
			t.Fatalf("refused 10 s after the return of the backend servers: %v", r)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("served %v after the return of the backend servers", time.Since(returned).Round(10*time.Millisecond))
}
