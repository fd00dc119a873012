package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/steadytest"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Guards against a pause that is not detected: one that the first request notices before the first tick, one after which
// data is still being read, and a suspended VM, whose steady clock stands still.
func TestPauseDetector(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name   string
		resume time.Time // of the first tick after start
		asked  time.Time
		ticked bool // the first tick comes before the question
		want   bool
	}{
		{"running", start.Add(50 * time.Millisecond), start.Add(60 * time.Millisecond), true, false},
		{"busy VM", start.Add(700 * time.Millisecond), start.Add(710 * time.Millisecond), true, false},
		{"paused, before the first tick", time.Time{}, start.Add(3 * time.Second), false, true},
		{"paused, after the first tick", start.Add(3 * time.Second), start.Add(3200 * time.Millisecond), true, true},
		{"long after a pause", start.Add(3 * time.Second), start.Add(3300 * time.Millisecond), true, false},
		{"suspended", steadytest.StepTimeOfDay(start.Add(50*time.Millisecond), 3*time.Second), steadytest.StepTimeOfDay(start.Add(60*time.Millisecond), 3*time.Second), true, true},
		{"suspended, before the first tick", time.Time{}, steadytest.StepTimeOfDay(start.Add(60*time.Millisecond), 3*time.Second), false, true},
		{"time of day set back", steadytest.StepTimeOfDay(start.Add(50*time.Millisecond), -3*time.Second), steadytest.StepTimeOfDay(start.Add(60*time.Millisecond), -3*time.Second), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var d pauseDetector
			if d.justResumed(start) {
				t.Error("a pause is reported before the first tick")
			}
			d.tick(start)
			if test.ticked {
				d.tick(test.resume)
			}
			if got := d.justResumed(test.asked); got != test.want {
				t.Errorf("just resumed %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against a request that arrived while the node was paused and is forwarded after its deadline.
func TestRequestsAfterAPauseAreRefused(t *testing.T) {
	var runs atomic.Int32
	g := newGate(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	g.Tick(time.Now().Add(-3 * time.Second))
	g.Tick(time.Now())
	conn := serveAttempt(t, g, requestHead(1))
	f, err := conn.Read()
	if err != nil {
		t.Fatal(err)
	}
	refusal := f.GetRefusal()
	if refusal == nil || verdict.FromWire(refusal.Verdict) != verdict.NotRun || runs.Load() != 0 {
		t.Errorf("frame %v after %d runs, want a refusal as not run", f, runs.Load())
	}
	time.Sleep(resumeHold)
	conn = serveAttempt(t, g, requestHead(2))
	_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
	if v, complete := answerVerdict(t, conn.Read); v != verdict.Ran || !complete {
		t.Errorf("after the hold: verdict %v, complete %t", v, complete)
	}
}

// pausedContext is the context of a request after a pause of the process: its deadline has passed, and its timer is late.
type pausedContext struct {
	context.Context
	deadline time.Time
}

func (c pausedContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Guards against a node that is paused after it has admitted a request, and sends it after its deadline.
func TestRequestsAdmittedBeforeAPauseAreNotSent(t *testing.T) {
	var runs atomic.Int32
	g := newGate(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	tests := []struct {
		name     string
		deadline time.Time
		want     verdict.Verdict
	}{
		{"in time, on a new connection", time.Now().Add(time.Minute), verdict.Ran},
		{"in time", time.Now().Add(time.Minute), verdict.Ran},
		{"paused", time.Now().Add(-time.Second), verdict.NotRun},
		{"suspended", steadytest.StepTimeOfDay(time.Now().Add(time.Minute), -2*time.Minute), verdict.NotRun},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, server := peer.Pipe(&peer.Remote{Instance: 1})
			defer client.Close()
			defer server.Close()
			go func() {
				for _, err := client.Read(); err == nil; _, err = client.Read() {
				}
			}()
			c := &call{gate: g, conn: server, head: requestHead(uint64(i)), body: newRequestBody(), recorder: newResponseRecorder(false, 0)}
			before := runs.Load()
			got := verdict.Ran
			if err := c.forward(pausedContext{context.Background(), test.deadline}, g.Backend(), c.body); err != nil {
				got = verdict.Of(err)
			}
			if ran := runs.Load() > before; got != test.want || ran != (test.want == verdict.Ran) {
				t.Errorf("verdict %v, ran %t, want %v", got, ran, test.want)
			}
		})
	}
}
