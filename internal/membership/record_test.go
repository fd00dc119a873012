package membership

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"dandelionspoke/internal/wire"
)

const (
	alive   = wire.MemberState_ALIVE
	suspect = wire.MemberState_SUSPECT
	leaving = wire.MemberState_LEAVING
	dead    = wire.MemberState_DEAD
)

func record(incarnation uint64, state wire.MemberState) *wire.Member {
	return &wire.Member{NodeId: "n", Incarnation: incarnation, State: state, UdpAddr: "10.0.0.1:1"}
}

// Guards the precedence of records: only a higher incarnation reverts LEAVING or DEAD.
func TestMergePrecedence(t *testing.T) {
	for _, test := range []struct {
		name       string
		a, b, want *wire.Member
	}{
		{"suspicion of the same incarnation", record(5, alive), record(5, suspect), record(5, suspect)},
		{"refutation", record(5, suspect), record(6, alive), record(6, alive)},
		{"old suspicion", record(6, alive), record(5, suspect), record(6, alive)},
		{"leaving over suspect", record(5, suspect), record(5, leaving), record(5, leaving)},
		{"leaving is final", record(5, leaving), record(5, alive), record(5, leaving)},
		{"undrain", record(5, leaving), record(6, alive), record(6, alive)},
		{"dead over leaving", record(5, leaving), record(5, dead), record(5, dead)},
		{"old gossip does not revive a dead node", record(5, dead), record(5, alive), record(5, dead)},
		{"restart", record(5, dead), record(9, alive), record(9, alive)},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, got := range []*wire.Member{Merge(test.a, test.b), Merge(test.b, test.a)} {
				if diff := cmp.Diff(test.want, got, protocmp.Transform()); diff != "" {
					t.Errorf("merge (-want +got):\n%s", diff)
				}
			}
		})
	}
}

func drawRecord(t *rapid.T, label string) *wire.Member {
	m := record(rapid.Uint64Range(0, 3).Draw(t, label+"incarnation"), wire.MemberState(rapid.Int32Range(0, 3).Draw(t, label+"state")))
	m.BundleVersion = rapid.Uint64Range(0, 2).Draw(t, label+"bundle")
	m.UdpAddr = rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1"}).Draw(t, label+"address")
	m.Endpoints = []*wire.EndpointRecord{{Id: "e", Slots: rapid.Uint32Range(1, 2).Draw(t, label+"slots")}}
	for range rapid.IntRange(0, maxDepartures).Draw(t, label+"departures") {
		id := rapid.SampledFrom([]string{"e", "f"}).Draw(t, label+"departed")
		m.Departures = mergeDepartures(m.Departures, []*wire.Departure{departure(id, rapid.Int64Range(1, 4).Draw(t, label+"born"))})
	}
	m.DeparturesKnown = rapid.Bool().Draw(t, label+"known")
	return m
}

// Guards against tables that depend on the order or number of times in which records arrive.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		originals := []*wire.Member{proto.CloneOf(a), proto.CloneOf(b), proto.CloneOf(c)}
		ab := Merge(a, b)
		if !proto.Equal(ab, Merge(b, a)) {
			t.Errorf("not commutative: %v, %v", a, b)
		}
		if !proto.Equal(Merge(ab, c), Merge(a, Merge(b, c))) {
			t.Errorf("not associative: %v, %v, %v", a, b, c)
		}
		if !proto.Equal(Merge(ab, b), ab) || !proto.Equal(Merge(a, a), a) {
			t.Errorf("not idempotent: %v, %v", a, b)
		}
		if ab.Incarnation < a.Incarnation || ab.Incarnation < b.Incarnation {
			t.Errorf("incarnation decreased: %v", ab)
		}
		for i, m := range []*wire.Member{a, b, c} {
			if !proto.Equal(m, originals[i]) {
				t.Errorf("merge modified its input: %v, was %v", m, originals[i])
			}
		}
	})
}

// Guards against records that can't be superseded, forwarded or answered.
func TestValidate(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	with := func(change func(*wire.Member)) *wire.Member {
		m := record(uint64(NewIncarnation(now)), alive)
		change(m)
		return m
	}
	for name, test := range map[string]struct {
		member *wire.Member
		ok     bool
	}{
		"good":                 {with(func(*wire.Member) {}), true},
		"nil":                  {nil, false},
		"no ID":                {with(func(m *wire.Member) { m.NodeId = "" }), false},
		"long ID":              {with(func(m *wire.Member) { m.NodeId = strings.Repeat("x", maxNodeIDBytes+1) }), false},
		"unknown state":        {with(func(m *wire.Member) { m.State = 4 }), false},
		"far future":           {with(func(m *wire.Member) { m.Incarnation = math.MaxUint64 }), false},
		"clock one hour ahead": {with(func(m *wire.Member) { m.Incarnation = uint64(NewIncarnation(now.Add(time.Hour))) }), true},
		"host name":            {with(func(m *wire.Member) { m.UdpAddr = "host:1" }), false},
		"too large":            {with(func(m *wire.Member) { m.Region = strings.Repeat("x", MaxRecordBytes) }), false},
	} {
		t.Run(name, func(t *testing.T) {
			err := Validate(test.member, now)
			if (err == nil) != test.ok || err != nil && !errors.Is(err, ErrBadRecord) {
				t.Errorf("got %v, want ok=%v", err, test.ok)
			}
		})
	}
}

// Guards against a node that can't refute records of another process with the same node ID.
func TestIncarnationSuperseding(t *testing.T) {
	first := IncarnationFromMillis(1000)
	for name, test := range map[string]struct{ own, received, want Incarnation }{
		"older record":                    {first, IncarnationFromMillis(900), first},
		"same process":                    {first, first + 3, first + 4},
		"process with a later start time": {first, IncarnationFromMillis(5000) + 7, IncarnationFromMillis(5001)},
	} {
		if got := test.own.Superseding(test.received); got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
	if got := (first + 9).ProcessStartMs(); got != 1000 {
		t.Errorf("process start %d ms after updates, want 1000", got)
	}
}
