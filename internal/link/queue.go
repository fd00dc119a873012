package link

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// priorityDelay is the time by which a write may be overtaken for each level that its priority is lower. It is longer than
// the deadlines of interactive requests, so that they are served strictly by priority, and it bounds the wait of a
// response that occupies a slot of a backend server.
const priorityDelay = 2 * time.Second

// queue grants the bytes of a limiter to waiting writes: the more urgent first, and those of one priority in the order of
// their arrival. It is safe for concurrent use.
type queue struct {
	limiter *rate.Limiter

	mu       sync.Mutex
	waiters  waiters
	sequence uint64
	timer    *time.Timer // fires when the first waiter can be granted; nil until a write has waited
}

// waiter is one write of at most the burst size of the limiter.
type waiter struct {
	bytes    int
	rank     time.Time // arrival plus priorityDelay for each level of priority
	sequence uint64    // order of arrival
	index    int       // position in waiters; -1 once granted or removed
	granted  chan struct{}
}

// waiters is a heap.Interface with the next waiter to be granted first.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if !w[i].rank.Equal(w[j].rank) {
		return w[i].rank.Before(w[j].rank)
	}
	return w[i].sequence < w[j].sequence
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	next := x.(*waiter)
	next.index = len(*w)
	*w = append(*w, next)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	last.index = -1
	*w = (*w)[:len(*w)-1]
	return last
}

// wait blocks until n bytes are granted or ctx ends. A write above the burst size of the limiter is granted in parts. The
// bytes of parts that were granted before ctx ended are lost.
func (q *queue) wait(ctx context.Context, n, priority int) error {
	for n > 0 {
		size := min(n, q.limiter.Burst())
		if err := q.waitPart(ctx, size, priority); err != nil {
			return err
		}
		n -= size
	}
	return nil
}

func (q *queue) waitPart(ctx context.Context, bytes, priority int) error {
	w := q.add(bytes, priority, time.Now())
	if w == nil {
		return nil
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		return nil // granted concurrently
	}
	heap.Remove(&q.waiters, w.index)
	q.grant(time.Now())
	return ctx.Err()
}

// add grants the bytes at once and returns nil, or returns a new waiter.
func (q *queue) add(bytes, priority int, now time.Time) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 && q.limiter.AllowN(now, bytes) {
		return nil
	}
	q.sequence++
	w := &waiter{
		bytes: bytes, rank: now.Add(time.Duration(priority) * priorityDelay), sequence: q.sequence, granted: make(chan struct{}),
	}
	heap.Push(&q.waiters, w)
	q.grant(now)
	return w
}

// grant grants the bytes that are available to the first waiters, and sets the timer for the next one. It is called with mu
// held.
func (q *queue) grant(now time.Time) {
	for len(q.waiters) > 0 && q.limiter.AllowN(now, q.waiters[0].bytes) {
		close(heap.Pop(&q.waiters).(*waiter).granted)
	}
	if len(q.waiters) == 0 || q.limiter.Limit() <= 0 {
		return
	}
	missing := float64(q.waiters[0].bytes) - q.limiter.TokensAt(now)
	delay := time.Duration(missing/float64(q.limiter.Limit())*float64(time.Second)) + time.Microsecond
	if q.timer == nil {
		q.timer = time.AfterFunc(delay, q.grantDue)
		return
	}
	q.timer.Reset(delay)
}

func (q *queue) grantDue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grant(time.Now())
}

// setLimit changes the rate in bytes per second.
func (q *queue) setLimit(limit rate.Limit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetLimit(limit)
	q.grant(time.Now())
}
