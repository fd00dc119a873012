package ratelimit

import (
	"math"
	"time"

	"dandelionspoke/internal/wire"
)

const (
	// shareBuckets is the number of parts into which a depositWindow is divided.
	shareBuckets = 20
	// shareDrop is the decrease of a pool's share after which all its stocks are cut to their capacity.
	shareDrop = 0.02
	// reserveTime is the time for which a pool keeps tokens for its own demand when another region asks.
	reserveTime = 250 * time.Millisecond
	// senderRetention is how long a pool remembers the last sequence number of a node. A node's messages are not delayed for
	// longer.
	senderRetention = time.Minute
)

// poolKey identifies a shard. Nodes that divide the accounts into different numbers of shards use different pools.
type poolKey struct{ shard, shards uint32 }

// pool holds the tokens that nodes have deposited at this node for the accounts of a shard. Pools start empty and are
// dropped when no deposit has arrived for a depositWindow.
type pool struct {
	key poolKey
	// credit is the sum of all deposits, each in seconds of the whole fleet's time: a deposit of d seconds by one of N nodes
	// counts d/N. An account's tokens are its rate times the credit since it was last settled.
	credit  float64
	buckets [shareBuckets]float64 // deposits of the last depositWindow
	bucket  int64                 // number of the newest bucket
	// cutShare is the share at which stocks were last cut, or a higher one since.
	cutShare    float64
	lastDeposit int64
	accounts    map[string]*poolAccount
	senders     map[string]*sender
	transfers   map[string]*transfer // by pool node of another region
	short       []*poolAccount       // accounts for which tokens of another region are wanted
	nextTarget  int
}

// poolAccount is an account's stock in a pool.
type poolAccount struct {
	account  *account
	stock    float64
	credit   float64 // value of pool.credit when the stock was settled
	demand   float64 // tokens requested, decaying with demandTime
	demandAt int64
	isShort  bool
	// borrowed is capacity that came with the latest transfer from another region, until borrowedTo. loans is what this pool
	// has lent.
	borrowed   float64
	borrowedTo int64
	loans      []loan
	// nextTransfer is the earliest time of the next request to another region.
	nextTransfer int64
	backoff      time.Duration
}

// sender is the latest message of a node.
type sender struct {
	instance, seq uint64
	at            int64
}

func newPool(key poolKey, now int64) *pool {
	return &pool{
		key: key, bucket: now / bucketNanos, lastDeposit: now,
		accounts: map[string]*poolAccount{}, senders: map[string]*sender{}, transfers: map[string]*transfer{},
	}
}

const bucketNanos = int64(depositWindow) / shareBuckets

// share returns the time deposited in the last depositWindow relative to that window, at most 1. The shares of all pools of
// an account add up to at most 1 plus a deposit.
func (p *pool) share(now int64) float64 {
	p.advance(now)
	sum := 0.0
	for _, b := range p.buckets {
		sum += b
	}
	return min(1, sum/depositWindow.Seconds())
}

// advance empties the buckets whose time has passed.
func (p *pool) advance(now int64) {
	current := now / bucketNanos
	for i := max(p.bucket+1, current-shareBuckets+1); i <= current; i++ {
		p.buckets[i%shareBuckets] = 0
	}
	p.bucket = max(p.bucket, current)
}

// accepts reports whether a message is newer than the latest one of its sender.
func (p *pool) accepts(now int64, from string, instance, seq uint64) bool {
	s := p.senders[from]
	if s != nil && s.instance == instance && seq <= s.seq {
		return false
	}
	p.senders[from] = &sender{instance, seq, now}
	return true
}

// deposit credits d of one of size nodes.
func (p *pool) deposit(now int64, d time.Duration, size int) {
	if d <= 0 || size <= 0 {
		return
	}
	p.advance(now)
	part := min(d, maxDeposit(depositPeriod(size))).Seconds() / float64(size)
	p.buckets[p.bucket%shareBuckets] += part
	p.credit += part
	p.lastDeposit = now
}

// add makes the pool start empty for an account that was not limited before. Without it, an account that is taken out of the
// bundle and put back would find a full stock.
func (p *pool) add(a *account) {
	if p.holds(a) {
		p.accounts[a.name] = &poolAccount{account: a, credit: p.credit, backoff: transferInterval}
	}
}

// current reports whether pa is the stock of an account that is still limited.
func (p *pool) current(pa *poolAccount) bool { return p.accounts[pa.account.name] == pa }

// holds reports whether the account belongs to the pool's shard.
func (p *pool) holds(a *account) bool { return uint32(a.hash%uint64(p.key.shards)) == p.key.shard }

// settle brings the stock of an account up to date. It returns nil if the account does not belong to this shard.
func (p *pool) settle(now int64, a *account, share float64) *poolAccount {
	if !p.holds(a) {
		return nil
	}
	pa := p.accounts[a.name]
	if pa == nil || pa.account != a {
		pa = &poolAccount{account: a, backoff: transferInterval}
		p.accounts[a.name] = pa
	}
	pa.stock += a.rate() * (p.credit - pa.credit)
	pa.credit = p.credit
	pa.limitStock(now, share)
	return pa
}

