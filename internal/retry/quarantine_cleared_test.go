package retry

import (
	"testing"
	"time"
)

// Guards against quarantining a frequent request that only ran at the same time as one that crashes backend
// servers: after a response on any node, the crashes recorded for it no longer count.
func TestQuarantineClearsRequestsWithResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	frequent, crashing := FingerprintOf("GET", "/", nil), FingerprintOf("GET", "/crash", nil)
	q, remote := NewQuarantine(2, time.Minute), NewQuarantine(2, time.Minute)
	for _, endpoint := range []string{"a", "b"} {
		q.RecordCrash(frequent, endpoint, now)
		q.RecordCrash(crashing, endpoint, now)
	}
	if !q.Refuses(frequent, now) || !q.Refuses(crashing, now) {
		t.Fatal("a request was not quarantined after two crashes")
	}
	if !q.RecordSuccess(frequent) || q.RecordSuccess(frequent) {
		t.Error("want true for the first success and false for the second")
	}
	remote.Merge(q.Entries(now, 10), now)
	for name, table := range map[string]*Quarantine{"local": q, "merged": remote} {
		if table.Refuses(frequent, now) {
			t.Errorf("%s: a request that got a response is refused", name)
		}
		if !table.Refuses(crashing, now) {
			t.Errorf("%s: the crashing request is not refused", name)
		}
	}
}
