package retry

import (
	"sync"
	"time"

	"dandelionspoke/internal/steady"
)

// windowBuckets is the number of buckets in a window. One more bucket is kept for the time that the window covers
// only partly. Its additional attempts count and its first attempts do not, so that no span of the window's length
// exceeds the budget.
const windowBuckets = 10

// WindowBudget limits the additional attempts in a sliding window to a share of the first attempts in the window plus
// a floor, the number that is permitted regardless of the share. It is safe for concurrent use.
type WindowBudget struct {
	mu           sync.Mutex
	length       time.Duration
	share        float64
	floor        float64
	first        [windowBuckets + 1]int
	spent        [windowBuckets + 1]int
	newestBucket int64 // number of the newest bucket on the steady clock
	counts       BudgetCounts
	shares       accountShares // used only by ForAccount
}

// NewWindowBudget returns a budget for windows of the given length.
func NewWindowBudget(length time.Duration, share, floor float64) *WindowBudget {
	return &WindowBudget{length: length, share: share, floor: floor}
}

// SetLimits changes the share and the floor. It keeps the counts of the current window.
func (w *WindowBudget) SetLimits(share, floor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share, w.floor = share, floor
}

// RecordFirstAttempt counts a first attempt.
func (w *WindowBudget) RecordFirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.First++
	w.first[w.advance(now)]++
}

// Spend implements Spender.
func (w *WindowBudget) Spend(now time.Time) bool { return w.spend(now, 1) }

// SpendHedge implements HedgeSpender. Hedges stop when retries and hedges together have used hedgeBudgetShare of the budget.
func (w *WindowBudget) SpendHedge(now time.Time) bool { return w.spend(now, hedgeBudgetShare) }

// spend takes one additional attempt if the spent ones stay within the given part of the budget.
func (w *WindowBudget) spend(now time.Time, part float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit, spent := w.use(now, part)
	return w.take(now, limit, spent)
}

// use returns the number of additional attempts that the given part of the budget permits in the window, and the number spent.
func (w *WindowBudget) use(now time.Time, part float64) (limit float64, spent int) {
	current := w.advance(now)
	first := 0
	for i := range w.spent {
		spent += w.spent[i]
		// The oldest bucket may lie outside the window, so its first attempts do not count.
		if i != (current+1)%len(w.first) {
			first += w.first[i]
		}
	}
	return part * (w.share*float64(first) + w.floor), spent
}

// take takes one additional attempt if it stays within the limit.
func (w *WindowBudget) take(now time.Time, limit float64, spent int) bool {
	if float64(spent+1) > limit {
		w.counts.Denied++
		return false
	}
	w.spent[w.advance(now)]++
	w.counts.Spent++
	return true
}

// Counts returns the totals.
func (w *WindowBudget) Counts() BudgetCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// advance clears the buckets that have left the window and returns the index of the newest. When the clock goes
// backwards, attempts are counted in the newest bucket.
func (w *WindowBudget) advance(now time.Time) int {
	number := steady.Nanos(now) / int64(w.length/windowBuckets)
	if w.newestBucket == 0 {
		w.newestBucket = number
	}
	for ; w.newestBucket < number; w.newestBucket++ {
		if number-w.newestBucket > int64(len(w.first)) {
			w.newestBucket = number - int64(len(w.first))
		}
		next := (w.newestBucket + 1) % int64(len(w.first))
		w.first[next], w.spent[next] = 0, 0
	}
	return int(w.newestBucket % int64(len(w.first)))
}

// ServiceBudgets holds a WindowBudget for each service. It is safe for concurrent use.
type ServiceBudgets struct {
	mu        sync.Mutex
	length    time.Duration
	share     float64
	floor     float64
	byService map[string]*WindowBudget
}

// NewServiceBudgets returns a set without budgets. The first call of SetLimits enables them.
func NewServiceBudgets() *ServiceBudgets {
	return &ServiceBudgets{byService: map[string]*WindowBudget{}}
}

// SetLimits sets the window length, the share and the floor of every service. A change of the window length resets all
// counts.
func (w *ServiceBudgets) SetLimits(length time.Duration, share, floor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if length != w.length {
		clear(w.byService)
	}
	w.length, w.share, w.floor = length, share, floor
	for _, budget := range w.byService {
		budget.SetLimits(share, floor)
	}
}

// For returns the budget of a service, or nil before the first call of SetLimits.
func (w *ServiceBudgets) For(service string) *WindowBudget {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.length == 0 {
		return nil
	}
	budget := w.byService[service]
	if budget == nil {
		budget = NewWindowBudget(w.length, w.share, w.floor)
		w.byService[service] = budget
	}
	return budget
}

// Counts returns the totals over all services since the last change of the window length.
func (w *ServiceBudgets) Counts() BudgetCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum BudgetCounts
	for _, budget := range w.byService {
		c := budget.Counts()
		sum.First += c.First
		sum.Spent += c.Spent
		sum.Denied += c.Denied
	}
	return sum
}

const (
	// plannedBudgetShare is the part of the fleet's budget that is divided among the nodes. The rest is a reserve for
	// the calls that retried requests make in turn, and for nodes that do not know all other nodes yet.
	plannedBudgetShare = 0.6
	// minAssumedNodes is the number of live nodes assumed when fewer are known, as after a restart or in a partition.
	minAssumedNodes = 8
)

// NodeShare returns one node's part of the fleet's budget. The share applies to the node's own first attempts; the
// floor is divided by the number of live nodes.
func NodeShare(share, floor float64, liveNodes int) (nodeShare, nodeFloor float64) {
	return share * plannedBudgetShare, floor * plannedBudgetShare / float64(max(liveNodes, minAssumedNodes))
}
