package measure

import (
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/table"
)

// request is one request of a caller, with all its attempts.
type request struct {
	caller   *caller
	route    *route
	arrived  int64
	deadline int64
	attempts int
	tried    []*table.Endpoint
	current  *attempt
	done     bool
	placed   bool // refused as busy once; later attempts accept any wait
	// blocked is the time that its attempts waited while an archive pull held a slot of the endpoint.
	blocked time.Duration
}

// attempt is one try at one endpoint.
type attempt struct {
	request   *request
	endpoint  *table.Endpoint
	sentAt    int64
	long      bool          // class that the caller gave it
	remaining time.Duration // to the deadline when it was sent
	finished  bool
	waiting   bool
	maxWait   time.Duration
	longHeld  time.Duration // backend.longHeld when the wait began
}

// moved takes back an attempt that was refused as busy. Its endpoint stays a candidate: the choice that
// follows knows its load exactly.
func (r *request) moved() {
	r.placed = true
	r.attempts--
	r.tried = r.tried[:len(r.tried)-1]
}

// excluded is the mask of the endpoints already tried.
func (r *request) excluded(svc *table.Service) uint64 {
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

// expire ends the request at its deadline.
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
		panic("measure: a request ended twice")
	}
	r.done = true
	r.caller.sim.pending--
	r.caller.sim.record(r, ok)
}

// finish records the end of the attempt at the caller. A later answer is dropped.
func (a *attempt) finish(outcome balance.Outcome) {
	a.finished = true
	now := a.request.caller.sim.loop.now
	balance.ObserveResult(a.endpoint.Stats, now, time.Duration(now-a.sentAt), outcome, a.long)
}

// reply sends an answer back to the caller.
func (a *attempt) reply(got answer) {
	c := a.request.caller
	c.sim.send(c.sim.endpointIndex(a.endpoint), c.domain, func() { c.answered(a, got) })
}

// enqueued and dequeued enclose the wait for a slot.
func (a *attempt) enqueued(b *backend) {
	a.waiting = true
	a.longHeld = b.longHeld()
}

func (a *attempt) dequeued(b *backend) {
	if a.waiting {
		a.waiting = false
		a.request.blocked += b.longHeld() - a.longHeld
	}
}
