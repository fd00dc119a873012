package gate

import (
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dandelionspoke/internal/fixedseed"
	"dandelionspoke/internal/verdict"
)

func newAttemptID(n uint64) (a attemptID) {
	binary.BigEndian.PutUint64(a[:], n)
	return a
}

// Guards against a false not-run. For any order of attempts, queries, rotations and pauses, an attempt that a query
// reported as not-run has not run and never begins, and an attempt that ran is never reported as not-run.
func TestAttemptHistoryNeverReportsNotRunAfterRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		h := newAttemptHistory(now, time.Minute)
		generations := map[uint64]uint64{} // generation that the ingress knew when it created the attempt
		ran, reportedNotRun := map[uint64]bool{}, map[uint64]bool{}
		running := map[uint64]bool{}
		created := uint64(0)
		pick := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, max(created, 1)).Draw(t, "attempt") }
		t.Repeat(map[string]func(*rapid.T){
			"create": func(t *rapid.T) {
				created++
				generations[created] = h.currentGeneration() - rapid.Uint64Range(0, 2).Draw(t, "lag")
			},
			"begin": func(t *rapid.T) {
				n := pick(t)
				if h.begin(newAttemptID(n), generations[n], now) == nil {
					return
				}
				if reportedNotRun[n] || ran[n] {
					t.Fatalf("attempt %d began although it was reported not-run (%v) or ran (%v)", n, reportedNotRun[n], ran[n])
				}
				ran[n], running[n] = true, true
			},
			"finish": func(t *rapid.T) {
				n := pick(t)
				if running[n] {
					delete(running, n)
					h.finish(newAttemptID(n), now, verdict.Ran, nil)
				}
			},
			"query": func(t *rapid.T) {
				n := pick(t)
				a := h.query(newAttemptID(n), generations[n], now)
				if a == nil || running[n] {
					return
				}
				if a.verdict == verdict.NotRun {
					if ran[n] {
						t.Fatalf("attempt %d ran and was reported not-run", n)
					}
					reportedNotRun[n] = true
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

// Guards against a history that grows without bound with the number of attempts.
func TestAttemptHistoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newAttemptHistory(now, time.Hour)
	for n := range uint64(5 * maxAttemptsPerGeneration / 2) {
		if h.begin(newAttemptID(n), h.generation, now) != nil {
			h.finish(newAttemptID(n), now, verdict.Ran, nil)
		}
	}
	if got := h.len(); got > 2*maxAttemptsPerGeneration {
		t.Errorf("history holds %d attempts, want at most %d", got, 2*maxAttemptsPerGeneration)
	}
}
