// Package retry decides whether and when a request gets another attempt: retries, hedges, and the
// quarantine of requests that crash backend servers. It holds decision code only.
package retry

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// budgetWindow is the time whose minimum rate and first attempts may be saved up as tokens.
const budgetWindow = 10 * time.Second

// maxSaved bounds the retries saved up from first attempts. A larger balance would let a long quiet
// spell pay for a burst of retries just when the endpoints fail.
const maxSaved = 100

// Budget limits further attempts to a share of the first attempts plus a minimum rate. It is safe
// for concurrent use.
type Budget struct {
	mu sync.Mutex
	// saved and spare are the tokens from first attempts and from the minimum rate.
	saved, spare         float64
	share, minRate       float64
	at                   time.Time
	first, spent, denied uint64
	granted              float64 // all tokens ever added, for the assertion
}

// BudgetCounts are totals since the start.
type BudgetCounts struct {
	First  uint64 // first attempts
	Spent  uint64 // retries and hedges permitted
	Denied uint64 // retries and hedges refused for lack of budget
}

// NewBudget returns a budget that permits share retries per first attempt, and minPerSecond retries
// whatever the share says. It starts with one second of the minimum rate.
func NewBudget(now time.Time, share, minPerSecond float64) *Budget {
	b := &Budget{share: share, minRate: minPerSecond, at: now}
	b.spare = math.Min(minPerSecond, b.maxSpare())
	b.granted = b.spare
	return b
}

func (b *Budget) maxSpare() float64 { return b.minRate * budgetWindow.Seconds() }

// SetPolicy applies the share and the minimum rate of a new bundle.
func (b *Budget) SetPolicy(now time.Time, share, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.share, b.minRate = share, minPerSecond
	b.spare = math.Min(b.spare, b.maxSpare())
}

// First records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	add := math.Min(b.share, maxSaved-b.saved)
	b.saved += add
	b.granted += add
}

// Spend takes one further attempt from the budget, or reports false.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	switch {
	case b.saved >= 1:
		b.saved--
	case b.spare >= 1:
		b.spare--
	default:
		b.denied++
		return false
	}
	b.spent++
	if float64(b.spent) > b.granted+1e-6 {
		panic(errors.AssertionFailedf("%d retries spent of %v granted", b.spent, b.granted))
	}
	return true
}

// Counts returns the totals.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetCounts{First: b.first, Spent: b.spent, Denied: b.denied}
}

// refill adds the minimum rate's tokens. A clock that goes back adds none.
func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	add := math.Max(0, math.Min(b.minRate*passed, b.maxSpare()-b.spare))
	b.spare += add
	b.granted += add
}
