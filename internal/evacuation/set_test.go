package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"dandelionspoke/internal/wire"
)

func drawSet(t *rapid.T, label string) Set {
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"oslo-a", "oslo-b", "bergen-a"}), 0, 3).Draw(t, label)
	kept, _ := Limit(names, nil)
	return Set{Generation: rapid.Uint64Range(0, 2).Draw(t, label), Revision: rapid.Int64Range(1, 3).Draw(t, label), Domains: kept}
}

// Guards against nodes that end with different sets, depending on the order in which they receive them.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSet(t, "a"), drawSet(t, "b"), drawSet(t, "c")
		if !Equal(Merge(a, b), Merge(b, a)) || !Equal(Merge(a, Merge(b, c)), Merge(Merge(a, b), c)) || !Equal(Merge(a, a), a) {
			t.Fatalf("%v, %v, %v", a, b, c)
		}
	})
}

// Guards against messages of other nodes that bring a set which no store can hold or no datagram can carry.
func TestFromWireRejectsInvalidSets(t *testing.T) {
	many := &wire.EvacuationSet{Revision: 1}
	for i := range MaxDomains + 1 {
		many.Domains = append(many.Domains, fmt.Sprint("d", i))
	}
	for name, m := range map[string]*wire.EvacuationSet{
		"too many":          many,
		"too long":          {Revision: 1, Domains: []string{strings.Repeat("x", maxNameBytes+1)}},
		"too large":         {Revision: 1, Domains: strings.Split(strings.Repeat(strings.Repeat("x", 60)+",", 9), ",")[:9]},
		"empty name":        {Revision: 1, Domains: []string{""}},
		"path":              {Revision: 1, Domains: []string{"a/b"}},
		"duplicate":         {Revision: 1, Domains: []string{"a", "a"}},
		"negative revision": {Revision: -1},
		"without position":  {Domains: []string{"a"}},
	} {
		if s, err := FromWire(m); err == nil {
			t.Errorf("%s: accepted as %v", name, s)
		}
	}
	want := Set{Generation: 2, Revision: 7, Domains: []string{"oslo-a", "oslo-b"}}
	if got, err := FromWire(want.ToWire()); err != nil || !Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

// Guards against an outdated listing that ends or revives an evacuation, also of a store whose generation is lower, and
// against a new set, sent to all nodes, for each write to the store.
func TestObserve(t *testing.T) {
	known := Set{Generation: 2, Revision: 50, Domains: []string{"oslo-a"}}
	for name, test := range map[string]struct {
		listing Listing
		want    Set
	}{
		"ended":                     {Listing{2, 60, nil}, Set{2, 60, nil}},
		"ended in an old listing":   {Listing{2, 40, nil}, known},
		"ended in an older store":   {Listing{1, 90, nil}, known},
		"unchanged":                 {Listing{2, 70, []string{"oslo-a"}}, known},
		"unchanged, restored store": {Listing{3, 40, []string{"oslo-a"}}, Set{3, 40, []string{"oslo-a"}}},
		"another one":               {Listing{2, 60, []string{"oslo-a", "oslo-b"}}, Set{2, 60, []string{"oslo-a", "oslo-b"}}},
	} {
		if got := Observe(known, test.listing); !Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
	if got := Observe(Set{}, Listing{1, 90, nil}); got.Seen() {
		t.Errorf("a store without evacuations gives %v, which costs bytes in each datagram", got)
	}
}

// Guards against names in the store that displace the failure domains which the fleet has.
func TestLimitPrefersKnownDomains(t *testing.T) {
	names := []string{"oslo-b", "", "..", "a b", strings.Repeat("x", 100)}
	for i := range 3 * MaxDomains {
		names = append(names, fmt.Sprintf("a-%02d", i))
	}
	kept, dropped := Limit(names, func(name string) bool { return name == "oslo-b" })
	if len(kept) != MaxDomains || !slices.Contains(kept, "oslo-b") || !slices.IsSorted(kept) || len(kept)+len(dropped) != len(names) {
		t.Errorf("kept %v, dropped %d of %d", kept, len(dropped), len(names))
	}
}

// Guards against an acknowledged evacuation that ends because the store is restored from a copy, and against one that is
// written again although it has ended before or has never been in that store.
func TestLost(t *testing.T) {
	before := Set{Generation: 1, Revision: 50, Domains: []string{"oslo-a", "oslo-b"}}
	for name, test := range map[string]struct {
		before  Set
		listing Listing
		want    []string
	}{
		"restored":                 {before, Listing{2, 40, []string{"oslo-b"}}, []string{"oslo-a"}},
		"restored, counted from 0": {Set{0, 50, []string{"oslo-a"}}, Listing{1, 40, nil}, []string{"oslo-a"}},
		"same generation":          {before, Listing{1, 60, nil}, nil},
		"older generation":         {before, Listing{0, 60, nil}, nil},
		"first listing":            {Set{}, Listing{2, 40, nil}, nil},
	} {
		if diff := cmp.Diff(test.want, Lost(test.before, test.listing)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
