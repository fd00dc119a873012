// Package retry decides whether and when a request gets an additional attempt (a retry or a hedge),
// and quarantines requests that crash backend servers. It makes decisions only and performs no I/O.
package retry

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

// minRateBurstWindow bounds the unused tokens of the minimum rate to those that accrue in this time.
const minRateBurstWindow = 10 * time.Second

// maxShareTokens bounds the unused tokens from first attempts. With a larger bound, a long period
// without failures would permit a burst of retries just when the endpoints fail.
const maxShareTokens = 100

// Tokens are counted in whole units of a billionth, so that sums over any number of requests are exact: sums of fractions in
// floating point drift, and differed from the count of attempts by more than 1e-6 after half a million requests.
const unitsPerToken = 1_000_000_000

// maxMinRate bounds the minimum rate, in tokens per second, so that twice the units of minRateBurstWindow fit into a uint64.
const maxMinRate = 500_000_000

// Budget is a token bucket that limits additional attempts to a share of the first attempts plus a
// minimum rate. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// shareUnits come from first attempts, minRateUnits from the minimum rate. Each attempt takes unitsPerToken from one of
	// them, and neither falls below 0.
	shareUnits, minRateUnits uint64
	share, minRate           uint64 // units per first attempt, units per second
	refillRemainder          uint64 // part of a unit that the minimum rate has added, in billionths of a unit
	refilledAt               time.Time
	first, spent, denied     uint64
	shares                   accountShares // used only by ForAccount
}

// BudgetCounts are totals since the start.
type BudgetCounts struct {
	First  uint64 // first attempts
	Spent  uint64 // retries and hedges permitted
	Denied uint64 // retries and hedges refused for lack of budget
}

// NewBudget returns a budget that permits share retries per first attempt, and minPerSecond retries
// regardless of the share. It starts with one second of the minimum rate.
func NewBudget(now time.Time, share, minPerSecond float64) *Budget {
	b := &Budget{share: toUnits(share), minRate: toUnits(min(minPerSecond, maxMinRate)), refilledAt: now}
	b.minRateUnits = b.minRate
	return b
}

// toUnits converts tokens to units. Negative numbers count as 0.
func toUnits(tokens float64) uint64 { return uint64(math.Round(max(tokens, 0) * unitsPerToken)) }

func (b *Budget) maxMinRateUnits() uint64 { return b.minRate * uint64(minRateBurstWindow/time.Second) }

// SetPolicy applies the share and the minimum rate of a new bundle.
func (b *Budget) SetPolicy(now time.Time, share, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.share, b.minRate = toUnits(share), toUnits(min(minPerSecond, maxMinRate))
	b.minRateUnits = min(b.minRateUnits, b.maxMinRateUnits())
}

// RecordFirstAttempt counts a first attempt and adds its share tokens, up to maxShareTokens.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	b.shareUnits = min(b.shareUnits+b.share, maxShareTokens*unitsPerToken)
}

// Spend takes one token for an additional attempt, or returns false when there is none.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	switch {
	case b.shareUnits >= unitsPerToken:
		b.shareUnits -= unitsPerToken
	case b.minRateUnits >= unitsPerToken:
		b.minRateUnits -= unitsPerToken
	default:
		b.denied++
		return false
	}
	b.spent++
	return true
}

// SpendHedge implements HedgeSpender. It leaves the tokens of the minimum rate to retries.
func (b *Budget) SpendHedge(now time.Time) bool {
	b.mu.Lock()
	enough := b.shareUnits >= unitsPerToken
	if !enough {
		b.denied++
	}
	b.mu.Unlock()
	return enough && b.Spend(now)
}

// Counts returns the totals.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetCounts{First: b.first, Spent: b.spent, Denied: b.denied}
}

// refill adds the tokens of the minimum rate. It adds none when the clock goes backwards.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	// The product of units per second and nanoseconds has up to 128 bits. Its remainder is kept, so that frequent refills
	// add as much as one.
	high, low := bits.Mul64(b.minRate, uint64(min(elapsed, minRateBurstWindow)))
	low, carry := bits.Add64(low, b.refillRemainder, 0)
	var add uint64
	add, b.refillRemainder = bits.Div64(high+carry, low, uint64(time.Second))
	b.minRateUnits = min(b.minRateUnits+add, b.maxMinRateUnits())
}
