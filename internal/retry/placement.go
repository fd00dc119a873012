package retry

import "time"

const (
	// MaxPlacementWait is the longest expected queueing time that a short request accepts at a gate while it
	// may still move to another endpoint. Moving it to another endpoint of the region takes about as long.
	MaxPlacementWait = time.Millisecond
	// placementObjectiveShare bounds the configured placement wait to a fraction of the objective, so that a request
	// with a short objective does not accept a wait that was chosen for others.
	placementObjectiveShare = 0.2
	// busyMoves is the number of gates that may refuse a request as busy. The next attempt accepts any wait at the best
	// endpoint.
	busyMoves = 2
	// busyMovesWithWait is the same number with a configured placement wait. Most refusals then come from slow backend
	// servers, which another move avoids. It is at most MaxMoves.
	busyMovesWithWait = 3
)

// PlacementLimit returns the longest expected wait that a short request accepts at a gate while it may still move. objective
// is that of its route, 0 for none.
func (p Policy) PlacementLimit(objective time.Duration) time.Duration {
	wait := p.PlacementWait
	if objective > 0 {
		wait = min(wait, time.Duration(placementObjectiveShare*float64(objective)))
	}
	return max(wait, MaxPlacementWait)
}

// BusyMoves returns the number of gates that may refuse a request as busy before it accepts any wait.
func (p Policy) BusyMoves() int {
	if p.PlacementWait > 0 {
		return busyMovesWithWait
	}
	return busyMoves
}
