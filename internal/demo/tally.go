package demo

import (
	"sync"
	"time"

	"dandelionspoke/internal/backendtest"
)

// tally counts outcomes per kind and remembers what callers were told about each operation.
type tally struct {
	mu    sync.Mutex
	kinds map[string]*kindTally
	// told holds the outcomes of operations that must not run twice, for comparison with the run log.
	told map[string][]Outcome
	// reasons counts failed answers of the system by their reason.
	reasons map[string]int64
	// broken keeps the first few operations with a wrong body or without a whole answer.
	broken []string
}

type kindTally struct {
	counts  [outcomes]int64
	latency *latencies
}

// maxBroken bounds the operations that a report names.
const maxBroken = 10

func newTally(kinds []Kind) *tally {
	t := &tally{kinds: map[string]*kindTally{}, told: map[string][]Outcome{}, reasons: map[string]int64{}}
	for _, k := range kinds {
		t.watch(k)
	}
	return t
}

// watch adds a kind to the tally.
func (t *tally) watch(k Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[k.Name] = &kindTally{latency: newLatencies()}
}

// finish adds an outcome and, for an answered request, its latency.
func (t *tally) finish(o operation, r result, took time.Duration) {
	t.add(o, r)
	if r.outcome != OK {
		return
	}
	t.mu.Lock()
	kind := t.kinds[o.kind.Name]
	t.mu.Unlock()
	kind.latency.record(took)
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
		t.told[o.id] = append(t.told[o.id], outcome)
	}
	if (outcome == WrongBody || outcome == CutOff) && len(t.broken) < maxBroken {
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
	for o := range outcomes {
		n += t.count(o)
	}
	return n
}

// contradictions compares what callers were told with the run log: operations that were only ever refused as not run
// but ran, and operations that were answered without a run.
func (t *tally) contradictions(log *backendtest.RunLog) (notRunButRan, okWithoutRun int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, told := range t.told {
		run := log.Get(id)
		if run.Started > 0 && all(told, RefusedNotRun) {
			notRunButRan++
		}
		if run.Started == 0 && has(told, OK) {
			okWithoutRun++
		}
	}
	return notRunButRan, okWithoutRun
}

func all(told []Outcome, want Outcome) bool {
	for _, o := range told {
		if o != want {
			return false
		}
	}
	return len(told) > 0
}

func has(told []Outcome, want Outcome) bool {
	for _, o := range told {
		if o == want {
			return true
		}
	}
	return false
}
