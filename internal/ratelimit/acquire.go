package ratelimit

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/steady"
)

// retrySpread is the largest fraction that is added to the time after which a refused caller should try again, so that
// callers don't return together.
const retrySpread = 0.25

// Acquire takes a token of the account, and waits for at most MaxWait for one. Without one, ok is false and wait is the
// time until the account's rate allows the next request.
func (l *Limiter) Acquire(ctx context.Context, name string) (t Token, wait time.Duration, ok bool) {
	t, outcome := l.Take(name, steady.Now(), false)
	if outcome == Wait {
		t, outcome = l.await(ctx, (*l.accounts.Load())[name])
	}
	if outcome == Granted {
		return t, 0, true
	}
	return Token{}, l.Refuse(name, steady.Now(), rand.Float64()), false
}

// await waits until the account has a token for the request, its pool reports that it has none, or MaxWait has passed.
func (l *Limiter) await(ctx context.Context, a *account) (Token, Outcome) {
	if a == nil {
		return Token{}, Refused // its limit has just been removed, probably with its keys
	}
	a.startWaiting()
	defer a.stopWaiting()
	timer := time.NewTimer(MaxWait)
	defer timer.Stop()
	for {
		changed := a.signal()
		if (*l.accounts.Load())[a.name] == nil {
			return Token{}, Refused
		}
		if t, outcome := l.Take(a.name, steady.Now(), true); outcome != Wait {
			return t, outcome
		}
		l.wakeUp()
		select {
		case <-changed:
		case <-timer.C:
			return Token{}, Refused
		case <-ctx.Done():
			return Token{}, Refused
		}
	}
}

func (l *Limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Refuse counts a refused request and returns the time after which the caller should try again. spread is random in [0, 1).
func (l *Limiter) Refuse(name string, now int64, spread float64) time.Duration {
	a := (*l.accounts.Load())[name]
	if a == nil {
		return minRetryAfter
	}
	a.refused.Add(1)
	return time.Duration(float64(a.retryAfter(now)) * (1 + retrySpread*spread))
}
