package retry

import (
	"math/big"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// budgetShares are the shares of the sites and those at which a floating-point sum drifts soonest.
var budgetShares = []struct{ numerator, denominator int }{{1, 5}, {3, 10}, {1, 10}, {3, 100}, {1, 3}}

// Guards against a budget whose sums drift with the number of requests. One with a sum in floating point panicked on the
// path of a request after 536,304 requests at a share of 0.2 and after 599,909 at 0.3.
func TestBudgetIsExactOverManyRequests(t *testing.T) {
	const requests = 700_000
	for _, s := range budgetShares {
		share := float64(s.numerator) / float64(s.denominator)
		b := NewBudget(startTime, share, 0)
		spent := spendAll(b, requests)
		// A share with more than 9 decimals is rounded, which is at most one token here.
		if want := requests * s.numerator / s.denominator; spent != want && spent != want-1 {
			t.Errorf("share %v: %d attempts over %d requests, want %d", share, spent, requests, want)
		}
	}
}

// spendAll records first attempts and takes each token as soon as there is one.
func spendAll(b *Budget, requests int) (spent int) {
	for range requests {
		b.RecordFirstAttempt()
		for b.Spend(startTime) {
			spent++
		}
	}
	return spent
}

// BenchmarkBudgetRequests runs the budget over b.N requests at a share of 0.2, for example
// -bench BudgetRequests -benchtime 400000000x.
func BenchmarkBudgetRequests(b *testing.B) {
	spent := spendAll(NewBudget(startTime, 0.2, 0), b.N)
	if spent != b.N/5 {
		b.Fatalf("%d attempts over %d requests", spent, b.N)
	}
}

// Guards against attempts without a token, in exact arithmetic: attempts and remaining tokens together never exceed what has
// been added, over refills at any intervals, changes of policy and steps back of the clock.
func TestBudgetSpendsOnlyGrantedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (float64, float64) {
			return rapid.Float64Range(0, 1.5).Draw(t, "share"), rapid.Float64Range(0, 2e9).Draw(t, "rate")
		}
		b := NewBudget(startTime, 0.2, 3)
		granted := new(big.Int).SetUint64(b.minRateUnits)
		granted.Mul(granted, big.NewInt(int64(time.Second))) // in the unit of refillRemainder
		now := startTime
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				share, rate := draw()
				b.SetPolicy(b.refilledAt, share, rate)
			case 1, 2, 3:
				b.RecordFirstAttempt()
				add := new(big.Int).SetUint64(b.share)
				granted.Add(granted, add.Mul(add, big.NewInt(int64(time.Second))))
			default:
				now = now.Add(time.Duration(rapid.Int64Range(-1000, 20_000_000_000).Draw(t, "ns")))
				if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
					add := new(big.Int).SetUint64(b.minRate)
					granted.Add(granted, add.Mul(add, big.NewInt(int64(elapsed))))
				}
				b.Spend(now)
			}
			used := new(big.Int).SetUint64(b.spent)
			used.Mul(used, big.NewInt(unitsPerToken))
			used.Add(used, new(big.Int).SetUint64(b.shareUnits))
			used.Add(used, new(big.Int).SetUint64(b.minRateUnits))
			used.Mul(used, big.NewInt(int64(time.Second)))
			used.Add(used, new(big.Int).SetUint64(b.refillRemainder))
			if used.Cmp(granted) > 0 {
				t.Fatalf("%v spent or left, %v granted", used, granted)
			}
			if b.minRateUnits > b.maxMinRateUnits() || b.shareUnits > maxShareTokens*unitsPerToken {
				t.Fatalf("%d and %d units left", b.shareUnits, b.minRateUnits)
			}
		}
	})
}

// Guards against tokens lost or added when the minimum rate refills at short intervals.
func TestFrequentRefillsAddTheMinimumRate(t *testing.T) {
	b := NewBudget(startTime, 0, 0.7)
	spent := 0
	for now := startTime; !now.After(startTime.Add(100 * time.Second)); now = now.Add(77 * time.Microsecond) {
		if b.Spend(now) {
			spent++
		}
	}
	if spent != 70 { // the first second's 0.7 and 100 s at 0.7 per second
		t.Errorf("%d attempts in 100 s at 0.7 per second", spent)
	}
}
