package retry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"dandelionspoke/internal/wire"
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

// Guards against a crashing request that is never quarantined after one response to an equal request, and against entries
// of other nodes that bring back crashes from before the response.
func TestCrashesAfterAResponseCount(t *testing.T) {
	now := time.Unix(1000, 0)
	f := FingerprintOf("GET", "/crash", nil)
	q, remote := NewQuarantine(2, time.Minute), NewQuarantine(2, time.Minute)
	q.RecordCrash(f, "a@1", now)
	q.RecordCrash(f, "b@1", now)
	remote.Merge(q.Entries(now, 10), now)
	q.RecordSuccess(f)
	q.Merge(remote.Entries(now, 10), now)
	if q.Refuses(f, now) {
		t.Error("an entry of another node brought back crashes from before the response")
	}
	if q.RecordCrash(f, "a@1", now); q.Refuses(f, now) {
		t.Error("a crash counts again that was reported a second time")
	}
	q.RecordCrash(f, "c@1", now)
	if !q.RecordCrash(f, "a@2", now) || !q.Refuses(f, now) {
		t.Error("not quarantined after two crashes since the response, one of them of a server that has restarted")
	}
	remote.Merge(q.Entries(now, 10), now)
	if !remote.Refuses(f, now) {
		t.Error("the other node does not refuse the request")
	}
}

// Guards against crashes that stop counting because many have been recorded.
func TestManyCrashesAndResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	f := FingerprintOf("GET", "/crash", nil)
	q := NewQuarantine(2, time.Minute)
	for n := range 5 * maxVictims {
		if q.RecordCrash(f, fmt.Sprintf("a@%d", n), now); q.Refuses(f, now) {
			t.Fatalf("refused after one crash since the last response, the %dth in all", n)
		}
		q.RecordSuccess(f)
	}
	q.RecordCrash(f, "b@1", now)
	q.RecordCrash(f, "c@1", now)
	if !q.Refuses(f, now) {
		t.Error("two crashes without a response in between do not count")
	}
}

// Guards against a crashing request that is never quarantined because equal requests of another caller are served.
func TestCallersAreQuarantinedApart(t *testing.T) {
	f := FingerprintOf("GET", "/crash", nil)
	a, b := CallerFingerprint(f, "katalog"), CallerFingerprint(f, "ordre")
	if a == b || a == f || a != CallerFingerprint(f, "katalog") {
		t.Errorf("fingerprints %x, of two callers %x and %x", f, a, b)
	}
}

// Guards against an entry of another node with a huge number of trials that holds the table for seconds.
func TestManyTrialsOfAnotherNode(t *testing.T) {
	now := time.Unix(1000, 0)
	f := FingerprintOf("GET", "/crash", nil)
	q := NewQuarantine(2, time.Minute)
	q.Merge([]*wire.QuarantineEntry{{
		Fingerprint: f.Bytes(), ExpiresUnixMs: uint64(now.Add(time.Minute).UnixMilli()), Deaths: 2, Victims: []uint64{1, 2}, Trials: math.MaxUint32,
	}}, now)
	start := time.Now()
	if _, ok := q.TrialWait([]Fingerprint{f}, now); ok || time.Since(start) > 100*time.Millisecond {
		t.Errorf("trial %t after %v; want none at once", ok, time.Since(start))
	}
}
