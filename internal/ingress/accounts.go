package ingress

import (
	"sync"
	"time"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/metrics"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	// unconfirmedRetryAfter is the delay after which a node that could not confirm its bundle is expected to have tried again.
	unconfirmedRetryAfter = time.Second
	// maxListedAccounts is the number of accounts that the metrics list for each reason of a refusal.
	maxListedAccounts = 8
	// maxRefusalReasons bounds the reasons that are counted, since gates of other versions may state new ones.
	maxRefusalReasons = 40
)

// selectAccount sets the account of a request by its key. If the bundle has accounts, it removes the key and the caller's
// account header from the headers to forward, also when the request has no account. Errors carry the verdict NotRun.
func (in *Ingress) selectAccount(q *request) error {
	index, key := q.snapshot.Accounts, q.credential
	q.credential = ""
	if index == nil {
		return nil
	}
	q.headers = in.withoutAccountHeaders(q.headers)
	if key != "" && in.BundleConfirmed != nil && !in.BundleConfirmed() {
		return &verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.Unconfirmed, Wait: unconfirmedRetryAfter,
			Detail: "the node could not confirm that its accounts are up to date",
		}
	}
	selected, refusal := index.Select(key, q.route.AllowAnonymous)
	switch refusal {
	case account.MissingKey:
		in.Counters.UnknownKeys.Add(1)
		return verdict.New(verdict.NotRun, verdict.UnknownKey, "the request has no key")
	case account.UnknownKey:
		in.Counters.UnknownKeys.Add(1)
		return verdict.New(verdict.NotRun, verdict.UnknownKey, "the key belongs to no account")
	}
	q.account, q.accountName = selected.Account, selected.Name
	if q.account != nil && q.account.Priority != nil && !q.callerSetsPriority {
		q.priority = *q.account.Priority
	}
	return nil
}

// withoutAccountHeaders returns the headers without the key and without the header that names the account.
func (in *Ingress) withoutAccountHeaders(headers []*wire.Header) []*wire.Header {
	kept := headers[:0]
	for _, h := range headers {
		if !account.IsSecretHeader(h.Name) && h.Name != in.Protocol.AccountHeader() {
			kept = append(kept, h)
		}
	}
	return kept
}

// scopedToAccount returns text in a form that differs between accounts, and text itself for a request without one. The
// separator occurs neither in names of accounts nor in headers and targets.
func (q *request) scopedToAccount(text string) string {
	if q.accountName == "" {
		return text
	}
	return text + "\x00" + q.accountName
}

// accountRefusals counts the refused requests of accounts by reason. It is safe for concurrent use.
type accountRefusals struct {
	mu       sync.Mutex
	byReason map[verdict.Reason]*metrics.TopCounters
}

// record counts a failed request that has not run.
func (a *accountRefusals) record(q *request, err error) {
	if err == nil || q.accountName == "" {
		return
	}
	e := verdict.As(err)
	if e.Verdict != verdict.NotRun {
		return
	}
	a.mu.Lock()
	counters := a.byReason[e.Reason]
	if counters == nil && len(a.byReason) < maxRefusalReasons {
		if a.byReason == nil {
			a.byReason = map[verdict.Reason]*metrics.TopCounters{}
		}
		counters = metrics.NewTopCounters(maxListedAccounts)
		a.byReason[e.Reason] = counters
	}
	a.mu.Unlock()
	if counters != nil {
		counters.Add(q.accountName, 1)
	}
}

// AccountRefusals returns the number of refused requests by reason and account: the accounts with the most refusals by
// name, and the sum of all others under metrics.OtherKey.
func (in *Ingress) AccountRefusals() map[verdict.Reason]map[string]int64 {
	a := &in.accountRefusals
	a.mu.Lock()
	defer a.mu.Unlock()
	values := make(map[verdict.Reason]map[string]int64, len(a.byReason))
	for reason, counters := range a.byReason {
		values[reason] = counters.Values()
	}
	return values
}
