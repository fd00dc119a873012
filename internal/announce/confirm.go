package announce

import "time"

const (
	// firstHeartbeatTime is the time after the start of the node in which the first heartbeat of a live backend server
	// arrives. Servers whose heartbeats fail repeat them within a second.
	firstHeartbeatTime = 1100 * time.Millisecond
	// ProvisionalTime is the time after the start of the node at which EndProvisional is to be called. It leaves a server that was
	// announced within firstHeartbeatTime the time for its next heartbeat.
	ProvisionalTime = firstHeartbeatTime + 1600*time.Millisecond
	// minConfirmationTime is the time between two heartbeats that shows that their process still sends some. Delayed
	// heartbeats arrive alone or closer together.
	minConfirmationTime = 750 * time.Millisecond
	// maxHeartbeatGap is the longest time between two consecutive heartbeats of a live process.
	maxHeartbeatGap = 2250 * time.Millisecond
)

// confirmation tracks whether the process that sends heartbeats is alive. A node that has just started cannot know all
// departures that its predecessor acknowledged: the store may have been away, and all nodes that knew of them may have ended.
// One heartbeat proves nothing then, because it may have been sent before the departure.
type confirmation struct {
	nodeStart time.Time // zero if no process needs a confirmation
	// provisionalEnded is set by EndProvisional; until then, unconfirmed processes may be announced.
	provisionalEnded bool

	id          string
	incarnation int64
	sequence    uint64
	since, last time.Time // receipt of the first and the latest of its heartbeats without a gap above maxHeartbeatGap
	confirmed   bool
}

// isNeededFor reports whether the predecessor of this node may have acknowledged the departure of a process. It can't have
// done so for one that started after this node.
func (c *confirmation) isNeededFor(incarnation int64) bool {
	return !c.nodeStart.IsZero() && incarnation != 0 && incarnation <= c.nodeStart.UnixMilli()
}

// observe records a heartbeat. Those of earlier processes and repeated ones change nothing.
func (c *confirmation) observe(h Heartbeat, received time.Time) {
	if !c.isNeededFor(h.Incarnation) || h.Draining || h.Incarnation < c.incarnation {
		return
	}
	if h.Incarnation > c.incarnation || h.ID != c.id {
		*c = confirmation{nodeStart: c.nodeStart, provisionalEnded: c.provisionalEnded, id: h.ID, incarnation: h.Incarnation, since: received, last: received}
	} else if h.Sequence <= c.sequence {
		return
	}
	if received.Sub(c.last) > maxHeartbeatGap {
		c.since = received
	}
	c.sequence, c.last = h.Sequence, received
	c.confirmed = c.confirmed || received.Sub(c.since) >= minConfirmationTime
}

// permits reports whether a heartbeat that has been observed may announce its process. Right after the start of the node,
// unconfirmed processes may be announced until EndProvisional, so that live ones don't wait for their second heartbeat.
func (c *confirmation) permits(h Heartbeat, received time.Time) bool {
	if !c.isNeededFor(h.Incarnation) || h.Draining || c.isConfirmed(h.ID, h.Incarnation) {
		return true
	}
	return !c.provisionalEnded && received.Sub(c.nodeStart) <= firstHeartbeatTime
}

func (c *confirmation) isConfirmed(id string, incarnation int64) bool {
	return c.confirmed && c.id == id && c.incarnation == incarnation
}

// EndProvisional withdraws the announced backend server if no further heartbeat has confirmed it, and reports whether it did. A
// later heartbeat that confirms the server announces it again.
func (r *Registry) EndProvisional() bool {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	r.confirmation.provisionalEnded = true
	s := r.state
	if s.current == nil || s.draining || !r.confirmation.isNeededFor(s.incarnation) || r.confirmation.isConfirmed(s.current.ID, s.incarnation) {
		return false
	}
	r.withdrawLocked(false)
	return true
}
