package gate

import (
	"time"

	"dandelionspoke/internal/metrics"
	"dandelionspoke/internal/verdict"
)

// maxListedAccounts is the number of accounts whose counts are listed by name in metrics and dumps.
const maxListedAccounts = 8

// AccountCounts are counts by account, of the largest few accounts and of all others together. Admitted and Refused are totals
// since the process started; Waiting is the current number of requests in the queue. Requests without an account are not
// counted.
type AccountCounts struct {
	Admitted map[string]int64 `json:"admitted"`
	Refused  map[string]int64 `json:"refused"`
	Waiting  map[string]int64 `json:"waiting"`
}

type accountCounts struct{ admitted, refused *metrics.TopCounters }

func newAccountCounts() accountCounts {
	return accountCounts{metrics.NewTopCounters(maxListedAccounts), metrics.NewTopCounters(maxListedAccounts)}
}

// count counts the decision on a request of an account. It counts nothing for a request without an account.
func (c accountCounts) count(account string, err error) {
	switch {
	case account == "":
	case err == nil:
		c.admitted.Add(account, 1)
	case verdict.As(err).Reason != verdict.Canceled:
		c.refused.Add(account, 1)
	}
}

// AccountCounts returns the counts by account.
func (g *Gate) AccountCounts() AccountCounts {
	waiting := metrics.NewTopCounters(maxListedAccounts)
	g.mu.Lock()
	if g.queue != nil {
		g.queue.AddWaiting(func(account string) { waiting.Add(account, 1) })
	}
	g.mu.Unlock()
	return AccountCounts{Admitted: g.accounts.admitted.Values(), Refused: g.accounts.refused.Values(), Waiting: waiting.Values()}
}

// waitMillis rounds a wait up to whole milliseconds, so that a known wait is never sent as unknown.
func waitMillis(wait time.Duration) uint32 {
	return uint32(min((max(wait, 0)+time.Millisecond-1)/time.Millisecond, time.Hour/time.Millisecond))
}
