package admission

import (
	"math"
	"time"

	"dandelionspoke/internal/bundle"
)

// Fair sharing between accounts. Within a priority, requests without an account start first, and the accounts share the
// starts in proportion to their weights by start-time fair queueing: each start moves its account forward by 1/weight of
// virtual time, and the account that is furthest behind starts next. Tags belong to accounts rather than requests, so a
// request that is refused, evicted or canceled costs its account nothing, and the order within an account is free. An account
// that has used less than its share may fall creditRequests behind, so that requests which arrive in random groups are served.

// maxFlows bounds the accounts whose use is remembered while they have no waiting request, for each wait list. A flow takes
// about 150 bytes.
const maxFlows = 512

// creditRequests is the number of requests by which an account may fall behind the others. Without a credit, an account with
// a small weight that sends two requests in succession would wait for longer than its deadline: of 77 accounts at 1.5 times
// the capacity, the worst-served tenth got 0.43 of its requests, when 0.67 were due.
const creditRequests = 4

// rebaseAbove is the virtual time above which the tags of a priority are moved back to 0. It keeps the differences of
// 1/weight exact for weights up to about 1e9.
const rebaseAbove = 1e6

// flowKey identifies a flow in a wait list.
type flowKey struct {
	account  string
	priority int
}

// flow is the use of one account at one priority of a wait list.
type flow struct {
	weight  float64
	finish  float64 // virtual time at which the most recently started request ends
	waiting int
	counted int // scratch of countFairlyAhead and shareOf
	// lastReturn is the latest time at which a refused caller was told to return.
	lastReturn time.Time
}

// held returns the number of waiting requests, with additional ones, in relation to the weight.
func (f *flow) held(additional int) float64 { return float64(f.waiting+additional) / f.weight }

// flowTable holds the flows of one wait list.
type flowTable struct {
	flows map[flowKey]*flow
	// virtual is the virtual time of each priority. It does not pass the start tag of a waiting flow.
	virtual [bundle.MaxPriority + 1]float64
}

// normalizedWeight replaces a weight that is not a positive number by 1.
func normalizedWeight(w float64) float64 {
	if !(w > 0) || math.IsInf(w, 1) {
		return 1
	}
	return w
}

// flowOf returns the flow of the request's account, or nil for a request without one.
func (t *flowTable) flowOf(r Request) *flow {
	if r.Account == "" {
		return nil
	}
	key := flowKey{r.Account, r.Priority}
	f := t.flows[key]
	if f == nil {
		if t.flows == nil {
			t.flows = make(map[flowKey]*flow)
		}
		if len(t.flows) >= maxFlows {
			t.removeIdle()
		}
		f = &flow{finish: math.Inf(-1)}
		t.flows[key] = f
	}
	f.weight = normalizedWeight(r.AccountWeight)
	return f
}

// removeIdle removes the flows without waiting requests: those with their full credit, or if that leaves too many, all
// of them.
func (t *flowTable) removeIdle() {
	for key, f := range t.flows {
		if f.waiting == 0 && f.finish <= t.virtual[key.priority]-creditRequests/f.weight {
			delete(t.flows, key)
		}
	}
	if len(t.flows) < maxFlows {
		return
	}
	for key, f := range t.flows {
		if f.waiting == 0 {
			delete(t.flows, key)
		}
	}
}

// startTag returns the virtual time at which the flow's next request starts.
func (t *flowTable) startTag(f *flow, priority int) float64 {
	return max(f.finish, t.virtual[priority]-creditRequests/f.weight)
}

// charge records the start of e, which is no longer waiting.
func (l *waitList) charge(e *entry) {
	if e.flow == nil {
		return
	}
	priority := e.request.Priority
	start := l.startTag(e.flow, priority)
	e.flow.finish = start + 1/e.flow.weight
	for _, other := range l.entries {
		if other.flow != nil && other.request.Priority == priority {
			start = min(start, l.startTag(other.flow, priority))
		}
	}
	l.virtual[priority] = max(l.virtual[priority], start)
	if l.virtual[priority] > rebaseAbove {
		l.rebase(priority)
	}
}

func (t *flowTable) rebase(priority int) {
	for key, f := range t.flows {
		if key.priority == priority {
			f.finish -= t.virtual[priority]
		}
	}
	t.virtual[priority] = 0
}

// isShared reports whether accounts or returning callers take part in the order of the list with e, which may be nil.
func (l *waitList) isShared(e *entry) bool {
	return l.ofAccounts > 0 || l.returning > 0 || e != nil && (e.flow != nil || e.request.Returning)
}

// track counts e as waiting (1) or no longer waiting (-1).
func (l *waitList) track(e *entry, change int) {
	if e.flow != nil {
		e.flow.waiting += change
		l.ofAccounts += change
	}
	if e.request.Returning {
		l.returning += change
	}
}

