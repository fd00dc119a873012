package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a burst of retries paid for by first attempts of long ago, which exceeded the fleet's budget when
// all endpoints of a service turned requests away.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		floor := rapid.Float64Range(0, 20).Draw(t, "floor")
		length := 10 * time.Second
		w := NewWindow(length, share, floor)
		now := time.Unix(1_000_000, 0)
		var firsts, spends []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.First(now)
				firsts = append(firsts, now)
			} else if w.Spend(now) {
				spends = append(spends, now)
			}
		}
		for i, from := range spends {
			to := from.Add(length)
			spent := 0
			for _, at := range spends[i:] {
				if at.Before(to) {
					spent++
				}
			}
			// The last spend of a span was permitted by the first attempts of the length before it, so a span's
			// budget rests on the attempts in the span and in the one before it.
			first := 0
			for _, at := range firsts {
				if !at.Before(from.Add(-length)) && at.Before(to) {
					first++
				}
			}
			if float64(spent) > share*float64(first)+floor+1e-9 {
				t.Fatalf("%d further attempts in a span with %d first ones, share %v, floor %v", spent, first, share, floor)
			}
		}
	})
}

// Guards against a budget that never opens again after a quiet spell.
func TestWindowForgets(t *testing.T) {
	w := NewWindow(10*time.Second, 0, 1)
	now := time.Unix(1_000_000, 0)
	if !w.Spend(now) || w.Spend(now.Add(9*time.Second)) {
		t.Fatal("the floor of one attempt in a window does not hold")
	}
	if !w.Spend(now.Add(time.Hour)) {
		t.Fatal("the attempt of an hour ago still counts")
	}
}

// Guards against nodes that together exceed the budget of the fleet.
func TestNodeShareDividesTheFloor(t *testing.T) {
	for _, live := range []int{1, 8, 16, 67, 23_000} {
		share, floor := NodeShare(0.2, 56, live)
		if total := floor * float64(live); total > 56 || share > 0.2 {
			t.Errorf("%d nodes: floor %v in total, share %v", live, total, share)
		}
	}
}
