package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/wire"
)

// Message is a request or a reply to another node. One of Request and Grant is set.
type Message struct {
	To      string // node ID
	Request *wire.TokenRequest
	Grant   *wire.TokenGrant
}

// Counters are totals since the start. They are safe for concurrent use.
type Counters struct {
	// Exchanges counts the requests to pool nodes, Timeouts those without a reply in time, Transfers the requests to pools of
	// other regions, and TransferredTokens what these sent.
	Exchanges, Timeouts, Transfers, TransferredTokens atomic.Int64
	// Served counts the requests that this node's pools answered.
	Served atomic.Int64
	// Pauses counts the pauses of the process, after which all tokens are dropped.
	Pauses atomic.Int64
	// Returned counts the tokens of requests that were not run.
	Returned atomic.Int64
}

// Limiter holds a node's part in the rate limits: its tokens, its exchanges with pool nodes, and its pools. Take and Return
// are called by requests and never wait for the network. Advance and Receive return the messages to send; calls of them
// and of the setters exclude each other. Times are in nanoseconds on the steady clock. It is safe for concurrent use.
type Limiter struct {
	Counters Counters
	instance uint64
	wake     chan struct{}
	accounts atomic.Pointer[map[string]*account]

	mu         sync.Mutex // guards the fields below
	bounds     Bounds
	fleet      Fleet
	shards     []*shard
	pools      map[poolKey]*pool
	sequence   uint64
	lastCall   int64
	entitledAt int64 // when this node's entitlement starts or has started; 0 without one
	lastPrune  int64
}

// New returns a limiter without accounts. instance is a random ID of the process.
func New(instance uint64) *Limiter {
	l := &Limiter{instance: instance, wake: make(chan struct{}, 1), pools: map[poolKey]*pool{}}
	l.accounts.Store(&map[string]*account{})
	return l
}

// Wake returns a channel that receives a value when Advance should be called at once.
func (l *Limiter) Wake() <-chan struct{} { return l.wake }

// SetLimits replaces the limited accounts. Accounts whose limit has become lower lose their tokens, and the pools' stocks
// are cut to the new capacity.
func (l *Limiter) SetLimits(bounds Bounds, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = bounds
	old := *l.accounts.Load()
	next := make(map[string]*account, len(limits))
	for name, limit := range limits {
		a := old[name]
		if a == nil {
			a = &account{name: name, hash: hashOf(name)}
			a.shard.Store(l.shardFor(a))
			for _, p := range l.pools {
				p.add(a)
			}
		}
		a.setLimit(limit, bounds, l.fleet.Regions)
		next[name] = a
	}
	l.accounts.Store(&next)
	for name, a := range old {
		if next[name] == nil {
			a.remove()
		}
	}
	for _, p := range l.pools {
		share := p.share(l.lastCall)
		for _, pa := range p.accounts {
			p.settle(l.lastCall, pa.account, share)
		}
		p.prune(l.lastCall, next)
	}
}

// SetFleet replaces what this node knows about the others.
func (l *Limiter) SetFleet(now int64, f Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkPause(now)
	regions := l.fleet.Regions
	l.fleet = f
	if len(l.shards) != f.shards() {
		l.setShards(f.shards())
	}
	switch {
	case !f.Entitled:
		l.entitledAt = 0
	case f.Counted && (l.entitledAt == 0 || l.entitledAt > now):
		l.entitledAt = now
	case l.entitledAt == 0:
		l.entitledAt = now + int64(ParticipationDelay)
	}
	for i, s := range l.shards {
		s.candidates = f.Local[i]
		s.forget()
		s.fleetSize.Store(int64(f.Size))
		if l.entitledAt == 0 {
			s.lastDeposit = 0
		}
	}
	if f.Regions != regions {
		for _, a := range *l.accounts.Load() {
			a.setLimit(a.limit, l.bounds, f.Regions)
		}
	}
}

func (l *Limiter) setShards(count int) {
	l.shards = make([]*shard, count)
	for i := range l.shards {
		l.shards[i] = newShard(i, count)
	}
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		a.active = false
		a.mu.Unlock()
		a.shard.Store(l.shardFor(a))
	}
}

func (l *Limiter) shardFor(a *account) *shard {
	if len(l.shards) == 0 {
		return nil
	}
	return l.shards[a.hash%uint64(len(l.shards))]
}

// Take spends a token of the account for a request. An account without a limit grants every request. repeated is set for a
// request that has waited for tokens.
func (l *Limiter) Take(name string, now int64, repeated bool) (Token, Outcome) {
	a := (*l.accounts.Load())[name]
	if a == nil {
		return Token{}, Granted
	}
	t, outcome := a.take(now, repeated)
	if s := a.shard.Load(); s != nil && !repeated {
		s.activate(a)
	}
	if outcome == Granted {
		a.granted.Add(1)
	}
	return t, outcome
}

// Return gives back the token of a request that has not been run and will not be.
func (l *Limiter) Return(t Token) {
	if t.account == nil {
		return
	}
	t.account.giveBack(t)
	l.Counters.Returned.Add(1)
	if s := t.account.shard.Load(); s != nil {
		s.activate(t.account)
	}
}

