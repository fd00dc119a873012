package admission

import (
	"cmp"
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

// compareEntries orders a lane by priority, then deadline, then arrival.
func compareEntries(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.request.Priority, b.request.Priority),
		a.request.Deadline.Compare(b.request.Deadline),
		cmp.Compare(a.ticket, b.ticket),
	)
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

// take removes and returns the entry at a position.
func (l *lane) take(position int) *entry {
	e := l.entries[position]
	l.entries = slices.Delete(l.entries, position, position+1)
	return e
}

// takeExpired removes and returns the entries whose deadline is not after now.
func (l *lane) takeExpired(now time.Time) []*entry {
	return l.takeWhere(func(e *entry) bool { return !e.request.Deadline.After(now) })
}

// takeWhere removes and returns the entries for which chosen holds.
func (l *lane) takeWhere(chosen func(*entry) bool) []*entry {
	var taken []*entry
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		if !chosen(e) {
			return false
		}
		taken = append(taken, e)
		return true
	})
	return taken
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

// earliestDeadline returns the earlier of a time, if it is not zero, and the first time at which a waiter is refused.
func (l *lane) earliestDeadline(earliest time.Time) time.Time {
	for _, e := range l.entries {
		if earliest.IsZero() || e.request.Deadline.Before(earliest) {
			earliest = e.request.Deadline
		}
		if limit, ok := e.lateLimit(); ok && limit.Before(earliest) {
			earliest = limit
		}
	}
	return earliest
}