// limitStock cuts the stock to the capacity.
func (pa *poolAccount) limitStock(now int64, share float64) {
	pa.stock = min(pa.stock, pa.capacity(now, share))
}

// capacity returns the capacity of this pool for the account.
func (pa *poolAccount) capacity(now int64, share float64) float64 {
	c := poolCapacity(pa.account.capacityNow(), share) - pa.lent(now)
	if now < pa.borrowedTo {
		c += pa.borrowed
	}
	return max(c, 0)
}

// poolCapacity returns the part of an account's capacity that belongs to a pool with this share.
func poolCapacity(capacity, share float64) float64 {
	if share <= 0 {
		return 0
	}
	return max(capacity*share, min(capacity, minPoolTokens))
}

// cut cuts all stocks to their capacity after the share has decreased, also those of accounts that nobody asks for. Without
// it, a pool that loses its deposits for a while would regain its old stock beside the new one elsewhere.
func (p *pool) cut(now int64, accounts map[string]*account) {
	share := p.share(now)
	if share > p.cutShare {
		p.cutShare = share
	}
	if share >= p.cutShare-shareDrop {
		return
	}
	p.cutShare = share
	for _, a := range accounts {
		p.settle(now, a, share)
	}
}

// prune forgets accounts that are no longer limited, and nodes with which no message was exchanged for senderRetention.
func (p *pool) prune(now int64, accounts map[string]*account) {
	for name, pa := range p.accounts {
		if accounts[name] != pa.account {
			delete(p.accounts, name)
		}
	}
	for id, s := range p.senders {
		if now-s.at > int64(senderRetention) {
			delete(p.senders, id)
		}
	}
	for id, t := range p.transfers {
		if t.seq == 0 && now-t.sentAt > int64(senderRetention) {
			delete(p.transfers, id)
		}
	}
}

// addDemand records a request for tokens and returns the demand in tokens per second, at most the account's rate.
func (pa *poolAccount) addDemand(now int64, requested float64, rate float64) float64 {
	pa.demand = pa.demand*math.Exp(-time.Duration(now-pa.demandAt).Seconds()/demandTime.Seconds()) + requested
	pa.demandAt = now
	return min(rate, pa.demand/demandTime.Seconds())
}

// requested returns the settled state of the account that an entry of a request names, or nil if it has none here.
func (p *pool) requested(now int64, amount *wire.TokenAmount, accounts map[string]*account, share float64) *poolAccount {
	a := accounts[amount.GetAccount()]
	if a == nil {
		return nil
	}
	return p.settle(now, a, share)
}

// exchange handles a deposit with returns and requests, and returns the reply.
func (p *pool) exchange(now int64, r *wire.TokenRequest, accounts map[string]*account, hasRemote bool) *wire.TokenGrant {
	p.deposit(now, time.Duration(r.GetDepositMs())*time.Millisecond, int(r.GetFleetSize()))
	reply := &wire.TokenGrant{Seq: r.GetSeq(), Instance: r.GetInstance()}
	share := p.share(now)
	for _, amount := range r.GetAmounts() {
		pa := p.requested(now, amount, accounts, share)
		if pa == nil {
			continue
		}
		pa.stock += float64(amount.GetReturnedMilli()) / milli
		requested := float64(amount.GetRequestedMilli()) / milli
		granted := math.Floor(min(requested, pa.stock))
		pa.stock -= granted
		pa.limitStock(now, share)
		if requested == 0 {
			continue
		}
		reply.Amounts = append(reply.Amounts, &wire.TokenAmount{
			Account: pa.account.name, GrantedMilli: uint32(granted * milli), WaitMs: p.wait(now, pa, requested, granted, share, hasRemote),
		})
	}
	return reply
}

// wait notes the demand for an account's tokens and returns the milliseconds until the pool expects one, 0 if a new request
// of the node may succeed soon: it was granted all it asked for, or another region may send some.
func (p *pool) wait(now int64, pa *poolAccount, requested, granted, share float64, hasRemote bool) uint32 {
	rate := pa.account.rate()
	demand := pa.addDemand(now, requested, rate)
	if hasRemote && pa.stock < max(1, demand*reserveTime.Seconds()) {
		p.markShort(pa)
	}
	if granted >= requested || hasRemote && pa.backoff <= transferInterval {
		return 0
	}
	if share <= 0 {
		return uint32(maxRefusal.Milliseconds())
	}
	seconds := (1 - min(1, pa.stock-math.Floor(pa.stock))) / (rate * share)
	return uint32(min(max(seconds*1000, 1), maxWaitMs))
}

// maxWaitMs bounds the wait that a pool reports for accounts with a very low rate.
const maxWaitMs = 600_000

func (p *pool) markShort(pa *poolAccount) {
	if !pa.isShort {
		pa.isShort = true
		p.short = append(p.short, pa)
	}
}
