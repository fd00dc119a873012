package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/verdict"
)

// The functions with the prefix plain are the order without accounts, as it was before accounts existed.

func plainNextWaiter(q *Queue, l *waitList, now time.Time) int {
	first := -1
	for i, e := range l.entries {
		if q.defersStart(now, e) {
			continue
		}
		if first >= 0 && e.request.Priority != l.entries[first].request.Priority {
			break
		}
		if !q.missesObjective(e, now) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

func plainCountInTimeAhead(q *Queue, l *waitList, e *entry, now time.Time) int {
	count := 0
	for _, other := range l.entries[:l.countAhead(e)] {
		if other.request.Priority < e.request.Priority || !q.missesObjective(other, now) {
			count++
		}
	}
	return count
}

func plainEvictionCandidate(l *waitList, priority int) *entry {
	var candidate *entry
	for _, e := range l.entries {
		lowest := l.entries[len(l.entries)-1].request.Priority
		if e.request.Priority == lowest && lowest > priority && (candidate == nil || e.ticket > candidate.ticket) {
			candidate = e
		}
	}
	return candidate
}

// Guards against a queue that decides otherwise than before when no accounts are in use.
func TestWithoutAccountsTheOrderIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.objectives = true
		m.beforeOffer = func(e *entry) {
			q, l, now := m.queue, &m.queue.short, m.now
			got := []any{q.nextWaiter(l, now), q.countInTimeAhead(l, e, now), l.countBefore(e), q.countLateBefore(l, e, now), l.evictionCandidate(e)}
			want := []any{plainNextWaiter(q, l, now), plainCountInTimeAhead(q, l, e, now), l.countAhead(e), q.countLate(l, now), plainEvictionCandidate(l, e.request.Priority)}
			if !slices.Equal(got, want) || len(l.flows) > 0 || q.roomAfter(now, e, verdict.Overloaded) != 0 {
				t.Fatalf("next, ahead in time, ahead, late and evicted: %v, before accounts %v", got, want)
			}
		}
		m.play()
	})
}

// Guards against counts of a flow that drift from its waiting entries, against an eviction of a higher priority, and against
// requests of accounts that are lost.
func TestFlowCountsMatchTheWaitList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.objectives, m.accounts = true, true
		m.beforeOffer = func(e *entry) {
			l := &m.queue.short
			e.flow = l.flowOf(e.request)
			waiting, sum, returning := map[*flow]int{}, 0, 0
			for _, other := range l.entries {
				waiting[other.flow]++
				if other.request.Returning {
					returning++
				}
			}
			for key, f := range l.flows {
				if sum += f.waiting; f.waiting != waiting[f] {
					t.Fatalf("flow %+v: %+v, %d waiting", key, f, waiting[f])
				}
			}
			if sum != l.ofAccounts || returning != l.returning {
				t.Fatalf("%d entries of accounts counted as %d, %d returning as %d", sum, l.ofAccounts, returning, l.returning)
			}
			if evictee := l.evictionCandidate(e); evictee != nil && evictee.request.Priority < e.request.Priority || l.countBefore(e) > l.len() {
				t.Fatalf("%d of %d ahead, evicts %+v for priority %d", l.countBefore(e), l.len(), evictee, e.request.Priority)
			}
		}
		m.play()
	})
}
