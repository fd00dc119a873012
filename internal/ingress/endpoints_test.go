package ingress

import (
	"testing"
	"time"

	"dandelionspoke/internal/table"
)

// Guards against a node that refuses requests right after its start because it does not know the endpoints yet, and
// against a node that delays requests without an endpoint later on.
func TestRequestsWaitForTheFirstEndpoints(t *testing.T) {
	published := func(endpoints ...*table.Endpoint) *table.Snapshot {
		return &table.Snapshot{Services: map[string]*table.Service{"katalog": {Endpoints: endpoints}}}
	}
	var snapshots table.Publisher
	snapshots.Store(published())
	in := New(Config{Snapshots: &snapshots})
	time.AfterFunc(100*time.Millisecond, func() { snapshots.Store(published(&table.Endpoint{ID: "a"})) })
	q := &request{serviceName: "katalog", snapshot: snapshots.Load(), service: snapshots.Load().Service("katalog")}
	in.awaitEndpoints(t.Context(), q)
	if len(q.service.Endpoints) != 1 {
		t.Errorf("%d endpoints after the wait", len(q.service.Endpoints))
	}
	in.startedAt = time.Now().Add(-startupEndpointWait)
	startedAt := time.Now()
	in.awaitEndpoints(t.Context(), &request{serviceName: "arkiv", snapshot: snapshots.Load()})
	if waited := time.Since(startedAt); waited > 50*time.Millisecond {
		t.Errorf("request delayed for %s", waited)
	}
}
