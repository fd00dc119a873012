package balance

import (
	"slices"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// ejectionList is the state of one list of endpoints, a service or a view of it, during a pass.
type ejectionList struct {
	endpoints []*table.Endpoint
	medians   [table.Localities]float64
	room      int // endpoints that may still be ejected
	live      int // endpoints that are neither ejected nor draining nor suspect
}

// EjectService is Eject for a service with its views. Each limit holds in every view, since the requests of a view have no other
// endpoints: an endpoint is ejected only if all views that hold it have room. It counts as slow if it is in one of them, so that
// one pass decides once; the views share its statistics.
func EjectService(now int64, svc *table.Service, p bundle.Policy) []EjectEvent {
	if len(svc.Views) == 0 {
		return Eject(now, svc.Endpoints, p)
	}
	if allQuiet(now, svc) {
		return nil
	}
	var events []EjectEvent
	lists := make([]ejectionList, 0, 1+len(svc.Views))
	for view := range svc.WithViews() {
		l := ejectionList{endpoints: view.Endpoints, medians: medianLatencies(now, view.Endpoints)}
		lists = append(lists, l)
		ejected, _ := ejectedAndLive(l.endpoints)
		for len(ejected) > MaxEjected(len(l.endpoints), p.EjectShare) {
			events = append(events, readmitEarliest(now, &ejected))
		}
	}
	for i := range lists {
		ejected, live := ejectedAndLive(lists[i].endpoints)
		lists[i].room, lists[i].live = MaxEjected(len(lists[i].endpoints), p.EjectShare)-len(ejected), live
	}
	for i := range lists {
		for _, e := range lists[i].endpoints {
			if isEjected(e.Stats) {
				continue
			}
			resetEjectionCount(e.Stats, now)
			reason, isOutlier := outlier(now, e.Stats, medianFor(now, lists, e), p)
			if isOutlier && takeRoom(lists, e) {
				events = append(events, EjectEvent{e, reason, eject(now, e.Stats, p.EjectFor.D())})
			}
		}
	}
	return events
}

// medianFor returns the lowest known median of the lists that hold e, or another one if e is slow compared with none.
func medianFor(now int64, lists []ejectionList, e *table.Endpoint) float64 {
	lowest := lowestMedian(lists, e.Locality, func(*ejectionList) bool { return true })
	if !isSlow(now, e.Stats, lowest) {
		return lowest
	}
	return lowestMedian(lists, e.Locality, func(l *ejectionList) bool { return slices.Contains(l.endpoints, e) })
}

// lowestMedian returns the lowest known median of the lists for which holds returns true; 0 if none is known.
func lowestMedian(lists []ejectionList, locality table.Locality, holds func(*ejectionList) bool) (lowest float64) {
	for i := range lists {
		if m := lists[i].medians[locality]; m > 0 && (lowest == 0 || m < lowest) && holds(&lists[i]) {
			lowest = m
		}
	}
	return lowest
}

// takeRoom reports whether all lists that hold e permit its ejection, and counts it in them if they do.
func takeRoom(lists []ejectionList, e *table.Endpoint) bool {
	live := isLive(e.Stats)
	var holding []*ejectionList
	for i := range lists {
		if l := &lists[i]; slices.Contains(l.endpoints, e) {
			if l.room <= 0 || live && l.live <= 1 {
				return false
			}
			holding = append(holding, l)
		}
	}
	for _, l := range holding {
		l.room--
		if live {
			l.live--
		}
	}
	return true
}

// allQuiet reports whether a pass over the service and its views would change nothing. It does not allocate: a node holds the
// endpoints of all services, but uses few of them.
func allQuiet(now int64, svc *table.Service) bool {
	for view := range svc.WithViews() {
		for _, e := range view.Endpoints {
			if !isQuiet(now, e.Stats) {
				return false
			}
		}
	}
	return true
}

func isQuiet(now int64, s *table.Stats) bool {
	return now-s.LatencyUpdatedAt.Load() > int64(maxLatencyAge) && s.OwnInFlight.Load() == 0 && s.ConsecutiveFailures.Load() == 0 &&
		s.SlowSince.Load() == 0 && s.EjectionCount.Load() == 0 && !isEjected(s)
}
