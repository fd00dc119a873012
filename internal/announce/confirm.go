package announce

import "time"

const (
	// firstHeartbeatTime is the time after the start of the node in which the first heartbeat of a live backend server
	// arrives. Servers whose heartbeats fail repeat them within a second.
	firstHeartbeatTime = 1100 * time.Millisecond
	// ProvisionalTime is the time after the start of the node at which EndProvisional is to be called. It leaves a server that was
	// announced within firstHeartbeatTime the time for its next heartbeat.
	ProvisionalTime = firstHeartbeatTime + 1600*time.Millisecond
	// minConfirmationTime is the time between two heartbeats that shows that their process still sends some. Heartbeats that were
	// delayed together, as by a pause of the node, arrive closer together.
	minConfirmationTime = 750 * time.Millisecond
	// maxHeartbeatGap is the longest time between two consecutive heartbeats of a live process.
	maxHeartbeatGap = 2250 * time.Millisecond
	// MaxHeartbeatDelay is the longest time by which heartbeats are delayed. Those that arrive later than that after the start of
	// the node were sent after it.
	MaxHeartbeatDelay = 12 * time.Second
)

// Channel describes an address at which the node accepts heartbeats.
type Channel struct {
	// LaterAddress is the address (ip:port) that responses name for the later heartbeats of a backend server; empty names none.
	LaterAddress string
	// SentAfterStart is set if this process of the node has chosen the address at random. A heartbeat that arrives there was sent
	// after a response of this process, and therefore after its start.
	SentAfterStart bool
}

// confirmation tracks whether the process that sends heartbeats is alive. A node that has just started cannot know all
// departures that its predecessor acknowledged: the store may have been away, and all nodes that knew of them may have ended.
// A heartbeat that was sent before the departure proves nothing then. A process is confirmed by a heartbeat that was sent after the
// start of the node, by two consecutive ones later than MaxHeartbeatDelay after the start, or by two consecutive ones at any time if
// a node that knew the predecessor has stated the departures.
type confirmation struct {
	nodeStart time.Time // zero if no process needs a confirmation
	// provisionalEnded is set by EndProvisional; until then, unconfirmed processes may be announced.
	provisionalEnded bool
	// departuresStated is set by SetDeparturesStated.
	departuresStated bool

	id          string
	incarnation int64
	sequence    uint64
	last        time.Time // receipt of the latest heartbeat
	// since and undelayedSince are the receipt of the first heartbeat without a gap above maxHeartbeatGap until last, of all and of
	// those that can't have been delayed since before the start of the node. Zero means none.
	since, undelayedSince time.Time
	repeated              bool // two heartbeats were at least minConfirmationTime apart
	alive                 bool // a heartbeat was sent after the start of the node
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
		*c = confirmation{
			nodeStart: c.nodeStart, provisionalEnded: c.provisionalEnded, departuresStated: c.departuresStated,
			id: h.ID, incarnation: h.Incarnation,
		}
	} else if h.Sequence <= c.sequence {
		return
	}
	if received.Sub(c.last) > maxHeartbeatGap {
		c.since, c.undelayedSince = time.Time{}, time.Time{}
	}
	c.sequence, c.last = h.Sequence, received
	if c.since.IsZero() {
		c.since = received
	}
	if c.undelayedSince.IsZero() && received.Sub(c.nodeStart) > MaxHeartbeatDelay {
		c.undelayedSince = received
	}
	c.repeated = c.repeated || received.Sub(c.since) >= minConfirmationTime
	c.alive = c.alive || h.SentAfterStart ||
		!c.undelayedSince.IsZero() && received.Sub(c.undelayedSince) >= minConfirmationTime
}

// permits reports whether a heartbeat that has been observed may announce its process. Right after the start of the node,
// unconfirmed processes may be announced until EndProvisional, so that live ones don't wait for their next heartbeat.
func (c *confirmation) permits(h Heartbeat, received time.Time) bool {
	if !c.isNeededFor(h.Incarnation) || h.Draining || c.isConfirmed(h.ID, h.Incarnation) {
		return true
	}
	return !c.provisionalEnded && received.Sub(c.nodeStart) <= firstHeartbeatTime
}

func (c *confirmation) isConfirmed(id string, incarnation int64) bool {
	return (c.alive || c.repeated && c.departuresStated) && c.id == id && c.incarnation == incarnation
}

// SetDeparturesStated records that a node which knew the predecessor of this one has stated the departures.
func (r *Registry) SetDeparturesStated() {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	r.confirmation.departuresStated = true
}

// EndProvisional withdraws the announced backend server if it has not been confirmed, and reports whether it did. A later
// heartbeat that confirms the server announces it again.
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
