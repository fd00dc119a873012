// Package evacuation holds the set of failure domains that are being evacuated, and reads it from the store. The backend
// servers of an evacuated domain get no requests; its nodes go on serving their callers.
package evacuation

import (
	"cmp"
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/wire"
)

const (
	// MaxDomains is the maximum number of domains in a set.
	MaxDomains = 16
	// maxNameBytes limits the name of a domain, and maxSetBytes all names of a set together: a set is attached to datagrams
	// of 1,200 bytes, which also carry membership updates.
	maxNameBytes = 64
	maxSetBytes  = 512
)

// ErrInvalid reports a set or a name of a failure domain that is not valid.
var ErrInvalid = errors.New("evacuation: invalid")

// Set is the set of evacuated failure domains at one position of the store. A Set is not modified after its creation. The
// zero value means that no evacuation has ever been seen.
type Set struct {
	// Generation of the store and, within it, Revision order the sets.
	Generation uint64   `json:"generation"`
	Revision   int64    `json:"revision"`
	Domains    []string `json:"domains"` // sorted, without duplicates
}

// Seen reports whether the set was ever changed by an evacuation.
func (s Set) Seen() bool { return s.Generation > 0 || s.Revision > 0 }

// Contains reports whether a failure domain is being evacuated.
func (s Set) Contains(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// compare orders sets by their position. Two sets at one position differ only through an error of another node; their
// domains then decide, so that all nodes select the same set.
func compare(a, b Set) int {
	return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Revision, b.Revision), slices.Compare(a.Domains, b.Domains))
}

// Merge returns the newer of two sets. It is commutative, associative and idempotent.
func Merge(a, b Set) Set {
	if compare(a, b) >= 0 {
		return a
	}
	return b
}

// Equal reports whether two sets are the same.
func Equal(a, b Set) bool { return compare(a, b) == 0 }

// CheckDomain returns an error that wraps ErrInvalid unless a failure domain can have this name.
func CheckDomain(name string) error {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
		return errors.Wrapf(ErrInvalid, "failure domain %.80q: 1 to %d bytes of UTF-8 are allowed", name, maxNameBytes)
	}
	for _, r := range name {
		if r == '/' || unicode.IsSpace(r) || unicode.IsControl(r) {
			return errors.Wrapf(ErrInvalid, "failure domain %q: no slash, space or control character is allowed", name)
		}
	}
	if name == "." || name == ".." {
		return errors.Wrapf(ErrInvalid, "failure domain %q", name)
	}
	return nil
}

// Limit returns the valid names, sorted, and the names that were left out because they are invalid or exceed the size of a
// set. If not all fit, those for which preferred returns true are kept first; a nil preferred prefers none.
func Limit(names []string, preferred func(name string) bool) (kept, dropped []string) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if preferred != nil {
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank(preferred(a)), rank(preferred(b))) })
	}
	size := 0
	for _, name := range names {
		if CheckDomain(name) != nil || len(kept) == MaxDomains || size+len(name) > maxSetBytes {
			dropped = append(dropped, name)
			continue
		}
		kept = append(kept, name)
		size += len(name)
	}
	slices.Sort(kept)
	return kept, dropped
}

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// ToWire returns the set as a message.
func (s Set) ToWire() *wire.EvacuationSet {
	return &wire.EvacuationSet{Generation: s.Generation, Revision: s.Revision, Domains: s.Domains}
}

// FromWire returns the set of a message of another node, or an error that wraps ErrInvalid.
func FromWire(m *wire.EvacuationSet) (Set, error) {
	kept, dropped := Limit(m.GetDomains(), nil)
	if len(dropped) > 0 || m.GetRevision() < 0 || len(kept) != len(m.GetDomains()) {
		return Set{}, errors.Wrapf(ErrInvalid, "set of %d domains at revision %d", len(m.GetDomains()), m.GetRevision())
	}
	s := Set{Generation: m.GetGeneration(), Revision: m.GetRevision(), Domains: kept}
	if len(kept) > 0 && !s.Seen() {
		return Set{}, errors.Wrap(ErrInvalid, "set with domains but without a position")
	}
	return s, nil
}

// Listing is the state of the store's evacuations at one position.
type Listing struct {
	Generation uint64
	Revision   int64
	Domains    []string // valid names, sorted
}

// Observe returns the set after a listing of the store. It keeps the known one if the listing is older, or equal but for the
// revision: the revision rises with every write to the store, and each new one would be sent to all nodes.
func Observe(known Set, l Listing) Set {
	listed := Set(l)
	older := cmp.Or(cmp.Compare(l.Generation, known.Generation), cmp.Compare(l.Revision, known.Revision)) <= 0
	unchanged := l.Generation == known.Generation && slices.Equal(l.Domains, known.Domains)
	neverSeen := !known.Seen() && len(l.Domains) == 0
	if older || unchanged || neverSeen {
		return known
	}
	return listed
}

// Lost returns the domains that a listing lacks because the store was restored from a copy: those of the newest set that was
// known before the store's generation rose. Their evacuation was acknowledged and must be written again.
func Lost(before Set, l Listing) []string {
	if !before.Seen() || before.Generation >= l.Generation {
		return nil
	}
	var lost []string
	for _, domain := range before.Domains {
		if !slices.Contains(l.Domains, domain) {
			lost = append(lost, domain)
		}
	}
	return lost
}
