package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/wire"
)

// SetLocalEndpoints announces the endpoints beside this node. It returns an error that wraps
// membership.ErrBadRecord when they do not fit into a datagram; before Start, Start returns no error
// for that and logs it.
func (e *Engine) SetLocalEndpoints(endpoints []*wire.EndpointRecord) error {
	var result error
	e.locked(func(now time.Time) {
		result = e.node.SetEndpoints(now, endpoints)
		if result != nil {
			e.log.Error("local endpoints refused", "node", e.cfg.NodeID, "error", result)
			return
		}
		e.publish(now)
	})
	return result
}

// SetLeaving announces at once that this node takes no new work.
func (e *Engine) SetLeaving() { e.setLeaving(true) }

// ClearLeaving announces at once that this node takes work again.
func (e *Engine) ClearLeaving() { e.setLeaving(false) }

func (e *Engine) setLeaving(leaving bool) {
	e.locked(func(now time.Time) {
		e.node.SetLeaving(now, leaving)
		e.notBefore = now
		e.publish(now)
	})
}

// SetBundle puts a bundle in force, publishes a snapshot with it and tells other nodes of its version.
// A bundle whose version is not higher than the one in force is ignored.
func (e *Engine) SetBundle(b *bundle.Bundle) {
	e.locked(func(now time.Time) {
		if e.bundle != nil && b.Version <= e.bundle.Version {
			return
		}
		e.bundle = b
		e.stale = true
		e.publish(now)
		e.node.SetBundleVersion(now, b.Version)
	})
}

// Merge applies records from the store or from a peer.
func (e *Engine) Merge(members []*wire.Member) {
	e.locked(func(now time.Time) { e.node.Merge(now, members) })
}

// SyncRequest returns the request of a full-state exchange that this node starts.
func (e *Engine) SyncRequest() *wire.SyncRequest {
	request := &wire.SyncRequest{}
	e.read(func(node *membership.Node) { request = node.SyncRequest() })
	return request
}

// HandleSync answers the request of another node.
func (e *Engine) HandleSync(request *wire.SyncRequest) *wire.SyncReply {
	reply := &wire.SyncReply{}
	e.locked(func(now time.Time) { reply = e.node.HandleSync(now, request) })
	return reply
}

// HandleSyncReply merges the answer of the node at peerAddr. When this node has newer records, SyncWith
// is called once more with these.
func (e *Engine) HandleSyncReply(peerAddr string, reply *wire.SyncReply) {
	e.locked(func(now time.Time) { e.node.HandleSyncReply(now, peerAddr, reply) })
}

// Members returns the records of all known nodes, this one included. They must not be modified.
func (e *Engine) Members() []*wire.Member {
	var members []*wire.Member
	e.read(func(node *membership.Node) { members = node.Members() })
	return members
}

// Records returns the same records as Members but for the bundle versions that came with datagrams, without
// copying any. They must not be modified.
func (e *Engine) Records() []*wire.Member {
	var records []*wire.Member
	e.read(func(node *membership.Node) { records = node.Records() })
	return records
}

// Process returns the start of this process in unix milliseconds as other nodes see it in
// table.Endpoint.Incarnation. It is 0 before Start. It rises when a node with the same ID and a later
// clock was known before.
func (e *Engine) Process() uint64 {
	var process uint64
	e.read(func(node *membership.Node) {
		process = membership.Incarnation(node.Self().Incarnation).ProcessStartMs()
	})
	return process
}

// UDPAddr returns the advertised UDP address, or "" before Start.
func (e *Engine) UDPAddr() string {
	var addr string
	e.read(func(node *membership.Node) { addr = node.Self().UdpAddr })
	return addr
}

// Counters returns the totals of this engine since its start.
func (e *Engine) Counters() *membership.Counters { return &e.counters }

// Freshen asks for probes of a service's endpoints on the next tick. It never waits; when the queue is
// full, the request is dropped and counted.
func (e *Engine) RequestProbes(service string) { e.offer(input{service: service}) }

// AddQuarantine spreads entries to all nodes. It never waits, like Freshen.
func (e *Engine) AddQuarantine(entries ...*wire.QuarantineEntry) {
	if len(entries) > 0 {
		e.offer(input{quarantine: entries})
	}
}

func (e *Engine) offer(in input) {
	select {
	case e.input <- in:
	default:
		e.counters.InputDropped.Add(1)
	}
}

// errNoBoot reports a server that ended before it was ready.
var errNoBoot = errors.New("engine: UDP server ended while starting")
