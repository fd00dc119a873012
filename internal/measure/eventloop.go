package measure

import (
	"container/heap"
	"time"
)

// event is a callback that is due at a virtual time, in Unix nanoseconds.
type event struct {
	at       int64
	seq      uint64
	callback func()
}

// eventHeap is a min-heap of events by time, then by the order in which they were scheduled.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}

// eventLoop runs events in order of their virtual time. Its times are in Unix nanoseconds.
type eventLoop struct {
	start  int64
	now    int64
	seq    uint64
	events eventHeap
}

func newEventLoop() *eventLoop {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()
	return &eventLoop{start: start, now: start}
}

func (l *eventLoop) time() time.Time { return time.Unix(0, l.now) }

// elapsed returns the virtual time since the start of the run.
func (l *eventLoop) elapsed() time.Duration { return time.Duration(l.now - l.start) }

// after schedules callback after d. A negative d counts as 0.
func (l *eventLoop) after(d time.Duration, callback func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + int64(max(d, 0)), seq: l.seq, callback: callback})
}

// every calls callback once per period until the run ends.
func (l *eventLoop) every(period time.Duration, callback func()) {
	l.after(period, func() {
		callback()
		l.every(period, callback)
	})
}

// run executes the events that are due up to d after the start of the run.
func (l *eventLoop) run(d time.Duration) {
	end := l.start + int64(d)
	for len(l.events) > 0 && l.events[0].at <= end {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.callback()
	}
	l.now = end
}
