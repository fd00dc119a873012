package ingress

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Sharing between accounts. All of it is off while the bundle in force has no accounts.

// maxRefusedRequests bounds the refused requests that are remembered, at about 100 bytes each.
const maxRefusedRequests = 4096

// usesAccounts reports whether the bundle that applies to the request has accounts.
func usesAccounts(q *request) bool { return len(q.snapshot.Bundle.Accounts) > 0 }

// accountWeight returns the weight of the request's account when capacity is shared.
func accountWeight(q *request) float64 {
	if q.account == nil || !(q.account.RatePerSecond > 0) {
		return 1
	}
	return q.account.RatePerSecond
}

// setAccount fills the fields of the head by which gates share slots and name the account to the backend server. The latest
// snapshot may have no accounts any more; the account that was selected still applies.
func setAccount(q *request, head *wire.RequestHead) {
	head.Returning = q.returning
	if q.accountName != "" {
		head.Account, head.AccountWeight = q.accountName, accountWeight(q)
	}
}

// accountBudget returns the retry budget for the request's account.
func (in *Ingress) accountBudget(q *request) retry.HedgeSpender {
	if w := in.windowBudget(q); w != nil {
		return w.ForAccount(q.accountName, accountWeight(q))
	}
	return in.Budget.ForAccount(q.accountName, accountWeight(q))
}

// recognizeReturning sets q.returning if the caller sends again what was refused before, while the deadline of the refused
// request has not passed.
func (in *Ingress) recognizeReturning(q *request) {
	if !usesAccounts(q) || in.refused.isEmpty() {
		return
	}
	if q.returning = in.refused.take(returnKey(q), time.Now()); q.returning {
		in.Counters.Returning.Add(1)
	}
}

// noteRoom keeps the earliest time at which one of the gates that refused the request expects room. A gate that was only busy
// would have accepted it later, so it does not count.
func (q *request) noteRoom(e *verdict.Error) {
	if e.Verdict != verdict.NotRun || e.Reason == verdict.Busy || e.Wait <= 0 {
		return
	}
	if q.roomWait == 0 || e.Wait < q.roomWait {
		q.roomWait = e.Wait
	}
}

// rememberRefusal remembers a refused request whose caller is told to return, and returns the refusal with a spread delay. If
// no gate has room within admission.MaxReturnDelay, the request is not remembered: while the overload lasts, callers who return first
// would otherwise use all capacity, so that every newcomer is refused once.
func (in *Ingress) rememberRefusal(ctx context.Context, q *request, err error) error {
	e := *verdict.As(err)
	if !usesAccounts(q) || retryAfter(&e) == 0 {
		return err
	}
	if q.roomWait > 0 {
		e.Wait = q.roomWait
	}
	if e.Wait < admission.MaxReturnDelay {
		in.refused.add(returnKey(q), time.Now(), q.deadline)
	}
	e.Wait = admission.SpreadReturn(retryAfter(&e), rand.Float64())
	in.Logger.LogAttrs(ctx, slog.LevelInfo, "caller told to return", slog.String("event", "refused_with_delay"),
		slog.String("id", q.id), slog.String("service", q.serviceName), slog.String("account", q.accountName),
		slog.Bool("returning", q.returning), slog.Duration("room_in", q.roomWait), slog.Duration("retry_after", e.Wait))
	return &e
}

// returnKey returns the digest by which a request that is sent again is recognized: that of the account, or of the caller
// without one, the route and the content.
func returnKey(q *request) retry.Fingerprint {
	f, _ := retry.ParseFingerprint(q.fingerprint)
	sender := "caller " + q.caller
	if q.accountName != "" {
		sender = "account " + q.accountName
	}
	return retry.CallerFingerprint(f, sender+"\x00"+q.route.Name)
}

// refusedRequest is an entry of refusedRequests: the number of equal requests that were refused and have not returned.
type refusedRequest struct {
	count     int
	expiresAt time.Time
}

// refusedRequests holds the refused requests whose callers may return. It is safe for concurrent use.
type refusedRequests struct {
	mu      sync.Mutex
	entries map[retry.Fingerprint]refusedRequest
	sweepAt time.Time // no sweep before this time, so that a full table is not scanned for each request
}

// sweepInterval is the least time between two scans of a full table for expired entries.
const sweepInterval = 100 * time.Millisecond

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{entries: map[retry.Fingerprint]refusedRequest{}}
}

func (r *refusedRequests) isEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries) == 0
}

// add remembers a refused request until its deadline. It forgets the request if the table is full.
func (r *refusedRequests) add(key retry.Fingerprint, now, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) >= maxRefusedRequests && !now.Before(r.sweepAt) {
		r.sweep(now)
	}
	e, known := r.entries[key]
	if !known && len(r.entries) >= maxRefusedRequests {
		return
	}
	if !e.expiresAt.After(now) {
		e = refusedRequest{}
	}
	e.count++
	if deadline.After(e.expiresAt) {
		e.expiresAt = deadline
	}
	r.entries[key] = e
}

// take reports whether an equal request was refused and has not returned, and counts it as returned.
func (r *refusedRequests) take(key retry.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[key]
	if !known {
		return false
	}
	e.count--
	if e.count <= 0 || !e.expiresAt.After(now) {
		delete(r.entries, key)
	} else {
		r.entries[key] = e
	}
	return e.expiresAt.After(now)
}

func (r *refusedRequests) sweep(now time.Time) {
	r.sweepAt = now.Add(sweepInterval)
	for key, e := range r.entries {
		if !e.expiresAt.After(now) {
			delete(r.entries, key)
		}
	}
}
