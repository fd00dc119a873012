package system

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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
