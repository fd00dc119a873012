package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/steadytest"
)

// Guards against a burst of retries based on first attempts before the window. Such a burst exceeded the fleet's
// budget when all endpoints of a service refused requests.
func TestWindowLimitHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		floor := rapid.Float64Range(0, 20).Draw(t, "floor")
		length := 10 * time.Second
		w := NewWindowBudget(length, share, floor)
		now := time.Unix(1_000_000, 0)
		var firsts, spends []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.RecordFirstAttempt(now)
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
			// Additional attempts early in a span are permitted by first attempts before it, so the limit includes
			// the first attempts of the preceding span of the same length.
			first := 0
			for _, at := range firsts {
				if !at.Before(from.Add(-length)) && at.Before(to) {
					first++
				}
			}
			if float64(spent) > share*float64(first)+floor+1e-9 {
				t.Fatalf("%d additional attempts in a span with %d first attempts, share %v, floor %v", spent, first, share, floor)
			}
		}
	})
}

// Guards against a budget that a jump of the time of day renews, or that counts nothing as past until the time of day has
// caught up.
func TestWindowIgnoresJumpsOfTheTimeOfDay(t *testing.T) {
	now := time.Now()
	w := NewWindowBudget(10*time.Second, 0, 1)
	if !w.Spend(now) {
		t.Fatal("the budget is empty at the start")
	}
	if w.Spend(steadytest.StepTimeOfDay(now.Add(time.Second), time.Hour)) {
		t.Error("a jump of the time of day renewed the budget")
	}
	if !w.Spend(steadytest.StepTimeOfDay(now.Add(20*time.Second), -time.Hour)) {
		t.Error("after a jump backwards the attempt 20 s ago still counts")
	}
}

// Guards against hedges that use up the budget, so that requests that failed are not retried.
func TestHedgesLeaveBudgetToRetries(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, budget := range map[string]HedgeSpender{
		"window": NewWindowBudget(10*time.Second, 0, 100),
		"bucket": NewBudget(now, 0.2, 100),
	} {
		hedges, retries := 0, 0
		for range 1000 {
			if budget.SpendHedge(now) {
				hedges++
			}
		}
		for budget.Spend(now) {
			retries++
		}
		if hedges > 75 || retries < 25 || hedges+retries != 100 {
			t.Errorf("%s: %d hedges and %d retries, want at most 75 and at least 25 of 100", name, hedges, retries)
		}
	}
}

// Guards against attempts that stay counted after the window has passed, so that the budget never recovers.
func TestWindowDropsOldAttempts(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0, 1)
	now := time.Unix(1_000_000, 0)
	if !w.Spend(now) || w.Spend(now.Add(9*time.Second)) {
		t.Fatal("want exactly one attempt in the window")
	}
	if !w.Spend(now.Add(time.Hour)) {
		t.Fatal("an attempt from an hour ago still counts")
	}
}

// Guards against nodes that together exceed the fleet's budget.
func TestNodeShareDividesTheFloor(t *testing.T) {
	for _, live := range []int{1, 8, 16, 67, 23_000} {
		share, floor := NodeShare(0.2, 56, live)
		if total := floor * float64(live); total > 56 || share > 0.2 {
			t.Errorf("%d nodes: floor %v in total, share %v", live, total, share)
		}
	}
}
