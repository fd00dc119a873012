package faulttest

import (
	"fmt"
	"sync"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/node"
)

// budgetMonitor samples the probe counters of each node and checks that their increase over any second stays within the
// budgets of the policy.
type budgetMonitor struct {
	fleet    *Fleet
	policy   bundle.Policy
	mu       sync.Mutex
	samples  map[*node.Node][]probeSample
	exceeded []string
}

// probeSample holds the probe counters of a node, which were read between before and after. crossRegionMessages and
// crossRegionBytes count only the probes to other regions.
type probeSample struct {
	before, after                 time.Time
	messages, crossRegionMessages int64
	bytes, crossRegionBytes       int64
}

func newBudgetMonitor(f *Fleet) *budgetMonitor {
	monitor := &budgetMonitor{fleet: f, samples: map[*node.Node][]probeSample{}}
	if e, err := f.Envelope(1, ""); err == nil {
		if b, err := e.Bundle(); err == nil {
			monitor.policy = b.Policy
		}
	}
	return monitor
}

func (bm *budgetMonitor) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, m := range bm.fleet.Members {
			if n := m.Node(); n != nil {
				bm.sample(m.ID, n)
			}
		}
	}
}

func (bm *budgetMonitor) sample(id string, n *node.Node) {
	s := probeSample{before: time.Now()}
	metrics := n.Metrics()
	s.after = time.Now()
	s.messages, s.crossRegionMessages = metrics["probe_messages"], metrics["probe_link_messages"]
	s.bytes, s.crossRegionBytes = metrics["probe_bytes"], metrics["probe_link_bytes"]
	bm.mu.Lock()
	defer bm.mu.Unlock()
	recent := bm.samples[n]
	for len(recent) > 0 && s.after.Sub(recent[0].before) > time.Second {
		recent = recent[1:]
	}
	if len(recent) > 0 {
		bm.checkBudgets(id, recent[0], s)
	}
	bm.samples[n] = append(recent, s)
}

// checkBudgets compares the increase of the counters between two samples with the budgets. At most one second passes from
// first.before to last.after, so the counters were read within one second.
func (bm *budgetMonitor) checkBudgets(id string, first, last probeSample) {
	check := func(what string, used int64, budget float64) {
		if float64(used) > budget {
			bm.exceeded = append(bm.exceeded, fmt.Sprintf("%s: %d %s within a second, budget %v", id, used, what, budget))
		}
	}
	check("probe messages", last.messages-first.messages, bm.policy.ProbesPerSecond)
	check("probe messages to other regions", last.crossRegionMessages-first.crossRegionMessages, bm.policy.LinkProbesPerSecond)
	check("probe bytes", last.bytes-first.bytes, bm.policy.ProbeBytesPerSecond)
	check("probe bytes to other regions", last.crossRegionBytes-first.crossRegionBytes, bm.policy.LinkProbeBytesPerSecond)
}

// violations returns the first three violations and the number of further ones.
func (bm *budgetMonitor) violations() []string {
	bm.mu.Lock()
	defer bm.mu.Unlock()
	if len(bm.exceeded) > 3 {
		return append(bm.exceeded[:3:3], fmt.Sprintf("and %d more probe budget violations", len(bm.exceeded)-3))
	}
	return bm.exceeded
}
