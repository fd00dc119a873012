package node

import (
	"testing"
	"time"

	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/retry"
)

// crash reports from two nodes that a request has crashed their backend servers, and waits until all nodes refuse it.
func (f *departureFleet) crash(fingerprint []byte) {
	f.t.Helper()
	for i, id := range []string{"katalog-0", "katalog-1"} {
		f.nodes[i].onBackendCrash(gate.Backend{ID: id, Service: "katalog", Incarnation: 1}, [][]byte{fingerprint})
	}
	f.waitFor("all nodes refuse the request", func() bool { return f.countRefusing(fingerprint) == len(f.nodes) })
}

func (f *departureFleet) countRefusing(fingerprint []byte) int {
	refusing := 0
	for _, n := range f.nodes {
		if n.isQuarantined(fingerprint) {
			refusing++
		}
	}
	return refusing
}

func (f *departureFleet) restartAll() {
	f.t.Helper()
	for i := range f.nodes {
		f.kill(i)
	}
	for i := range f.nodes {
		f.start(i)
	}
}

// claimTrials asks all nodes for a trial for some time and returns the number of trials.
func (f *departureFleet) claimTrials(fingerprint []byte, d time.Duration) int {
	trials := 0
	for start := time.Now(); time.Since(start) < d; time.Sleep(5 * time.Millisecond) {
		for _, n := range f.nodes {
			if n.isQuarantined(fingerprint) {
				if ok, _ := n.claimTrial(f.t.Context(), fingerprint); ok {
					trials++
				}
			}
		}
	}
	return trials
}

// Guards against a request in quarantine that runs again after a restart of all nodes, more than once per trial, or without the
// store, and against a quarantine that a response does not end for good.
func TestQuarantineOutlivesRestarts(t *testing.T) {
	fingerprint := retry.FingerprintOf("GET", "example /crash", nil).Bytes()
	f := newDepartureFleet(t, 3)
	f.crash(fingerprint)
	f.waitFor("the store holds the request", func() bool {
		o, err := f.store.Get(t.Context(), quarantineKey)
		return err == nil && len(f.nodes[0].decodeQuarantineRecord(o.Value)) == 1
	})
	f.restartAll()
	f.waitFor("all nodes refuse the request after the restart", func() bool { return f.countRefusing(fingerprint) == 3 })
	f.store.SetDown(true)
	if trials := f.claimTrials(fingerprint, 1500*time.Millisecond); trials != 0 {
		t.Errorf("%d trials while the store was away", trials)
	}
	f.store.SetDown(false)
	if trials := f.claimTrials(fingerprint, 2*time.Second); trials != 1 {
		t.Errorf("%d trials when the first was due", trials)
	}
	f.restartAll()
	f.waitFor("all nodes refuse the request after the trial", func() bool { return f.countRefusing(fingerprint) == 3 })
	if trials := f.claimTrials(fingerprint, 2*time.Second); trials != 0 {
		t.Errorf("%d trials before the second was due", trials)
	}
	f.nodes[2].onRequestSuccess(fingerprint)
	f.waitFor("no node refuses the request", func() bool { return f.countRefusing(fingerprint) == 0 })
	f.waitFor("the store no longer holds the request", func() bool {
		o, err := f.store.Get(t.Context(), quarantineKey)
		return err == nil && len(f.nodes[0].decodeQuarantineRecord(o.Value)) == 0
	})
}

// Guards against a trial that is lost because no backend server could run it.
func TestUnusedTrialIsKept(t *testing.T) {
	fingerprint := retry.FingerprintOf("GET", "example /home", nil).Bytes()
	f := newDepartureFleet(t, 3)
	f.crash(fingerprint)
	f.waitFor("a trial is due", func() bool {
		ok, _ := f.nodes[1].claimTrial(t.Context(), fingerprint)
		return ok
	})
	f.nodes[1].returnTrial(fingerprint)
	for i, want := range []bool{false, true, false} {
		if ok, wait := f.nodes[i].claimTrial(t.Context(), fingerprint); ok != want || !ok && wait <= 0 {
			t.Errorf("node %d: trial %t, wait %v; want trial %t", i, ok, wait, want)
		}
	}
	if ok, _ := f.nodes[1].claimTrial(t.Context(), fingerprint); ok {
		t.Error("the trial was used twice")
	}
}

// Guards against a record of another writer that ends a node or keeps it from claiming trials.
func TestMalformedQuarantineRecord(t *testing.T) {
	fingerprint := retry.FingerprintOf("GET", "example /home", nil).Bytes()
	for _, value := range []string{`[[[[`, `{"entries":["AAAA","////"]}`, `{"entries":[""]}`, `7e999`} {
		f := newDepartureFleet(t, 2)
		if _, err := f.store.Put(t.Context(), quarantineKey, []byte(value), objectstore.MustNotExist); err != nil {
			t.Fatal(err)
		}
		f.restartAll()
		f.crash(fingerprint)
		f.waitFor("a trial is claimed", func() bool {
			ok, _ := f.nodes[0].claimTrial(t.Context(), fingerprint)
			return ok
		})
	}
}
