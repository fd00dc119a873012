package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"dandelionspoke/internal/wire"
)

// Guards against nodes that send each other their versions of an entry forever, because the merged entry depends on the order
// in which they arrive.
func TestQuarantineMergeIsOrderIndependent(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	draw := func(t *rapid.T, label string) *wire.QuarantineEntry {
		e := &wire.QuarantineEntry{
			Fingerprint: []byte("f"), ExpiresUnixMs: uint64(now.Add(time.Minute).UnixMilli()), Deaths: rapid.Uint32Range(1, 3).Draw(t, label+"deaths"),
		}
		for _, victim := range rapid.SliceOfDistinct(rapid.Uint64Range(1, 6), rapid.ID[uint64]).Draw(t, label+"victims") {
			e.Victims = append(e.Victims, victim)
			if rapid.Bool().Draw(t, label+"cleared") {
				e.ClearedVictims = append(e.ClearedVictims, victim)
			}
		}
		e.Cleared = len(e.Victims) > 0 && len(e.Victims) == len(e.ClearedVictims)
		e.Trials, e.ClearedTrials = rapid.Uint32Range(0, 3).Draw(t, label+"trials"), rapid.Uint32Range(0, 3).Draw(t, label+"clearedTrials")
		return e
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		first, second := newQuarantine(), newQuarantine()
		first.add(now, a)
		first.add(now, b)
		second.add(now, b)
		second.add(now, a)
		x, y := first.entries["f"].entry, second.entries["f"].entry
		if !proto.Equal(x, y) {
			t.Errorf("%v and %v", x, y)
		}
		if first.add(now, proto.CloneOf(y)) || first.add(now, proto.CloneOf(a)) || first.add(now, proto.CloneOf(b)) {
			t.Error("an entry that is known changes the table again")
		}
	})
}

// Guards against a crash after a response that other nodes take for cleared, because an earlier state of the entry was.
func TestCrashAfterAResponseIsNotCleared(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	entry := func(victims, cleared []uint64) *wire.QuarantineEntry {
		return &wire.QuarantineEntry{
			Fingerprint: []byte("f"), ExpiresUnixMs: uint64(now.Add(time.Minute).UnixMilli()), Deaths: 1,
			Victims: victims, ClearedVictims: cleared, Cleared: len(victims) == len(cleared),
		}
	}
	q := newQuarantine()
	q.add(now, entry([]uint64{1, 2}, []uint64{1, 2}))
	if !q.add(now, entry([]uint64{1, 3}, nil)) {
		t.Fatal("a further crash changed nothing")
	}
	e := q.entries["f"].entry
	if e.Cleared || len(e.Victims) != 3 || len(e.ClearedVictims) != 2 {
		t.Errorf("after a further crash: %v", e)
	}
}

// Guards against a request that crashes backend servers and of which the other nodes don't learn, because many requests were in
// flight at earlier crashes.
func TestFullQuarantineTakesRequestsWithMoreCrashes(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	entry := func(name string, victims ...uint64) *wire.QuarantineEntry {
		return &wire.QuarantineEntry{
			Fingerprint: []byte(name), ExpiresUnixMs: uint64(now.Add(time.Minute).UnixMilli()), Deaths: uint32(len(victims)), Victims: victims,
		}
	}
	q := newQuarantine()
	for i := range maxQuarantineEntries {
		q.add(now, entry(fmt.Sprint("other ", i), 1))
	}
	if q.add(now, entry("another", 1)) {
		t.Error("an entry with as many crashes replaced another")
	}
	if !q.add(now, entry("crashing", 1, 2)) || q.entries["crashing"] == nil || len(q.entries) != maxQuarantineEntries {
		t.Errorf("an entry with two crashes was not taken; %d entries", len(q.entries))
	}
}
