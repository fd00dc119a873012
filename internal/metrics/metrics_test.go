package metrics

import (
	"strings"
	"testing"
	"time"
)

// Guards against a text form that monitoring systems can't parse, and against durations in the wrong unit.
func TestWrite(t *testing.T) {
	r := NewRegistry()
	h := r.Histogram("request_seconds")
	for range 99 {
		h.Record(10 * time.Millisecond)
	}
	h.Record(2 * time.Hour)
	(*Histogram)(nil).Record(time.Second)
	var text strings.Builder
	if err := r.Write(&text, map[string]int64{"b_total": 2, "a_total": 1}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"dandelionspoke_a_total 1\ndandelionspoke_b_total 2\n",
		`dandelionspoke_request_seconds{quantile="0.5"} 0.01`,
		`dandelionspoke_request_seconds{quantile="0.999"} 60`,
		"dandelionspoke_request_seconds_count 100\n",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("missing %q in\n%s", want, text.String())
		}
	}
}
