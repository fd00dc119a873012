package ingress

import (
	"testing"
	"time"

	"dandelionspoke/internal/table"
)

// Guards against a node that refuses the requests of its first moments for want of endpoints, although it is about to
// learn them, and against one that holds requests which it can't serve.
func TestRequestsWaitForTheFirstEndpoints(t *testing.T) {
	published := func(endpoints ...*table.Endpoint) *table.Snapshot {
		return &table.Snapshot{Services: map[string]*table.Service{"katalog": {Endpoints: endpoints}}}
	}
	var snapshots table.Publisher
	snapshots.Store(published())
	in := New(Config{Snapshots: &snapshots})
	time.AfterFunc(100*time.Millisecond, func() { snapshots.Store(published(&table.Endpoint{ID: "a"})) })
	q := &request{to: "katalog", snapshot: snapshots.Load(), service: snapshots.Load().Service("katalog")}
	in.awaitEndpoints(t.Context(), q)
	if len(q.service.Endpoints) != 1 {
		t.Errorf("%d endpoints after the wait", len(q.service.Endpoints))
	}
	in.started = time.Now().Add(-firstEndpointsWait)
	began := time.Now()
	in.awaitEndpoints(t.Context(), &request{to: "arkiv", snapshot: snapshots.Load()})
	if held := time.Since(began); held > 50*time.Millisecond {
		t.Errorf("held for %s", held)
	}
}
