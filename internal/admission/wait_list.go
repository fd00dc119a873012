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
	flow    *flow // of the request's account in its wait list; nil without an account
	// latestStart is the time after which the request of an account can no longer complete before its deadline; zero
	// without an account.
	latestStart time.Time
}

// waitList is a list of waiting entries, ordered by priority, deadline and arrival. Without accounts, the first is served
// first.
type waitList struct {
	flowTable
	entries               []*entry
	ofAccounts, returning int // number of entries with an account, and of returning callers
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

// countAhead returns the number of entries ahead of e in the list.
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
	l.track(e, 1)
}

func (l *waitList) remove(e *entry) {
	l.removeAt(slices.Index(l.entries, e))
}

// removeAt removes and returns the entry at the given position.
func (l *waitList) removeAt(position int) *entry {
	e := l.entries[position]
	l.track(e, -1)
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
		l.track(e, -1)
		removed = append(removed, e)
		return true
	})
	return removed
}

// countBefore returns the number of entries that are expected to start before e.
func (l *waitList) countBefore(e *entry) int {
	if l.isShared(e) {
		return l.countFairlyAhead(e, func(*entry) bool { return true })
	}
	return l.countAhead(e)
}

// evictionCandidate returns the entry to drop from the full list so that e can wait: without accounts, the newest of the
// entries with the lowest priority. It returns nil when no entry has a lower priority than e.
func (l *waitList) evictionCandidate(e *entry) *entry {
	if len(l.entries) == 0 {
		return nil
	}
	if l.isShared(e) {
		return l.fairEvictionCandidate(e)
	}
	priority := e.request.Priority
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
