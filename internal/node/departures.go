package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/wire"
)

const (
	// departureAckDelay bounds the wait for the store before a departure is acknowledged. The platform's backend servers wait
	// a second for the acknowledgement.
	departureAckDelay = 500 * time.Millisecond
	// departureGossipTime is the time in which a departure reaches several other nodes.
	departureGossipTime = 150 * time.Millisecond
	// minDepartureRetryInterval and maxDepartureRetryInterval bound the time between two tries to write a departure to the
	// store, which doubles with each.
	minDepartureRetryInterval = time.Second
	maxDepartureRetryInterval = 15 * time.Second
	// departureRetention is the time for which the store keeps a departure. Heartbeats are delayed by seconds.
	departureRetention = 10 * time.Minute
	// restoreSourceWait is the age of the process up to which the second of the two sources is waited for.
	restoreSourceWait = 600 * time.Millisecond
	// maxRestoreTime is the age of the process from which heartbeats are applied even if neither the store nor another node
	// has stated the departures. Heartbeats are delayed by seconds, so that a process which still sends some has not left.
	maxRestoreTime      = 8 * time.Second
	restorePollInterval = 10 * time.Millisecond
	// conflictRetryInterval is the time after which a write is tried again when another node of the domain has written.
	conflictRetryInterval = 10 * time.Millisecond
)

// storedDeparture is an entry of a members object.
type storedDeparture struct {
	announce.Departure
	NodeID string    `json:"node_id"`
	At     time.Time `json:"at"`
}

// departureState tracks which sources have stated the departures that earlier processes of this node acknowledged.
type departureState struct {
	peerReply atomic.Bool // another node has replied to an exchange
	peerKnown atomic.Bool // another node has stated all departures
	storeRead atomic.Bool // the members object of the domain has been read
	// storeFailed is set if the store could not be read when the process started. It may then lack departures that were
	// acknowledged during its outage.
	storeFailed atomic.Bool
}

// onDeparture announces a departure to the other nodes and writes it to the store, so that later processes of this node know
// it. It returns when the store has it, or after departureAckDelay; the write then continues.
func (n *Node) onDeparture(d announce.Departure) {
	n.engine.AddDepartures(departuresToWire(d), false)
	acknowledged := storedDeparture{Departure: d, NodeID: n.settings.NodeID, At: time.Now()}
	n.restored.add(acknowledged)
	if n.store == nil {
		sleep.For(n.ctx, departureGossipTime)
		return
	}
	written := make(chan struct{})
	n.background(func() {
		defer close(written)
		n.storeDeparture(d, acknowledged.At)
	})
	select {
	case <-written:
	case <-time.After(departureAckDelay):
		n.logger.Warn("departure acknowledged before it was stored", "event", "departure_not_stored", "endpoint", d.ID)
	}
}

// storeDeparture adds a departure to the members object of this node's domain. It retries until that succeeds, the
// departure is outdated or the node is closed.
func (n *Node) storeDeparture(d announce.Departure, at time.Time) {
	entry := storedDeparture{Departure: d, NodeID: n.settings.NodeID, At: at}
	for interval := minDepartureRetryInterval; time.Since(at) < departureRetention; {
		err := n.updateDomainMembers(n.ctx, func(m *domainMembers) { m.addDeparture(entry) })
		if err == nil {
			return
		}
		wait := conflictRetryInterval
		if !errors.Is(err, objectstore.ErrConflict) {
			n.logger.Info("failed to write a departure", "event", "store_write_failed", "endpoint", d.ID, "error", err)
			wait, interval = interval, min(2*interval, maxDepartureRetryInterval)
		}
		if !sleep.For(n.ctx, wait) {
			return
		}
	}
}

// updateDomainMembers reads, changes and writes the members object of this node's domain. A malformed object is replaced.
func (n *Node) updateDomainMembers(ctx context.Context, change func(*domainMembers)) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := membersPrefix + n.settings.FailureDomain
	old, err := n.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	members := domainMembers{}
	if len(old.Value) > 0 {
		members, _ = n.decodeMembers(key, old.Value)
	}
	members.FailureDomain, members.Region = n.settings.FailureDomain, n.settings.Region
	change(&members)
	members.dropOutdatedDepartures(time.Now())
	value, err := json.Marshal(members)
	if err != nil || string(value) == string(old.Value) {
		return err
	}
	_, err = n.store.Put(ctx, key, value, old.Version)
	return err
}

func (d *domainMembers) addDeparture(entry storedDeparture) {
	same := func(e storedDeparture) bool { return e.NodeID == entry.NodeID && e.Departure == entry.Departure }
	if !slices.ContainsFunc(d.Departures, same) {
		d.Departures = append(d.Departures, entry)
	}
}

// dropOutdatedDepartures removes entries older than departureRetention, and entries of another writer from the future.
func (d *domainMembers) dropOutdatedDepartures(now time.Time) {
	d.Departures = slices.DeleteFunc(d.Departures, func(e storedDeparture) bool {
		return now.Sub(e.At) > departureRetention || e.At.Sub(now) > departureRetention
	})
	// The oldest entries come first.
	d.Departures = d.Departures[max(0, len(d.Departures)-maxStoredDepartures):]
}

