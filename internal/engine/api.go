package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/wire"
)

// SetLocalEndpoints replaces the endpoints on this node's VM and announces them to the other nodes. If they
// don't fit into a datagram, it returns an error that wraps membership.ErrBadRecord. A call before Start
// takes effect in Start, which only logs such an error.
func (e *Engine) SetLocalEndpoints(endpoints []*wire.EndpointRecord) error {
	var result error
	e.update(func(now time.Time) {
		result = e.node.SetEndpoints(now, endpoints)
		if result != nil {
			e.log.Error("rejected local endpoints", "node", e.cfg.NodeID, "error", result)
			return
		}
		e.publish(now)
	})
	return result
}

// AddDepartures announces departures of backend servers on this node's VM to the other nodes, which keep them for later
// processes of this node. known states that this node has learned which departures earlier processes acknowledged.
func (e *Engine) AddDepartures(departures []*wire.Departure, known bool) {
	e.update(func(now time.Time) {
		e.node.AddDepartures(now, departures, known)
		e.publish(now)
	})
}

// SetLeaving immediately announces to the other nodes that this node is draining and accepts no new work.
func (e *Engine) SetLeaving() { e.setLeaving(true) }

// ClearLeaving immediately announces to the other nodes that this node accepts work again.
func (e *Engine) ClearLeaving() { e.setLeaving(false) }

func (e *Engine) setLeaving(leaving bool) {
	e.update(func(now time.Time) {
		e.node.SetLeaving(now, leaving)
		e.nextPublish = now
		e.publish(now)
	})
}

// SetBundle puts a bundle in force, publishes a snapshot with it and announces its version to other nodes.
// It ignores a bundle whose version is not higher than that of the bundle in force.
func (e *Engine) SetBundle(b *bundle.Bundle) {
	e.update(func(now time.Time) {
		if e.bundle != nil && b.Version <= e.bundle.Version {
			return
		}
		e.bundle = b
		e.bundleChanged = true
		e.publish(now)
		e.node.SetBundleVersion(now, b.Version)
	})
}

// ObserveEvacuations merges a listing of the evacuations in the store, and sends the resulting set to other nodes if it has
// changed. A listing that lacks evacuations because the store was restored from a copy changes nothing; their domains are
// returned.
func (e *Engine) ObserveEvacuations(listing evacuation.Listing) (lost []string) {
	e.update(func(now time.Time) {
		known, _ := e.node.Evacuations()
		if lost = evacuation.Lost(known, listing); len(lost) > 0 {
			return
		}
		e.node.SetEvacuations(now, evacuation.Observe(known, listing))
		e.publish(now)
	})
	return lost
}

// Evacuations returns the newest set of evacuated failure domains that this node knows.
func (e *Engine) Evacuations() evacuation.Set {
	var set evacuation.Set
	e.view(func(node *membership.Node) { set, _ = node.Evacuations() })
	return set
}

// Merge merges member records from the store or from a peer into the member table.
func (e *Engine) Merge(members []*wire.Member) {
	e.update(func(now time.Time) { e.node.Merge(now, members) })
}

// SyncRequest returns the request with which this node starts a full-state exchange.
func (e *Engine) SyncRequest() *wire.SyncRequest {
	request := &wire.SyncRequest{}
	e.view(func(node *membership.Node) { request = node.SyncRequest() })
	return request
}

// HandleSync handles the full-state exchange request of another node and returns the reply.
func (e *Engine) HandleSync(request *wire.SyncRequest) *wire.SyncReply {
	reply := &wire.SyncReply{}
	e.update(func(now time.Time) { reply = e.node.HandleSync(now, request) })
	return reply
}

// HandleSyncReply merges the reply of the node at peerAddr. If this node has newer records, it sends them to
// that node with another call of Hooks.SyncWith.
func (e *Engine) HandleSyncReply(peerAddr string, reply *wire.SyncReply) {
	e.update(func(now time.Time) { e.node.HandleSyncReply(now, peerAddr, reply) })
}

// Members returns the records of all known nodes, this one included. They must not be modified.
func (e *Engine) Members() []*wire.Member {
	var members []*wire.Member
	e.view(func(node *membership.Node) { members = node.Members() })
	return members
}

// Records returns the same records as Members without copying any, so their bundle versions lack the updates
// received in datagram headers. The records must not be modified.
func (e *Engine) Records() []*wire.Member {
	var records []*wire.Member
	e.view(func(node *membership.Node) { records = node.Records() })
	return records
}

// ProcessStartMs returns the start time of this process in Unix milliseconds, as other nodes see it in
// table.Endpoint.Incarnation. It is 0 before Start. It is raised if other nodes know an earlier process with
// the same node ID whose clock was ahead.
func (e *Engine) ProcessStartMs() uint64 {
	var processStart uint64
	e.view(func(node *membership.Node) {
		processStart = membership.Incarnation(node.Self().Incarnation).ProcessStartMs()
	})
	return processStart
}

// UDPAddr returns the advertised UDP address, or "" before Start.
func (e *Engine) UDPAddr() string {
	var addr string
	e.view(func(node *membership.Node) { addr = node.Self().UdpAddr })
	return addr
}

// Counters returns the event counters of this engine.
func (e *Engine) Counters() *membership.Counters { return &e.counters }

// RequestProbes requests probes of a service's endpoints on the next tick. It never blocks: if the input queue is
// full, the request is dropped and counted in InputDropped.
func (e *Engine) RequestProbes(service string) { e.enqueue(input{service: service}) }

// AddQuarantine adds quarantine entries and distributes them to all nodes. Like RequestProbes, it never blocks.
func (e *Engine) AddQuarantine(entries ...*wire.QuarantineEntry) {
	if len(entries) > 0 {
		e.enqueue(input{quarantine: entries})
	}
}

func (e *Engine) enqueue(in input) {
	select {
	case e.inputs <- in:
	default:
		e.counters.InputDropped.Add(1)
	}
}

var errServerExited = errors.New("engine: UDP server exited before it was ready")
