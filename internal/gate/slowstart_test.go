package gate

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const testLoadPath = "/load"

// rampServer is a backend server that states its slow start on testLoadPath.
type rampServer struct {
	runs, slowStartMs atomic.Int64
}

func (s *rampServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == testLoadPath {
		w.Header().Set(slowStartHeader, strconv.FormatInt(s.slowStartMs.Load(), 10))
		return
	}
	s.runs.Add(1)
}

// newRampGate returns a gate whose service tolerates 10 requests per second, 14 in any second, during a slow start.
func newRampGate(t *testing.T, s *rampServer, loadPath string) *Gate {
	t.Helper()
	return newGateWithRamp(t, s, loadPath, settings.SlowStart{Tolerance: 1, Slack: 4})
}

func newGateWithRamp(t *testing.T, s http.Handler, loadPath string, slowStart settings.SlowStart) *Gate {
	t.Helper()
	g := newGate(t, s)
	g.SetSlowStart(slowStart)
	b := &bundle.Bundle{Services: map[string]bundle.Service{"katalog": {Slots: 8, RampPerSecond: 10, LoadPath: loadPath}}}
	b.SetDefaults()
	b.Policy.LoadProbesPerSecond = 30
	g.SetLimits(b.Services["katalog"], b.Policy)
	return g
}

// sendFor sends requests for the given time and returns how many ran and how many were refused for the slow start.
func sendFor(t *testing.T, g *Gate, number *uint64, duration time.Duration) (ran, refused int64) {
	t.Helper()
	var answered, slow atomic.Int64
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		*number++
		conn := serveAttempt(t, g, requestHead(*number))
		wg.Go(func() {
			_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
			for {
				f, err := conn.Read()
				switch r := f.GetRefusal(); {
				case err != nil:
					return
				case r != nil:
					if r.Reason == string(verdict.SlowStart) && r.Verdict == wire.Verdict_NOT_RUN && r.WaitMs > 0 && r.Load.SlowStartMs > 0 && r.Load.RampMilli > 0 {
						slow.Add(1)
					}
					return
				case f.GetEnd() != nil:
					answered.Add(1)
					return
				}
			}
		})
	}
	wg.Wait()
	return answered.Load(), slow.Load()
}

// Guards against a flood of a backend server that is cold when the node starts, that is warm when it starts and is limited
// nonetheless, whose new process is taken for the warm one, or that turns cold in the middle of its life.
func TestGateHoldsTheRamp(t *testing.T) {
	const bound = 14
	var number uint64
	s := &rampServer{}
	g := newRampGate(t, s, "")
	if _, refused := sendFor(t, g, &number, 500*time.Millisecond); refused == 0 || s.runs.Load() > bound {
		t.Errorf("unknown: %d runs, %d refused", s.runs.Load(), refused)
	}
	g.StateSlowStart("katalog-1", 0, 0, time.Now())
	if ran, refused := sendFor(t, g, &number, 200*time.Millisecond); refused > 0 || ran <= bound {
		t.Errorf("warm: %d runs, %d refused", ran, refused)
	}
	b := *g.Backend()
	b.Incarnation = 7
	g.SetBackend(&b)
	g.StateSlowStart("katalog-1", 0, 0, time.Now())
	if ran, refused := sendFor(t, g, &number, 500*time.Millisecond); refused == 0 || ran > bound {
		t.Errorf("after a restart of the server: %d runs, %d refused", ran, refused)
	}
}

// Guards against a backend server that turns cold without notice and gets requests at its usual rate until its next heartbeat.

func TestGateNoticesAServerThatTurnsCold(t *testing.T) {
	var number uint64
	s := &rampServer{}
	g := newRampGate(t, s, testLoadPath)
	g.StateSlowStart("katalog-1", 0, 0, time.Now())
	sendFor(t, g, &number, 200*time.Millisecond)
	s.slowStartMs.Store(3000)
	changed := time.Now()
	for g.Load().RampMilli == 0 {
		sendFor(t, g, &number, 10*time.Millisecond)
		if time.Since(changed) > time.Second {
			t.Fatal("not noticed within 1s")
		}
	}
	before := s.runs.Load()
	if _, refused := sendFor(t, g, &number, 800*time.Millisecond); refused == 0 || s.runs.Load()-before > 14 {
		t.Errorf("%d runs after the change, %d refused", s.runs.Load()-before, refused)
	}
	if g.Counters.SlowStarts.Load() != 1 {
		t.Errorf("%d slow starts counted, want 1", g.Counters.SlowStarts.Load())
	}
}

