package ratelimit

import (
	"cmp"
	"slices"

	"dandelionspoke/internal/metrics"
)

// State is a copy of a limiter's state for the dump.
type State struct {
	FleetSize int  `json:"fleet_size"`
	Entitled  bool `json:"entitled"` // the node deposits its part of the rates
	// Shards are the node's exchanges with pool nodes, and Pools those that this node holds.
	Shards []ShardState `json:"shards"`
	Pools  []PoolState  `json:"pools"`
	// Accounts are those with the highest demand at this node.
	Accounts []AccountState `json:"accounts"`
}

// ShardState is a node's exchange with the pool node of one shard.
type ShardState struct {
	PoolNode string `json:"pool_node"` // empty if none can be reached
	Fallback bool   `json:"fallback"`  // the node spends from its own part of the rates
}

// PoolState is a pool of this node, with the accounts of the highest demand.
type PoolState struct {
	Shard    int               `json:"shard"`
	Shards   int               `json:"shards"`
	Share    float64           `json:"share"` // part of the fleet's time that has been deposited recently
	Accounts []PoolAccountDump `json:"accounts"`
}

// PoolAccountDump is an account's stock in a pool.
type PoolAccountDump struct {
	Account  string  `json:"account"`
	Stock    float64 `json:"stock"`
	Capacity float64 `json:"capacity"`
	Demand   float64 `json:"demand"` // tokens requested per second
}

// AccountState is an account at this node.
type AccountState struct {
	Account string  `json:"account"`
	Tokens  int     `json:"tokens"`
	Demand  float64 `json:"demand"` // requests per second
	Waiting int     `json:"waiting"`
}

// Dump returns a copy of the state with at most maxAccounts accounts in each list.
func (l *Limiter) Dump(now int64, maxAccounts int) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := State{FleetSize: l.fleet.Size, Entitled: l.entitledAt != 0 && now >= l.entitledAt}
	for _, s := range l.shards {
		state.Shards = append(state.Shards, ShardState{PoolNode: s.target(now), Fallback: s.fallbackSince.Load() != 0})
	}
	for _, p := range l.pools {
		state.Pools = append(state.Pools, p.dump(now, maxAccounts))
	}
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		if a.active {
			row := AccountState{Account: a.name, Demand: a.demand, Waiting: a.waiting}
			for _, lot := range a.lots {
				row.Tokens += lot.tokens
			}
			state.Accounts = append(state.Accounts, row)
		}
		a.mu.Unlock()
	}
	slices.SortFunc(state.Accounts, func(a, b AccountState) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	state.Accounts = state.Accounts[:min(len(state.Accounts), maxAccounts)]
	return state
}

func (p *pool) dump(now int64, maxAccounts int) PoolState {
	state := PoolState{Shard: int(p.key.shard), Shards: int(p.key.shards), Share: p.share(now)}
	for _, pa := range p.accounts {
		state.Accounts = append(state.Accounts, PoolAccountDump{
			Account: pa.account.name, Stock: pa.stock, Capacity: pa.capacity(now, state.Share),
			Demand: pa.demand / demandTime.Seconds(),
		})
	}
	slices.SortFunc(state.Accounts, func(a, b PoolAccountDump) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	state.Accounts = state.Accounts[:min(len(state.Accounts), maxAccounts)]
	return state
}

// Fallback reports whether this node reaches no pool node of some shard.
func (l *Limiter) Fallback() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.shards, func(s *shard) bool { return s.fallbackSince.Load() != 0 })
}

// PoolCount returns the number of pools at this node.
func (l *Limiter) PoolCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pools)
}

// Totals returns the requests granted and refused at this node: the limit accounts with the most by name, the others under
// metrics.OtherKey.
func (l *Limiter) Totals(limit int) (granted, refused map[string]int64) {
	g, r := metrics.NewTopCounters(limit), metrics.NewTopCounters(limit)
	for name, a := range *l.accounts.Load() {
		if n := a.granted.Load(); n > 0 {
			g.Add(name, n)
		}
		if n := a.refused.Load(); n > 0 {
			r.Add(name, n)
		}
	}
	return g.Values(), r.Values()
}
