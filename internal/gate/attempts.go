package gate

import (
	"sync"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// maxAttemptsPerGeneration bounds the memory of finished attempts; a full generation is rotated early
// and the horizon moves with it.
const maxAttemptsPerGeneration = 200_000

type attemptID [16]byte

// attempt is the fate of one attempt at this gate.
type attempt struct {
	// withdrawn is closed when the ingress no longer wants the attempt to start; nil unless the attempt is running.
	withdrawn chan struct{}
	done      chan struct{} // closed when the fields below are final
	verdict   verdict.Verdict
	answer    *wire.AttemptFate // nil unless the whole answer was kept
}

// attemptMemory remembers attempts for a bounded time so that an ingress whose connection broke can
// learn what became of one. It is safe for concurrent use.
type attemptMemory struct {
	mu       sync.Mutex
	running  map[attemptID]*attempt
	current  map[attemptID]*attempt
	previous map[attemptID]*attempt
	rotated  time.Time
	keep     time.Duration
	// generation numbers current. It rises with each rotation and stands in for a clock: an ingress
	// states the newest generation that it knew when it began an attempt, so that neither clock
	// differences nor a pause of the gate can make a forgotten attempt look like one never seen.
	generation uint64
	// evicted is the newest generation that has been forgotten.
	evicted uint64
}

func newAttemptMemory(now time.Time, keep time.Duration) *attemptMemory {
	return &attemptMemory{
		running: make(map[attemptID]*attempt), current: make(map[attemptID]*attempt),
		previous: make(map[attemptID]*attempt), rotated: now, keep: keep, generation: 2,
	}
}

// rotate is called with mu held.
func (m *attemptMemory) rotate(now time.Time) {
	if now.Sub(m.rotated) < m.keep && len(m.current) < maxAttemptsPerGeneration {
		return
	}
	m.evicted = m.generation - 1
	m.generation++
	m.previous, m.current = m.current, make(map[attemptID]*attempt)
	m.rotated = now
}

func (m *attemptMemory) lookup(id attemptID) *attempt {
	for _, generation := range []map[attemptID]*attempt{m.running, m.current, m.previous} {
		if a := generation[id]; a != nil {
			return a
		}
	}
	return nil
}

// begin registers an attempt and returns it. It returns nil when the attempt is already known, because it has been
// refused by an earlier query or is a duplicate of a frame that arrived before, and when it is so old
// that such a refusal may have been forgotten.
func (m *attemptMemory) begin(id attemptID, generation uint64, now time.Time) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate(now)
	if generation <= m.evicted || m.lookup(id) != nil {
		return nil
	}
	a := &attempt{withdrawn: make(chan struct{}), done: make(chan struct{})}
	m.running[id] = a
	return a
}

// withdraw asks for the refusal of a running attempt that has not started.
func (m *attemptMemory) withdraw(id attemptID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.running[id]
	if a == nil {
		return
	}
	select {
	case <-a.withdrawn:
	default:
		close(a.withdrawn)
	}
}

// finish records the final fate of a running attempt.
func (m *attemptMemory) finish(id attemptID, now time.Time, v verdict.Verdict, answer *wire.AttemptFate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.running[id]
	if a == nil {
		return
	}
	delete(m.running, id)
	m.rotate(now)
	a.verdict, a.answer = v, answer
	m.current[id] = a
	close(a.done)
}

// query returns the attempt, or refuses an attempt that was never seen so that it can't run later.
// An unknown attempt that began in a forgotten generation may have run; query then returns nil.
func (m *attemptMemory) query(id attemptID, generation uint64, now time.Time) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate(now)
	if a := m.lookup(id); a != nil {
		return a
	}
	if generation <= m.evicted {
		return nil
	}
	a := &attempt{done: make(chan struct{}), verdict: verdict.NotRun}
	close(a.done)
	m.current[id] = a
	return a
}

func (m *attemptMemory) len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running) + len(m.current) + len(m.previous)
}

func (m *attemptMemory) currentGeneration() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}
