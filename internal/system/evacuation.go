package system

import (
	"time"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// OutsideOf returns the members outside of the evacuated failure domains. It returns members itself if nothing is evacuated.
func OutsideOf(evacuated evacuation.Set, members []*wire.Member) []*wire.Member {
	if len(evacuated.Domains) == 0 {
		return members
	}
	var outside []*wire.Member
	for _, m := range members {
		if !evacuated.Contains(m.FailureDomain) {
			outside = append(outside, m)
		}
	}
	return outside
}

// Retire marks the endpoints of prev in evacuated failure domains as draining, so that requests that hold an older snapshot
// send them no further attempt. prev may be nil.
func Retire(prev *table.Snapshot, evacuated evacuation.Set) {
	if prev == nil || len(evacuated.Domains) == 0 {
		return
	}
	for _, service := range prev.Services {
		for _, e := range service.AllEndpoints() {
			if evacuated.Contains(e.FailureDomain) {
				e.Stats.Draining.Store(true)
			}
		}
	}
}

// Readmit begins the slow start, at now, of the endpoints of next that prev lacks and whose failure domain was evacuated when
// prev was built. Otherwise a domain whose evacuation has ended would at once get its full share of the requests, or more,
// because its endpoints look idle. prev may be nil.
func Readmit(next, prev *table.Snapshot, evacuated evacuation.Set, now time.Time) {
	if prev == nil || len(evacuated.Domains) == 0 {
		return
	}
	for name, service := range next.Services {
		known := map[string]bool{}
		if before := prev.Service(name); before != nil {
			for _, e := range before.AllEndpoints() {
				known[e.ID] = true
			}
		}
		for _, e := range service.AllEndpoints() {
			if evacuated.Contains(e.FailureDomain) && !known[e.ID] {
				e.Stats.AdmittedAt.Store(steady.Nanos(now))
			}
		}
	}
}
