package ingress

import (
	"context"
	"testing"

	"dandelionspoke/internal/verdict"
)

// Guards against a second attempt outside of the retry budget: a hedge that a gate refused looks like a move to another
// gate, which is free, although the earlier attempt has run and failed. A refused hedge must not count as an attempt
// either.
func TestRefusedHedgeIsNotADecisionToMove(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.Busy, "refused by the gate")
	broken := verdict.New(verdict.MayHaveRun, verdict.BackendBroken, "connection reset")
	tests := []struct {
		name          string
		first, second attemptResult
	}{
		{"hedge refused first", attemptResult{number: 2, err: refused}, attemptResult{number: 1, err: broken}},
		{"hedge refused last", attemptResult{number: 1, err: broken}, attemptResult{number: 2, err: refused}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := New(Config{})
			state := &attemptState{
				countedAttempts: 2, startedAttempts: 2, hedge: 2, results: make(chan attemptResult, 2),
				running: map[int]context.CancelFunc{1: func() {}, 2: func() {}}, combinedVerdict: verdict.NotRun,
			}
			state.results <- test.second
			result := in.awaitRemaining(state, state.finishAttempt(test.first))
			if verdict.Of(result.err) != verdict.MayHaveRun || state.countedAttempts != 1 {
				t.Errorf("error %v after %d counted attempts, want that of the attempt that may have run, after 1", result.err, state.countedAttempts)
			}
		})
	}
}
