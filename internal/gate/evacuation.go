package gate

import "dandelionspoke/internal/verdict"

// Evacuation says whether the gate may forward requests as far as evacuations of its failure domain are concerned.
type Evacuation uint8

const (
	// NotEvacuated is the state of a gate without evacuations.
	NotEvacuated Evacuation = iota
	// EvacuationUnknown means that the node has just started and does not know yet whether its domain is being evacuated.
	EvacuationUnknown
	// Evacuated means that the domain is being evacuated.
	Evacuated
)

// String returns the state as shown in the dump.
func (e Evacuation) String() string {
	switch e {
	case EvacuationUnknown:
		return "unknown"
	case Evacuated:
		return "evacuated"
	}
	return "none"
}

// SetEvacuation makes the gate refuse new and waiting requests unless the state is NotEvacuated. Requests that have been
// forwarded continue.
func (g *Gate) SetEvacuation(state Evacuation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evacuation = state
	if state != NotEvacuated {
		g.withdrawWaiting(0)
	}
}

// checkEvacuation returns an error with verdict NotRun while the domain is being evacuated.
func (g *Gate) checkEvacuation() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuationError()
}

// evacuationError is like checkEvacuation. It is called with mu held.
func (g *Gate) evacuationError() error {
	if g.evacuation == NotEvacuated {
		return nil
	}
	g.Counters.RefusedEvacuated.Add(1)
	if g.evacuation == EvacuationUnknown {
		return verdict.New(verdict.NotRun, verdict.Evacuated, "the node does not know yet which failure domains are evacuated")
	}
	return verdict.New(verdict.NotRun, verdict.Evacuated, "the failure domain is being evacuated")
}
