package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/wire"
)

const (
	// evacuationAskInterval is the mean time between the exchanges of a node that has just started and does not know the
	// evacuations. Its gate is closed meanwhile, and the nodes that it has joined through may have learned of them since.
	evacuationAskInterval = 250 * time.Millisecond
	// evacuationAskTime is the age of the process up to which it asks so often. The gate waits no longer.
	evacuationAskTime = 8 * time.Second
)

// awaitsEvacuations reports whether this node has just started and does not know the evacuations yet.
func (n *Node) awaitsEvacuations(now time.Time) bool {
	return n.cfg.Evacuations && !n.evacuationsKnown && now.Sub(n.started) < evacuationAskTime
}

// Evacuations returns the newest set of evacuated failure domains that this node knows, and whether it has learned it from
// the store or another node.
func (n *Node) Evacuations() (set evacuation.Set, known bool) {
	return n.evacuations, n.evacuationsKnown
}

// SetEvacuations merges a set that was read from the store. A changed set is pushed to members at once.
func (n *Node) SetEvacuations(now time.Time, set evacuation.Set) {
	if !n.cfg.Evacuations {
		return
	}
	merged := evacuation.Merge(n.evacuations, set)
	changed := !evacuation.Equal(merged, n.evacuations)
	if !changed && n.evacuationsKnown {
		return
	}
	n.evacuations, n.evacuationsKnown = merged, true
	n.out.EvacuationsChanged(merged)
	if !changed {
		return
	}
	n.list.version++ // the snapshot depends on the set
	for _, e := range n.list.sample(pushFanout, n.rng, n.pushTargets(now)) {
		n.sendTo(now, e, &wire.Datagram{}, urgent, "")
	}
}

// mergeEvacuations merges the set in a message of another node; nil means that the message has none. An invalid set is
// counted and ignored.
func (n *Node) mergeEvacuations(now time.Time, m *wire.EvacuationSet) {
	if m == nil || !n.cfg.Evacuations {
		return
	}
	set, err := evacuation.FromWire(m)
	if err != nil {
		n.counters.Malformed.Add(1)
		return
	}
	n.SetEvacuations(now, set)
}

// evacuationsOnWire returns the set for a message, or nil while no evacuation has ever been seen.
func (n *Node) evacuationsOnWire() *wire.EvacuationSet {
	if !n.evacuations.Seen() {
		return nil
	}
	return n.evacuations.ToWire()
}

// evacuationsForReply is like evacuationsOnWire, but returns an empty set if the node knows that no evacuation has ever been
// requested. A node that has just started distinguishes that from a peer that does not know.
func (n *Node) evacuationsForReply() *wire.EvacuationSet {
	if !n.evacuationsKnown {
		return nil
	}
	return n.evacuations.ToWire()
}

// attachEvacuations adds the set to a datagram if it fits. Probes carry none, because they have a separate budget.
func (n *Node) attachEvacuations(d *wire.Datagram, reserved int) {
	switch KindOf(d) {
	case KindProbe, KindProbeReply:
		return
	}
	set := n.evacuationsOnWire()
	if set == nil {
		return
	}
	d.Evacuations = set
	if proto.Size(d)+reserved > wire.MaxDatagramBytes {
		d.Evacuations = nil
	}
}