// startsBefore reports whether a starts before b, two entries of one priority, a being ahead of b in the list. Entries that
// can still meet their objective come first, then those without an account, then the account furthest behind, then callers
// that were refused before.
func (l *waitList) startsBefore(a *entry, aLate bool, b *entry, bLate bool) bool {
	if aLate != bLate {
		return bLate
	}
	if (a.flow == nil) != (b.flow == nil) {
		return a.flow == nil
	}
	if a.flow != b.flow {
		priority := a.request.Priority
		if x, y := l.startTag(a.flow, priority), l.startTag(b.flow, priority); x != y {
			return x < y
		}
	}
	return a.request.Returning || !b.request.Returning
}

// precedes reports whether a starts before b, two entries of one account or both without one, if both are as late.
func precedes(a, b *entry) bool {
	if a.request.Returning != b.request.Returning {
		return a.request.Returning
	}
	return compareEntries(a, b) < 0
}

// countFairlyAhead counts the waiting entries accepted by counts that start before e in the fair order: those of higher
// priority, and of e's own priority those without an account, those ahead of e in its account, and those of each other account
// whose turn comes before that of e. However many requests another account holds, only its share counts.
func (l *waitList) countFairlyAhead(e *entry, counts func(*entry) bool) int {
	priority := e.request.Priority
	ahead := l.countByFlow(e, counts)
	if e.flow == nil {
		return ahead
	}
	own := e.flow.counted
	start := l.startTag(e.flow, priority) + float64(own)/e.flow.weight
	e.flow.counted = 0
	ahead += own
	for _, other := range l.entries {
		if f := other.flow; f != nil && f.counted > 0 && other.request.Priority == priority {
			if behind := start - l.startTag(f, priority); behind >= 0 {
				ahead += int(min(float64(f.counted), behind*f.weight+1))
			}
			f.counted = 0
		}
	}
	return ahead
}

// countByFlow sets flow.counted of each flow at e's priority, and returns the number of entries that start before all flows.
func (l *waitList) countByFlow(e *entry, counts func(*entry) bool) int {
	ahead, priority := 0, e.request.Priority
	if e.flow != nil {
		e.flow.counted = 0
	}
	for _, other := range l.entries {
		if other.flow != nil && other.request.Priority == priority {
			other.flow.counted = 0
		}
	}
	for _, other := range l.entries {
		switch {
		case other.request.Priority > priority:
			return ahead
		case !counts(other):
		case other.request.Priority < priority:
			ahead++
		case other.flow == e.flow && !precedes(other, e):
		case other.flow != nil:
			other.flow.counted++
		default:
			ahead++
		}
	}
	return ahead
}

// fairEvictionCandidate returns the entry to drop from the full list so that e can wait, or nil if e is to be refused. Of the
// lowest priority, if that of e is not lower, it drops the newest entry of the account that holds most in relation to its
// weight, counting e for its own account.
func (l *waitList) fairEvictionCandidate(e *entry) *entry {
	lowest := l.entries[len(l.entries)-1].request.Priority
	if lowest < e.request.Priority {
		return nil
	}
	heaviest := l.heaviestFlow(lowest)
	if lowest > e.request.Priority {
		return l.newestOf(heaviest, lowest)
	}
	switch {
	case heaviest == nil: // only requests without an account, which start first
		return nil
	case e.flow == nil || e.flow.held(1) < heaviest.held(0):
		return l.newestOf(heaviest, lowest)
	case !e.request.Returning:
		return nil
	}
	if own := l.newestOf(e.flow, lowest); own != nil && !own.request.Returning {
		return own
	}
	return nil
}

// heaviestFlow returns the flow of the given priority that holds most entries in relation to its weight, or nil for none.
func (l *waitList) heaviestFlow(priority int) *flow {
	var heaviest *flow
	for _, e := range l.entries {
		if e.flow != nil && e.request.Priority == priority && (heaviest == nil || e.flow.held(0) > heaviest.held(0)) {
			heaviest = e.flow
		}
	}
	return heaviest
}

// newestOf returns the newest entry of a flow at a priority; one that has not returned after a refusal, if there is one.
func (l *waitList) newestOf(f *flow, priority int) *entry {
	var newest *entry
	for _, e := range l.entries {
		if e.flow != f || e.request.Priority != priority {
			continue
		}
		if newest == nil || newest.request.Returning && !e.request.Returning ||
			newest.request.Returning == e.request.Returning && e.ticket > newest.ticket {
			newest = e
		}
	}
	return newest
}

// AddWaiting calls add with the account of each waiting request of an account.
func (q *Queue) AddWaiting(add func(account string)) {
	for _, l := range []*waitList{&q.short, &q.long} {
		for _, e := range l.entries {
			if e.flow != nil {
				add(e.request.Account)
			}
		}
	}
}
