package metrics

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

const (
	// OtherKey is the key under which TopCounters.Values returns the sum over the names that it does not list.
	OtherKey = "other"
	// maxTrackedNames bounds the memory of TopCounters, which is about 1 MB with this many names. A bundle has no more
	// accounts; names of removed accounts are counted too.
	maxTrackedNames = 20000
)

// TopCounters counts by name and lists only the largest counts, so that the number of metrics is bounded. It is safe for
// concurrent use.
type TopCounters struct {
	limit  int
	mu     sync.Mutex
	counts map[string]int64
	rest   int64 // of names beyond maxTrackedNames
}

// NewTopCounters returns counters of which Values lists the limit largest ones.
func NewTopCounters(limit int) *TopCounters {
	return &TopCounters{limit: limit, counts: map[string]int64{}}
}

// Add adds n to the count of a name. The names beyond the first maxTrackedNames are counted together.
func (t *TopCounters) Add(name string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, tracked := t.counts[name]; !tracked && len(t.counts) >= maxTrackedNames {
		t.rest += n
		return
	}
	t.counts[name] += n
}

// Values returns the largest counts by name, and under OtherKey the sum of all others if there are any. A name equal to
// OtherKey is part of that sum. The total over all keys never decreases, but a single key may, when another name joins the
// largest ones.
func (t *TopCounters) Values() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.SortedFunc(maps.Keys(t.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.counts[b], t.counts[a]), cmp.Compare(a, b))
	})
	values := map[string]int64{}
	if t.rest != 0 {
		values[OtherKey] = t.rest
	}
	listed := 0
	for _, name := range names {
		if name == OtherKey || listed >= t.limit {
			values[OtherKey] += t.counts[name]
			continue
		}
		values[name] = t.counts[name]
		listed++
	}
	return values
}
