package system

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// Guards against retries and hedges of requests that hold an older snapshot and go to an evacuated domain, and against a domain
// that gets its full share at once when its evacuation ends.
func TestSnapshotsAroundAnEvacuation(t *testing.T) {
	members := []*wire.Member{
		member("n1", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog"),
		member("n2", "oslo-b", "ostlandet", wire.MemberState_ALIVE, "katalog"),
	}
	evacuated := evacuation.Set{Revision: 1, Domains: []string{"oslo-b"}}
	now := start.Add(time.Hour)
	build := func(e evacuation.Set, prev *table.Snapshot) *table.Snapshot {
		return BuildSnapshot(1, self, OutsideOf(e, members), nil, prev, now, nil)
	}
	before := build(evacuation.Set{}, nil)
	during := build(evacuated, before)
	Retire(before, evacuated)
	if diff := cmp.Diff([]string{"n1-katalog"}, ids(during.Service("katalog"))); diff != "" {
		t.Errorf("during the evacuation (-want +got):\n%s", diff)
	}
	if old := before.Service("katalog").Endpoints; old[0].Stats.Draining.Load() || !old[1].Stats.Draining.Load() {
		t.Error("an older snapshot does not mark exactly the evacuated endpoint")
	}
	after := build(evacuation.Set{Revision: 2}, during)
	Readmit(after, during, evacuated, now)
	stayed, returned := after.Service("katalog").Endpoints[0].Stats, after.Service("katalog").Endpoints[1].Stats
	if returned.Draining.Load() || returned.AdmittedAt.Load() != steady.Nanos(now) || stayed.AdmittedAt.Load() == steady.Nanos(now) {
		t.Errorf("after the end: draining %v, admitted at %d and %d", returned.Draining.Load(), returned.AdmittedAt.Load(), stayed.AdmittedAt.Load())
	}
}

// Guards against endpoints that only the view of a set of regions holds, and that an evacuation leaves out: requests with an
// older snapshot still use them, and their domain returns without a slow start.
func TestEvacuationAppliesToViews(t *testing.T) {
	b := &bundle.Bundle{
		Version: 1, Services: map[string]bundle.Service{"katalog": {}},
		Routes: []bundle.Route{{Name: "all", Service: "katalog", PathPrefix: "/", AllowedRegions: []string{"vestlandet"}}},
	}
	b.SetDefaults()
	var members []*wire.Member
	for i := range 4 {
		members = append(members, member(fmt.Sprint("n", i), "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog"),
			member(fmt.Sprint("v", i), "bergen-a", "vestlandet", wire.MemberState_ALIVE, "katalog"))
	}
	localOnly := func(_ Self, _ string, candidates []*table.Endpoint, _ int) []*table.Endpoint {
		if local := table.InRegions(candidates, []string{"ostlandet"}); len(local) > 0 {
			return local
		}
		return candidates
	}
	evacuated := evacuation.Set{Revision: 1, Domains: []string{"bergen-a"}}
	now := start.Add(time.Hour)
	build := func(e evacuation.Set, prev *table.Snapshot) *table.Snapshot {
		return BuildSnapshot(1, self, OutsideOf(e, members), b, prev, now, localOnly)
	}
	view := func(s *table.Snapshot) []*table.Endpoint {
		_, v := s.View("katalog", []string{"vestlandet"}, nil)
		return v.Endpoints
	}
	before := build(evacuation.Set{}, nil)
	during := build(evacuated, before)
	Retire(before, evacuated)
	if len(view(before)) != 4 || len(view(during)) != 0 {
		t.Fatalf("%d endpoints before and %d during the evacuation", len(view(before)), len(view(during)))
	}
	after := build(evacuation.Set{Revision: 2}, during)
	Readmit(after, during, evacuated, now)
	for i, e := range view(before) {
		if !e.Stats.Draining.Load() || view(after)[i].Stats.AdmittedAt.Load() != steady.Nanos(now) {
			t.Errorf("%s: draining %v in the older snapshot, admitted at %d", e.ID, e.Stats.Draining.Load(), view(after)[i].Stats.AdmittedAt.Load())
		}
	}
}
