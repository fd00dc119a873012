package retry

import (
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
)

// Guards against a placement wait that changes deployments whose bundle has none, that exceeds a short objective, or that
// permits more busy refusals than moves.
func TestPlacement(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		wait, objective, limit time.Duration
		moves                  int
	}{
		{0, 0, ms, 2},
		{0, 400 * ms, ms, 2},
		{15 * ms, 0, 15 * ms, 3},
		{15 * ms, 100 * ms, 15 * ms, 3},
		{15 * ms, 20 * ms, 4 * ms, 3},
		{15 * ms, 2 * ms, ms, 3},
		{time.Microsecond, 0, ms, 3},
	}
	for _, test := range tests {
		p := PolicyOf(bundle.Policy{PlacementWait: bundle.Duration(test.wait)})
		if got := p.PlacementLimit(test.objective); got != test.limit {
			t.Errorf("placement wait %v, objective %v: limit %v, want %v", test.wait, test.objective, got, test.limit)
		}
		if got := p.BusyMoves(); got != test.moves || got > MaxMoves {
			t.Errorf("placement wait %v: %d busy moves, want %d, at most %d", test.wait, got, test.moves, MaxMoves)
		}
	}
}
