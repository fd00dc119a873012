package gate

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Guards against waiting or new requests that reach a backend server of an evacuated domain, against running ones that are
// aborted, and against a gate that stays closed after the evacuation, or opens before the evacuations are known.
func TestEvacuationRefusesWaitingAndNewRequests(t *testing.T) {
	for name, state := range map[string]Evacuation{"evacuated": Evacuated, "unknown": EvacuationUnknown} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			var runs atomic.Int64
			g := newGate(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1); <-release }))
			var results sync.WaitGroup
			var answered, refused atomic.Int64
			send := func(n uint64) {
				conn := serveAttempt(t, g, requestHead(n))
				results.Go(func() {
					_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
					for {
						f, err := conn.Read()
						if r := f.GetRefusal(); r != nil && r.Reason == string(verdict.Evacuated) && r.Verdict == wire.Verdict_NOT_RUN && r.Load.Draining {
							refused.Add(1)
						}
						if f.GetEnd() != nil {
							answered.Add(1)
						}
						if err != nil || f.GetRefusal() != nil || f.GetEnd() != nil {
							return
						}
					}
				})
			}
			send(1)
			send(2)
			waitFor(t, "both slots in use", func() bool { return g.Load().InFlight == 2 && runs.Load() == 2 })
			send(3)
			waitFor(t, "one request waits", func() bool { return g.Load().QueuedShort == 1 })
			g.SetEvacuation(state)
			waitFor(t, "the waiting request is refused", func() bool { return refused.Load() == 1 })
			send(4)
			waitFor(t, "the new request is refused", func() bool { return refused.Load() == 2 })
			close(release)
			results.Wait()
			if answered.Load() != 2 || runs.Load() != 2 {
				t.Errorf("%d answered, %d runs, want the 2 that ran before", answered.Load(), runs.Load())
			}
			g.SetEvacuation(NotEvacuated)
			send(5)
			results.Wait()
			if answered.Load() != 3 {
				t.Error("the request after the end of the evacuation is not served")
			}
		})
	}
}
