package faulttest

import (
	"fmt"
	"sync"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/node"
)

// budgetWatch samples the probe counters of each node and compares them with the policy over any second.
type budgetWatch struct {
	fleet   *Fleet
	policy  bundle.Policy
	mu      sync.Mutex
	samples map[*node.Node][]probeSample
	found   []string
}

// probeSample holds counters that were read between two moments.
type probeSample struct {
	before, after    time.Time
	messages, link   int64
	bytes, linkBytes int64
}

func newBudgetWatch(f *Fleet) *budgetWatch {
	w := &budgetWatch{fleet: f, samples: map[*node.Node][]probeSample{}}
	if e, err := f.Envelope(1, ""); err == nil {
		if b, err := e.Bundle(); err == nil {
			w.policy = b.Policy
		}
	}
	return w
}

func (w *budgetWatch) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, m := range w.fleet.Members {
			if n := m.Node(); n != nil {
				w.sample(m.ID, n)
			}
		}
	}
}

func (w *budgetWatch) sample(id string, n *node.Node) {
	s := probeSample{before: time.Now()}
	metrics := n.Metrics()
	s.after = time.Now()
	s.messages, s.link = metrics["probe_messages"], metrics["probe_link_messages"]
	s.bytes, s.linkBytes = metrics["probe_bytes"], metrics["probe_link_bytes"]
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.samples[n]
	for len(kept) > 0 && s.after.Sub(kept[0].before) > time.Second {
		kept = kept[1:]
	}
	if len(kept) > 0 {
		w.compare(id, kept[0], s)
	}
	w.samples[n] = append(kept, s)
}

// compare checks two samples that are certainly at most one second apart.
func (w *budgetWatch) compare(id string, first, last probeSample) {
	check := func(what string, used int64, budget float64) {
		if float64(used) > budget {
			w.found = append(w.found, fmt.Sprintf("%s: %d %s within a second, budget %v", id, used, what, budget))
		}
	}
	check("probe messages", last.messages-first.messages, w.policy.ProbesPerSecond)
	check("probe messages to other regions", last.link-first.link, w.policy.LinkProbesPerSecond)
	check("probe bytes", last.bytes-first.bytes, w.policy.ProbeBytesPerSecond)
	check("probe bytes to other regions", last.linkBytes-first.linkBytes, w.policy.LinkProbeBytesPerSecond)
}

// violations returns up to three of those found, and how many there are.
func (w *budgetWatch) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.found) > 3 {
		return append(w.found[:3:3], fmt.Sprintf("and %d further probe budget violations", len(w.found)-3))
	}
	return w.found
}
