package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// mixedLimits has a large account, two of medium size and many small ones, as a deployment with 77 accounts has them.
func mixedLimits() (map[string]Limit, []demand) {
	limits := map[string]Limit{"large": {285, 285}, "medium": {60, 60}, "lesser": {20, 20}}
	for i := range 74 {
		limits[fmt.Sprintf("small%02d", i)] = Limit{2, 2}
	}
	var demands []demand
	for name, l := range limits {
		demands = append(demands, demand{account: name, rate: l.Rate / 1.6})
	}
	return limits, demands
}

// Guards against refusals of accounts that stay below their limit, whatever nodes their requests arrive at, and against
// too much traffic of the exchanges.
func TestAccountsBelowTheirLimitAreServed(t *testing.T) {
	limits, demands := mixedLimits()
	f := newFleet(t, 69, limits)
	f.messages, f.bytes = [2]int{}, [2]int{}
	const d = 30 * time.Second
	f.run(d, demands)
	asked, spent := 0, 0
	for name := range limits {
		asked += f.asked[name]
		spent += len(f.spent[name])
		if share, _ := f.served(name, d); share < 0.99 && limits[name].Rate > 2 {
			t.Errorf("%s: %.4f served", name, share)
		}
	}
	if share := float64(spent) / float64(asked); share < 0.99 {
		t.Errorf("%.4f of %d requests served", share, asked)
	}
	perSecond := func(n int) float64 { return float64(n) / d.Seconds() }
	t.Logf("%d of %d requests served, local %.0f messages/s %.0f B/s, between regions %.1f messages/s %.0f B/s, highest use of the bound %.2f",
		spent, asked, perSecond(f.messages[0]), perSecond(f.bytes[0]), perSecond(f.messages[1]), perSecond(f.bytes[1]), f.checkBound())
	if perSecond(f.bytes[1]) > 15_000 {
		t.Errorf("%.0f B/s between regions", perSecond(f.bytes[1]))
	}
}

// Guards against a slow check of the limit: it is on the path of every request.
func BenchmarkTake(b *testing.B) {
	l := New(1)
	limits := map[string]Limit{}
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprintf("account-%05d", i)
		limits[names[i]] = Limit{100, 100}
	}
	l.SetLimits(testBounds, limits)
	l.SetFleet(1, NewFleet("a", "r", []Member{{"a", "r", true, true}}, 0, true))
	for _, name := range names {
		(*l.accounts.Load())[name].receive(1, 1, 1_000_000, 0)
		l.Take(name, 2, false)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Take(names[i*7919%len(names)], 2, false)
	}
}

// Guards against an exchange that costs a pool node too much time: it answers a few hundred per second.
func BenchmarkExchange(b *testing.B) {
	limits, demands := mixedLimits()
	l := New(1)
	l.SetLimits(testBounds, limits)
	l.SetFleet(1, NewFleet("a", "r", []Member{{"a", "r", true, true}}, 0, true))
	now := int64(1)
	b.ReportAllocs()
	for b.Loop() {
		for _, d := range demands[:10] {
			l.Take(d.account, now, false)
		}
		now += int64(exchangeInterval)
		l.Advance(now)
	}
}