// restoreFromStore adds the departures of this node's backend servers that a members object lists.
func (n *Node) restoreFromStore(domains []domainMembers) {
	var restored []announce.Departure
	for _, d := range domains {
		if d.FailureDomain != n.settings.FailureDomain {
			continue
		}
		for _, e := range d.Departures {
			if e.NodeID == n.settings.NodeID {
				restored = append(restored, e.Departure)
			}
		}
	}
	n.restoreDepartures(restored)
	n.departures.storeRead.Store(true)
}

// onOwnDepartures adds the departures of this node's backend servers that another node knows.
func (n *Node) onOwnDepartures(departures []*wire.Departure, known bool) {
	var restored []announce.Departure
	for _, d := range departures {
		restored = append(restored, announce.Departure{ID: d.GetEndpointId(), Incarnation: d.GetIncarnation()})
	}
	n.restoreDepartures(restored)
	if known {
		n.departures.peerKnown.Store(true)
		n.registry.SetDeparturesStated()
	}
}

func (n *Node) restoreDepartures(departures []announce.Departure) {
	if len(departures) == 0 {
		return
	}
	n.registry.AddDepartures(departures)
	n.engine.AddDepartures(departuresToWire(departures...), false)
}

func departuresToWire(departures ...announce.Departure) []*wire.Departure {
	converted := make([]*wire.Departure, len(departures))
	for i, d := range departures {
		converted[i] = &wire.Departure{EndpointId: d.ID, Incarnation: d.Incarnation}
	}
	return converted
}

// awaitDepartures ends the hold of heartbeats once the departures that earlier processes of this node acknowledged and the
// evacuations are known, or after maxRestoreTime.
func (n *Node) awaitDepartures() {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	reading := n.store == nil
	for !(n.departuresKnown() && n.evacuationsKnown()) && n.uptime() < maxRestoreTime {
		// A node that other nodes find before it joins reads no list.
		if !reading && n.joinAttempted.Load() {
			reading = true
			n.background(func() { n.readDepartures(ctx) })
		}
		if !sleep.For(n.ctx, restorePollInterval) {
			return
		}
	}
	n.endEvacuationWait()
	known := n.departuresKnown()
	n.logger.Info("heartbeats are applied", "event", "departures_restored", "after", n.uptime(), "known", known)
	n.registry.EndRestore(time.Now(), known)
	// The store may lack a departure. Once no delayed heartbeat can contradict it, a later process need not know it.
	if n.departures.peerKnown.Load() || sleep.For(n.ctx, announce.MaxHeartbeatDelay-n.uptime()) {
		n.engine.AddDepartures(nil, true)
	}
}

// listenForHeartbeats starts a listener at a loopback address that no earlier process of the node has had, and returns the
// address. A heartbeat that arrives there was sent by a process that has had a response of this one. If it fails, it returns an
// empty address, and backend servers continue to send their heartbeats to announce.listen.
func (n *Node) listenForHeartbeats(ctx context.Context) string {
	// The kernel may choose the same port after each start, so that the host must differ too.
	host := netip.AddrFrom4([4]byte{127, byte(rand.IntN(256)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	l, err := listen(ctx, "heartbeats", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		n.logger.Warn("no address for later heartbeats", "event", "heartbeat_listener_failed", "error", err)
		return ""
	}
	n.addresses.Heartbeats = l.Addr().String()
	n.serveOn(l, "heartbeats", n.newHTTPServer(n.adapter.Announcements(n.registry, announce.Channel{
		LaterAddress: n.addresses.Heartbeats, SentAfterStart: true,
	})))
	return n.addresses.Heartbeats
}

// endProvisional withdraws a backend server that was announced by a heartbeat right after the start, and sent no further one.
func (n *Node) endProvisional() {
	if sleep.For(n.ctx, announce.ProvisionalTime-n.uptime()) && n.registry.EndProvisional() {
		n.logger.Warn("backend server sends no further heartbeat", "event", "backend_unconfirmed", "after", n.uptime())
	}
}

// departuresKnown reports whether heartbeats may be applied. The store and the other nodes may each lack the latest
// departure, so that both are asked where they can be reached.
func (n *Node) departuresKnown() bool {
	s := &n.departures
	waited := n.uptime() >= restoreSourceWait
	switch {
	case n.store == nil:
		return s.peerKnown.Load() || n.joinAttempted.Load()
	case s.storeRead.Load() && (s.peerKnown.Load() || !s.storeFailed.Load()):
		return s.peerReply.Load() || n.joinAttempted.Load() || waited
	}
	return s.peerKnown.Load() && waited
}

// readDepartures reads the members object of this node's domain, unless a list has been read. It retries until ctx ends.
func (n *Node) readDepartures(ctx context.Context) {
	key := membersPrefix + n.settings.FailureDomain
	for wait := firstReadRetryInterval; !n.departures.storeRead.Load(); wait *= 2 {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		o, err := n.store.Get(readCtx, key)
		cancel()
		var domains []domainMembers
		if err == nil {
			if d, ok := n.decodeMembers(key, o.Value); ok {
				domains = append(domains, d)
			}
		}
		if err == nil || errors.Is(err, objectstore.ErrNotFound) {
			n.restoreFromStore(domains)
			return
		}
		n.departures.storeFailed.Store(true)
		n.logger.Info("failed to read departures", "event", "store_read_failed", "error", err)
		if !sleep.For(ctx, wait) {
			return
		}
	}
}
