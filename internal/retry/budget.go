// Package retry decides whether and when a request gets an additional attempt (a retry or a hedge),
// and quarantines requests that crash backend servers. It makes decisions only and performs no I/O.
package retry

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// minRateBurstWindow bounds the unused tokens of the minimum rate to those that accrue in this time.
const minRateBurstWindow = 10 * time.Second

// maxShareTokens bounds the unused tokens from first attempts. With a larger bound, a long period
// without failures would permit a burst of retries just when the endpoints fail.
const maxShareTokens = 100

// Budget is a token bucket that limits additional attempts to a share of the first attempts plus a
// minimum rate. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// shareTokens come from first attempts, minRateTokens from the minimum rate.
	shareTokens, minRateTokens float64
	share, minRate             float64
	refilledAt                 time.Time
	first, spent, denied       uint64
	granted                    float64       // all tokens added so far, for the assertion in Spend
	shares                     accountShares // used only by ForAccount
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
	b := &Budget{share: share, minRate: minPerSecond, refilledAt: now}
	b.minRateTokens = math.Min(minPerSecond, b.maxMinRateTokens())
	b.granted = b.minRateTokens
	return b
}

func (b *Budget) maxMinRateTokens() float64 { return b.minRate * minRateBurstWindow.Seconds() }

// SetPolicy applies the share and the minimum rate of a new bundle.
func (b *Budget) SetPolicy(now time.Time, share, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.share, b.minRate = share, minPerSecond
	b.minRateTokens = math.Min(b.minRateTokens, b.maxMinRateTokens())
}

// RecordFirstAttempt counts a first attempt and adds its share tokens, up to maxShareTokens.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	add := math.Min(b.share, maxShareTokens-b.shareTokens)
	b.shareTokens += add
	b.granted += add
}

// Spend takes one token for an additional attempt, or returns false when there is none.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	switch {
	case b.shareTokens >= 1:
		b.shareTokens--
	case b.minRateTokens >= 1:
		b.minRateTokens--
	default:
		b.denied++
		return false
	}
	b.spent++
	if float64(b.spent) > b.granted+1e-6 {
		panic(errors.AssertionFailedf("retry budget exceeded: %d attempts spent, %v tokens granted", b.spent, b.granted))
	}
	return true
}

// SpendHedge implements HedgeSpender. It leaves the tokens of the minimum rate to retries.
func (b *Budget) SpendHedge(now time.Time) bool {
	b.mu.Lock()
	enough := b.shareTokens >= 1
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
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	add := math.Max(0, math.Min(b.minRate*elapsed, b.maxMinRateTokens()-b.minRateTokens))
	b.minRateTokens += add
	b.granted += add
}
