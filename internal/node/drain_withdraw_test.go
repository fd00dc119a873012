package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

// Guards against requests that wait for a slot until the deadline of a drain and are then aborted without a response,
// although the ingress knows that they have not run.
func TestWaitingRequestsAreRefusedBeforeDrainEnds(t *testing.T) {
	const slots, sent = 24, 40 // slots of both backend servers
	f := newFleet(t, 2)
	f.waitReady()
	for _, b := range f.backends {
		b.SetSlowdown(3000) // 6 s per request: none ends within the drain
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused, failed := 0, 0
	for i := range sent {
		wg.Go(func() {
			req, _ := http.NewRequest("GET", "http://"+f.nodes[0].Addrs().Ingress+"/preview", nil)
			req.Header.Set(backendtest.RequestIDHeader, fmt.Sprint("waiting ", i))
			resp, err := http.DefaultClient.Do(req)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(verdict.Header) == verdict.NotRun.String() {
				refused++
			}
		})
	}
	f.waitFor(5*time.Second, "all slots in use", func() bool {
		return f.nodes[0].Metrics()["gate_admitted"]+f.nodes[1].Metrics()["gate_admitted"] >= slots
	})
	time.Sleep(200 * time.Millisecond) // lets the other requests reach the queues
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_ = f.nodes[0].Drain(ctx) // returns the deadline error, since requests are still running
	wg.Wait()
	if refused != sent-slots {
		t.Errorf("%d requests refused as not run, %d failed; %d of %d were waiting", refused, failed, sent-slots, sent)
	}
}
