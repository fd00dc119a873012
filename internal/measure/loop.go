package measure

import (
	"container/heap"
	"time"
)

// event is a function due at a virtual time in Unix nanoseconds.
type event struct {
	at  int64
	seq uint64
	do  func()
}

// eventHeap orders events by time, then by the order in which they were scheduled.
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

// loop runs events in virtual time.
type loop struct {
	start  int64
	now    int64
	seq    uint64
	events eventHeap
}

func newLoop() *loop {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()
	return &loop{start: start, now: start}
}

func (l *loop) time() time.Time { return time.Unix(0, l.now) }

// elapsed is the virtual time since the start of the run.
func (l *loop) elapsed() time.Duration { return time.Duration(l.now - l.start) }

func (l *loop) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + int64(max(d, 0)), seq: l.seq, do: do})
}

// every calls do each period until the run ends.
func (l *loop) every(period time.Duration, do func()) {
	l.after(period, func() {
		do()
		l.every(period, do)
	})
}

// run executes the events of the next d of virtual time.
func (l *loop) run(d time.Duration) {
	end := l.start + int64(d)
	for len(l.events) > 0 && l.events[0].at <= end {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.do()
	}
	l.now = end
}
