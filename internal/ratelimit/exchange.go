package ratelimit

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/wire"
)

// milli is the number of wire units in a token.
const milli = 1000

// shard is a node's exchange with the pool node of one shard. The Limiter's mutex guards the fields without a comment of
// their own.
type shard struct {
	index, count int
	// fallbackSince is the time since which no pool node can be reached; 0 while one can. fleetSize is Fleet.Size.
	fallbackSince, fleetSize atomic.Int64

	activeMu sync.Mutex // guards active; held only for single operations
	active   []*account // accounts with demand or tokens

	candidates []string
	avoidUntil map[string]int64
	// slow counts successive late replies, and demotedUntil holds the nodes that have sent too many.
	slow         map[string]int
	demotedUntil map[string]int64
	pending      *pendingRequest
	lost         int // successive requests without a reply in time
	lastSent     int64
	lastDeposit  int64 // end of the time that has been deposited; 0 without entitlement
	depositDue   int64 // when the next deposit is to be sent
	// allowance is the number of requests that waiting callers may cause, computed at allowanceAt.
	allowance   float64
	allowanceAt int64
}

// pendingRequest is the request that waits for a reply.
type pendingRequest struct {
	seq      uint64
	to       string
	sentAt   int64
	accounts []*account
}

func newShard(index, count int) *shard {
	return &shard{
		index: index, count: count, avoidUntil: map[string]int64{}, slow: map[string]int{}, demotedUntil: map[string]int64{},
		allowance: exchangeBurst,
	}
}

// activate adds the account to the active ones of its shard.
func (s *shard) activate(a *account) {
	a.mu.Lock()
	added := !a.active
	a.active = true
	a.mu.Unlock()
	if added {
		s.activeMu.Lock()
		s.active = append(s.active, a)
		s.activeMu.Unlock()
	}
}

func (s *shard) takeActive() []*account {
	s.activeMu.Lock()
	defer s.activeMu.Unlock()
	accounts := s.active
	s.active = nil
	return accounts
}

func (s *shard) keepActive(accounts []*account) {
	s.activeMu.Lock()
	defer s.activeMu.Unlock()
	s.active = append(accounts, s.active...)
}

// expire ends the wait for a reply that is too late.
func (s *shard) expire(now int64) {
	if s.pending == nil || now-s.pending.sentAt < int64(replyTimeout) {
		return
	}
	if s.lost++; s.lost >= lostReplies {
		s.avoidUntil[s.pending.to], s.lost = now+int64(avoidFor), 0
	}
	s.pending = nil
}

// target returns the best candidate that is not avoided, or "". Demoted ones come last.
func (s *shard) target(now int64) string {
	demoted := ""
	for _, id := range s.candidates {
		switch {
		case s.avoidUntil[id] > now:
		case s.demotedUntil[id] <= now:
			return id
		case demoted == "":
			demoted = id
		}
	}
	return demoted
}

// forget drops what is noted of nodes that are no candidates.
func (s *shard) forget() {
	other := func(id string) bool { return !slices.Contains(s.candidates, id) }
	maps.DeleteFunc(s.avoidUntil, func(id string, _ int64) bool { return other(id) })
	maps.DeleteFunc(s.demotedUntil, func(id string, _ int64) bool { return other(id) })
	maps.DeleteFunc(s.slow, func(id string, _ int) bool { return other(id) })
}

// noteReply notes how long a reply took.
func (s *shard) noteReply(now int64, p *pendingRequest) {
	if now-p.sentAt < int64(slowReply) {
		delete(s.slow, p.to)
		return
	}
	if s.slow[p.to]++; s.slow[p.to] >= slowReplies {
		delete(s.slow, p.to)
		s.demotedUntil[p.to] = now + int64(demoteFor)
	}
}

// due reports whether a request is to be sent now. demand and waiting are results of demand.
func (s *shard) due(now int64, demand, waiting bool) bool {
	if s.pending != nil {
		return false
	}
	if s.lastDeposit != 0 && now >= s.depositDue {
		return true
	}
	if demand && now-s.lastSent >= int64(exchangeInterval) {
		return true
	}
	if !waiting || now-s.lastSent < int64(exchangeGap) {
		return false
	}
	s.allowance = min(exchangeBurst, s.allowance+exchangesPerSecond*time.Duration(now-s.allowanceAt).Seconds())
	s.allowanceAt = now
	if s.allowance < 1 {
		return false
	}
	s.allowance--
	return true
}

