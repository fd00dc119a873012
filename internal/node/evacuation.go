package node

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/admin"
	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/sleep"
)

// evacuationListDivisor sets the time between two lists of the evacuations by a store reader, as a fraction of
// evacuation.within: a watch that has missed a change then still leaves half of that time for the gossip.
const evacuationListDivisor = 2

// evacuationState is what the node does about evacuations. mu guards the fields without a type of sync/atomic.
type evacuationState struct {
	mu      sync.Mutex
	set     evacuation.Set
	known   atomic.Bool  // the set has come from the store or another node
	changes atomic.Int64 // changes of the set since the start
	// waitEnded is set when the gate no longer waits for the set.
	waitEnded bool
}

// evacuationEnabled reports whether the settings ask for evacuations.
func (n *Node) evacuationEnabled() bool { return n.settings.Evacuation.Within > 0 }

// onEvacuations applies a set of evacuated failure domains. Calls may overlap and come out of order.
func (n *Node) onEvacuations(set evacuation.Set) {
	s := &n.evacuation
	s.mu.Lock()
	defer s.mu.Unlock()
	merged := evacuation.Merge(s.set, set)
	changed := !evacuation.Equal(merged, s.set)
	s.set = merged
	s.known.Store(true)
	n.applyEvacuationLocked()
	if changed {
		s.changes.Add(1)
		n.logger.Info("evacuations changed", "event", "evacuation_changed", "domains", strings.Join(merged.Domains, ","),
			"generation", merged.Generation, "revision", merged.Revision, "here", merged.Contains(n.settings.FailureDomain))
	}
}

// applyEvacuationLocked sets the state of the gate. It is called with evacuation.mu held.
func (n *Node) applyEvacuationLocked() { n.gate.SetEvacuation(n.evacuationHereLocked()) }

func (n *Node) evacuationHereLocked() gate.Evacuation {
	s := &n.evacuation
	switch {
	case !n.evacuationEnabled():
		return gate.NotEvacuated
	case s.set.Contains(n.settings.FailureDomain):
		return gate.Evacuated
	case !s.known.Load() && !s.waitEnded:
		return gate.EvacuationUnknown
	}
	return gate.NotEvacuated
}

// holdForEvacuations closes the gate until the set is known or endEvacuationWait is called.
func (n *Node) holdForEvacuations() {
	n.evacuation.mu.Lock()
	defer n.evacuation.mu.Unlock()
	n.applyEvacuationLocked()
}

// evacuationsKnown reports whether the set is known or evacuations are off.
func (n *Node) evacuationsKnown() bool { return !n.evacuationEnabled() || n.evacuation.known.Load() }

// endEvacuationWait opens the gate although neither the store nor another node has stated the set.
func (n *Node) endEvacuationWait() {
	n.evacuation.mu.Lock()
	defer n.evacuation.mu.Unlock()
	n.evacuation.waitEnded = true
	n.applyEvacuationLocked()
	if !n.evacuationsKnown() {
		n.logger.Warn("the gate opens without knowledge of evacuations", "event", "evacuation_unknown", "after", n.uptime())
	}
}

// readEvacuations reads the set from the store until it is known from there or another node.
func (n *Node) readEvacuations() {
	for wait := firstReadRetryInterval; !n.evacuationsKnown(); wait = min(2*wait, maxDepartureRetryInterval) {
		if err := n.refreshEvacuations(n.ctx); err != nil && n.ctx.Err() == nil {
			n.logger.Info("failed to read evacuations", "event", "store_read_failed", "error", err)
		}
		if !sleep.For(n.ctx, wait) {
			return
		}
	}
}

// refreshEvacuations merges the evacuations in the store. If it lacks some after a restore, the store readers write them again.
func (n *Node) refreshEvacuations(ctx context.Context) error {
	listing, _, err := evacuation.List(ctx, n.store, n.isKnownDomain)
	if err == nil {
		n.adoptEvacuations(listing)
	}
	return err
}

// adoptEvacuations merges a listing of the store, and returns the domains that it lacks after a restore from a copy; it then
// changes nothing. A starting node that knows no evacuations waits up to restoreSourceWait for a node that does.
func (n *Node) adoptEvacuations(listing evacuation.Listing) (lost []string) {
	if !n.evacuationsKnown() && n.storeWasRestored() && n.uptime() < restoreSourceWait {
		return nil
	}
	return n.engine.ObserveEvacuations(listing)
}

// storeWasRestored reports whether the store states that it has ever been restored from a copy.
func (n *Node) storeWasRestored() bool {
	stater, ok := n.store.(objectstore.GenerationStater)
	if !ok {
		return false
	}
	generation, known, _ := stater.Generation()
	return known && generation > 0
}

// newEvacuationReader returns the task of a store reader that keeps the set up to date.
func (n *Node) newEvacuationReader() *evacuation.Reader {
	return &evacuation.Reader{
		Store: n.store, Interval: n.settings.Evacuation.Within / evacuationListDivisor,
		Known: n.engine.Evacuations, Adopt: n.adoptEvacuations, Preferred: n.isKnownDomain, Log: n.logger,
	}
}

// isKnownDomain reports whether a member is in the failure domain.
func (n *Node) isKnownDomain(domain string) bool {
	for _, m := range n.engine.Records() {
		if m.FailureDomain == domain {
			return true
		}
	}
	return false
}

// Evacuations implements admin.Node.
func (n *Node) Evacuations() admin.Evacuations {
	s := &n.evacuation
	s.mu.Lock()
	defer s.mu.Unlock()
	return admin.Evacuations{
		Enabled: n.evacuationEnabled(), Known: s.known.Load(), Set: s.set, Here: n.evacuationHereLocked().String(),
	}
}

// Errors of SetEvacuated.
var (
	errEvacuationOff = errors.New("node: the setting evacuation.within is not set")
	errNoStore       = errors.New("node: this node has no access to the store")
)

// SetEvacuated implements admin.Node. It returns once the store has acknowledged the change.
func (n *Node) SetEvacuated(ctx context.Context, domain string, evacuated bool) error {
	switch {
	case !n.evacuationEnabled():
		return errEvacuationOff
	case n.store == nil:
		return errNoStore
	}
	write := evacuation.End
	if evacuated {
		write = evacuation.Request
	}
	err := write(ctx, n.store, domain)
	n.logger.Info("evacuation requested by an operator", "event", "evacuation_requested", "domain", domain,
		"evacuated", evacuated, "known_domain", n.isKnownDomain(domain), "error", err)
	if err == nil {
		// The store readers learn of the change through their watches; this is sooner. A failure changes nothing.
		_ = n.refreshEvacuations(ctx)
	}
	return err
}

// addEvacuationMetrics adds the metrics of evacuations.
func (n *Node) addEvacuationMetrics(m map[string]int64) {
	e := n.Evacuations()
	m["evacuation_domains"], m["evacuation_changes"] = int64(len(e.Domains)), n.evacuation.changes.Load()
	m["gate_refused_evacuated"] = n.gate.Counters.RefusedEvacuated.Load()
	m["evacuation_here"] = 0
	if e.Here == gate.Evacuated.String() {
		m["evacuation_here"] = 1
	}
}
