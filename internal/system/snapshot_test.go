package system

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	self  = Self{NodeID: "n1", FailureDomain: "oslo-a", Region: "ostlandet"}
)

func member(node, domain, region string, state wire.MemberState, service string) *wire.Member {
	return &wire.Member{
		NodeId: node, Incarnation: uint64(membership.NewIncarnation(start)), State: state,
		FailureDomain: domain, Region: region, PeerAddr: node + ":1", UdpAddr: node + ":2",
		Endpoints: []*wire.EndpointRecord{{Id: node + "-" + service, Service: service, Slots: 12}},
	}
}

func ids(s *table.Service) []string {
	var out []string
	for _, e := range s.Endpoints {
		out = append(out, e.ID)
	}
	return out
}

// Guards against endpoints of LEAVING or DEAD members in a snapshot, and against a wrong locality order.
func TestBuildSnapshotGroupsAndSorts(t *testing.T) {
	members := []*wire.Member{
		member("n4", "bergen-a", "vestlandet", wire.MemberState_ALIVE, "katalog"),
		member("n3", "oslo-b", "ostlandet", wire.MemberState_SUSPECT, "katalog"),
		member("n2", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog"),
		member("n1", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog"),
		member("n5", "oslo-a", "ostlandet", wire.MemberState_LEAVING, "katalog"),
		member("n6", "oslo-a", "ostlandet", wire.MemberState_DEAD, "katalog"),
		member("n7", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "unlisted"),
	}
	b := &bundle.Bundle{Version: 1, Services: map[string]bundle.Service{"katalog": {Slots: 12}, "empty": {}}}
	snap := BuildSnapshot(7, self, members, b, nil, start.Add(time.Hour), nil)

	katalog := snap.Service("katalog")
	want := []string{"n1-katalog", "n2-katalog", "n3-katalog", "n4-katalog"}
	if diff := cmp.Diff(want, ids(katalog)); diff != "" {
		t.Fatalf("endpoints (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([table.Localities]int{2, 3, 4}, katalog.LocalityEnd); diff != "" {
		t.Fatalf("locality ends (-want +got):\n%s", diff)
	}
	if !katalog.Endpoints[2].Stats.Suspect.Load() || katalog.Endpoints[0].Stats.Suspect.Load() {
		t.Error("only n3's endpoint is suspect")
	}
	if snap.Service("empty") == nil || snap.Service("unlisted") == nil {
		t.Error("services of the bundle and of members must both be present")
	}
}

// Guards against losing in-flight counts when a member refutes a suspicion, and against keeping them
// when its process restarts. Both raise the incarnation.
func TestBuildSnapshotKeepsStatsOfTheProcess(t *testing.T) {
	m := member("n2", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog")
	first := BuildSnapshot(1, self, []*wire.Member{m}, nil, nil, start, nil)
	old := first.Service("katalog").Endpoints[0]

	m.Incarnation++
	refuted := BuildSnapshot(2, self, []*wire.Member{m}, nil, first, start, nil)
	if got := refuted.Service("katalog").Endpoints[0]; got != old {
		t.Errorf("unchanged endpoint was replaced: %p, want %p", got, old)
	}
	m.Endpoints[0].Slots = 5
	resized := BuildSnapshot(3, self, []*wire.Member{m}, nil, refuted, start, nil)
	if got := resized.Service("katalog").Endpoints[0]; got == old || got.Stats != old.Stats || got.Slots != 5 {
		t.Errorf("resized endpoint must be a new object with the old Stats: %+v", got)
	}
	m.Incarnation = uint64(membership.NewIncarnation(start.Add(time.Second)))
	restarted := BuildSnapshot(4, self, []*wire.Member{m}, nil, resized, start.Add(time.Second), nil)
	got := restarted.Service("katalog").Endpoints[0]
	if got.Stats == old.Stats {
		t.Error("a restarted process must get new Stats")
	}
	if got.Stats.AdmittedAt.Load() != start.Add(time.Second).UnixNano() {
		t.Errorf("slow start begins at %d, want the start of the process", got.Stats.AdmittedAt.Load())
	}
}

// Guards against two entries for one endpoint after its VM was replaced under another node ID.
func TestBuildSnapshotKeepsNewestOfDuplicates(t *testing.T) {
	older := member("n2", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog")
	replacement := member("n9", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog")
	replacement.Endpoints[0].Id = older.Endpoints[0].Id
	replacement.Incarnation = uint64(membership.NewIncarnation(start.Add(time.Minute)))
	for _, members := range [][]*wire.Member{{older, replacement}, {replacement, older}} {
		snap := BuildSnapshot(1, self, members, nil, nil, start, nil)
		endpoints := snap.Service("katalog").Endpoints
		if len(endpoints) != 1 || endpoints[0].NodeID != "n9" {
			t.Errorf("got %v, want only the endpoint of n9", ids(snap.Service("katalog")))
		}
	}
}

// Guards against ignoring the subset function or passing it a wrong size.
func TestBuildSnapshotSubset(t *testing.T) {
	b := &bundle.Bundle{Policy: bundle.Policy{SubsetSize: 1}}
	members := []*wire.Member{
		member("n1", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog"),
		member("n2", "oslo-a", "ostlandet", wire.MemberState_ALIVE, "katalog"),
	}
	last := func(_ Self, _ string, c []*table.Endpoint, size int) []*table.Endpoint { return c[len(c)-size:] }
	snap := BuildSnapshot(1, self, members, b, nil, start, last)
	if diff := cmp.Diff([]string{"n2-katalog"}, ids(snap.Service("katalog"))); diff != "" {
		t.Errorf("subset (-want +got):\n%s", diff)
	}
}
