package retry

import (
	"fmt"
	"testing"
	"time"
)

// playRetries lets each account send requests at the given rate for 66 s, of which the given number per second fail and want
// one retry each, and returns the retries by account. The accounts send in turn, the ones that want most first.
func playRetries(wanted map[string]int, weights map[string]float64, order []string, spenderOf func(account string, weight float64) HedgeSpender, first func(now time.Time)) map[string]int {
	retries := map[string]int{}
	for ms := range 66_000 {
		now := time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
		for _, account := range order {
			if n := wanted[account]; n > 0 && ms%(1000/n) == 0 {
				first(now)
				if spenderOf(account, weights[account]).Spend(now) {
					retries[account]++
				}
			}
		}
	}
	return retries
}

// Guards against an account whose requests all fail that takes the retries of the others: each other account keeps at least
// 0.95 of the retries that it got before. Also guards against a budget that stays unused while one account wants all of it.
func TestFailingAccountLeavesTheOthersTheirRetries(t *testing.T) {
	weights := map[string]float64{"large": 60, "middle": 30, "small": 10, "failing": 60}
	order := []string{"failing", "large", "middle", "small"}
	usual := map[string]int{"large": 10, "middle": 5, "small": 1}
	burst := map[string]int{"large": 10, "middle": 5, "small": 1, "failing": 200}
	const sentPerSecond = 320 // first attempts of all accounts together
	for name, newBudget := range map[string]func() (HedgeSpender, func(string, float64) HedgeSpender, func(time.Time)){
		"window": func() (HedgeSpender, func(string, float64) HedgeSpender, func(time.Time)) {
			w := NewWindowBudget(10*time.Second, 0, 320)
			return w, w.ForAccount, w.RecordFirstAttempt
		},
		"bucket": func() (HedgeSpender, func(string, float64) HedgeSpender, func(time.Time)) {
			b := NewBudget(time.Unix(1_000_000, 0), 0, 32)
			return b, b.ForAccount, func(time.Time) { b.RecordFirstAttempt() }
		},
	} {
		t.Run(name, func(t *testing.T) {
			play := func(wanted map[string]int, fair bool) map[string]int {
				plain, forAccount, first := newBudget()
				if !fair {
					forAccount = func(string, float64) HedgeSpender { return plain }
				}
				return playRetries(wanted, weights, order, forAccount, first)
			}
			before, old, fair := play(usual, true), play(burst, false), play(burst, true)
			sum, oldSum := 0, 0
			for _, account := range order {
				t.Logf("%s: retries before %d, failing account without shares %d, with shares %d", account, before[account], old[account], fair[account])
				if account != "failing" && float64(fair[account]) < 0.95*float64(before[account]) {
					t.Errorf("%s gets %d retries, before %d", account, fair[account], before[account])
				}
				sum, oldSum = sum+fair[account], oldSum+old[account]
			}
			if float64(sum) < 0.9*float64(oldSum) {
				t.Errorf("%d retries with shares, %d without", sum, oldSum)
			}
			alone := map[string]int{"failing": sentPerSecond}
			if got, want := play(alone, true)["failing"], play(alone, false)["failing"]; float64(got) < 0.95*float64(want) {
				t.Errorf("an account alone gets %d retries, without shares %d", got, want)
			}
		})
	}
}

// Guards against hedges of one account, whose responses are slow, that use the hedges of the others, and against shares that
// are less than one attempt each and so deny all of them.
func TestSharesBelowOneAttemptAreStillSpent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWindowBudget(10*time.Second, 0, 8)
	hedges := 0
	for i := range 40 {
		if w.ForAccount(fmt.Sprint("account-", i), 1).SpendHedge(now) {
			hedges++
		}
	}
	if hedges != 6 {
		t.Errorf("%d hedges, want 0.75 of 8", hedges)
	}
	w = NewWindowBudget(10*time.Second, 0, 8)
	w.ForAccount("other", 1).SpendHedge(now)
	slow := 0
	for range 40 {
		w.ForAccount("other", 1).SpendHedge(now.Add(-time.Millisecond))
		if w.ForAccount("slow", 1).SpendHedge(now) {
			slow++
		}
	}
	if slow != 3 {
		t.Errorf("the slow account gets %d hedges of 6, want half", slow)
	}
}

// Guards against memory that grows with the accounts, and against shares that outlive the window.
func TestShareGroupsAreBoundedAndExpire(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWindowBudget(10*time.Second, 0, 1e6)
	for i := range 10 * maxShareGroups {
		w.ForAccount(fmt.Sprint("account-", i), 1).Spend(now)
	}
	if n := len(w.shares.groups); n > maxShareGroups+1 {
		t.Errorf("%d groups are kept, limit %d", n, maxShareGroups)
	}
	w.ForAccount("new", 1).Spend(now.Add(12 * time.Second))
	if n := len(w.shares.groups); n != 1 {
		t.Errorf("%d groups after the window", n)
	}
}

// Guards against an account alone that spends the whole window's budget at once, so that another account gets no retries until
// the window has passed.
func TestShareIsAvailableSoonAfterAnotherAccountWasAlone(t *testing.T) {
	for name, fair := range map[string]bool{"without shares": false, "with shares": true} {
		w := NewWindowBudget(10*time.Second, 0, 320)
		spenderOf := func(account string) HedgeSpender {
			if fair {
				return w.ForAccount(account, 1)
			}
			return w
		}
		got := 0
		for ms := range 35_000 {
			now := time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
			if ms%5 == 0 {
				spenderOf("failing").Spend(now)
			}
			if ms >= 30_000 && ms%100 == 0 && spenderOf("other").Spend(now) {
				got++
			}
		}
		t.Logf("%s: %d of 50 retries in the first 5 s", name, got)
		if fair && got < 45 {
			t.Errorf("the other account gets %d of 50 retries in the first 5 s", got)
		}
	}
}
