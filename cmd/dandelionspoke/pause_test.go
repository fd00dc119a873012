package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

const (
	pauseFor = 3 * time.Second
	// pauseDeadline is the deadline of requests that are sent while the node of the gate is paused; it is over long before
	// the node goes on.
	pauseDeadline = 500 * time.Millisecond
	pauseRequests = 40
)

// Guards against a node that was paused for seconds and then lets its backend server run requests whose deadline has
// passed meanwhile: their data waited in the buffers of its connections.
func TestPausedNodeRunsNoExpiredRequests(t *testing.T) {
	f := startFleet(t, 2)
	// The requests to the paused node need open sessions.
	for i := range 50 {
		resp, err := http.DefaultClient.Do(newRequest(context.Background(), t, http.MethodGet, f.nodes[0].fields["ingress"], "/katalog/warm", fmt.Sprint("warm", i), 10, ""))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	f.nodes[1].signal(syscall.SIGSTOP)
	var pending sync.WaitGroup
	var mu sync.Mutex
	unanswered := map[string]string{}
	for i := range pauseRequests {
		pending.Go(func() {
			id := fmt.Sprint("expired", i)
			req := newRequest(context.Background(), t, http.MethodPost, f.nodes[0].fields["ingress"], "/katalog/orders", id, 10, "body")
			req.Header.Set("Dandelionspoke-Deadline-Ms", fmt.Sprint(pauseDeadline.Milliseconds()))
			req.Header.Set(backendtest.WorkHeader, "1ms")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				mu.Lock()
				unanswered[id] = resp.Header.Get(verdict.Header)
				mu.Unlock()
			}
		})
	}
	time.Sleep(pauseFor)
	pending.Wait()
	before := f.runs()
	f.nodes[1].signal(syscall.SIGCONT)
	time.Sleep(2 * pauseDeadline)
	after := f.runs()
	if len(unanswered) == 0 {
		t.Fatal("no request was sent to the paused node")
	}
	for id, v := range unanswered {
		if after[id].Started > before[id].Started {
			t.Errorf("%s (verdict %q) ran after its deadline, when the node went on", id, v)
		}
		if v == verdict.NotRun.String() && after[id].Started > 0 {
			t.Errorf("%s was refused as not run, and ran", id)
		}
	}
	t.Logf("%d of %d requests unanswered", len(unanswered), pauseRequests)
}
