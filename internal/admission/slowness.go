package admission

import "time"

// Decisions for an endpoint whose neighbours on the same machine take its processor for some hundred milliseconds at a
// time. Work that starts in such a spell keeps its slot for several times as long, also after the spell has ended, so
// long work does better to wait for the end of the spell.

const (
	// slowFrom is the slowness, in multiples of the usual time, from which an endpoint counts as slow.
	slowFrom = 1.25
	// slownessTrust is the age up to which a stated slowness decides on starts. Spells end within a few hundred
	// milliseconds.
	slownessTrust = 100 * time.Millisecond
	// spellLength is the expected rest of a slow spell. Work that loses less by a slow start does not wait for it.
	spellLength = 300 * time.Millisecond
	// longestSpell is the time after which a slow endpoint counts as slow for good, so that waiting is of no use.
	longestSpell = 1200 * time.Millisecond
)

// machineSpeed is the newest statement of an endpoint about its speed.
type machineSpeed struct {
	slowness  float64 // time that work takes in multiples of the usual time; 0 is unknown
	at        time.Time
	slowSince time.Time // start of the present spell
}

// SetSlowness records the time that work takes at the endpoint now, in multiples of the usual time. It starts the
// waiters that waited for the end of a slow spell.
func (q *Queue) SetSlowness(now time.Time, slowness float64) []Grant {
	wasSlow := q.speed.slowness >= slowFrom && now.Sub(q.speed.at) <= longestSpell
	if slowness >= slowFrom && !wasSlow {
		q.speed.slowSince = now
	}
	q.speed.slowness, q.speed.at = slowness, now
	return q.settle(now)
}

// Holding reports whether a free slot stays empty because the waiters do better to wait for the end of a slow spell.
// The slowness should then be asked for again within slownessTrust.
func (q *Queue) Holding(now time.Time) bool {
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
	s := q.speed
	if s.slowness < slowFrom || now.Sub(s.at) > slownessTrust || now.Sub(s.slowSince) >= longestSpell {
		return false
	}
	run := q.runTime(e)
	lost := time.Duration((s.slowness - 1) * float64(run))
	return lost > spellLength && now.Add(spellLength+run).Before(e.request.Deadline)
}

// holdEnds returns the time at which the present slowness stops holding requests.
func (q *Queue) holdEnds() time.Time {
	untrusted, spellEnd := q.speed.at.Add(slownessTrust+1), q.speed.slowSince.Add(longestSpell)
	if spellEnd.Before(untrusted) {
		return spellEnd
	}
	return untrusted
}
