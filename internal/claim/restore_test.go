package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/verdict"
)

// acquire claims a key at an owner, and completes the claim if body is not empty.
func acquireAndComplete(t *testing.T, c KeyClaimer, key, body string) {
	t.Helper()
	if r, err := c.Acquire(t.Context(), key, []byte("digest"), []byte("first")); err != nil || r.Kind != Run {
		t.Fatalf("%s: %+v, error %v", key, r, err)
	}
	if body == "" {
		return
	}
	if err := c.Complete(t.Context(), key, ranOutcome(body)); err != nil {
		t.Fatal(err)
	}
}

func wantHeld(t *testing.T, c KeyClaimer, key string, want verdict.Verdict) {
	t.Helper()
	r, err := c.Acquire(t.Context(), key, []byte("digest"), []byte("repeat"))
	if err != nil || r.Kind != Held || r.Verdict != want {
		t.Errorf("%s: %+v, error %v, want it held as %v", key, r, err, want)
	}
}

// Guards against a second run of keys that were claimed, completed or released in the seconds that the store has lost, at
// their owner and at another one, and against owners that refuse new keys for long after a restore.
func TestClaimsOfLostSecondsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		net := newNetwork(store, 2, 2, 1, 0)
		defer net.close()
		owner, other := net.claimers[0].For("ordre"), net.claimers[1].For("ordre")
		net.claimers[0].Observe(time.Now())
		net.claimers[1].Observe(time.Now())
		acquireAndComplete(t, owner, "before", "stored")
		acquireAndComplete(t, owner, "running", "")
		time.Sleep(vouchTime + time.Second)
		copied := store.Copy()
		acquireAndComplete(t, owner, "lost", "gone")
		acquireAndComplete(t, owner, "released", "")
		acquireAndComplete(t, owner, "lost running", "")
		if err := owner.Complete(t.Context(), "running", ranOutcome("done")); err != nil {
			t.Fatal(err)
		}
		if err := owner.Release(t.Context(), "released"); err != nil {
			t.Fatal(err)
		}
		store.Restore(copied)

		wantHeld(t, other, "lost", verdict.MayHaveRun)
		if !net.claimers[0].Observe(time.Now()) {
			t.Error("the owner has not noticed the restore")
		}
		synctest.Wait()
		wantHeld(t, other, "lost", verdict.Ran)
		wantHeld(t, other, "lost running", verdict.MayHaveRun)
		wantHeld(t, owner, "lost", verdict.Ran)
		if r, err := owner.Acquire(t.Context(), "running", []byte("digest"), []byte("repeat")); err != nil || r.Kind == Run {
			t.Errorf("completed in the lost seconds: %+v, error %v", r, err)
		}
		if r, err := other.Acquire(t.Context(), "before", []byte("digest"), []byte("repeat")); err != nil || r.Kind != Replay {
			t.Errorf("completed before the copy: %+v, error %v", r, err)
		}
		if r, err := owner.Acquire(t.Context(), "released", []byte("digest"), []byte("repeat")); err != nil || r.Kind != Run {
			t.Errorf("released in the lost seconds: %+v, error %v", r, err)
		}
		if r, err := owner.Acquire(t.Context(), "new", []byte("digest"), []byte("first")); err != nil || r.Kind != Run {
			t.Errorf("a new key at the owner: %+v, error %v", r, err)
		}
		if err := owner.Complete(t.Context(), "lost running", ranOutcome("late")); err != nil {
			t.Errorf("the outcome of a run during the restore: %v", err)
		}
		wantHeld(t, other, "not verified", verdict.MayHaveRun)
		time.Sleep(unverifiedHold)
		if r, err := other.Acquire(t.Context(), "not verified", []byte("digest"), []byte("repeat")); err != nil || r.Kind != Run {
			t.Errorf("a new key after the hold: %+v, error %v", r, err)
		}
	})
}

// Guards against claims that are not stored again because a claim of another shard is the first to notice the restore.
func TestRestoreNoticedByAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		net := newNetwork(store, 2, 2, 64, 0)
		defer net.close()
		owner := net.claimers[0].For("ordre")
		copied := store.Copy()
		for i := range 20 {
			acquireAndComplete(t, owner, fmt.Sprint("lost-", i), "gone")
		}
		net.claimers[0].Observe(time.Now())
		store.Restore(copied)
		if _, err := owner.Acquire(t.Context(), "next", []byte("digest"), []byte("first")); err != nil {
			t.Fatal(err)
		}
		if !net.claimers[0].Observe(time.Now()) || net.claimers[0].Observe(time.Now()) {
			t.Error("the owner does not verify its claims exactly once")
		}
		synctest.Wait()
		time.Sleep(unverifiedHold)
		for i := range 20 {
			wantHeld(t, net.claimers[1].For("ordre"), fmt.Sprint("lost-", i), verdict.Ran)
		}
	})
}

// Guards against new keys that are held long after a restore because no key of their shard was claimed before.
func TestHoldEndsForAllShardsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		net := newNetwork(store, 2, 2, 64, 0)
		defer net.close()
		acquireAndComplete(t, net.claimers[0].For("ordre"), "before", "kept")
		other := net.claimers[1].For("ordre")
		acquireAndComplete(t, other, "first", "kept")
		store.Restore(store.Copy())
		wantHeld(t, other, "not verified", verdict.MayHaveRun)
		time.Sleep(unverifiedHold)
		for i := range 100 {
			key := fmt.Sprint("new-", i)
			if r, err := other.Acquire(t.Context(), key, []byte("digest"), []byte("first")); err != nil || r.Kind != Run {
				t.Fatalf("%s: %+v, error %v", key, r, err)
			}
		}
	})
}