// demand reports whether an active account wants tokens or has some to return, and whether requests wait for tokens.
func (s *shard) demand(now int64) (any, waiting bool) {
	s.activeMu.Lock()
	defer s.activeMu.Unlock()
	for _, a := range s.active {
		if a.wants(now) {
			any = true
			a.mu.Lock()
			waiting = waiting || a.waiting > 0 && now >= a.refuseTo
			a.mu.Unlock()
		}
	}
	return any, waiting
}

// startDeposits starts this node's entitlement, whose first deposit is due after phase.
func (s *shard) startDeposits(now int64, phase time.Duration) {
	s.lastDeposit, s.depositDue = now, now+int64(phase)
}

// dropTime drops the time that has not been deposited.
func (s *shard) dropTime(now int64) {
	if s.lastDeposit != 0 {
		s.startDeposits(now, depositPeriod(int(s.fleetSize.Load())))
	}
}

// deposit returns the milliseconds to deposit now. In a fleet with a long deposit period, deposits have times of their own:
// if requests carried them too, a sudden demand at all nodes would bring in the time of the whole period at once.
func (s *shard) deposit(now int64) uint32 {
	period := depositPeriod(int(s.fleetSize.Load()))
	elapsed := time.Duration(now - s.lastDeposit)
	if s.lastDeposit == 0 || elapsed < time.Millisecond || period > depositInterval && now < s.depositDue {
		return 0
	}
	s.lastDeposit += int64(elapsed.Truncate(time.Millisecond))
	s.depositDue = s.lastDeposit + int64(period)
	return uint32(min(elapsed, maxDeposit(period)).Milliseconds())
}

// maxDeposit is the longest time that a deposit may hold. More can only come from a node that was delayed.
func maxDeposit(period time.Duration) time.Duration { return 2 * period }

// request builds the next request to a pool node. Accounts that don't fit are served first by the next one.
func (s *shard) request(now int64, seq, instance uint64, to string) *wire.TokenRequest {
	r := &wire.TokenRequest{
		Seq: seq, Instance: instance, FleetSize: uint32(s.fleetSize.Load()), Shard: uint32(s.index), Shards: uint32(s.count),
	}
	if s.fallbackSince.Load() == 0 {
		r.DepositMs = s.deposit(now)
	}
	s.pending = &pendingRequest{seq: seq, to: to, sentAt: now}
	s.lastSent = now
	active := s.takeActive()
	var kept, later []*account
	size := 0
	for _, a := range active {
		if len(r.Amounts) >= maxAmounts || size > maxAmountBytes {
			later = append(later, a)
			continue
		}
		need, returned, idle := a.measure(now)
		if !idle {
			kept = append(kept, a)
		}
		if need == 0 && returned == 0 {
			continue
		}
		r.Amounts = append(r.Amounts, &wire.TokenAmount{Account: a.name, RequestedMilli: uint32(need * milli), ReturnedMilli: uint32(returned * milli)})
		s.pending.accounts = append(s.pending.accounts, a)
		size += len(a.name) + amountOverhead
	}
	s.keepActive(append(later, kept...))
	return r
}

// amountOverhead is the encoded size of a wire.TokenAmount without the account's name.
const amountOverhead = 16

// receive handles a reply. It reports whether the reply belongs to the pending request and is in time.
func (s *shard) receive(now int64, from string, g *wire.TokenGrant) bool {
	p := s.pending
	if p == nil || p.seq != g.GetSeq() || p.to != from || now-p.sentAt >= int64(replyTimeout) {
		return false
	}
	s.pending, s.lost = nil, 0
	s.noteReply(now, p)
	if s.fallbackSince.Load() != 0 {
		s.fallbackSince.Store(0)
		s.dropTime(now)
	}
	for _, amount := range g.GetAmounts() {
		for _, a := range p.accounts {
			if a.name == amount.GetAccount() {
				a.receive(now, p.sentAt, int(amount.GetGrantedMilli()/milli), time.Duration(amount.GetWaitMs())*time.Millisecond)
				break
			}
		}
	}
	return true
}
