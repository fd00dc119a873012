package metrics

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an unbounded number of metrics, and against counts that are lost when a name is not listed.
func TestTopCountersListTheLargest(t *testing.T) {
	c := NewTopCounters(2)
	if got := c.Values(); len(got) != 0 {
		t.Errorf("empty counters list %v", got)
	}
	for name, n := range map[string]int64{"a": 5, "b": 9, "c": 1, "d": 2, OtherKey: 100} {
		c.Add(name, n)
	}
	c.Add("a", 1)
	if diff := cmp.Diff(map[string]int64{"a": 6, "b": 9, OtherKey: 103}, c.Values()); diff != "" {
		t.Error(diff)
	}
}

// Guards against memory that grows with every name ever counted.
func TestTopCountersBoundTheirMemory(t *testing.T) {
	c := NewTopCounters(1)
	for i := range maxTrackedNames + 10 {
		c.Add(fmt.Sprint(i), 1)
	}
	c.Add("0", 1)
	if got := c.Values(); got["0"] != 2 || got[OtherKey] != maxTrackedNames+9 || len(c.counts) != maxTrackedNames {
		t.Errorf("values %v with %d names", got, len(c.counts))
	}
}
