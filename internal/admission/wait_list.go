package admission

import (
	"cmp"
	"slices"
	"time"
)

// entry is one waiting or running request.
type entry struct {
	ticket  Ticket
	request Request
	long    bool
	offered time.Time
	running bool
}

// waitList is an ordered list of waiting entries; the first is served first.
type waitList struct {
	entries []*entry
	// nonEmptySince is the time at which the list last became non-empty.
	nonEmptySince time.Time
}

func (l *waitList) len() int { return len(l.entries) }

func (l *waitList) head() *entry {
	if len(l.entries) == 0 {
		return nil
	}
	return l.entries[0]
}

// countAhead returns the number of entries that would be served before e.
func (l *waitList) countAhead(e *entry) int {
	position, _ := slices.BinarySearchFunc(l.entries, e, compareEntries)
	return position
}

// compareEntries orders entries by priority, then deadline, then arrival.
func compareEntries(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.request.Priority, b.request.Priority),
		a.request.Deadline.Compare(b.request.Deadline),
		cmp.Compare(a.ticket, b.ticket),
	)
}

func (l *waitList) insert(e *entry, now time.Time) {
	if len(l.entries) == 0 {
		l.nonEmptySince = now
	}
	l.entries = slices.Insert(l.entries, l.countAhead(e), e)
}

func (l *waitList) remove(e *entry) {
	position := slices.Index(l.entries, e)
	l.entries = slices.Delete(l.entries, position, position+1)
}

// removeAt removes and returns the entry at the given position.
func (l *waitList) removeAt(position int) *entry {
	e := l.entries[position]
	l.entries = slices.Delete(l.entries, position, position+1)
	return e
}

// removeExpired removes and returns the entries whose deadline is not after now.
func (l *waitList) removeExpired(now time.Time) []*entry {
	return l.removeWhere(func(e *entry) bool { return !e.request.Deadline.After(now) })
}

// removeWhere removes and returns the entries for which match returns true.
func (l *waitList) removeWhere(match func(*entry) bool) []*entry {
	var removed []*entry
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		if !match(e) {
			return false
		}
		removed = append(removed, e)
		return true
	})
	return removed
}

// evictionCandidate returns the newest of the entries with the lowest priority, or nil when no entry has a lower
// priority than the given one.
func (l *waitList) evictionCandidate(priority int) *entry {
	if len(l.entries) == 0 {
		return nil
	}
	lowest := l.entries[len(l.entries)-1].request.Priority
	if lowest <= priority {
		return nil
	}
	var candidate *entry
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].request.Priority == lowest; i-- {
		if candidate == nil || l.entries[i].ticket > candidate.ticket {
			candidate = l.entries[i]
		}
	}
	return candidate
}

// nextRefusal returns the earliest time at which an entry is to be refused, or the given time if that is earlier and
// not zero.
func (l *waitList) nextRefusal(earliest time.Time) time.Time {
	for _, e := range l.entries {
		if earliest.IsZero() || e.request.Deadline.Before(earliest) {
			earliest = e.request.Deadline
		}
		if limit, ok := e.latenessLimit(); ok && limit.Before(earliest) {
			earliest = limit
		}
	}
	return earliest
}
