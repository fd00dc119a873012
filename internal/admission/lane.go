package admission

import (
	"slices"
	"time"
)

// entry is one ticket, waiting or running.
type entry struct {
	ticket  Ticket
	request Request
	long    bool
	offered time.Time
	running bool
}

// precedes orders a lane by priority, then deadline, then arrival.
func (e *entry) precedes(other *entry) bool {
	if e.request.Priority != other.request.Priority {
		return e.request.Priority < other.request.Priority
	}
	if !e.request.Deadline.Equal(other.request.Deadline) {
		return e.request.Deadline.Before(other.request.Deadline)
	}
	return e.ticket < other.ticket
}

// lane is an ordered list of waiting entries; the first is served first.
type lane struct {
	entries []*entry
	// occupiedSince is when the lane last became non-empty.
	occupiedSince time.Time
}

func (l *lane) len() int { return len(l.entries) }

func (l *lane) head() *entry {
	if len(l.entries) == 0 {
		return nil
	}
	return l.entries[0]
}

// ahead returns the number of entries that would be served before e.
func (l *lane) ahead(e *entry) int {
	position, _ := slices.BinarySearchFunc(l.entries, e, compareEntries)
	return position
}

func compareEntries(a, b *entry) int {
	switch {
	case a.precedes(b):
		return -1
	case b.precedes(a):
		return 1
	}
	return 0
}

func (l *lane) insert(e *entry, now time.Time) {
	if len(l.entries) == 0 {
		l.occupiedSince = now
	}
	l.entries = slices.Insert(l.entries, l.ahead(e), e)
}

func (l *lane) remove(e *entry) {
	position := slices.Index(l.entries, e)
	l.entries = slices.Delete(l.entries, position, position+1)
}

func (l *lane) pop() *entry {
	first := l.entries[0]
	l.entries = slices.Delete(l.entries, 0, 1)
	return first
}

// takeExpired removes and returns the entries whose deadline is not after now.
func (l *lane) takeExpired(now time.Time) []*entry {
	var expired []*entry
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		late := !e.request.Deadline.After(now)
		if late {
			expired = append(expired, e)
		}
		return late
	})
	return expired
}

// displaceable returns the newest entry of the lowest priority, or nil when none ranks below priority.
func (l *lane) displaceable(priority int) *entry {
	if len(l.entries) == 0 {
		return nil
	}
	lowest := l.entries[len(l.entries)-1].request.Priority
	if lowest <= priority {
		return nil
	}
	var victim *entry
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].request.Priority == lowest; i-- {
		if victim == nil || l.entries[i].ticket > victim.ticket {
			victim = l.entries[i]
		}
	}
	return victim
}

func (l *lane) earliestDeadline(earliest time.Time) time.Time {
	for _, e := range l.entries {
		if earliest.IsZero() || e.request.Deadline.Before(earliest) {
			earliest = e.request.Deadline
		}
	}
	return earliest
}
