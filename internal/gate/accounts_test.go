package gate

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Guards against a gate that does not pass account, weight and return of a request to its queue, that counts decisions for the
// wrong account, or that does not state when a refused request has room.
func TestGateSharesSlotsBetweenAccounts(t *testing.T) {
	var mu sync.Mutex
	var order []string
	release := make(chan struct{})
	g := newGate(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		order = append(order, strings.TrimPrefix(r.URL.Path, "/"))
		mu.Unlock()
		<-release
	}))
	b := &bundle.Bundle{Services: map[string]bundle.Service{"katalog": {Slots: 1, QueueShort: 5}}}
	b.SetDefaults()
	g.SetLimits(b.Services["katalog"], b.Policy)
	sent := uint64(0)
	send := func(name, account string, weight float64, returning bool) *peer.Conn {
		sent++
		h := requestHead(sent)
		h.Idempotent, h.Target, h.Account, h.AccountWeight, h.Returning = true, "/"+name, account, weight, returning
		conn := serveAttempt(t, g, h)
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
		return conn
	}
	// drain reads the response, which the gate can't write otherwise.
	drain := func(conn *peer.Conn) {
		go func() {
			for {
				if _, err := conn.Read(); err != nil {
					return
				}
			}
		}()
	}
	sendWaiting := func(name, account string, weight float64, returning bool) {
		before := g.Load().QueuedShort
		drain(send(name, account, weight, returning))
		waitFor(t, name+" waits", func() bool { return g.Load().QueuedShort == before+1 })
	}
	drain(send("first", "", 0, false))
	release <- struct{}{}
	waitFor(t, "a measured run time", func() bool { return g.Load().ServiceTimeUs > 0 && g.Load().InFlight == 0 })
	drain(send("running", "burst", 1, false))
	waitFor(t, "a running request", func() bool { return g.Load().InFlight == 1 })
	sendWaiting("burst-1", "burst", 1, false)
	sendWaiting("burst-2", "burst", 1, false)
	sendWaiting("burst-returning", "burst", 1, true)
	sendWaiting("other", "other", 1, false)
	sendWaiting("call", "", 0, false)
	f, err := send("refused", "burst", 1, false).Read()
	if err != nil || f.GetRefusal().GetReason() != string(verdict.QueueFull) || f.GetRefusal().GetWaitMs() == 0 {
		t.Fatalf("answer %v, error %v; want a refusal with a wait", f, err)
	}
	counts := g.AccountCounts()
	if diff := cmp.Diff(map[string]int64{"burst": 3, "other": 1}, counts.Waiting); diff != "" {
		t.Error(diff)
	}
	for range 6 {
		release <- struct{}{}
	}
	waitFor(t, "all requests done", func() bool { return g.Load().InFlight == 0 && g.Load().QueuedShort == 0 })
	mu.Lock()
	defer mu.Unlock()
	want := []string{"first", "running", "call", "other", "burst-returning", "burst-1", "burst-2"}
	if diff := cmp.Diff(want, order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	counts = g.AccountCounts()
	if diff := cmp.Diff(AccountCounts{
		Admitted: map[string]int64{"burst": 4, "other": 1}, Refused: map[string]int64{"burst": 1}, Waiting: map[string]int64{},
	}, counts); diff != "" {
		t.Error(diff)
	}
}

// Guards against a short wait that is sent as unknown, and against one that does not fit its field.
func TestWaitMillisRoundsUp(t *testing.T) {
	for wait, want := range map[time.Duration]uint32{0: 0, time.Microsecond: 1, 1500 * time.Microsecond: 2, 1 << 62: 3_600_000, -1: 0} {
		if got := waitMillis(wait); got != want {
			t.Errorf("%d for %s, want %d", got, wait, want)
		}
	}
}
