package balance

import (
	"fmt"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// newViewedService returns a service with five endpoints in the local region and a view of the first two of them.
func newViewedService(now int64) *table.Service {
	svc := &table.Service{Name: "katalog"}
	for i := range 5 {
		e := &table.Endpoint{ID: fmt.Sprint("e", i), Locality: table.SameRegion, Stats: &table.Stats{}}
		e.Stats.LatencyNanos.Store(int64(10 * time.Millisecond))
		e.Stats.LatencyUpdatedAt.Store(now)
		svc.Endpoints = append(svc.Endpoints, e)
	}
	svc.Views = []*table.Service{nil, {Name: "katalog", Endpoints: svc.Endpoints[:2]}}
	return svc
}

// Guards against a slow endpoint that is never ejected, because it is also in a view with too few endpoints to compare it.
func TestSlowEndpointInASmallViewIsEjected(t *testing.T) {
	now := int64(time.Hour)
	svc := newViewedService(now)
	policy := bundle.Policy{EjectShare: 0.5, EjectFor: bundle.Duration(time.Second)}
	for end := now + int64(2*minSlowDuration); now < end; now += int64(50 * time.Millisecond) {
		for _, e := range svc.Endpoints {
			e.Stats.LatencyUpdatedAt.Store(now)
		}
		svc.Endpoints[0].Stats.LatencyNanos.Store(int64(time.Second))
		if events := EjectService(now, svc, policy); len(events) > 0 {
			if len(events) != 1 || events[0].Endpoint != svc.Endpoints[0] || events[0].Reason != EjectLatency {
				t.Errorf("events %+v", events)
			}
			return
		}
	}
	t.Error("the slow endpoint is not ejected")
}

// Guards against an endpoint that is ejected in the service and re-admitted in a view without room in the same pass, which clears
// its statistics, begins a slow start and is logged, again and again.
func TestEndpointOfAViewWithoutRoomIsNotEjected(t *testing.T) {
	now := int64(time.Hour)
	svc := newViewedService(now)
	for _, e := range svc.Endpoints[1:3] {
		e.Stats.ConsecutiveFailures.Store(9)
	}
	policy := bundle.Policy{EjectConsecutiveFailures: 5, EjectShare: 0.4, EjectFor: bundle.Duration(time.Second)}
	events := EjectService(now, svc, policy)
	if len(events) != 1 || events[0].Endpoint != svc.Endpoints[2] || svc.Endpoints[1].Stats.AdmittedAt.Load() != 0 {
		t.Errorf("events %+v, e1 admitted at %d", events, svc.Endpoints[1].Stats.AdmittedAt.Load())
	}
}

// Shows the processor time of a pass over a service with 4 views of 24 endpoints, as the engine makes 20 times a second.
func BenchmarkEjectService(b *testing.B) {
	for _, use := range []struct {
		name string
		age  int64 // of the latencies
	}{{"busy", 0}, {"quiet", int64(time.Minute)}} {
		b.Run(use.name, func(b *testing.B) {
			now := int64(time.Hour)
			svc := &table.Service{Name: "katalog", Views: make([]*table.Service, 4)}
			for v := range svc.Views {
				svc.Views[v] = &table.Service{Name: "katalog"}
				for i := range 24 {
					e := &table.Endpoint{ID: fmt.Sprint("e", v, i), Locality: table.SameRegion, Stats: &table.Stats{}}
					e.Stats.LatencyNanos.Store(int64(10 * time.Millisecond))
					e.Stats.LatencyUpdatedAt.Store(now - use.age)
					svc.Views[v].Endpoints = append(svc.Views[v].Endpoints, e)
				}
			}
			svc.Endpoints = svc.Views[0].Endpoints
			policy := bundle.Policy{EjectConsecutiveFailures: 5, EjectShare: 0.3, EjectFor: bundle.Duration(time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				EjectService(now, svc, policy)
			}
		})
	}
}
