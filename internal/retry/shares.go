package retry

import (
	"time"

	"dandelionspoke/internal/steady"
)

// Sharing of a budget between client accounts. An account may use the whole budget while no other account wants any. Once
// others have asked for additional attempts within the window, it gets more than its share by weight only from what they
// leave, so that the failing or slow requests of one account don't take the retries of all others.

// maxShareGroups bounds the accounts that are told apart within a window; further ones share one group. A group takes about
// 250 bytes.
const maxShareGroups = 128

// furtherAccounts is the name of the group of the accounts beyond maxShareGroups; no account has it.
const furtherAccounts = "\x00"

// unpacedShare is the part of the budget that an account may spend at once while no other account wants any. It spends the
// rest evenly over the window, so that another account does not wait for the end of the window when it starts to want some.
const unpacedShare = 0.5

// shareWindow is the time for which the use of a Budget by accounts is remembered. A WindowBudget uses its own length.
const shareWindow = minRateBurstWindow

// shareGroup is the recent use of one account, or of all requests without an account.
type shareGroup struct {
	weight                  float64
	wanted, spent           [windowBuckets + 1]int
	totalWanted, totalSpent int
	since                   float64 // time in buckets at which the group began to want attempts
}

// accountShares counts by account the additional attempts that were wanted and spent in a sliding window. The zero value is
// ready to use. It is not safe for concurrent use.
type accountShares struct {
	groups       map[string]*shareGroup
	newestBucket int64
	time         float64 // time of the latest call in buckets, with its fraction
}

// permits records that the account wants one additional attempt, and reports whether its share permits it. free is the number
// of attempts that the budget has left; length is that of the window. Requests without an account, whose name is empty, have
// the weight of all other accounts together.
func (s *accountShares) permits(now time.Time, length time.Duration, account string, weight, free float64) bool {
	current := s.advance(now, length)
	g := s.group(account, weight)
	g.wanted[current]++
	g.totalWanted++
	budget, weights := s.totals(free)
	if free < 1 {
		return false
	}
	share := budget * g.weight / weights
	if len(s.groups) == 1 {
		share *= unpacedShare
	}
	if float64(g.totalSpent) < share {
		return true
	}
	return float64(g.spent[current]) < max(budget/windowBuckets, 1) && free-s.dueToOthers(g, budget, weights) >= 1
}

// totals returns the budget of the window, spent and free, and the sum of the weights of all groups.
func (s *accountShares) totals(free float64) (budget, weights float64) {
	budget = free
	for name, g := range s.groups {
		budget += float64(g.totalSpent)
		if name != "" {
			weights += g.weight
		}
	}
	if unnamed := s.groups[""]; unnamed != nil {
		unnamed.weight = max(weights, 1)
		weights += unnamed.weight
	}
	return budget, weights
}

// dueToOthers returns the attempts to leave to the groups other than g: what each will want in the window at its present rate,
// and at least one more than it has spent, up to its share.
func (s *accountShares) dueToOthers(g *shareGroup, budget, weights float64) float64 {
	due := 0.0
	for _, other := range s.groups {
		if other != g {
			spent := float64(other.totalSpent)
			counted := min(max(s.time-other.since, minCountedBuckets), s.time-float64(s.newestBucket)+windowBuckets)
			wanted := max(float64(other.totalWanted)*(windowBuckets+1)/counted, spent+1)
			due += max(min(wanted, budget*other.weight/weights)-spent, 0)
		}
	}
	return due
}

// recordSpent counts one additional attempt of the account, which permits has permitted.
func (s *accountShares) recordSpent(now time.Time, length time.Duration, account string, weight float64) {
	current := s.advance(now, length)
	g := s.group(account, weight)
	g.spent[current]++
	g.totalSpent++
}

func (s *accountShares) group(account string, weight float64) *shareGroup {
	g := s.groups[account]
	if g == nil && account != "" && len(s.groups) >= maxShareGroups {
		account = furtherAccounts
		g = s.groups[account]
	}
	if g == nil {
		if s.groups == nil {
			s.groups = map[string]*shareGroup{}
		}
		g = &shareGroup{since: s.time}
		s.groups[account] = g
	}
	g.weight = max(weight, minShareWeight)
	return g
}

// minCountedBuckets is the least time, in buckets, from which a rate is estimated.
const minCountedBuckets = 0.5

// minShareWeight replaces weights that are not positive.
const minShareWeight = 1e-3

// advance clears the buckets that have left the window, removes the groups that have wanted nothing in it, and returns the
// index of the newest bucket.
func (s *accountShares) advance(now time.Time, length time.Duration) int {
	nanos, bucket := steady.Nanos(now), int64(length/windowBuckets)
	number := nanos / bucket
	s.time = max(s.time, float64(number)+float64(nanos%bucket)/float64(bucket))
	const buckets = windowBuckets + 1
	if s.newestBucket == 0 {
		s.newestBucket = number
	}
	s.newestBucket = max(s.newestBucket, number-buckets)
	for ; s.newestBucket < number; s.newestBucket++ {
		next := (s.newestBucket + 1) % buckets
		for name, g := range s.groups {
			g.totalWanted -= g.wanted[next]
			g.totalSpent -= g.spent[next]
			g.wanted[next], g.spent[next] = 0, 0
			if g.totalWanted == 0 && g.totalSpent == 0 {
				delete(s.groups, name)
			}
		}
	}
	return int(s.newestBucket % buckets)
}

// accountBudget is a budget that is shared between accounts.
type accountBudget interface {
	spendFor(now time.Time, hedge bool, account string, weight float64) bool
}

// accountSpender is a HedgeSpender for the requests of one account.
type accountSpender struct {
	budget  accountBudget
	account string
	weight  float64
}

// Spend implements Spender.
func (s accountSpender) Spend(now time.Time) bool {
	return s.budget.spendFor(now, false, s.account, s.weight)
}

// SpendHedge implements HedgeSpender.
func (s accountSpender) SpendHedge(now time.Time) bool {
	return s.budget.spendFor(now, true, s.account, s.weight)
}

// ForAccount returns the budget for the requests of an account with the given weight, or with an empty name for requests
// without an account.
func (w *WindowBudget) ForAccount(account string, weight float64) HedgeSpender {
	return accountSpender{w, account, weight}
}

func (w *WindowBudget) spendFor(now time.Time, hedge bool, account string, weight float64) bool {
	part := 1.0
	if hedge {
		part = hedgeBudgetShare
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	limit, spent := w.use(now, part)
	if !w.shares.permits(now, w.length, account, weight, limit-float64(spent)) {
		w.counts.Denied++
		return false
	}
	if !w.take(now, limit, spent) {
		return false
	}
	w.shares.recordSpent(now, w.length, account, weight)
	return true
}

// ForAccount returns the budget for the requests of an account with the given weight, or with an empty name for requests
// without an account.
func (b *Budget) ForAccount(account string, weight float64) HedgeSpender {
	return accountSpender{b, account, weight}
}

func (b *Budget) spendFor(now time.Time, hedge bool, account string, weight float64) bool {
	if !b.sharePermits(now, hedge, account, weight) {
		return false
	}
	spend := b.Spend
	if hedge {
		spend = b.SpendHedge
	}
	if !spend(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares.recordSpent(now, shareWindow, account, weight)
	return true
}

func (b *Budget) sharePermits(now time.Time, hedge bool, account string, weight float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	free := b.shareUnits
	if !hedge {
		free += b.minRateUnits
	}
	if !b.shares.permits(now, shareWindow, account, weight, float64(free)/unitsPerToken) {
		b.denied++
		return false
	}
	return true
}
