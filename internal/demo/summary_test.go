package demo

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// Guards against renamed or missing JSON fields, and against outcomes that are counted in the wrong field.
func TestSummaryJSON(t *testing.T) {
	tl := newTally([]RequestKind{testReadKind, testOrderKind})
	for n, outcome := range []Outcome{OK, RefusedNotRun, MayHaveRun, RanFailed, BackendError, WrongBody, Truncated} {
		for range n + 1 {
			tl.addWithLatency(operation{id: "a", kind: testOrderKind}, result{outcome, "draining"}, 10*time.Millisecond)
		}
	}
	light := &lightLoad{direct: newLatencies(), system: newLatencies(), reverseProxy: newLatencies()}
	light.direct.record(time.Millisecond)
	light.system.record(3 * time.Millisecond)
	light.reverseProxy.record(2 * time.Millisecond)
	s := &Summary{}
	s.addTally(tl)
	s.addLightLoad(light)
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{
		"sent": 28, "answered_ok": 1, "refused_not_run": 2, "may_have_run": 3, "ran_failed": 4, "backend_errors": 5,
		"wrong_body": 6, "cut_off": 7, "duplicate_runs": 0, "light_samples": 1,
		"p50_ms": 10, "p99_ms": 10, "added_p99_ms": 2, "bare_hop_p99_ms": 2, "bare_hop_added_p99_ms": 1,
	}
	for key, value := range want {
		number, ok := got[key].(float64)
		if !ok || number < value*0.99 || number > value*1.01 {
			t.Errorf("%s is %v, want %v", key, got[key], value)
		}
	}
	if s.Reasons["draining"] != 28 {
		t.Errorf("reasons %v", s.Reasons)
	}
	if _, ok := got["classes"].(map[string]any)["order"].(map[string]any)["p99_ms"]; !ok {
		t.Error("no p99_ms in the summary of a request kind")
	}
	var text bytes.Buffer
	s.Print(&text)
	if !strings.Contains(text.String(), "wrong_body 6, duplicate_runs 0, cut_off 7") {
		t.Errorf("text form lacks the counts:\n%s", text.String())
	}
}

// Guards against a run that counts as successful although it violated a guarantee to callers.
func TestSummaryFailed(t *testing.T) {
	for _, s := range []Summary{{WrongBody: 1}, {DuplicateRuns: 1}, {Truncated: 1}, {NotRunButRan: 1}, {OKWithoutRun: 1}} {
		if !s.Failed() {
			t.Errorf("%+v does not count as failed", s)
		}
	}
	if (&Summary{Sent: 5, RefusedNotRun: 2, MayHaveRun: 1}).Failed() {
		t.Error("refusals count as failed")
	}
}
