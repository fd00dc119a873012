package demo

import (
	"sync"
	"time"

	"dandelionspoke/internal/backendtest"
)

// tally counts outcomes per request kind and records the outcomes of each non-idempotent operation.
type tally struct {
	mu    sync.Mutex
	kinds map[string]*kindTally
	// reported holds the outcomes of non-idempotent operations by operation ID, for comparison with the run log.
	reported map[string][]Outcome
	// reasons counts the error responses of the system by reason.
	reasons map[string]int64
	// broken lists the first operations with a wrong body or a truncated or missing response.
	broken []string
}

type kindTally struct {
	counts  [outcomeCount]int64
	latency *latencies
}

// maxBrokenListed bounds the number of listed operations for each check.
const maxBrokenListed = 10

func newTally(kinds []RequestKind) *tally {
	t := &tally{kinds: map[string]*kindTally{}, reported: map[string][]Outcome{}, reasons: map[string]int64{}}
	for _, k := range kinds {
		t.addKind(k)
	}
	return t
}

// addKind adds a request kind to the tally.
func (t *tally) addKind(k RequestKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[k.Name] = &kindTally{latency: newLatencies()}
}

// addWithLatency adds a result and, if the request succeeded, its latency.
func (t *tally) addWithLatency(o operation, r result, elapsed time.Duration) {
	t.add(o, r)
	if r.outcome != OK {
		return
	}
	t.mu.Lock()
	kind := t.kinds[o.kind.Name]
	t.mu.Unlock()
	kind.latency.record(elapsed)
}

func (t *tally) add(o operation, r result) {
	outcome := r.outcome
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[o.kind.Name].counts[outcome]++
	if r.reason != "" {
		t.reasons[string(r.reason)]++
	}
	if o.kind.Method != "GET" {
		t.reported[o.id] = append(t.reported[o.id], outcome)
	}
	if (outcome == WrongBody || outcome == Truncated) && len(t.broken) < maxBrokenListed {
		t.broken = append(t.broken, o.kind.Name+" "+o.id)
	}
}

func (t *tally) count(outcome Outcome) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n int64
	for _, k := range t.kinds {
		n += k.counts[outcome]
	}
	return n
}

func (t *tally) sent() int64 {
	var n int64
	for o := range outcomeCount {
		n += t.count(o)
	}
	return n
}

// countContradictions compares the reported outcomes with the run log. It counts operations that ran although all their
// outcomes are RefusedNotRun, and operations that did not run although one of their outcomes is OK.
func (t *tally) countContradictions(log *backendtest.RunLog) (notRunButRan, okWithoutRun int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, reported := range t.reported {
		run := log.Get(id)
		if run.Started > 0 && allEqual(reported, RefusedNotRun) {
			notRunButRan++
		}
		if run.Started == 0 && contains(reported, OK) {
			okWithoutRun++
		}
	}
	return notRunButRan, okWithoutRun
}

func allEqual(reported []Outcome, want Outcome) bool {
	for _, o := range reported {
		if o != want {
			return false
		}
	}
	return len(reported) > 0
}

func contains(reported []Outcome, want Outcome) bool {
	for _, o := range reported {
		if o == want {
			return true
		}
	}
	return false
}
