package gate

import (
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dandelionspoke/internal/fixedseed"
	"dandelionspoke/internal/verdict"
)

func id(n uint64) (a attemptID) {
	binary.BigEndian.PutUint64(a[:], n)
	return a
}

// Guards against a false not-run: whatever the order of attempts, queries, rotations and pauses, an attempt
// of which a query said not-run has not run and never begins, and one that ran is never reported not-run.
func TestAttemptMemoryNeverDeniesARun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := newAttemptMemory(now, time.Minute)
		known := map[uint64]uint64{} // generation that the ingress knew when it created the attempt
		ran, denied := map[uint64]bool{}, map[uint64]bool{}
		running := map[uint64]bool{}
		created := uint64(0)
		pick := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, max(created, 1)).Draw(t, "attempt") }
		t.Repeat(map[string]func(*rapid.T){
			"create": func(t *rapid.T) {
				created++
				known[created] = m.currentGeneration() - rapid.Uint64Range(0, 2).Draw(t, "lag")
			},
			"begin": func(t *rapid.T) {
				n := pick(t)
				if m.begin(id(n), known[n], now) == nil {
					return
				}
				if denied[n] || ran[n] {
					t.Fatalf("attempt %d began although it was denied (%v) or ran (%v)", n, denied[n], ran[n])
				}
				ran[n], running[n] = true, true
			},
			"finish": func(t *rapid.T) {
				n := pick(t)
				if running[n] {
					delete(running, n)
					m.finish(id(n), now, verdict.Ran, nil)
				}
			},
			"query": func(t *rapid.T) {
				n := pick(t)
				a := m.query(id(n), known[n], now)
				if a == nil || running[n] {
					return
				}
				if a.verdict == verdict.NotRun {
					if ran[n] {
						t.Fatalf("attempt %d ran and was reported not-run", n)
					}
					denied[n] = true
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

// Guards against memory that grows with the number of attempts.
func TestAttemptMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newAttemptMemory(now, time.Hour)
	for n := range uint64(5 * maxAttemptsPerGeneration / 2) {
		if m.begin(id(n), m.generation, now) != nil {
			m.finish(id(n), now, verdict.Ran, nil)
		}
	}
	if got := m.len(); got > 2*maxAttemptsPerGeneration {
		t.Errorf("%d attempts are remembered, at most %d are allowed", got, 2*maxAttemptsPerGeneration)
	}
}
