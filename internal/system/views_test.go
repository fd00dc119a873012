package system

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

var testRegions = []string{"east", "north", "west"}

func drawRegions(rt *rapid.T, label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(testRegions), 0, 3, rapid.ID).Draw(rt, label)
}

func drawRegionalBundle(rt *rapid.T) *bundle.Bundle {
	b := &bundle.Bundle{Version: 1, Services: map[string]bundle.Service{"katalog": {}, "ordre": {}}, Accounts: map[string]bundle.Account{}}
	b.Policy.SubsetSize = rapid.IntRange(1, 12).Draw(rt, "subset size")
	for i := range rapid.IntRange(1, 5).Draw(rt, "routes") {
		name := fmt.Sprint("route-", i)
		service := rapid.SampledFrom([]string{"katalog", "ordre"}).Draw(rt, "service")
		b.Routes = append(b.Routes, bundle.Route{Name: name, Service: service, PathPrefix: "/" + name, AllowedRegions: drawRegions(rt, "of route")})
	}
	for i := range rapid.IntRange(0, 4).Draw(rt, "accounts") {
		b.Accounts[fmt.Sprint("account-", i)] = bundle.Account{AllowedRegions: drawRegions(rt, "of account")}
	}
	b.SetDefaults()
	return b
}

func drawMembers(rt *rapid.T) []*wire.Member {
	var members []*wire.Member
	for i := range rapid.IntRange(0, 30).Draw(rt, "members") {
		region := rapid.SampledFrom(testRegions).Draw(rt, "region")
		members = append(members, &wire.Member{
			NodeId: fmt.Sprint("node-", i), Region: region, FailureDomain: region + rapid.SampledFrom([]string{"-a", "-b"}).Draw(rt, "domain"),
			State:     wire.MemberState_ALIVE,
			Endpoints: []*wire.EndpointRecord{{Id: fmt.Sprint("e-", i), Service: rapid.SampledFrom([]string{"katalog", "ordre"}).Draw(rt, "announced")}},
		})
	}
	return members
}

// Guards against a view with an endpoint outside the regions that a route and an account allow, one with fewer endpoints
// than the allowed regions have, and one whose statistics differ from those of the other views.
func TestViewsHoldOnlyAllowedEndpoints(t *testing.T) {
	self := Self{NodeID: "self", FailureDomain: "east-a", Region: "east"}
	subset := func(self Self, _ string, candidates []*table.Endpoint, size int) []*table.Endpoint {
		return balance.Subset(self.NodeID, candidates, size)
	}
	rapid.Check(t, func(rt *rapid.T) {
		b, members := drawRegionalBundle(rt), drawMembers(rt)
		first := BuildSnapshot(1, self, members, b, nil, time.Now(), subset)
		snap := BuildSnapshot(2, self, members, b, first, time.Now(), subset)
		accounts := []bundle.Account{{}}
		for _, a := range b.Accounts {
			accounts = append(accounts, a)
		}
		for _, r := range b.Routes {
			for _, a := range accounts {
				checkView(rt, snap, &r, a, members, b.Policy.SubsetSize)
			}
		}
		checkSharedStats(rt, first, snap)
	})
}

func checkView(rt *rapid.T, snap *table.Snapshot, r *bundle.Route, a bundle.Account, members []*wire.Member, size int) {
	allowed := func(region string) bool {
		return (len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)) &&
			(len(a.AllowedRegions) == 0 || slices.Contains(a.AllowedRegions, region))
	}
	regions, view := snap.View(r.Service, r.AllowedRegions, a.AllowedRegions)
	if restricted := len(r.AllowedRegions)+len(a.AllowedRegions) > 0; restricted != (regions != nil) {
		rt.Fatalf("route %v, account %v: regions %v", r.AllowedRegions, a.AllowedRegions, regions)
	}
	available := 0
	for _, m := range members {
		if m.Endpoints[0].Service == r.Service && allowed(m.Region) {
			available++
		}
	}
	got := 0
	if view != nil {
		got = len(view.Endpoints)
		for _, e := range view.Endpoints {
			if !allowed(e.Region) || e.Stats == nil {
				rt.Fatalf("route %v, account %v: endpoint %+v", r.AllowedRegions, a.AllowedRegions, e)
			}
		}
		byLocality := func(x, y *table.Endpoint) int { return cmp.Compare(x.Locality, y.Locality) }
		if view.LocalityEnd != balance.LocalityEnds(view.Endpoints) || !slices.IsSortedFunc(view.Endpoints, byLocality) {
			rt.Fatalf("ends of localities %v", view.LocalityEnd)
		}
	}
	if want := min(available, size); got != want {
		rt.Fatalf("route %v, account %v: %d endpoints, want %d", r.AllowedRegions, a.AllowedRegions, got, want)
	}
}

// checkSharedStats checks that each endpoint has the same Stats in all views of two successive snapshots.
func checkSharedStats(rt *rapid.T, snapshots ...*table.Snapshot) {
	stats := map[string]*table.Stats{}
	for _, snap := range snapshots {
		for name, service := range snap.Services {
			for view := range service.WithViews() {
				for _, e := range view.Endpoints {
					key := name + " " + e.ID
					if known := stats[key]; known != nil && known != e.Stats {
						rt.Fatalf("endpoint %s has two sets of statistics", key)
					}
					stats[key] = e.Stats
				}
			}
		}
	}
}

// Guards against a request that is sent to another region because its route belongs to a bundle that the snapshot does not
// have.
func TestViewOfAnotherBundle(t *testing.T) {
	m := &wire.Member{NodeId: "n", Region: "east", State: wire.MemberState_ALIVE, Endpoints: []*wire.EndpointRecord{{Id: "e", Service: "katalog"}}}
	snap := BuildSnapshot(1, Self{FailureDomain: "east-a", Region: "east"}, []*wire.Member{m}, nil, nil, time.Now(), nil)
	if regions, view := snap.View("katalog", []string{"west"}, nil); len(view.Endpoints) != 0 || !slices.Equal(regions, []string{"west"}) {
		t.Errorf("regions %v, endpoints %v", regions, view.Endpoints)
	}
	if _, view := snap.View("katalog", []string{"west", "east"}, []string{"east"}); len(view.Endpoints) != 1 || view.LocalityEnd != [table.Localities]int{0, 1, 1} {
		t.Errorf("view %+v", view)
	}
}

// Guards against allocations for each request that is restricted to regions.
func TestViewLookupDoesNotAllocate(t *testing.T) {
	b := &bundle.Bundle{Services: map[string]bundle.Service{"katalog": {}}, Routes: []bundle.Route{{Name: "r", Service: "katalog", AllowedRegions: []string{"east", "west"}}},
		Accounts: map[string]bundle.Account{"a": {AllowedRegions: []string{"west"}}}}
	b.SetDefaults()
	m := &wire.Member{NodeId: "n", Region: "west", State: wire.MemberState_ALIVE, Endpoints: []*wire.EndpointRecord{{Id: "e", Service: "katalog"}}}
	snap := BuildSnapshot(1, Self{Region: "east"}, []*wire.Member{m}, b, nil, time.Now(), nil)
	route, account := b.Routes[0].AllowedRegions, b.Accounts["a"].AllowedRegions
	var view *table.Service
	if allocations := testing.AllocsPerRun(100, func() { _, view = snap.View("katalog", route, account) }); allocations > 0 || len(view.Endpoints) != 1 {
		t.Errorf("%v allocations, view %+v", allocations, view)
	}
}
