package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/slowstart"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// keysPerAccount is the number of keys of each account in the measurements.
	keysPerAccount = 2
	// rampOperations is the number of requests over which the time of a ramp is averaged.
	rampOperations = 200_000
)

// contestedRows measures the parts for contested capacity at one node: of a fleet with n members, and with the given number of
// accounts.
func contestedRows(n, accounts int) ([]row, error) {
	b := largeBundle(serviceCount, 1)
	addAccounts(b, accounts)
	rows := []row{accountRow(b), limiterRow(n, accounts), rampRow(), evacuationRow()}
	r, err := accountBundleRow(b)
	if err != nil {
		return nil, err
	}
	rows = append(rows, r)
	for _, sets := range []int{0, 3, 31} {
		r, err := viewRow(n, sets)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// settledHeapBytes is heapBytes after a second collection, which also frees what the first one has only marked as unused. The
// difference of two results may be negative.
func settledHeapBytes() int64 {
	heapBytes()
	return int64(heapBytes())
}

func addAccounts(b *bundle.Bundle, count int) {
	b.Accounts = map[string]bundle.Account{}
	for i := range count {
		a := bundle.Account{RatePerSecond: 100, Burst: 100}
		for k := range keysPerAccount {
			digest := sha256.Sum256(fmt.Appendf(nil, "key-%d-%d", i, k))
			a.KeyDigests = append(a.KeyDigests, hex.EncodeToString(digest[:]))
		}
		b.Accounts[fmt.Sprintf("account-%05d", i)] = a
	}
}

// accountRow measures the index by which keys select accounts.
func accountRow(b *bundle.Bundle) row {
	before, started := settledHeapBytes(), time.Now()
	index := account.NewIndex(b)
	took := time.Since(started)
	r := row{"measure=accounts"}.with("accounts", len(b.Accounts)).with("index_us", micros(took)).with("heap_bytes", settledHeapBytes()-before)
	runtime.KeepAlive(index)
	runtime.KeepAlive(b)
	return r
}

// accountBundleRow measures a bundle with accounts and the revocation of one key.
func accountBundleRow(b *bundle.Bundle) (row, error) {
	s, err := newSigner()
	if err != nil {
		return nil, err
	}
	previous, err := s.sign(b)
	if err != nil {
		return nil, err
	}
	full, err := previous.Encode()
	if err != nil {
		return nil, err
	}
	acceptor := bundle.NewAcceptor(s.trusted)
	if _, err := acceptor.Offer(previous); err != nil {
		return nil, err
	}
	revoked := b.Accounts["account-00000"]
	revoked.KeyDigests = revoked.KeyDigests[1:]
	b.Accounts["account-00000"], b.Version = revoked, b.Version+1
	next, err := s.sign(b)
	if err != nil {
		return nil, err
	}
	delta, err := bundle.NewDelta(previous, next).Encode()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	d, err := bundle.DecodeDelta(delta)
	if err == nil {
		_, err = acceptor.OfferDelta(d)
	}
	return row{"measure=account_bundle"}.with("accounts", len(b.Accounts)).with("envelope_bytes", len(full)).with("delta_bytes", len(delta)).
		with("accept_us", micros(time.Since(started))), err
}

// limiterRow measures the rate limits of a node that has used all accounts once, and the selection of the pool nodes.
func limiterRow(n, accounts int) row {
	now := time.UnixMilli(1_700_000_000_000)
	members := make([]ratelimit.Member, n)
	for i := range members {
		m := tableMember(i, now)
		members[i] = ratelimit.Member{ID: m.NodeId, Region: m.Region, Alive: true, Spending: true}
	}
	started := time.Now()
	fleet := ratelimit.NewFleet(members[0].ID, members[0].Region, members, 0, true, true)
	fleetTook := time.Since(started)
	limits := map[string]ratelimit.Limit{}
	for i := range accounts {
		limits[fmt.Sprintf("account-%05d", i)] = ratelimit.Limit{Rate: 100, Burst: 100}
	}
	before := settledHeapBytes()
	l := ratelimit.New(1)
	started = time.Now()
	l.SetLimits(ratelimit.Bounds{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}, limits)
	limitsTook := time.Since(started)
	l.SetFleet(1, fleet)
	idle := settledHeapBytes() - before
	started = time.Now()
	l.Advance(int64(time.Second))
	advance := time.Since(started)
	for name := range limits {
		l.Take(name, int64(time.Second), false)
	}
	r := newRow("rate_limits", n).with("accounts", accounts).with("fleet_us", micros(fleetTook)).with("set_limits_us", micros(limitsTook)).
		with("heap_bytes", idle).with("used_heap_bytes", settledHeapBytes()-before).with("idle_advance_us", micros(advance))
	runtime.KeepAlive(l)
	runtime.KeepAlive(limits)
	runtime.KeepAlive(members)
	return r
}

// rampRow measures the admission of requests to a cold backend server.
func rampRow() row {
	now := time.UnixMilli(1_700_000_000_000)
	ramp := slowstart.New()
	ramp.SetLimits(slowstart.Limits{PerSecond: 13, Tolerance: 1.5, Slack: 8})
	started := time.Now()
	for range rampOperations {
		now = now.Add(time.Millisecond)
		if ramp.Reserve(now) == 0 {
			ramp.Send(now)
		}
	}
	took := time.Since(started)
	return row{"measure=slow_start"}.with("ns_per_request", float64(took.Nanoseconds())/rampOperations)
}

// evacuationRow measures the set of all failure domains but one, as it is attached to datagrams.
func evacuationRow() row {
	set := evacuation.Set{Generation: 3, Revision: 1 << 30}
	for i := range domainCount - 1 {
		set.Domains = append(set.Domains, fmt.Sprintf("domain-%02d", i))
	}
	one := evacuation.Set{Generation: 3, Revision: 1 << 30, Domains: set.Domains[:1]}
	bytes := func(s evacuation.Set) int { return proto.Size(&wire.Datagram{Evacuations: s.ToWire()}) }
	return row{"measure=evacuation"}.with("one_domain_bytes", bytes(one)).with("most_domains_bytes", bytes(set))
}

// viewRow measures snapshots whose services have views of the given number of sets of regions.
func viewRow(n, sets int) (row, error) {
	now := time.UnixMilli(1_700_000_000_000)
	node, err := nodeWithMembers(n, now)
	if err != nil {
		return nil, err
	}
	b := largeBundle(serviceCount, 1)
	b.Accounts = map[string]bundle.Account{}
	for i := range sets {
		a := bundle.Account{}
		for region := range regionCount {
			if (i+1)>>region&1 == 1 {
				a.AllowedRegions = append(a.AllowedRegions, fmt.Sprintf("region-%d", region))
			}
		}
		b.Accounts[fmt.Sprintf("account-%d", i)] = a
	}
	b.SetDefaults()
	started := time.Now()
	computed := bundle.NewRegionSets(b)
	setsTook := time.Since(started)
	self := system.Self{NodeID: node.Self().NodeId, FailureDomain: node.Self().FailureDomain, Region: node.Self().Region}
	members := node.Records()
	var snapshot *table.Snapshot
	var times []float64
	before := settledHeapBytes()
	for i := range snapshotBuilds {
		started := time.Now()
		snapshot = system.BuildSnapshot(uint64(i), self, members, b, snapshot, now, firstSubset)
		times = append(times, micros(time.Since(started)))
	}
	heap := settledHeapBytes() - before
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(node)
	runtime.KeepAlive(members)
	runtime.KeepAlive(computed)
	return newRow("views", n).with("sets", computed.Len()).with("sets_us", micros(setsTook)).
		with("snapshot_build_us", quantile(times, 0.5)).with("heap_bytes", heap), nil
}