// Guards against a ramp in deployments whose settings do not ask for one.
func TestNoRampWithoutTheSetting(t *testing.T) {
	var number uint64
	s := &rampServer{}
	g := newGateWithRamp(t, s, testLoadPath, settings.SlowStart{})
	if ran, refused := sendFor(t, g, &number, 100*time.Millisecond); refused > 0 || ran < 20 || g.Load().RampMilli != 0 || g.Counters.LoadProbes.Load() > 0 {
		t.Errorf("%d runs, %d refused", ran, refused)
	}
}

// Guards against a node that restarts beside a cold backend server and, once a heartbeat has said how long that lasts, floods it
// or limits it after the end.
func TestGateCountsTheStatedSlowStart(t *testing.T) {
	var number uint64
	g := newRampGate(t, &rampServer{}, "")
	const remaining = 600 * time.Millisecond
	g.StateSlowStart("katalog-1", 0, remaining, time.Now())
	end := time.Now().Add(remaining)
	if ran, refused := sendFor(t, g, &number, remaining/2); refused == 0 || ran == 0 || ran > 14 {
		t.Errorf("cold: %d runs, %d refused", ran, refused)
	}
	time.Sleep(time.Until(end))
	if ran, refused := sendFor(t, g, &number, remaining/2); refused > 0 || ran <= 14 {
		t.Errorf("after the end: %d runs, %d refused", ran, refused)
	}
}

// preparePanics is a protocol that panics while count is above 0, before the request is sent.
type preparePanics struct {
	nativeProtocol
	count *atomic.Int64
}

func (p preparePanics) Prepare(h http.Header, r RequestContext) {
	if p.count.Add(-1) >= 0 {
		panic("injected panic")
	}
	p.nativeProtocol.Prepare(h, r)
}

// Guards against attempts that panic before they are sent and keep their places in the ramp, so that a cold backend server
// gets less than it can handle.
func TestPanicReturnsThePlaceInTheRamp(t *testing.T) {
	g := newRampGate(t, &rampServer{}, "")
	places := func() (free int) {
		for ; g.reserveSend() == nil; free++ {
		}
		for range free {
			g.releaseSend()
		}
		return free
	}
	waitFor(t, "two places", func() bool { return places() >= 2 })
	var panics atomic.Int64
	panics.Store(1)
	g.SetProtocol(preparePanics{count: &panics})
	before := places()
	conn := serveAttempt(t, g, requestHead(1))
	if f, err := conn.Read(); err != nil || f.GetRefusal().GetReason() != string(verdict.InternalError) {
		t.Fatalf("%v, %v", f, err)
	}
	if after := places(); after < before {
		t.Errorf("%d places after the panic, %d before", after, before)
	}
}

// Guards against a backend server that counts as warm from its start, because the response to a load probe sent to its
// predecessor arrives after its announcement.
func TestLateProbeOfThePredecessorStatesNothing(t *testing.T) {
	probed, answer := make(chan struct{}), make(chan struct{})
	g := newGateWithRamp(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(probed)
		<-answer
		w.Header().Set(slowStartHeader, "0")
	}), testLoadPath, settings.SlowStart{Tolerance: 1, Slack: 4})
	g.StateSlowStart("katalog-1", 0, 0, time.Now())
	old := g.Backend()
	g.watchSlowStart(old)
	<-probed
	next := *old
	next.Incarnation++
	g.SetBackend(&next)
	_, done := g.slowness.startProbe(time.Now(), -1)
	close(answer)
	<-done
	if g.Load().RampMilli == 0 {
		t.Error("the new process counts as warm")
	}
}

// Guards against two load probes of a backend server in the time of one, when its slowness has just been asked for.
func TestOneProbeStatesSlownessAndSlowStart(t *testing.T) {
	g := newRampGate(t, &rampServer{}, testLoadPath)
	g.currentSlowness(t.Context(), g.Backend())
	time.Sleep(slowStartProbeInterval / 2) // the limit of probes permits another
	g.watchSlowStart(g.Backend())
	time.Sleep(slowStartProbeInterval / 10)
	if probes := g.Counters.LoadProbes.Load(); probes != 1 {
		t.Errorf("%d load probes, want 1", probes)
	}
}
