package engine

import (
	"time"

	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// probeTimeout is how long after the probe its reply is accepted.
	probeTimeout = time.Second
	// maxPendingProbes limits the probes that wait for a reply.
	maxPendingProbes = 1024
)

type pendingProbe struct {
	endpointID string
	nodeID     string
	sentAt     time.Time
}

// probeTable holds the probes that wait for a reply.
type probeTable struct {
	lastSequence uint64
	pending      map[uint64]pendingProbe
	oldest       uint64 // no probe with a lower sequence number is pending
}

func newProbeTable() probeTable { return probeTable{pending: map[uint64]pendingProbe{}, oldest: 1} }

// expire removes probes whose timeout has passed.
func (p *probeTable) expire(now time.Time) {
	for ; p.oldest <= p.lastSequence; p.oldest++ {
		if probe, ok := p.pending[p.oldest]; ok && now.Sub(probe.sentAt) < probeTimeout {
			return
		}
		delete(p.pending, p.oldest)
	}
}

func (p *probeTable) add(e *table.Endpoint, now time.Time) uint64 {
	p.lastSequence++
	p.pending[p.lastSequence] = pendingProbe{endpointID: e.ID, nodeID: e.NodeID, sentAt: now}
	return p.lastSequence
}

// sendProbes sends the probes that Hooks.PlanProbes returns until the byte budget is used up.
func (e *Engine) sendProbes(now time.Time, services []string) {
	e.probes.expire(now)
	if e.hooks.PlanProbes == nil {
		return
	}
	for _, endpoint := range e.hooks.PlanProbes(now, e.snapshot, services) {
		if endpoint.NodeID == e.cfg.NodeID {
			e.reportLocalLoad(endpoint.ID)
			continue
		}
		if len(e.probes.pending) >= maxPendingProbes {
			return
		}
		seq := e.probes.add(endpoint, now)
		probe := &wire.Datagram_Probe{Probe: &wire.Probe{Seq: seq, Service: endpoint.Service}}
		if !e.node.Send(now, endpoint.UDPAddr, &wire.Datagram{Kind: probe}) {
			delete(e.probes.pending, seq)
			return
		}
	}
}

// reportLocalLoad passes the load of this node's gate to Hooks.OnReport without sending a probe.
func (e *Engine) reportLocalLoad(endpointID string) {
	if e.hooks.GateLoad == nil || e.hooks.OnReport == nil {
		return
	}
	load := e.hooks.GateLoad()
	e.pendingHooks = append(e.pendingHooks, func() { e.hooks.OnReport(endpointID, load) })
}

// handleProbeMessage handles a probe or probe reply from a member and ignores other messages.
func (e *Engine) handleProbeMessage(now time.Time, d *wire.Datagram) {
	switch kind := d.Kind.(type) {
	case *wire.Datagram_Probe:
		e.handleProbe(now, d.From, kind.Probe)
	case *wire.Datagram_ProbeReply:
		e.handleProbeReply(now, d.From, kind.ProbeReply)
	}
}

// handleProbe sends the reply to the address in the sender's member record. The reply is about as large as the
// probe, so that a probe with a forged sender causes no amplification.
func (e *Engine) handleProbe(now time.Time, from string, probe *wire.Probe) {
	sender := e.node.Record(from)
	endpoint := e.localEndpoint(probe.GetService())
	if sender == nil || endpoint == "" || e.hooks.GateLoad == nil {
		return
	}
	reply := &wire.ProbeReply{Seq: probe.GetSeq(), Endpoint: endpoint, Load: e.hooks.GateLoad()}
	e.node.Send(now, sender.UdpAddr, &wire.Datagram{Kind: &wire.Datagram_ProbeReply{ProbeReply: reply}})
}

func (e *Engine) localEndpoint(service string) string {
	for _, record := range e.node.Self().Endpoints {
		if record.Service == service {
			return record.Id
		}
	}
	return ""
}

// handleProbeReply accepts a reply only from the probed node and only for the probed endpoint.
func (e *Engine) handleProbeReply(now time.Time, from string, reply *wire.ProbeReply) {
	pending, ok := e.probes.pending[reply.GetSeq()]
	if !ok || pending.nodeID != from || pending.endpointID != reply.GetEndpoint() || reply.GetLoad() == nil {
		return
	}
	delete(e.probes.pending, reply.Seq)
	if now.Sub(pending.sentAt) > probeTimeout || e.hooks.OnReport == nil {
		return
	}
	load := reply.Load
	e.pendingHooks = append(e.pendingHooks, func() { e.hooks.OnReport(pending.endpointID, load) })
}
