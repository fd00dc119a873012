package retry

import (
	"testing"
	"time"
)

// Guards against refusing a popular request that only ran beside the one that crashes servers: once it has
// been answered, on this node or another, its deaths don't count.
func TestQuarantineClearsAnsweredRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	popular, poison := FingerprintOf("GET", "/", nil), FingerprintOf("GET", "/crash", nil)
	q, other := NewQuarantine(2, time.Minute), NewQuarantine(2, time.Minute)
	for _, endpoint := range []string{"a", "b"} {
		q.RecordCrash(popular, endpoint, now)
		q.RecordCrash(poison, endpoint, now)
	}
	if !q.Refuses(popular, now) || !q.Refuses(poison, now) {
		t.Fatal("two deaths must put a request into quarantine")
	}
	if !q.RecordSuccess(popular) || q.RecordSuccess(popular) {
		t.Error("only the first answer changes the entry")
	}
	other.Merge(q.Entries(now, 10), now)
	for name, table := range map[string]*Quarantine{"local": q, "merged": other} {
		if table.Refuses(popular, now) {
			t.Errorf("%s: an answered request is refused", name)
		}
		if !table.Refuses(poison, now) {
			t.Errorf("%s: the crashing request is not refused", name)
		}
	}
}
