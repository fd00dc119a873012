package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of parts in which a window is counted. The part that a window shares with its
// neighbours is counted so that no window of the full length exceeds the budget.
const windowBuckets = 10

// Window limits further attempts in every span of its length to a share of the first attempts in that span plus
// a floor. It is safe for concurrent use.
type Window struct {
	mu     sync.Mutex
	length time.Duration
	share  float64
	floor  float64
	first  [windowBuckets + 1]int
	spent  [windowBuckets + 1]int
	newest int64 // number of the newest bucket since the epoch of the clock
	counts BudgetCounts
}

// NewWindow returns a window without attempts.
func NewWindow(length time.Duration, share, floor float64) *Window {
	return &Window{length: length, share: share, floor: floor}
}

// SetLimits changes the share and the floor. The attempts in the window stay counted.
func (w *Window) SetLimits(share, floor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share, w.floor = share, floor
}

// First records a first attempt.
func (w *Window) First(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.First++
	w.first[w.advance(now)]++
}

// Spend takes one further attempt from the budget, or reports false.
func (w *Window) Spend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.advance(now)
	first, spent := 0, 0
	for i := range w.spent {
		spent += w.spent[i]
		// The oldest bucket may lie outside the window.
		if i != (at+1)%len(w.first) {
			first += w.first[i]
		}
	}
	if float64(spent+1) > w.share*float64(first)+w.floor {
		w.counts.Denied++
		return false
	}
	w.spent[at]++
	w.counts.Spent++
	return true
}

// Counts returns the totals.
func (w *Window) Counts() BudgetCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// advance clears the buckets that have left the window and returns the position of the newest. A clock that goes
// back counts in the newest bucket.
func (w *Window) advance(now time.Time) int {
	number := now.UnixNano() / int64(w.length/windowBuckets)
	if w.newest == 0 {
		w.newest = number
	}
	for ; w.newest < number; w.newest++ {
		if number-w.newest > int64(len(w.first)) {
			w.newest = number - int64(len(w.first))
		}
		next := (w.newest + 1) % int64(len(w.first))
		w.first[next], w.spent[next] = 0, 0
	}
	return int(w.newest % int64(len(w.first)))
}

// Windows holds the budget of each service. It is safe for concurrent use.
type ServiceBudgets struct {
	mu        sync.Mutex
	length    time.Duration
	share     float64
	floor     float64
	byService map[string]*Window
}

// NewServiceBudgets returns budgets that permit nothing until SetLimits.
func NewServiceBudgets() *ServiceBudgets { return &ServiceBudgets{byService: map[string]*Window{}} }

// SetLimits puts a window length, a share and a floor in force for each service. A new length starts the counts anew.
func (w *ServiceBudgets) SetLimits(length time.Duration, share, floor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if length != w.length {
		clear(w.byService)
	}
	w.length, w.share, w.floor = length, share, floor
	for _, window := range w.byService {
		window.SetLimits(share, floor)
	}
}

// For returns the budget of a service, or nil before SetLimits.
func (w *ServiceBudgets) For(service string) *Window {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.length == 0 {
		return nil
	}
	window := w.byService[service]
	if window == nil {
		window = NewWindow(w.length, w.share, w.floor)
		w.byService[service] = window
	}
	return window
}

// Counts returns the totals of all services since the last change of the length.
func (w *ServiceBudgets) Counts() BudgetCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum BudgetCounts
	for _, window := range w.byService {
		c := window.Counts()
		sum.First += c.First
		sum.Spent += c.Spent
		sum.Denied += c.Denied
	}
	return sum
}

const (
	// fleetReserve is the part of a fleet's budget that nodes plan with. The rest covers the calls that repeated
	// requests make again, and nodes that have not heard of others yet.
	fleetReserve = 0.6
	// leastNodes is assumed when fewer live nodes are known, as right after a start or in a partition.
	leastNodes = 8
)

// NodeShare divides a fleet's budget among its live nodes.
func NodeShare(share, floor float64, live int) (nodeShare, nodeFloor float64) {
	return share * fleetReserve, floor * fleetReserve / float64(max(live, leastNodes))
}
