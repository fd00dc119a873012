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

// attempt is one try of a caller at a key.
type attempt struct {
	claimer, key   int
	start          time.Duration
	patience       time.Duration // until the caller gives up
	pause          time.Duration // between the claim and the run
	complete, sure bool          // sure: not run for certain, so that the claim is released
}

type fault struct {
	at   time.Duration
	kind int
}

// storeFaults is the number of kinds of faults of the store.
const storeFaults = 6

func milliseconds(limit int) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(rt *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(rt, "ms")) * time.Millisecond
	})
}

func attempts(claimers int) *rapid.Generator[attempt] {
	return rapid.Custom(func(rt *rapid.T) attempt {
		return attempt{
			claimer:  rapid.IntRange(0, claimers-1).Draw(rt, "claimer"),
			key:      rapid.IntRange(0, 3).Draw(rt, "key"),
			start:    milliseconds(300).Draw(rt, "start"),
			patience: milliseconds(4000).Draw(rt, "patience"),
			pause:    rapid.SampledFrom([]time.Duration{0, 0, time.Second, StartWithin, time.Hour}).Draw(rt, "pause"),
			complete: rapid.Bool().Draw(rt, "complete"),
			sure:     rapid.Bool().Draw(rt, "sure"),
		}
	})
}

func faults(kinds int) *rapid.Generator[fault] {
	return rapid.Custom(func(rt *rapid.T) fault {
		return fault{at: milliseconds(300).Draw(rt, "at"), kind: rapid.IntRange(0, kinds-1).Draw(rt, "kind")}
	})
}

// TestAtMostOnce guards against two runs of one key, a wrong replay, and a key that stays claimed though
// no attempt has run or may run, with all faults of the store and paused holders.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(attempts(3), 1, 25).Draw(rt, "attempts")
		trouble := rapid.SliceOfN(faults(storeFaults), 0, 8).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) { newTrial(t).play(script, trouble) })
	})
}

type trial struct {
	t       *testing.T
	store   *objectstoretest.Store
	keys    []KeyClaimer
	close   []func()
	calm    func()         // ends them
	network func(kind int) // injects the faults beyond storeFaults
	mu      sync.Mutex
	runs    map[int]string // body of the run by key
	taken   map[int]bool   // keys whose claim was not released
}

func newTrial(t *testing.T) *trial {
	tr := &trial{t: t, store: objectstoretest.New(), runs: map[int]string{}, taken: map[int]bool{}, calm: func() {}}
	for range 3 {
		c := newClaimer(tr.store)
		tr.keys = append(tr.keys, c)
		tr.close = append(tr.close, c.Close)
	}
	return tr
}

func (tr *trial) play(script []attempt, trouble []fault) {
	tr.store.SetCallDelay(3 * time.Millisecond)
	var group sync.WaitGroup
	for i, a := range script {
		group.Go(func() { tr.attempt(i, a) })
	}
	for _, f := range trouble {
		group.Go(func() { tr.inject(f) })
	}
	group.Wait()
	tr.store.DropWrites(0)
	tr.store.DelayWrites(0, 0)
	tr.calm()
	time.Sleep(2 * time.Minute)
	for key := range 4 {
		tr.checkFree(key)
	}
	for _, end := range tr.close {
		end()
	}
}

func (tr *trial) inject(f fault) {
	time.Sleep(f.at)
	switch f.kind {
	case 0:
		tr.store.DropResponses(3)
	case 1:
		tr.store.DropWrites(200)
	case 2:
		tr.store.DelayWrites(200, 4*time.Second)
	case 3:
		tr.store.InjectConflicts(3)
	case 4:
		tr.store.SetDown(true)
		time.Sleep(5 * time.Second)
		tr.store.SetDown(false)
	case 5:
		tr.store.SetCallDelay(3 * time.Second)
		time.Sleep(5 * time.Second)
		tr.store.SetCallDelay(3 * time.Millisecond)
	default:
		tr.network(f.kind - storeFaults)
	}
}

func keyName(key int) string { return fmt.Sprintf("key-%d", key) }

func (tr *trial) attempt(i int, a attempt) {
	time.Sleep(a.start)
	ctx, cancel := context.WithTimeout(tr.t.Context(), a.patience)
	defer cancel()
	c := tr.keys[a.claimer]
	r, err := c.Acquire(ctx, keyName(a.key), []byte("digest"), fmt.Append(nil, i))
	switch {
	case err != nil && verdict.Of(err) != verdict.NotRun:
		tr.t.Errorf("attempt %d: %v", i, err)
	case err != nil:
	case r.Kind == Replay:
		tr.checkReplay(a.key, r.Outcome)
	case r.Kind == Run && a.sure:
		_ = c.Release(tr.t.Context(), keyName(a.key)) // continues in the background
	case r.Kind == Run:
		tr.run(c, r.Permit, fmt.Sprint(i), a)
	}
}

func (tr *trial) run(c KeyClaimer, p Permit, body string, a attempt) {
	tr.mu.Lock()
	tr.taken[a.key] = true
	tr.mu.Unlock()
	time.Sleep(a.pause)
	if !p.MayStart(time.Now()) {
		return
	}
	tr.mu.Lock()
	if other, ran := tr.runs[a.key]; ran {
		tr.t.Errorf("key %d: attempt %s ran after attempt %s", a.key, body, other)
	}
	tr.runs[a.key] = body
	tr.mu.Unlock()
	if a.complete {
		_ = c.Complete(tr.t.Context(), keyName(a.key), ranOutcome(body)) // may be fenced
	}
}

func (tr *trial) checkReplay(key int, o Outcome) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if string(o.Body) != tr.runs[key] {
		tr.t.Errorf("key %d: replay of %q, ran %q", key, o.Body, tr.runs[key])
	}
}

// checkFree requires that a key without a run can be claimed.
func (tr *trial) checkFree(key int) {
	if tr.taken[key] {
		return
	}
	r, err := tr.keys[0].Acquire(tr.t.Context(), keyName(key), []byte("digest"), []byte("last"))
	if err != nil || r.Kind != Run {
		tr.t.Errorf("key %d stays claimed: %+v, error %v", key, r, err)
	}
}
