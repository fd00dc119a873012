package gate

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Guards against requests that wait beside a leaving backend server and reach it long after its leaving was acknowledged.
func TestWaitingRequestsDoNotReachALeavingServer(t *testing.T) {
	const (
		slots, waiting = 2, 12
		work           = 600 * time.Millisecond
	)
	leave := map[string]func(g *Gate){
		"drains":       func(g *Gate) { g.SetBackendDraining(true) },
		"is withdrawn": func(g *Gate) { g.SetBackend(nil) },
		"is replaced": func(g *Gate) {
			g.SetBackend(&Backend{ID: "katalog-2", Service: "katalog", Address: g.Backend().Address})
		},
		"drains, then withdrawn": func(g *Gate) { g.SetBackendDraining(true); g.SetBackend(nil) },
	}
	for name, leaves := range leave {
		t.Run(name, func(t *testing.T) {
			var left atomic.Int64 // time at which the server began to leave, Unix nanoseconds
			var runs, late atomic.Int64
			g := newGate(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				if at := left.Load(); at != 0 && time.Since(time.Unix(0, at)) > drainQueueTime+100*time.Millisecond {
					late.Add(1)
				}
				time.Sleep(work)
			}))
			b := &bundle.Bundle{Services: map[string]bundle.Service{"katalog": {Slots: slots, QueueShort: waiting, QueueLong: waiting}}}
			b.SetDefaults()
			g.SetLimits(b.Services["katalog"], b.Policy)
			var results sync.WaitGroup
			var answered, refused atomic.Int64
			for i := range slots + waiting {
				h := requestHead(uint64(i))
				h.Idempotent = true
				conn := serveAttempt(t, g, h)
				results.Go(func() {
					_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
					v, complete := answerVerdict(t, conn.Read)
					switch {
					case complete:
						answered.Add(1)
					case v == verdict.NotRun:
						refused.Add(1)
					}
				})
			}
			waitFor(t, "all requests at the gate", func() bool {
				load := g.Load()
				return load.InFlight == slots && load.QueuedShort+load.QueuedLong == waiting
			})
			left.Store(time.Now().UnixNano())
			leaves(g)
			results.Wait()
			summary := fmt.Sprintf("%d runs, %d answered, %d refused as not run, %d late", runs.Load(), answered.Load(), refused.Load(), late.Load())
			if late.Load() > 0 || refused.Load() == 0 || answered.Load() != runs.Load() || answered.Load()+refused.Load() != slots+waiting {
				t.Error(summary)
			}
			if name != "drains" && runs.Load() != slots {
				t.Errorf("%s; want none after the server has left", summary)
			}
		})
	}
}

// Guards against requests that a draining node accepts from other nodes and breaks off at its end, although another gate could
// have run them.
func TestRequestsThatMayOutlastTheNode(t *testing.T) {
	const remaining = 2 * time.Second // of the node
	tests := map[string]struct {
		idempotent bool
		deadline   time.Duration
		maxWait    time.Duration // 0 accepts any wait
		draining   bool
		want       bool // the request is answered
	}{
		"not idempotent, deadline after the end":     {false, 3 * time.Second, time.Millisecond, true, false},
		"not idempotent, deadline before the end":    {false, time.Second, time.Millisecond, true, true},
		"not idempotent, no other gate":              {false, 3 * time.Second, 0, true, true},
		"idempotent":                                 {true, 3 * time.Second, time.Millisecond, true, true},
		"not idempotent, deadline after, node stays": {false, 3 * time.Second, time.Millisecond, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGate(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			if test.draining {
				g.SetEnd(time.Now().Add(remaining))
			}
			h := requestHead(1)
			h.Idempotent, h.DeadlineMs, h.MaxWaitUs = test.idempotent, uint32(test.deadline.Milliseconds()), uint32(test.maxWait.Microseconds())
			conn := serveAttempt(t, g, h)
			_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
			v, complete := answerVerdict(t, conn.Read)
			if complete != test.want || !test.want && v != verdict.NotRun {
				t.Errorf("answered %t with verdict %s, want %t", complete, v, test.want)
			}
		})
	}
}
