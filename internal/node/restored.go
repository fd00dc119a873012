package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/wire"
)

const (
	// generationCheckInterval is the interval at which a node checks whether a response of the store has stated a new
	// generation.
	generationCheckInterval = 200 * time.Millisecond
	// ownerPollInterval is the interval at which an owner of claims reads a small object, so that it knows the generation
	// before it writes on a cached shard.
	ownerPollInterval = time.Second
	// nodePollInterval, times the number of members, is that of other nodes which have served a claim: all of them together make
	// at most 5 reads/s.
	nodePollInterval = 200 * time.Millisecond
	// pollIntervalMaxAge is the age at which the interval is computed again, which iterates over all members.
	pollIntervalMaxAge = 5 * time.Second
	// rewriteDelay is the time after which what this node knows is written a second time. Until all nodes have noticed the
	// restore, one of them may replace an object on the strength of a revision of the earlier generation.
	rewriteDelay = 5 * time.Second
)

// restoreState tracks restores of the store from a copy.
type restoreState struct {
	// generation is that of the store plus one; 0 while the store has stated none.
	generation atomic.Uint64
	restores   atomic.Int64 // since the start of the process

	mu sync.Mutex
	// departures are those that this process has acknowledged within departureRetention.
	departures []storedDeparture
}

// add remembers a departure that this process has acknowledged.
func (s *restoreState) add(d storedDeparture) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := domainMembers{Departures: append(s.departures, d)}
	kept.dropOutdatedDepartures(d.At)
	s.departures = kept.Departures
}

func (s *restoreState) ownDepartures() []storedDeparture {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]storedDeparture(nil), s.departures...)
}

// followGeneration notices when the store has been restored from a copy, and writes what this node knows to it again. It
// makes no calls of its own while the store states no generation or no claims are in use: the store readers, which watch the
// store, write what all nodes of a domain know.
func (n *Node) followGeneration() {
	stater, ok := n.store.(objectstore.GenerationStater)
	if !ok {
		return
	}
	var poll generationPoll
	for ok := true; ok; ok = sleep.For(n.ctx, generationCheckInterval) {
		generation, known, at := stater.Generation()
		if !known {
			continue
		}
		if n.claimers.InUse() && poll.due(time.Now(), at, n.generationPollInterval) {
			n.pollGeneration()
			generation, _, _ = stater.Generation()
		}
		n.claimers.Observe(time.Now())
		if before := n.restored.generation.Swap(generation + 1); before != 0 && before < generation+1 {
			n.onStoreRestored(generation)
		}
	}
}

// generationPoll decides when to read the store for its generation.
type generationPoll struct {
	interval               time.Duration
	computedAt, lastReadAt time.Time
}

// due reports whether the store is to be read now, and records that it is. statedAt is when a response last stated the
// generation. interval iterates over all members, so that it is called only in nodes that read at all, each
// pollIntervalMaxAge.
func (p *generationPoll) due(now, statedAt time.Time, interval func() time.Duration) bool {
	if now.Sub(p.computedAt) >= pollIntervalMaxAge {
		p.interval, p.computedAt = interval(), now
	}
	if now.Sub(statedAt) < p.interval || now.Sub(p.lastReadAt) < p.interval {
		return false
	}
	p.lastReadAt = now
	return true
}

func (n *Node) generationPollInterval() time.Duration {
	if n.claimRouter.IsOwner() {
		return ownerPollInterval
	}
	return max(ownerPollInterval, time.Duration(len(n.engine.Records()))*nodePollInterval)
}

// pollGeneration reads a small object. Its value does not matter, and an error leaves the generation as it is.
func (n *Node) pollGeneration() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	_, _ = n.store.Get(ctx, claim.LayoutKey)
}

// onStoreRestored writes what this node knows to the restored store, now and after rewriteDelay. The store readers write
// the members of their domains; see maintainDomainMembers.
func (n *Node) onStoreRestored(generation uint64) {
	n.restored.restores.Add(1)
	n.logger.Warn("store was restored from a copy", "event", "store_restored", "generation", generation,
		"departures", len(n.restored.ownDepartures()))
	n.background(func() {
		n.rewriteStored()
		if sleep.For(n.ctx, rewriteDelay) {
			n.claimers.Verify()
			n.rewriteStored()
		}
	})
}

func (n *Node) rewriteStored() {
	for _, d := range n.restored.ownDepartures() {
		n.background(func() { n.storeDeparture(d.Departure, d.At) })
	}
	if n.isStoreReader.Load() {
		n.background(n.storeQuarantine)
		n.rewriteBundle()
	}
}

// rewriteBundle stores the bundle in force if the store has lost it. Configurations in a format of the platform are the
// operator's, and are not written by nodes.
func (n *Node) rewriteBundle() {
	if n.adapter.Bundles.Decode != nil || n.settings.Bundle.Unsigned {
		return
	}
	n.bundles.mu.Lock()
	inForce := n.bundles.acceptor.InForce()
	n.bundles.mu.Unlock()
	if inForce == nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	written, err := rollout.RestoreRecord(ctx, n.store, inForce, time.Now())
	if written || err != nil {
		n.logger.Info("bundle in force written to the restored store", "event", "bundle_rewritten", "version", inForce.Version, "error", err)
	}
}

// knownDepartures returns the departures of the domain's backend servers that this node knows from the membership, as of
// now.
func (n *Node) knownDepartures(now time.Time) []storedDeparture {
	var known []storedDeparture
	for _, m := range n.engine.Records() {
		if m.FailureDomain != n.settings.FailureDomain {
			continue
		}
		known = append(known, storedDepartures(m, now)...)
	}
	return known
}

func storedDepartures(m *wire.Member, at time.Time) []storedDeparture {
	var stored []storedDeparture
	for _, d := range m.Departures {
		departure := announce.Departure{ID: d.GetEndpointId(), Incarnation: d.GetIncarnation()}
		stored = append(stored, storedDeparture{Departure: departure, NodeID: m.NodeId, At: at})
	}
	return stored
}
