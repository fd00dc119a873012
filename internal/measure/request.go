package measure

import (
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
)

// request is one request at a caller node, with the state of its attempts.
type request struct {
	callerNode  *callerNode
	route       *route
	arrived     int64
	deadline    int64
	attempts    int
	tried       []*table.Endpoint
	current     *attempt
	done        bool
	inBound     bool // see Result.InBound
	moves       int  // busy refusals
	refusedBusy bool // set after the last permitted a busy refusal; later attempts then accept any wait
	// headOfLineWait is the time that its attempts waited while a long request held a slot of the endpoint.
	headOfLineWait time.Duration
}

// attempt is one transmission of a request to an endpoint.
type attempt struct {
	request           *request
	endpoint          *table.Endpoint
	sentAt            int64
	long              bool          // class that the caller node assigned
	remaining         time.Duration // time to the deadline when it was sent
	finished          bool
	waiting           bool
	maxWait           time.Duration
	longBusyAtEnqueue time.Duration // backend.longBusyTime at the start of the wait
}

// dropLastAttempt discounts an attempt that was refused as busy. Its endpoint remains a candidate because
// the refusal carried its exact load, which the next choice takes into account. With IngressMoves, it becomes a candidate
// again only when the next attempt accepts any wait.
func (r *request) dropLastAttempt() {
	s := r.callerNode.sim
	r.moves++
	r.attempts--
	r.refusedBusy = !s.scenario.IngressMoves || r.moves >= retry.PolicyOf(s.bundle.Policy).BusyMoves()
	if r.refusedBusy {
		r.tried = r.tried[:max(len(r.tried)-r.moves, 0)]
	}
}

// excludedMask returns a bitmask of the endpoints of svc that were already tried.
func (r *request) excludedMask(svc *table.Service) uint64 {
	var mask uint64
	for i, e := range svc.Endpoints {
		for _, tried := range r.tried {
			if tried.ID == e.ID {
				mask |= 1 << i
			}
		}
	}
	return mask
}

// expire fails the request at its deadline if it has not ended.
func (r *request) expire() {
	if r.done {
		return
	}
	if a := r.current; a != nil && !a.finished {
		a.finish(balance.Failed)
	}
	r.complete(false)
}

func (r *request) complete(ok bool) {
	if r.done {
		panic("measure: request completed twice")
	}
	r.done = true
	r.callerNode.sim.pending--
	r.callerNode.sim.record(r, ok)
}

// finish records the outcome of the attempt at the caller node. Later responses to it are ignored.
func (a *attempt) finish(outcome balance.Outcome) {
	a.finished = true
	now := a.request.callerNode.sim.loop.now
	balance.ObserveResult(a.endpoint.Stats, now, time.Duration(now-a.sentAt), outcome, a.long)
}

// domain returns the index of the failure domain of the endpoint.
func (a *attempt) domain() int {
	s := a.request.callerNode.sim
	return s.endpointDomains[s.endpointIndex(a.endpoint)]
}

// reply sends a response to the caller node.
func (a *attempt) reply(resp response) {
	c := a.request.callerNode
	bytes := responseBytes
	if resp.refused != "" {
		bytes = refusalBytes
	}
	c.sim.countBytes(a.domain(), c.domain, bytes)
	c.sim.send(a.domain(), c.domain, func() { c.handleResponse(a, resp) })
}

// startWait and endWait are called when the wait for a slot begins and ends.
func (a *attempt) startWait(b *backend) {
	a.waiting = true
	a.longBusyAtEnqueue = b.longBusyTime()
}

func (a *attempt) endWait(b *backend) {
	if a.waiting {
		a.waiting = false
		a.request.headOfLineWait += b.longBusyTime() - a.longBusyAtEnqueue
	}
}
