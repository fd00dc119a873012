package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/verdict"
)

// attempt is one attempt of a caller to run the request of a key.
type attempt struct {
	claimer, key     int // indexes
	start            time.Duration
	timeout          time.Duration // until the caller gives up
	startDelay       time.Duration // between the claim and the run
	complete, notRun bool          // notRun: the attempt is certainly not run, so that the claim is released
}

type fault struct {
	at   time.Duration
	kind int
}

// storeFaultKinds is the number of kinds of store faults; see inject.
const storeFaultKinds = 6

func genMilliseconds(limit int) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(rt *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(rt, "ms")) * time.Millisecond
	})
}

func genAttempt(claimers int) *rapid.Generator[attempt] {
	return rapid.Custom(func(rt *rapid.T) attempt {
		return attempt{
			claimer:    rapid.IntRange(0, claimers-1).Draw(rt, "claimer"),
			key:        rapid.IntRange(0, 3).Draw(rt, "key"),
			start:      genMilliseconds(300).Draw(rt, "start"),
			timeout:    genMilliseconds(4000).Draw(rt, "timeout"),
			startDelay: rapid.SampledFrom([]time.Duration{0, 0, time.Second, PermitLifetime, time.Hour}).Draw(rt, "startDelay"),
			complete:   rapid.Bool().Draw(rt, "complete"),
			notRun:     rapid.Bool().Draw(rt, "notRun"),
		}
	})
}

func genFault(kinds int) *rapid.Generator[fault] {
	return rapid.Custom(func(rt *rapid.T) fault {
		return fault{at: genMilliseconds(300).Draw(rt, "at"), kind: rapid.IntRange(0, kinds-1).Draw(rt, "kind")}
	})
}

// TestAtMostOnce guards against two runs of one key, a replay of the wrong response, and a key that stays
// claimed although no attempt has run or may still run. It covers all kinds of store faults and holders
// that pause before the run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts := rapid.SliceOfN(genAttempt(3), 1, 25).Draw(rt, "attempts")
		faults := rapid.SliceOfN(genFault(storeFaultKinds), 0, 8).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) { newScenario(t).execute(attempts, faults) })
	})
}

type scenario struct {
	t                  *testing.T
	store              *objectstoretest.Store
	claimers           []KeyClaimer
	closers            []func()
	clearNetworkFaults func()
	injectNetworkFault func(kind int) // kind is that of the fault minus storeFaultKinds
	mu                 sync.Mutex
	runs               map[int]string // response body of the run, by key
	mayStayClaimed     map[int]bool   // keys of attempts that run, or may run, and so keep the claim
}

func newScenario(t *testing.T) *scenario {
	s := &scenario{t: t, store: objectstoretest.New(), runs: map[int]string{}, mayStayClaimed: map[int]bool{}, clearNetworkFaults: func() {}}
	for range 3 {
		c := newClaimer(s.store)
		s.claimers = append(s.claimers, c)
		s.closers = append(s.closers, c.Close)
	}
	return s
}

func (s *scenario) execute(attempts []attempt, faults []fault) {
	s.store.SetCallDelay(3 * time.Millisecond)
	var group sync.WaitGroup
	for i, a := range attempts {
		group.Go(func() { s.runAttempt(i, a) })
	}
	for _, f := range faults {
		group.Go(func() { s.inject(f) })
	}
	group.Wait()
	s.store.DropWrites(0)
	s.store.DelayWrites(0, 0)
	s.clearNetworkFaults()
	time.Sleep(2 * time.Minute)
	for key := range 4 {
		s.checkClaimable(key)
	}
	for _, closeFunc := range s.closers {
		closeFunc()
	}
}

func (s *scenario) inject(f fault) {
	time.Sleep(f.at)
	switch f.kind {
	case 0:
		s.store.DropResponses(3)
	case 1:
		s.store.DropWrites(200)
	case 2:
		s.store.DelayWrites(200, 4*time.Second)
	case 3:
		s.store.InjectConflicts(3)
	case 4:
		s.store.SetDown(true)
		time.Sleep(5 * time.Second)
		s.store.SetDown(false)
	case 5:
		s.store.SetCallDelay(3 * time.Second)
		time.Sleep(5 * time.Second)
		s.store.SetCallDelay(3 * time.Millisecond)
	default:
		s.injectNetworkFault(f.kind - storeFaultKinds)
	}
}

func keyName(key int) string { return fmt.Sprintf("key-%d", key) }

func (s *scenario) runAttempt(i int, a attempt) {
	time.Sleep(a.start)
	ctx, cancel := context.WithTimeout(s.t.Context(), a.timeout)
	defer cancel()
	c := s.claimers[a.claimer]
	r, err := c.Acquire(ctx, keyName(a.key), []byte("digest"), fmt.Append(nil, i))
	switch {
	case err != nil && verdict.Of(err) != verdict.NotRun:
		s.t.Errorf("attempt %d: %v", i, err)
	case err != nil:
	case r.Kind == Replay:
		s.checkReplay(a.key, r.Outcome)
	case r.Kind == Run && a.notRun:
		_ = c.Release(s.t.Context(), keyName(a.key)) // continues in the background
	case r.Kind == Run:
		s.run(c, r.Permit, fmt.Sprint(i), a)
	}
}

func (s *scenario) run(c KeyClaimer, p Permit, body string, a attempt) {
	s.mu.Lock()
	s.mayStayClaimed[a.key] = true
	s.mu.Unlock()
	time.Sleep(a.startDelay)
	if !p.MayStart(time.Now()) {
		return
	}
	s.mu.Lock()
	if other, ran := s.runs[a.key]; ran {
		s.t.Errorf("key %d: attempt %s ran after attempt %s", a.key, body, other)
	}
	s.runs[a.key] = body
	s.mu.Unlock()
	if a.complete {
		_ = c.Complete(s.t.Context(), keyName(a.key), ranOutcome(body)) // may be fenced
	}
}

func (s *scenario) checkReplay(key int, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(o.Body) != s.runs[key] {
		s.t.Errorf("key %d: replayed response %q, want %q", key, o.Body, s.runs[key])
	}
}

// checkClaimable checks that a key can be claimed, unless it is in mayStayClaimed.
func (s *scenario) checkClaimable(key int) {
	if s.mayStayClaimed[key] {
		return
	}
	r, err := s.claimers[0].Acquire(s.t.Context(), keyName(key), []byte("digest"), []byte("last"))
	if err != nil || r.Kind != Run {
		s.t.Errorf("key %d stays claimed: %+v, error %v", key, r, err)
	}
}
