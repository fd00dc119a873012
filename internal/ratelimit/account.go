package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lotCount is the number of grants whose tokens a node keeps separately.
	lotCount = 4
	// demandTime is the time constant of the estimates of demand.
	demandTime = 400 * time.Millisecond
	// idleDemand is the demand in requests per second below which an account no longer takes part in exchanges.
	idleDemand = 0.2
	// minRefusal and maxRefusal bound the time for which a node refuses requests of an account without asking the pool again.
	minRefusal = 50 * time.Millisecond
	maxRefusal = 250 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller should try again. Nodes that were refused tokens ask
	// their pool node again only after about this time.
	minRetryAfter = 100 * time.Millisecond
)

// lot is a number of tokens of one grant.
type lot struct {
	tokens int
	sentAt int64 // when the request for the grant was sent
}

func (l lot) validAt(now int64) bool { return l.tokens > 0 && now-l.sentAt < int64(GrantValidity) }

// account is the state of one limited account at a node. mu guards all fields below it.
type account struct {
	name  string
	hash  uint64 // shard modulo the number of shards
	shard atomic.Pointer[shard]

	granted, refused atomic.Int64

	mu       sync.Mutex
	limit    Limit
	capacity float64 // of all pools together
	creation float64 // rate at which tokens are created
	lots     [lotCount]lot
	// arrivals counts the requests since measuredAt; demand is their smoothed number per second.
	arrivals   int
	demand     float64
	measuredAt int64
	waiting    int   // requests that wait for tokens
	refuseTo   int64 // until then, requests without a token are refused at once
	nextToken  int64 // when the pool expects to have a token
	active     bool  // the account is in its shard's list of active accounts
	removed    bool  // the account is no longer limited
	// changed is closed when waiting requests should try again; nil while none waits.
	changed chan struct{}
	// own holds tokens from this node's own entitlement while it reaches no pool node; computed at ownAt.
	own   float64
	ownAt int64
}

// Token is what Take hands out. The zero Token belongs to no limited account.
type Token struct {
	account *account
	sentAt  int64
	own     bool // from the node's own entitlement
}

// Outcome is the result of Take.
type Outcome uint8

// Outcomes of Take.
const (
	Granted Outcome = iota
	Refused
	// Wait means that tokens may arrive within MaxWait.
	Wait
)

// take spends a token if there is one. A repeated call for a request that has waited is not counted as demand again.
func (a *account) take(now int64, repeated bool) (Token, Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !repeated {
		a.arrivals++
	}
	oldest := -1
	for i := range a.lots {
		if a.lots[i].validAt(now) && (oldest < 0 || a.lots[i].sentAt < a.lots[oldest].sentAt) {
			oldest = i
		}
	}
	if oldest >= 0 {
		a.lots[oldest].tokens--
		return Token{account: a, sentAt: a.lots[oldest].sentAt}, Granted
	}
	if s := a.shard.Load(); s != nil && s.fallbackSince.Load() != 0 {
		a.creditOwn(now, s)
		if a.own >= 1 {
			a.own--
			return Token{account: a, own: true}, Granted
		}
		return Token{}, Refused
	}
	if now < a.refuseTo {
		return Token{}, Refused
	}
	return Token{}, Wait
}

// creditOwn adds the node's own part of the rate since the last call. Its bound grows with the time without a pool node as
// fast as the pools lose theirs.
func (a *account) creditOwn(now int64, s *shard) {
	since := s.fallbackSince.Load()
	part := 1 / float64(max(s.fleetSize.Load(), 1))
	from := max(a.ownAt, since)
	if a.ownAt < since {
		a.own = 0
	}
	a.ownAt = now
	a.own += a.creation * part * time.Duration(now-from).Seconds()
	elapsed := time.Duration(now-since).Seconds() / depositWindow.Seconds()
	a.own = min(a.own, a.capacity*part*min(1, elapsed))
}

// giveBack returns the token of a request that was not run. It keeps the age of its grant, so that it can be spent or
// returned to the pool only as long as before.
func (a *account) giveBack(t Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.own {
		a.own++ // bounded by the next creditOwn
		return
	}
	a.addLot(lot{1, t.sentAt})
}

