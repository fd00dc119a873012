package faulttest

import (
	"testing"
	"time"
)

// Guards against wrong or incomplete responses, wrong verdicts and duplicate runs in a fleet without faults.
func TestNoFaults(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2, Seed: 1})
	stop := h.load(1, 8, h.Members)
	time.Sleep(2 * time.Second)
	stop()
	for _, r := range h.callers.Results() {
		if r.Outcome != Answered {
			t.Error(r)
		}
	}
}
