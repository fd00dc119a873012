package engine

import (
	"time"

	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// probeTimeout is how long a probe reply is accepted.
	probeTimeout = time.Second
	// maxProbes bounds the probes that wait for a reply.
	maxProbes = 1024
)

type sentProbe struct {
	endpointID string
	nodeID     string
	sent       time.Time
}

// probeTable holds the probes that wait for a reply.
type probeTable struct {
	sequence uint64
	waiting  map[uint64]sentProbe
	oldest   uint64 // no probe with a lower sequence waits
}

func newProbeTable() probeTable { return probeTable{waiting: map[uint64]sentProbe{}, oldest: 1} }

// expire drops probes that got no reply in time.
func (p *probeTable) expire(now time.Time) {
	for ; p.oldest <= p.sequence; p.oldest++ {
		if s, ok := p.waiting[p.oldest]; ok && now.Sub(s.sent) < probeTimeout {
			return
		}
		delete(p.waiting, p.oldest)
	}
}

func (p *probeTable) add(e *table.Endpoint, now time.Time) uint64 {
	p.sequence++
	p.waiting[p.sequence] = sentProbe{endpointID: e.ID, nodeID: e.NodeID, sent: now}
	return p.sequence
}

// sendProbes sends the planned probes within the byte budget.
func (e *Engine) sendProbes(now time.Time, wanted []string) {
	e.probes.expire(now)
	if e.hooks.PlanProbes == nil {
		return
	}
	for _, endpoint := range e.hooks.PlanProbes(now, e.snapshot, wanted) {
		if endpoint.NodeID == e.cfg.NodeID {
			e.reportOwn(endpoint.ID)
			continue
		}
		if len(e.probes.waiting) >= maxProbes {
			return
		}
		seq := e.probes.add(endpoint, now)
		probe := &wire.Datagram_Probe{Probe: &wire.Probe{Seq: seq, Service: endpoint.Service}}
		if !e.node.Send(now, endpoint.UDPAddr, &wire.Datagram{Kind: probe}) {
			delete(e.probes.waiting, seq)
			return
		}
	}
}

// reportOwn reports the load of the gate of this node without a message.
func (e *Engine) reportOwn(endpointID string) {
	if e.hooks.GateLoad == nil || e.hooks.OnReport == nil {
		return
	}
	load := e.hooks.GateLoad()
	e.calls = append(e.calls, func() { e.hooks.OnReport(endpointID, load) })
}

// receiveProbe handles the probe messages of a member.
func (e *Engine) receiveProbe(now time.Time, d *wire.Datagram) {
	switch kind := d.Kind.(type) {
	case *wire.Datagram_Probe:
		e.answerProbe(now, d.From, kind.Probe)
	case *wire.Datagram_ProbeReply:
		e.takeReport(now, d.From, kind.ProbeReply)
	}
}

// answerProbe replies to the address in the sender's record, with a message of about the same size.
func (e *Engine) answerProbe(now time.Time, from string, probe *wire.Probe) {
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

// takeReport accepts a reply only from the node that was asked, about the endpoint that was asked for.
func (e *Engine) takeReport(now time.Time, from string, reply *wire.ProbeReply) {
	sent, ok := e.probes.waiting[reply.GetSeq()]
	if !ok || sent.nodeID != from || sent.endpointID != reply.GetEndpoint() || reply.GetLoad() == nil {
		return
	}
	delete(e.probes.waiting, reply.Seq)
	if now.Sub(sent.sent) > probeTimeout || e.hooks.OnReport == nil {
		return
	}
	load := reply.Load
	e.calls = append(e.calls, func() { e.hooks.OnReport(sent.endpointID, load) })
}
