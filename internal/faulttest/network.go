// Package faulttest runs complete nodes on loopback, connected through relays that can block their traffic, and
// checks under injected faults that the guarantees to callers, operators and backend servers hold.
package faulttest

import (
	"slices"
	"sync"

	"dandelionspoke/internal/wire"
)

// Network simulates network partitions and frozen nodes: it decides which messages between nodes the relays forward.
// It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	partitioned map[link]bool
	frozen      map[string]bool
	changed     chan struct{}  // closed and replaced after each change
	probes      map[string]int // number of probes sent, by node ID
}

// link is the traffic from one node to another, by node ID.
type link struct{ from, to string }

// NewNetwork returns a network that blocks nothing.
func NewNetwork() *Network {
	return &Network{
		partitioned: map[link]bool{}, frozen: map[string]bool{}, changed: make(chan struct{}), probes: map[string]int{},
	}
}

// update applies a change and wakes the goroutines that wait for a blocked link.
func (n *Network) update(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Partition blocks all messages between the two groups in both directions. Connections stay open.
func (n *Network) Partition(a, b []string) {
	n.update(func() { n.setPartitionLocked(a, b, true) })
}

// Heal ends a partition.
func (n *Network) Heal(a, b []string) {
	n.update(func() { n.setPartitionLocked(a, b, false) })
}

func (n *Network) setPartitionLocked(a, b []string, block bool) {
	for _, x := range a {
		for _, y := range b {
			n.partitioned[link{x, y}] = block
			n.partitioned[link{y, x}] = block
		}
	}
}

// Freeze blocks all messages from and to a node, as if its process were suspended.
func (n *Network) Freeze(id string) { n.update(func() { n.frozen[id] = true }) }

// Thaw ends a freeze. Data that was sent over connections in the meantime is then delivered late.
func (n *Network) Thaw(id string) { n.update(func() { delete(n.frozen, id) }) }

// blocked reports whether the link is blocked, and returns a channel that closes at the next change of the network.
func (n *Network) blocked(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[l] || n.frozen[l.from] || n.frozen[l.to], n.changed
}

// waitUnblocked returns true once the link is not blocked, or false if done closes first.
func (n *Network) waitUnblocked(l link, done <-chan struct{}) bool {
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

// countProbe counts the datagram for its sender when it is a probe.
func (n *Network) countProbe(d *wire.Datagram) {
	if d.GetProbe() == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probes[d.From]++
}

// ProbesSent returns the number of probes that a node has sent, including those that were blocked.
func (n *Network) ProbesSent(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes[id]
}

// exclude returns the IDs that are not in removed.
func exclude(ids, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(removed, id) })
}
