package ratelimit

import (
	"math"
	"slices"
	"time"

	"dandelionspoke/internal/wire"
)

// transferTime is the time for whose demand a pool asks another region at once.
const transferTime = 500 * time.Millisecond

// loanTime is the time for which the capacity for transferred tokens passes to the pool that has asked for them. Otherwise a
// region with few nodes, and so a small share of the capacity, could not hold what it needs until the next transfer.
const loanTime = 800 * time.Millisecond

// loan is capacity that a pool has passed to another one. That pool counts its time from its request and so gives it up first.
type loan struct {
	to     string
	amount float64
	until  int64
}

// lend notes a loan. The borrower uses only its latest loan, but may not have received that one yet, so that the largest one
// of the last loanTime counts. Smaller ones before it are dropped.
func (pa *poolAccount) lend(now int64, to string, amount float64) {
	pa.loans = slices.DeleteFunc(pa.loans, func(l loan) bool { return now >= l.until || l.to == to && l.amount <= amount })
	pa.loans = append(pa.loans, loan{to, amount, now + int64(loanTime)})
}

// lent returns the capacity that is on loan, and forgets loans that have ended. The first loan of each borrower is its largest.
func (pa *poolAccount) lent(now int64) float64 {
	pa.loans = slices.DeleteFunc(pa.loans, func(l loan) bool { return now >= l.until })
	sum := 0.0
	for i, l := range pa.loans {
		if !slices.ContainsFunc(pa.loans[:i], func(earlier loan) bool { return earlier.to == l.to }) {
			sum += l.amount
		}
	}
	return sum
}

// transfer is the exchange of a pool with the pool of the same shard in another region.
type transfer struct {
	seq        uint64 // of the pending request; 0 for none
	sentAt     int64
	accounts   []*poolAccount
	wanted     []float64
	avoidUntil int64
}

// expireTransfers ends the wait for replies that are too late; their tokens are lost.
func (p *pool) expireTransfers(now int64) {
	for _, t := range p.transfers {
		if t.seq != 0 && now-t.sentAt >= int64(transferTimeout) {
			t.end()
			t.avoidUntil = now + int64(avoidFor)
		}
	}
}

// end makes the accounts of the pending request ask again later.
func (t *transfer) end() {
	for _, pa := range t.accounts {
		pa.delay(t.sentAt)
	}
	t.seq, t.accounts, t.wanted = 0, nil, nil
}

// delay doubles the time until the account's next request to another region.
func (pa *poolAccount) delay(now int64) {
	pa.backoff = min(2*pa.backoff, maxTransferBackoff)
	pa.nextTransfer = now + int64(pa.backoff)
}

// requestTransfer returns a request for the accounts that are short, and the pool node to ask, or nil. The regions are
// asked in turn.
func (p *pool) requestTransfer(now int64, seq, instance uint64, remote []string) (string, *wire.TokenRequest) {
	p.expireTransfers(now)
	if len(p.short) == 0 || len(remote) == 0 {
		return "", nil
	}
	to := remote[p.nextTarget%len(remote)]
	p.nextTarget++
	t := p.transfers[to]
	if t == nil {
		t = &transfer{sentAt: now - int64(transferInterval)}
		p.transfers[to] = t
	}
	if t.seq != 0 || now-t.sentAt < int64(transferInterval) || now < t.avoidUntil {
		return "", nil
	}
	r := &wire.TokenRequest{Seq: seq, Instance: instance, Transfer: true, Shard: p.key.shard, Shards: p.key.shards}
	share := p.share(now)
	var later []*poolAccount
	size := 0
	for _, pa := range p.short {
		if !p.current(pa) {
			continue
		}
		if len(r.Amounts) >= maxAmounts || size > maxAmountBytes || now < pa.nextTransfer {
			later = append(later, pa)
			continue
		}
		pa.isShort = false
		if want := p.shortage(now, pa, share); want >= 1 {
			r.Amounts = append(r.Amounts, &wire.TokenAmount{Account: pa.account.name, RequestedMilli: uint32(want * milli)})
			t.accounts, t.wanted = append(t.accounts, pa), append(t.wanted, want)
			size += len(pa.account.name) + amountOverhead
		}
	}
	p.short = later
	if len(r.Amounts) == 0 {
		return "", nil
	}
	t.seq, t.sentAt = seq, now
	return to, r
}

// shortage returns the whole tokens that the account's stock lacks for transferTime, as far as its capacity permits.
func (p *pool) shortage(now int64, pa *poolAccount, share float64) float64 {
	p.settle(now, pa.account, share)
	demand := pa.addDemand(now, 0, pa.account.rate())
	return math.Floor(min(pa.account.capacityNow(), demand*transferTime.Seconds()+1) - pa.stock)
}

// give handles the request of another region's pool: it gives what this region does not need for reserveTime.
func (p *pool) give(now int64, from string, r *wire.TokenRequest, accounts map[string]*account) *wire.TokenGrant {
	reply := &wire.TokenGrant{Seq: r.GetSeq(), Instance: r.GetInstance()}
	share := p.share(now)
	for _, amount := range r.GetAmounts() {
		pa := p.requested(now, amount, accounts, share)
		if pa == nil {
			continue
		}
		spare := pa.stock - pa.addDemand(now, 0, pa.account.rate())*reserveTime.Seconds()
		granted := math.Floor(min(spare, float64(amount.GetRequestedMilli())/milli))
		if granted < 1 {
			continue
		}
		pa.stock -= granted
		pa.lend(now, from, granted)
		reply.Amounts = append(reply.Amounts, &wire.TokenAmount{Account: pa.account.name, GrantedMilli: uint32(granted * milli)})
	}
	return reply
}

// receiveTransfer adds the tokens of a reply from another region to the stocks. It reports whether the reply was expected.
func (p *pool) receiveTransfer(now int64, from string, g *wire.TokenGrant) (tokens float64, ok bool) {
	t := p.transfers[from]
	if t == nil || t.seq == 0 || t.seq != g.GetSeq() || now-t.sentAt >= int64(transferTimeout) {
		return 0, false
	}
	granted := map[string]float64{}
	for _, amount := range g.GetAmounts() {
		granted[amount.GetAccount()] = float64(amount.GetGrantedMilli()) / milli
	}
	share := p.share(now)
	for i, pa := range t.accounts {
		if !p.current(pa) {
			continue
		}
		n := min(granted[pa.account.name], t.wanted[i])
		if n < 1 {
			pa.delay(now)
			continue
		}
		pa.backoff, pa.nextTransfer = transferInterval, 0
		p.settle(now, pa.account, share)
		pa.stock += n
		pa.borrowed, pa.borrowedTo = n, t.sentAt+int64(loanTime)
		pa.limitStock(now, share)
		tokens += n
	}
	t.seq, t.accounts, t.wanted = 0, nil, nil
	return tokens, true
}
