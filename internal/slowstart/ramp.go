// Package slowstart limits what a backend server gets while it is cold: for some seconds after its start, or when it has
// turned cold later, it tolerates few requests per second and crashes well above that.
package slowstart

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the time in which the requests to a cold backend server are bounded.
	window = time.Second
	// plannedShare is the highest share of the bound that is planned for. The rest is a margin for requests that are sent in
	// one second and arrive in another.
	plannedShare = 0.8
	// burstTime is the time over which unused requests accumulate.
	burstTime = 250 * time.Millisecond
	// spareShare is the share of the bound above the planned rate that the burst may use.
	spareShare = 0.5
	// maxTracked limits the memory for sent requests. A higher bound is enforced as maxTracked per second.
	maxTracked = 1 << 12
	// unknownRemaining is the remaining slow start that is assumed of a backend server that has not stated it.
	unknownRemaining = time.Second
)

// Limits configure a Ramp: in any second a cold backend server gets at most PerSecond*Tolerance + Slack requests. A PerSecond or
// Tolerance of 0 switches the ramp off.
type Limits struct{ PerSecond, Tolerance, Slack float64 }

func (l Limits) enabled() bool { return l.PerSecond > 0 && l.Tolerance > 0 }

// bound returns the permitted requests in any second.
func (l Limits) bound() float64 { return l.PerSecond*l.Tolerance + l.Slack }

// Source is where a statement about the slow start comes from. The latest one of each source counts, and a backend server is
// cold while one of them says so: each source may be late.
type Source uint8

// Sources of statements.
const (
	Heartbeat Source = iota // ordered by sequence, may be seconds old
	Health                  // response of the health path
	sources
)

// Ramp decides which requests may be sent to one backend server. It is not safe for concurrent use. The times passed to it
// must not decrease; a time that does is taken for the latest one.
type Ramp struct {
	limits Limits
	rate   float64 // planned requests per second
	burst  float64
	limit  int // maximum number of requests sent in any window

	unknown   bool // the backend server has not stated its slow start yet
	coldUntil [sources]time.Time
	now       time.Time // latest time

	tokens float64
	// sent is a ring of the times of the latest requests; next is the index of the oldest.
	sent []time.Time
	next int
}

// New returns a ramp that is off. Its backend server counts as cold until it states otherwise.
func New() *Ramp { return &Ramp{unknown: true} }

// SetLimits changes the limits.
func (r *Ramp) SetLimits(l Limits) {
	if l == r.limits {
		return
	}
	r.limits = l
	if !l.enabled() {
		r.sent, r.next = nil, 0
		return
	}
	if r.sent == nil {
		r.tokens = math.Inf(1) // limited to the burst below
	}
	bound := l.bound()
	r.rate = min(l.PerSecond, plannedShare*bound)
	r.burst = max(1, min(spareShare*(bound-r.rate), r.rate*burstTime.Seconds()))
	r.limit = int(min(math.Floor(r.rate+r.burst), math.Floor(bound), maxTracked))
	r.tokens = min(r.tokens, r.burst)
	sent := make([]time.Time, r.limit)
	kept := r.latest(min(r.limit, len(r.sent)))
	copy(sent[r.limit-len(kept):], kept)
	r.sent, r.next = sent, 0
}

// latest returns the times of the latest n requests, oldest first.
func (r *Ramp) latest(n int) []time.Time {
	ordered := append(append([]time.Time(nil), r.sent[r.next:]...), r.sent[:r.next]...)
	return ordered[len(ordered)-n:]
}

// Enabled reports whether the ramp limits anything.
func (r *Ramp) Enabled() bool { return r.limits.enabled() }

// Restart records that another process of the backend server runs, of which nothing is known.
func (r *Ramp) Restart() {
	r.unknown = true
	r.coldUntil = [sources]time.Time{}
}

// State records a statement of the backend server, received at the given time: its slow start lasts for remaining from then
// on; 0 means that it is warm.
func (r *Ramp) State(source Source, received time.Time, remaining time.Duration) {
	r.unknown = false
	r.coldUntil[source] = received.Add(max(remaining, 0))
}

// Remaining returns the remaining slow start; 0 means that the backend server is warm or the ramp is off.
func (r *Ramp) Remaining(now time.Time) time.Duration {
	if !r.Enabled() {
		return 0
	}
	var remaining time.Duration
	if r.unknown {
		remaining = unknownRemaining
	}
	for _, until := range r.coldUntil {
		remaining = max(remaining, until.Sub(now))
	}
	return remaining
}

// Rate returns the requests per second that are planned for a cold backend server.
func (r *Ramp) Rate() float64 { return r.rate }

// advance adds the tokens that have accrued since the last call, also while the backend server is warm: what it got shortly
// before it turned cold is counted in the window.
func (r *Ramp) advance(now time.Time) time.Time {
	if now.Before(r.now) {
		return r.now
	}
	if !r.now.IsZero() {
		r.tokens = min(r.burst, r.tokens+r.rate*now.Sub(r.now).Seconds())
	}
	r.now = now
	return now
}

// Reserve takes a request from the planned rate before it waits for a slot. If there is no room, it returns the time until
// there is; otherwise 0. While the backend server is warm there always is. A reserved request that is not sent is returned with
// Release.
func (r *Ramp) Reserve(now time.Time) (wait time.Duration) {
	if !r.Enabled() {
		return 0
	}
	now = r.advance(now)
	remaining := r.Remaining(now)
	if remaining == 0 {
		return 0
	}
	if wait = max(r.windowWait(now), r.tokenWait()); wait > 0 {
		return min(wait, max(remaining, time.Millisecond))
	}
	r.tokens--
	return 0
}

// Release returns a reserved request that has not been sent, or that did not reach the backend server.
func (r *Ramp) Release() { r.tokens = min(r.burst, r.tokens+1) }

// tokenWait returns the time until the planned rate permits a request.
func (r *Ramp) tokenWait() time.Duration {
	if r.tokens >= 1 {
		return 0
	}
	return max(time.Duration((1-r.tokens)/r.rate*float64(time.Second)), 1)
}

// windowWait returns the time until the requests sent within the last second leave room for another.
func (r *Ramp) windowWait(now time.Time) time.Duration {
	if r.limit == 0 {
		return window
	}
	oldest := r.sent[r.next]
	if oldest.IsZero() {
		return 0
	}
	return max(0, oldest.Add(window).Sub(now))
}

// Send records that a request is sent now and returns its recorded time. If the backend server has turned cold since Reserve
// and the last second has no room left, Send records nothing and returns the time until there is room.
func (r *Ramp) Send(now time.Time) (at time.Time, wait time.Duration) {
	if !r.Enabled() {
		return now, 0
	}
	now = r.advance(now)
	if wait = r.windowWait(now); wait > 0 && r.Remaining(now) > 0 {
		return now, wait
	}
	if r.limit > 0 {
		r.sent[r.next] = now
		r.next = (r.next + 1) % r.limit
	}
	return now, 0
}

// Unsend removes a request from the record of sent ones, since it did not reach this backend server. The entry that it had
// replaced is not known any more, so that the oldest one takes its place, which never permits too much.
func (r *Ramp) Unsend(at time.Time) {
	ordered := r.latest(len(r.sent))
	i := slices.IndexFunc(ordered, at.Equal)
	if i < 0 {
		return
	}
	copy(ordered[1:i+1], ordered[:i])
	if i == 0 && len(ordered) > 1 {
		ordered[0] = ordered[1]
	}
	r.sent, r.next = ordered, 0
}