// Guards against the loss of claims when the store is away for long right after a node has noticed the restore.
func TestClaimsAreKeptIfTheStoreIsAwayAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		net := newNetwork(store, 2, 2, 1, 0)
		defer net.close()
		owner := net.claimers[0].For("ordre")
		net.claimers[0].Observe(time.Now())
		copied := store.Copy()
		acquireAndComplete(t, owner, "lost", "gone")
		store.Restore(copied)
		store.SetDown(true)
		net.claimers[0].Observe(time.Now())
		time.Sleep(2 * restoreWindow)
		store.SetDown(false)
		time.Sleep(5 * time.Second)
		wantHeld(t, net.claimers[1].For("ordre"), "lost", verdict.Ran)
	})
}

// Guards against a second run when the store is restored between a claim's write and its answer, so that the write replaces
// the claims that another owner has made since with the same revision.
func TestRestoreDuringClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		c := newClaimer(store)
		defer c.Close()
		acquireAndComplete(t, c, "first", "1")
		copied := store.Copy()
		acquireAndComplete(t, c, "second", "2")
		for i, restore := range []func(objectstoretest.Copy){store.RestoreBeforeWrite, store.RestoreAfterWrite} {
			restore(copied)
			key := fmt.Sprint("during-", i)
			r, err := c.Acquire(t.Context(), key, []byte("digest"), []byte("first"))
			switch {
			case err != nil && verdict.Of(err) != verdict.NotRun:
				t.Errorf("%s: %v", key, err)
			case err == nil && r.Kind == Run:
				wantHeld(t, c, key, verdict.MayHaveRun)
			}
			synctest.Wait()
			wantKindOf(t, c, "second", Run, false)
		}
	})
}

// wantKindOf checks whether an Acquire of the key has the kind.
func wantKindOf(t *testing.T, c KeyClaimer, key string, kind Kind, want bool) {
	t.Helper()
	if r, err := c.Acquire(t.Context(), key, []byte("digest"), []byte("repeat")); err != nil || (r.Kind == kind) != want {
		t.Errorf("%s: %+v, error %v", key, r, err)
	}
}

// TestAtMostOnceOverRestores guards against two runs of one key while the store loses up to five seconds of writes, at any
// time and several times, and loses responses to writes. The owners live and are the same for all nodes.
func TestAtMostOnceOverRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts := rapid.SliceOfN(genAttempt(3), 5, 40).Draw(rt, "attempts")
		restores := rapid.SliceOfN(genMilliseconds(12000), 1, 4).Draw(rt, "restores")
		ages := rapid.SliceOfN(genMilliseconds(5000), len(restores), len(restores)).Draw(rt, "ages")
		drops := rapid.SliceOfN(genMilliseconds(12000), 0, 2).Draw(rt, "drops")
		spread := rapid.SampledFrom([]int{1, 10, 30}).Draw(rt, "spread")
		synctest.Test(t, func(t *testing.T) {
			s := &scenario{t: t, store: objectstoretest.New(), runs: map[int]string{}, mayStayClaimed: map[int]bool{}}
			net := newNetwork(s.store, 3, 2, 1, 50)
			defer net.close()
			for i, r := range net.routers {
				s.claimers = append(s.claimers, r.For("ordre"))
				if net.claimers[i] != nil {
					net.claimers[i].Observe(time.Now())
				}
			}
			// The owner becomes one that vouches for the shard.
			acquireAndComplete(t, s.claimers[0], "warm", "1")
			time.Sleep(vouchTime / 2)
			acquireAndComplete(t, s.claimers[0], "warmer", "2")
			time.Sleep(vouchTime/2 + time.Second)
			s.store.SetCallDelay(3 * time.Millisecond)
			s.playRestores(attempts, spread, restores, ages, drops)
		})
	})
}

func (s *scenario) playRestores(attempts []attempt, spread int, restores, ages, drops []time.Duration) {
	var group sync.WaitGroup
	for i, a := range attempts {
		a.start *= time.Duration(spread)
		group.Go(func() { s.runAttempt(i, a) })
	}
	for i, at := range restores {
		group.Go(func() {
			time.Sleep(max(0, at-ages[i]))
			copied := s.store.Copy()
			time.Sleep(min(at, ages[i]))
			s.store.Restore(copied)
		})
	}
	for _, at := range drops {
		group.Go(func() {
			time.Sleep(at)
			s.store.DropResponses(3)
		})
	}
	group.Wait()
	s.store.DropResponses(0)
}

// agingStater is a store whose latest response is old, as at a node that has not called it for long.
type agingStater struct {
	*objectstoretest.Store
	generation uint64
	at         time.Time
}

func (s *agingStater) Generation() (uint64, bool, time.Time) { return s.generation, true, s.at }

func (s *agingStater) Get(ctx context.Context, key string) (objectstore.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.generation, _, s.at = s.Store.Generation()
	return o, err
}

// Guards against an owner that writes on a table which it has cached before a restore that it does not know of.
func TestCachedTableOfUnknownGenerationIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &agingStater{Store: objectstoretest.New()}
		store.at = time.Now()
		c := newClaimer(store)
		defer c.Close()
		copied := store.Copy()
		acquireAndComplete(t, c, "lost", "1")
		time.Sleep(maxGenerationAge + time.Second)
		store.Restore(copied)
		other := newClaimer(store.Store)
		defer other.Close()
		acquireAndComplete(t, other, "other", "2")
		wantHeld(t, c, "next", verdict.MayHaveRun) // another owner may have claimed it in the lost seconds
		time.Sleep(unverifiedHold)
		acquireAndComplete(t, c, "next", "3")
		for _, key := range []string{"lost", "other", "next"} {
			wantKindOf(t, c, key, Run, false)
		}
	})
}
