// Package faulttest starts a few whole nodes on loopback, with relays between them whose links can be cut,
// and checks what callers, operators and backend servers are promised while faults are injected.
package faulttest

import (
	"slices"
	"sync"

	"dandelionspoke/internal/wire"
)

// Network decides which messages between nodes pass. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	cut     map[link]bool
	frozen  map[string]bool
	changed chan struct{} // closed and replaced after each change
	probes  map[string]int
}

// link is one direction between two nodes, by node ID.
type link struct{ from, to string }

// NewNetwork returns a network in which everything passes.
func NewNetwork() *Network {
	return &Network{
		cut: map[link]bool{}, frozen: map[string]bool{}, changed: make(chan struct{}), probes: map[string]int{},
	}
}

func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut stops all messages between the two groups in both directions. Connections stay open and carry nothing.
func (n *Network) Cut(a, b []string) {
	n.change(func() { n.setLocked(a, b, true) })
}

// Heal ends a Cut.
func (n *Network) Heal(a, b []string) {
	n.change(func() { n.setLocked(a, b, false) })
}

func (n *Network) setLocked(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			n.cut[link{x, y}] = cut
			n.cut[link{y, x}] = cut
		}
	}
}

// Freeze stops all messages from and to a node, as if its process stood still.
func (n *Network) Freeze(id string) { n.change(func() { n.frozen[id] = true }) }

// Thaw ends a Freeze. What was sent over connections in the meantime then arrives late.
func (n *Network) Thaw(id string) { n.change(func() { delete(n.frozen, id) }) }

// blocked reports whether a message may not pass, and a channel that closes when that may have changed.
func (n *Network) blocked(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l] || n.frozen[l.from] || n.frozen[l.to], n.changed
}

// wait returns true when messages pass, and false when done closes first.
func (n *Network) wait(l link, done <-chan struct{}) bool {
	for {
		blocked, changed := n.blocked(l)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// observe counts the probes that a node sends.
func (n *Network) observe(d *wire.Datagram) {
	if d.GetProbe() == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probes[d.From]++
}

// Probes returns the number of probes that a node has sent, whether or not they arrived.
func (n *Network) Probes(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes[id]
}

// without returns the IDs that are not in the second list.
func without(ids, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(removed, id) })
}