// Advance does what is due and returns the messages to send. It must be called when Wake receives a value, and at least
// every 50 ms.
func (l *Limiter) Advance(now int64) []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkPause(now)
	if len(*l.accounts.Load()) == 0 {
		return nil
	}
	out := l.advancePools(now)
	for _, s := range l.shards {
		out = l.advanceShard(now, s, out)
	}
	return out
}

func (l *Limiter) advanceShard(now int64, s *shard, out []Message) []Message {
	if s.pending != nil {
		s.expire(now)
		if s.pending == nil {
			l.Counters.Timeouts.Add(1)
		}
	}
	if s.lastDeposit == 0 && l.entitledAt != 0 && now >= l.entitledAt {
		// The phase spreads the deposits of nodes that have started together.
		s.startDeposits(now, time.Duration(l.instance%uint64(depositPeriod(l.fleet.Size))))
	}
	demand, waiting := s.demand(now)
	if !s.due(now, demand, waiting) {
		return out
	}
	to := s.target(now)
	if to == "" {
		if s.fallbackSince.Load() == 0 && s.lastDeposit != 0 {
			s.fallbackSince.Store(now)
		}
		return out
	}
	l.sequence++
	r := s.request(now, l.sequence, l.instance, to)
	l.Counters.Exchanges.Add(1)
	if to != l.fleet.Self {
		return append(out, Message{To: to, Request: r})
	}
	s.receive(now, to, l.serve(now, to, r))
	return out
}

// advancePools drops pools without deposits, cuts the stocks of shrinking ones and asks other regions for tokens.
func (l *Limiter) advancePools(now int64) []Message {
	var out []Message
	accounts := *l.accounts.Load()
	prune := now-l.lastPrune >= int64(senderRetention)
	if prune {
		l.lastPrune = now
	}
	for key, p := range l.pools {
		if now-p.lastDeposit >= int64(depositWindow) {
			delete(l.pools, key)
			continue
		}
		p.cut(now, accounts)
		if prune {
			p.prune(now, accounts)
		}
		remote := l.remote(key)
		if to, r := p.requestTransfer(now, l.sequence+1, l.instance, remote); r != nil {
			l.sequence++
			l.Counters.Transfers.Add(1)
			out = append(out, Message{To: to, Request: r})
		}
	}
	return out
}

func (l *Limiter) remote(key poolKey) []string {
	if int(key.shards) != len(l.fleet.Remote) {
		return nil
	}
	return l.fleet.Remote[key.shard]
}

// Receive handles a request or reply of another node and returns the reply, if any.
func (l *Limiter) Receive(now int64, from string, m Message) []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkPause(now)
	if m.Request != nil {
		if g := l.serve(now, from, m.Request); g != nil {
			return []Message{{To: from, Grant: g}}
		}
		return nil
	}
	if m.Grant.GetInstance() != l.instance {
		return nil
	}
	for _, s := range l.shards {
		if s.receive(now, from, m.Grant) {
			return nil
		}
	}
	for _, p := range l.pools {
		if tokens, ok := p.receiveTransfer(now, from, m.Grant); ok {
			l.Counters.TransferredTokens.Add(int64(tokens))
			return nil
		}
	}
	return nil
}

// serve handles a request to one of this node's pools. It returns nil for a repeated or malformed one.
func (l *Limiter) serve(now int64, from string, r *wire.TokenRequest) *wire.TokenGrant {
	key := poolKey{r.GetShard(), r.GetShards()}
	if key.shards == 0 || key.shards > poolsLarge || key.shard >= key.shards {
		return nil
	}
	p := l.pools[key]
	if p == nil {
		if r.GetTransfer() {
			return &wire.TokenGrant{Seq: r.GetSeq(), Instance: r.GetInstance()}
		}
		p = newPool(key, now)
		l.pools[key] = p
	}
	if !p.accepts(now, from, r.GetInstance(), r.GetSeq()) {
		return nil
	}
	l.Counters.Served.Add(1)
	accounts := *l.accounts.Load()
	if r.GetTransfer() {
		return p.give(now, from, r, accounts)
	}
	return p.exchange(now, r, accounts, len(l.remote(key)) > 0)
}

// checkPause drops all tokens if the process has not run for a while. Its tokens have been replaced meanwhile.
func (l *Limiter) checkPause(now int64) {
	if l.lastCall != 0 && now-l.lastCall >= int64(pauseThreshold) {
		l.dropAll(now)
	}
	l.lastCall = now
}

// Paused drops all tokens after a pause of the process that the steady clock may not show.
func (l *Limiter) Paused(now int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropAll(now)
	l.lastCall = now
}

func (l *Limiter) dropAll(now int64) {
	l.Counters.Pauses.Add(1)
	clear(l.pools)
	for _, a := range *l.accounts.Load() {
		a.drop()
	}
	for _, s := range l.shards {
		s.pending = nil
		s.dropTime(now)
		if s.fallbackSince.Load() != 0 {
			s.fallbackSince.Store(now)
		}
	}
}
