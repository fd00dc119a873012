package admission

import "time"

// Decisions for an endpoint whose neighbours on the same machine take its processor for some hundred milliseconds at a
// time. Work that starts in such a spell keeps its slot for several times as long, also after the spell has ended, so
// long work does better to wait for the end of the spell.

const (
	// slowFrom is the slowness, in multiples of the least stated lately, from which an endpoint is in a slow spell.
	slowFrom = 1.25
	// slownessTrust is the age up to which a stated slowness decides on starts. Spells end within a few hundred
	// milliseconds.
	slownessTrust = 100 * time.Millisecond
	// spellLength is the expected rest of a slow spell. Work that loses less by a slow start does not wait for it.
	spellLength = 300 * time.Millisecond
	// leastWindow is the time over which the least slowness is kept, between one and two times. An endpoint that is
	// slow for longer, as in the seconds after its start, has no spell that could be waited out.
	leastWindow = 700 * time.Millisecond
)

// machineSpeed is what an endpoint has stated about its speed, as the time that work takes in multiples of the usual
// time; 0 is unknown.
type machineSpeed struct {
	slowness float64 // newest statement
	at       time.Time
	// least is the least slowness of the window that began at windowStart, leastBefore that of the window before.
	least, leastBefore float64
	windowStart        time.Time
}

func (s *machineSpeed) observe(now time.Time, slowness float64) {
	switch age := now.Sub(s.windowStart); {
	case age >= 2*leastWindow:
		s.windowStart, s.leastBefore, s.least = now, slowness, slowness
	case age >= leastWindow:
		s.windowStart, s.leastBefore, s.least = now, s.least, slowness
	}
	s.least = min(s.least, slowness)
	s.slowness, s.at = slowness, now
}

// excess is the time that work started now takes beyond that of a start after the spell, as a share of the latter.
// It is 0 outside of spells and without a recent statement.
func (s *machineSpeed) excess(now time.Time) float64 {
	least := min(s.least, s.leastBefore)
	if least <= 0 || now.Sub(s.at) > slownessTrust || s.slowness < slowFrom*least {
		return 0
	}
	return s.slowness/least - 1
}

// SetSlowness records the time that work takes at the endpoint now, in multiples of the usual time. It starts the
// waiters that waited for the end of a slow spell.
func (q *Queue) SetSlowness(now time.Time, slowness float64) []Decision {
	q.speed.observe(now, slowness)
	return q.settle(now)
}

// Holding reports whether a free slot stays empty because the waiters do better to wait for the end of a slow spell.
// The slowness should then be asked for again within slownessTrust.
func (q *Queue) HasDeferred(now time.Time) bool {
	if q.free() <= 0 {
		return false
	}
	for _, l := range []*lane{&q.short, &q.long} {
		for _, e := range l.entries {
			if q.holds(now, e) {
				return true
			}
		}
	}
	return false
}

// holds reports whether a request should not start now since it would be answered sooner after the present spell.
func (q *Queue) holds(now time.Time, e *entry) bool {
	excess := q.speed.excess(now)
	if excess == 0 {
		return false
	}
	run := q.runTime(e)
	lost := time.Duration(excess * float64(run))
	return lost > spellLength && now.Add(spellLength+run).Before(e.request.Deadline)
}

// holdEnds returns the time from which the present slowness holds no request any more.
func (q *Queue) holdEnds() time.Time { return q.speed.at.Add(slownessTrust + 1) }
