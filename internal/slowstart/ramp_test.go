package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dandelionspoke/internal/fixedseed"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against more requests than the bound in any second in which the backend server is cold, under a flood, with requests
// that wait between Reserve and Send, are canceled or do not arrive, and when it turns cold or warm at any moment.
func TestRampHoldsItsBoundUnderAFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			PerSecond: rapid.Float64Range(0.5, 40).Draw(t, "rate"), Tolerance: rapid.Float64Range(0.5, 3).Draw(t, "tolerance"),
			Slack: rapid.Float64Range(0, 10).Draw(t, "slack"),
		}
		r := New()
		r.SetLimits(l)
		now := epoch
		var sent []time.Time
		var coldSince time.Time
		reserved := 0
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				r.State(Health, now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "remaining"))*time.Millisecond)
			case 1:
				r.Restart()
			case 2:
				r.State(Heartbeat, now, 0)
			}
			for range rapid.IntRange(0, 5).Draw(t, "arrivals") {
				if r.Reserve(now) == 0 {
					reserved++
				}
			}
			for ; reserved > 0 && rapid.Bool().Draw(t, "slot"); reserved-- {
				switch at, wait := r.Send(now); {
				case wait > 0:
					r.Release()
				case rapid.IntRange(0, 9).Draw(t, "other instance") == 0:
					r.Unsend(at)
				default:
					sent = append(sent, at)
				}
			}
			if r.Remaining(now) == 0 {
				coldSince = time.Time{}
				continue
			}
			if coldSince.IsZero() {
				coldSince = now
			}
			inWindow := 0
			for _, at := range sent {
				// What was sent at the moment of the change may have been sent before it.
				if at.After(coldSince) && now.Sub(at) < time.Second {
					inWindow++
				}
			}
			if float64(inWindow) > l.bound() {
				t.Fatalf("%d requests in a second, bound %v", inWindow, l.bound())
			}
		}
	})
}

// Guards against a ramp that gives a cold backend server much less than the rate that it tolerates, and against times to
// retry at which there is no room.
func TestRampGivesTheRateThatIsTolerated(t *testing.T) {
	r := New()
	r.SetLimits(Limits{PerSecond: 13, Tolerance: 1.5, Slack: 8})
	r.State(Heartbeat, epoch, 3*time.Second)
	sent := 0
	for now := epoch; now.Before(epoch.Add(3 * time.Second)); {
		wait := r.Reserve(now)
		if wait == 0 {
			if _, wait := r.Send(now); wait != 0 {
				t.Fatalf("reserved at %v, but not sent for %v", now.Sub(epoch), wait)
			}
			sent++
		}
		now = now.Add(wait)
	}
	if sent < 3*13 || sent > 3*13+4 {
		t.Errorf("%d requests in 3 s, want 39 to 43", sent)
	}
	if wait := r.Reserve(epoch.Add(3 * time.Second)); wait != 0 {
		t.Errorf("still cold at the end of the slow start: %v", wait)
	}
}

// Guards against a backend server that turns cold in the middle of its life and gets its usual rate for a while, because only
// the requests after the change were counted.
func TestTurningColdCountsWhatWasJustSent(t *testing.T) {
	r := New()
	r.SetLimits(Limits{PerSecond: 13, Tolerance: 1.5, Slack: 8})
	r.State(Heartbeat, epoch, 0)
	for i := range 30 {
		if _, wait := r.Send(epoch.Add(time.Duration(i) * 10 * time.Millisecond)); wait != 0 {
			t.Fatalf("warm, but refused for %v", wait)
		}
	}
	now := epoch.Add(300 * time.Millisecond)
	r.State(Health, now, 2*time.Second)
	if r.Reserve(now) < 500*time.Millisecond {
		t.Error("a request is permitted although 30 were sent in the last 300 ms")
	}
}

// Guards against a statement that is late: a heartbeat of before the change that ends the slow start, and a new process that
// inherits the state of the one before. The state is unknown, and so cold, until a statement comes.
func TestStatements(t *testing.T) {
	r := New()
	remaining := func(at time.Duration) time.Duration { return r.Remaining(epoch.Add(at)) }
	if r.State(Heartbeat, epoch, time.Second); remaining(0) != 0 {
		t.Error("cold without limits")
	}
	r.SetLimits(Limits{PerSecond: 13, Tolerance: 1.5, Slack: 8})
	if got := remaining(400 * time.Millisecond); got != 600*time.Millisecond {
		t.Errorf("counted from the receipt: %v remain, want 600ms", got)
	}
	r.State(Health, epoch, 2*time.Second)
	if r.State(Heartbeat, epoch, 0); remaining(time.Second) != time.Second {
		t.Errorf("a heartbeat ends what a health response has stated: %v", remaining(time.Second))
	}
	if r.State(Health, epoch, 0); remaining(0) != 0 {
		t.Errorf("warm by both sources, but %v remain", remaining(0))
	}
	if r.Restart(); remaining(time.Hour) != unknownRemaining {
		t.Error("a new process is not cold")
	}
	if r.State(Heartbeat, epoch, 0); remaining(0) != 0 {
		t.Error("cold although the new process has stated 0")
	}
}