// addLot adds tokens. If all lots are in use, those of the oldest grant are dropped.
func (a *account) addLot(l lot) {
	oldest := 0
	for i := range a.lots {
		if a.lots[i].tokens > 0 && a.lots[i].sentAt == l.sentAt {
			a.lots[i].tokens += l.tokens
			return
		}
		if a.lots[i].tokens == 0 || a.lots[oldest].tokens > 0 && a.lots[i].sentAt < a.lots[oldest].sentAt {
			oldest = i
		}
	}
	a.lots[oldest] = l
}

// receive adds granted tokens, or notes how long the pool has none, and wakes waiting requests.
func (a *account) receive(now, sentAt int64, tokens int, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if tokens > 0 {
		a.addLot(lot{tokens, sentAt})
		a.refuseTo = 0
	}
	if wait > 0 {
		a.nextToken = now + int64(wait)
		a.refuseTo = now + int64(min(max(wait, minRefusal), maxRefusal))
	}
	if tokens > 0 || wait > 0 {
		a.wake()
	}
}

// remove ends the exchanges for an account that is no longer limited. An account of the same name that is limited later would
// lose its tokens to this one.
func (a *account) remove() {
	a.drop()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removed = true
	a.wake()
}

// wake makes waiting requests try again. The caller holds mu.
func (a *account) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// startWaiting counts a waiting request; stopWaiting ends that. signal returns a channel that is closed at the next change.
func (a *account) startWaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting++
}

func (a *account) stopWaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

func (a *account) signal() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

// measure updates the demand and returns the number of tokens to request and to return, which it removes from the lots. The
// account is no longer active if idle is set.
func (a *account) measure(now int64) (need, returned int, idle bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		return 0, 0, true
	}
	if dt := time.Duration(now - a.measuredAt).Seconds(); dt > 0 {
		weight := dt / (dt + demandTime.Seconds())
		a.demand += (float64(a.arrivals)/dt - a.demand) * weight
		a.arrivals, a.measuredAt = 0, now
	}
	stock := 0
	for i := range a.lots {
		l := &a.lots[i]
		age := time.Duration(now - l.sentAt)
		switch {
		case l.tokens == 0:
		case age >= returnWithin:
			l.tokens = 0
		case age >= GrantValidity-returnBefore:
			returned += l.tokens
			l.tokens = 0
		default:
			stock += l.tokens
		}
	}
	expected := int(math.Round(min(a.demand, a.limit.Rate) * GrantValidity.Seconds()))
	need = max(0, a.waiting+expected-stock)
	idle = need == 0 && returned == 0 && stock == 0 && a.demand < idleDemand
	if idle {
		a.active, a.demand = false, 0
	}
	return need, returned, idle
}

// wants reports whether a request to the pool is due at the next regular time.
func (a *account) wants(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting > 0 || min(a.demand, a.limit.Rate)*GrantValidity.Seconds() >= 0.5 {
		return true
	}
	for _, l := range a.lots {
		if l.tokens > 0 && now-l.sentAt >= int64(GrantValidity-returnBefore) {
			return true
		}
	}
	return false
}

// drop discards all tokens.
func (a *account) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lots = [lotCount]lot{}
	a.own, a.ownAt = 0, 0
}

// setLimit applies a limit. A lower one drops the tokens.
func (a *account) setLimit(l Limit, b Bounds, regions int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Rate < a.limit.Rate || l.Burst < a.limit.Burst {
		a.lots = [lotCount]lot{}
	}
	a.limit, a.capacity, a.creation = l, b.Capacity(l, regions), b.Rate(l, regions)
}

// rate returns the rate at which the account's tokens are created.
func (a *account) rate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.creation
}

func (a *account) capacityNow() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.capacity
}

// retryAfter returns the time until the account's own rate allows the next request, at least one interval of the rate and
// minRetryAfter.
func (a *account) retryAfter(now int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(time.Duration(a.nextToken-now), time.Duration(float64(time.Second)/a.limit.Rate), minRetryAfter)
}
