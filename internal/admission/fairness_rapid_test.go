package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
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

// drawRequest draws a request; its account and whether its caller returns are drawn only with accounts.
func drawRequest(t *rapid.T, now time.Time, accounts bool) Request {
	r := Request{
		Route: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "objective") {
		r.Objective = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "objectiveMS")) * time.Millisecond)
	}
	if accounts {
		r.Account = rapid.SampledFrom([]string{"", "small", "large", "huge"}).Draw(t, "account")
		r.AccountWeight = map[string]float64{"small": 1, "large": 10, "huge": 300}[r.Account]
		r.Returning = rapid.IntRange(0, 4).Draw(t, "returning") == 0
	}
	return r
}

// playRandom plays random operations on a queue and calls check before each offer.
func playRandom(t *rapid.T, accounts bool, check func(q *Queue, e *entry, now time.Time)) {
	q, now := New(Limits{Slots: 2, QueueShort: rapid.IntRange(1, 9).Draw(t, "queue")}), start
	var running []Ticket
	apply := func(decisions []Decision) {
		for _, decision := range decisions {
			if decision.Admitted {
				running = append(running, decision.Ticket)
			}
		}
	}
	for range rapid.IntRange(1, 100).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
		apply(q.Expire(now))
		if len(running) > 0 && rapid.IntRange(0, 2).Draw(t, "release") == 0 {
			ticket := running[0]
			running = running[1:]
			apply(q.Release(now, ticket, time.Duration(rapid.IntRange(0, 100).Draw(t, "ran"))*time.Millisecond))
			continue
		}
		r := drawRequest(t, now, accounts)
		check(q, &entry{request: r, offered: now, ticket: q.lastTicket + 1, flow: q.short.flowOf(r)}, now)
		ticket, outcome := q.Offer(now, r)
		apply(outcome.Decisions)
		if outcome.State == Admitted {
			running = append(running, ticket)
		}
	}
}

// Guards against a queue that decides otherwise than before when no accounts are in use.
func TestWithoutAccountsTheOrderIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playRandom(t, false, func(q *Queue, e *entry, now time.Time) {
			l := &q.short
			if got, want := q.nextWaiter(l, now), plainNextWaiter(q, l, now); got != want {
				t.Fatalf("next is entry %d, before accounts %d", got, want)
			}
			if got, want := q.countInTimeAhead(l, e, now), plainCountInTimeAhead(q, l, e, now); got != want {
				t.Fatalf("%d entries ahead in time, before accounts %d", got, want)
			}
			if got, want := l.countBefore(e), l.countAhead(e); got != want {
				t.Fatalf("%d entries ahead, before accounts %d", got, want)
			}
			if got, want := q.countLateBefore(l, e, now), q.countLate(l, now); got != want {
				t.Fatalf("%d late entries, before accounts %d", got, want)
			}
			if got, want := l.evictionCandidate(e), plainEvictionCandidate(l, e.request.Priority); got != want {
				t.Fatalf("evicts %+v, before accounts %+v", got, want)
			}
			if len(l.flows) > 0 {
				t.Fatal("flows without accounts")
			}
		})
	})
}

// Guards against counts of a flow that drift from its waiting entries, and against an eviction of a higher priority.
func TestFlowCountsMatchTheWaitList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playRandom(t, true, func(q *Queue, e *entry, _ time.Time) {
			l := &q.short
			waiting, returning := map[*flow]int{}, 0
			for _, other := range l.entries {
				if other.flow != nil {
					waiting[other.flow]++
				}
				if other.request.Returning {
					returning++
				}
			}
			sum := 0
			for key, f := range l.flows {
				sum += f.waiting
				if f.waiting != waiting[f] || f.finish > l.virtual[key.priority]+1/f.weight*float64(1+q.limits.QueueShort) {
					t.Fatalf("flow %+v: %+v, %d waiting", key, f, waiting[f])
				}
			}
			if sum != l.ofAccounts || returning != l.returning {
				t.Fatalf("%d entries of accounts counted as %d, %d returning as %d", sum, l.ofAccounts, returning, l.returning)
			}
			if evictee := l.evictionCandidate(e); evictee != nil && evictee.request.Priority < e.request.Priority {
				t.Fatalf("priority %d evicts priority %d", e.request.Priority, evictee.request.Priority)
			}
			if ahead := l.countBefore(e); ahead > l.len() {
				t.Fatalf("%d entries ahead of %d", ahead, l.len())
			}
		})
	})
}
