package gate

import (
	"sync"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// maxAttemptsPerGeneration bounds the number of finished attempts in a generation. A full generation is rotated early,
// which shortens the time for which attempts are retained.
const maxAttemptsPerGeneration = 200_000

type attemptID [16]byte

// attemptRecord is the state and outcome of one attempt at this gate.
type attemptRecord struct {
	// withdrawn is closed when the ingress withdraws the attempt; nil if begin did not create the record.
	withdrawn chan struct{}
	done      chan struct{} // closed when the fields below are final
	verdict   verdict.Verdict
	response  *wire.AttemptFate // nil unless the complete response was retained
}

// attemptHistory records attempts for a bounded time, so that an ingress whose connection broke can query the outcome
// of an attempt. It is safe for concurrent use.
type attemptHistory struct {
	mu        sync.Mutex
	running   map[attemptID]*attemptRecord
	current   map[attemptID]*attemptRecord
	previous  map[attemptID]*attemptRecord
	rotatedAt time.Time
	retention time.Duration
	// generation is the number of the current map and increases with each rotation. It serves as a logical clock: an
	// ingress sends the newest generation that it knew when it began an attempt, so that neither clock skew nor a
	// pause of the gate can make an evicted attempt look like one that never arrived.
	generation uint64
	// newestEvicted is the newest generation that has been evicted.
	newestEvicted uint64
}

func newAttemptHistory(now time.Time, retention time.Duration) *attemptHistory {
	return &attemptHistory{
		running: make(map[attemptID]*attemptRecord), current: make(map[attemptID]*attemptRecord),
		previous: make(map[attemptID]*attemptRecord), rotatedAt: now, retention: retention, generation: 2,
	}
}

// rotate starts a new generation when the current one is full or older than retention. It is called with mu held.
func (h *attemptHistory) rotate(now time.Time) {
	if now.Sub(h.rotatedAt) < h.retention && len(h.current) < maxAttemptsPerGeneration {
		return
	}
	h.newestEvicted = h.generation - 1
	h.generation++
	h.previous, h.current = h.current, make(map[attemptID]*attemptRecord)
	h.rotatedAt = now
}

func (h *attemptHistory) lookup(id attemptID) *attemptRecord {
	for _, records := range []map[attemptID]*attemptRecord{h.running, h.current, h.previous} {
		if a := records[id]; a != nil {
			return a
		}
	}
	return nil
}

// begin registers an attempt and returns its record. It returns nil if the attempt is already known, because an earlier
// query refused it or the frame is a duplicate, or if the attempt is so old that such a refusal may have been evicted.
func (h *attemptHistory) begin(id attemptID, generation uint64, now time.Time) *attemptRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	if generation <= h.newestEvicted || h.lookup(id) != nil {
		return nil
	}
	a := &attemptRecord{withdrawn: make(chan struct{}), done: make(chan struct{})}
	h.running[id] = a
	return a
}

// withdraw signals that a registered attempt must be refused if it still waits for a slot.
func (h *attemptHistory) withdraw(id attemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.running[id]
	if a == nil {
		return
	}
	select {
	case <-a.withdrawn:
	default:
		close(a.withdrawn)
	}
}

// finish records the outcome of a running attempt.
func (h *attemptHistory) finish(id attemptID, now time.Time, v verdict.Verdict, response *wire.AttemptFate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.running[id]
	if a == nil {
		return
	}
	delete(h.running, id)
	h.rotate(now)
	a.verdict, a.response = v, response
	h.current[id] = a
	close(a.done)
}

// query returns the record of an attempt. It records an unknown attempt as refused, so that it can't run later. It
// returns nil for an unknown attempt that began in an evicted generation, since that one may have run.
func (h *attemptHistory) query(id attemptID, generation uint64, now time.Time) *attemptRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	if a := h.lookup(id); a != nil {
		return a
	}
	if generation <= h.newestEvicted {
		return nil
	}
	a := &attemptRecord{done: make(chan struct{}), verdict: verdict.NotRun}
	close(a.done)
	h.current[id] = a
	return a
}

func (h *attemptHistory) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.running) + len(h.current) + len(h.previous)
}

func (h *attemptHistory) currentGeneration() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation
}
