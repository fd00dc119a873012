package claim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/verdict"
)

const (
	networkFaults = 7
	deathFault    = storeFaults + networkFaults // an owner dies
)

// TestRoutedAtMostOnce is TestAtMostOnce over routers, of which one has no access to the store, with owner
// changes, disagreeing views, lost requests and answers, and requests that arrive after their sender gave up.
func TestRoutedAtMostOnce(t *testing.T) { checkRouted(t, deathFault) }

// TestRoutedOwnerDeath adds the death of owners at any time. A key that a dead node held may stay claimed.
func TestRoutedOwnerDeath(t *testing.T) { checkRouted(t, deathFault+2) }

func checkRouted(t *testing.T, kinds int) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(attempts(5), 1, 25).Draw(rt, "attempts")
		trouble := rapid.SliceOfN(faults(kinds), 0, 10).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) { newRoutedTrial(t).play(script, trouble) })
	})
}

func newRoutedTrial(t *testing.T) *trial {
	tr := &trial{t: t, store: objectstoretest.New(), runs: map[int]string{}, taken: map[int]bool{}}
	w := newNetwork(tr.store, 5, 4, 1, 50)
	for _, r := range w.routers {
		tr.keys = append(tr.keys, r.For("ordre"))
	}
	tr.network = func(kind int) { tr.injectNetwork(w, kind) }
	tr.calm = w.calm
	tr.close = append(tr.close, w.close)
	return tr
}

func (tr *trial) injectNetwork(w *network, kind int) {
	change := func(f func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	}
	switch kind {
	case 0:
		change(func() { w.loseRequest += 2 })
	case 1:
		change(func() { w.loseAnswer += 3 })
	case 2:
		change(func() { w.late += 2 })
	case 3: // each store node takes itself for the only owner
		for i := range 4 {
			w.split(i, func(n Node) bool { return n.NodeID == fmt.Sprint(i) })
		}
	case 4:
		for i := range w.routers {
			w.split(i, func(n Node) bool { return n.NodeID != "1" })
		}
	case 5: // the node without the store knows no owner
		w.split(4, func(Node) bool { return false })
		time.Sleep(time.Second)
		w.split(4, func(Node) bool { return true })
	case 6:
		for i := range w.routers {
			w.split(i, func(Node) bool { return true })
		}
	default: // nodes 2 and 3, so that the attempts of the others can end
		tr.mu.Lock()
		for key := range 4 {
			tr.taken[key] = true
		}
		tr.mu.Unlock()
		w.kill(kind - networkFaults + 2)
	}
}

// TestLostAnswer guards against a run after a lost answer, a verdict other than not-run for it, and a
// claim that stays after it.
func TestLostAnswer(t *testing.T) {
	cases := map[string]func(*network){
		"answer lost":  func(w *network) { w.loseAnswer = 1 },
		"request lost": func(w *network) { w.loseRequest = 1 },
		"request late": func(w *network) { w.late = 1 },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork(objectstoretest.New(), 3, 2, 1, 0)
				defer w.close()
				inject(w)
				keys := w.routers[2].For("ordre")
				_, err := keys.Acquire(t.Context(), "key", []byte("digest"), []byte("1"))
				wantReason(t, err, verdict.ClaimUnavailable)
				time.Sleep(2 * time.Minute)
				r, err := keys.Acquire(t.Context(), "key", []byte("digest"), []byte("2"))
				if err != nil || r.Kind != Run {
					t.Fatalf("the key stays claimed: %+v, error %v", r, err)
				}
			})
		})
	}
}

// TestPermitStart guards against a permit that begins when the owner's answer arrives: the time that
// the answer took would then extend it.
func TestPermitStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		store.SetCallDelay(300 * time.Millisecond)
		w := newNetwork(store, 3, 2, 1, 0)
		defer w.close()
		started := time.Now()
		r, err := w.routers[2].For("ordre").Acquire(t.Context(), "key", nil, []byte("1"))
		if err != nil || r.Kind != Run || time.Since(started) < time.Second {
			t.Fatalf("%+v after %v, error %v", r, time.Since(started), err)
		}
		if r.Permit.MayStart(started.Add(StartWithin)) || !r.Permit.MayStart(started.Add(StartWithin-1)) {
			t.Fatal("the permit does not count from the start of the request")
		}
	})
}

// TestOwnerChange guards against an outcome that is lost, or a key that runs again, when the owner dies
// between the claim and the outcome.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(objectstoretest.New(), 4, 3, 1, 0)
		defer w.close()
		keys := w.routers[3].For("ordre")
		r, err := keys.Acquire(t.Context(), "key", []byte("digest"), []byte("1"))
		if err != nil || r.Kind != Run {
			t.Fatalf("%+v, error %v", r, err)
		}
		owner := ranked(owners(w.nodes()), "ordre", 0)[0]
		for i := range 3 {
			if owner.NodeID == fmt.Sprint(i) {
				w.kill(i)
			}
		}
		r, err = keys.Acquire(t.Context(), "key", []byte("digest"), []byte("2"))
		if err != nil || r.Kind != Held {
			t.Fatalf("repeat during the run: %+v, error %v", r, err)
		}
		if err := keys.Complete(t.Context(), "key", ranOutcome("x")); err != nil {
			t.Fatal(err)
		}
		r, err = keys.Acquire(t.Context(), "key", []byte("digest"), []byte("3"))
		if err != nil || r.Kind != Replay || string(r.Outcome.Body) != "x" {
			t.Fatalf("repeat after the run: %+v, error %v", r, err)
		}
	})
}

// TestCloseEndsComplete guards against an outcome that is tried for as long as its caller waits after the
// node has been closed.
func TestCloseEndsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		w := newNetwork(store, 2, 1, 1, 0)
		defer w.close()
		keys := w.routers[1].For("ordre")
		if _, err := keys.Acquire(t.Context(), "key", nil, []byte("1")); err != nil {
			t.Fatal(err)
		}
		store.SetDown(true)
		started := time.Now()
		time.AfterFunc(time.Second, w.routers[1].Close)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := keys.Complete(ctx, "key", ranOutcome("x")); err == nil || time.Since(started) != time.Second {
			t.Fatalf("ended after %v, error %v", time.Since(started), err)
		}
	})
}

// silent is a store whose writes of claims are lost until a time.
type silent struct {
	objectstore.Store
	until time.Time
}

func (s silent) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	if strings.HasPrefix(key, claimsPrefix) && time.Now().Before(s.until) {
		return objectstore.Object{}, objectstore.ErrUnknownOutcome
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// TestFailedOwnerReleases guards against an owner that failed to make a claim and, when it releases that
// claim later, releases the one that the same attempt has made through the next owner.
func TestFailedOwnerReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		w := newNetwork(store, 3, 2, 1, 0)
		defer w.close()
		order := ranked(owners(w.nodes()), "ordre", 0)
		for i, s := range w.services[:2] {
			if order[0].NodeID == fmt.Sprint(i) {
				s.config.Store = silent{store, time.Now().Add(2 * writeTimeout)}
			}
		}
		for attempt, want := range []Kind{Run, Held} {
			r, err := w.routers[2*(1-attempt)].For("ordre").Acquire(t.Context(), "key", nil, fmt.Append(nil, attempt))
			if err != nil || r.Kind != want {
				t.Fatalf("attempt %d: %+v, error %v", attempt, r, err)
			}
			time.Sleep(time.Minute)
		}
	})
}

// TestNoOwner guards against a wait, or a verdict other than not-run, when no node with the store can be reached.
func TestNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(objectstoretest.New(), 3, 2, 1, 0)
		defer w.close()
		w.kill(0)
		w.kill(1)
		_, err := w.routers[2].For("ordre").Acquire(t.Context(), "key", nil, []byte("1"))
		wantReason(t, err, verdict.ClaimUnavailable)
		if err := w.routers[2].For("ordre").Complete(t.Context(), "key", ranOutcome("x")); !errors.Is(err, ErrFenced) {
			t.Fatalf("completed without a claim: %v", err)
		}
	})
}

// TestSharedWrites guards against claims of many nodes that do not share writes, and against writes above
// the bound of the owners.
func TestSharedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writesPerOwner, seconds, claimsPerCaller = 10, 2, 8
		store := objectstoretest.New()
		store.SetCallDelay(3 * time.Millisecond)
		w := newNetwork(store, 32, 32, 16, writesPerOwner)
		defer w.close()
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		var group sync.WaitGroup
		var claims, refused int
		var mu sync.Mutex
		for i, r := range w.routers {
			for worker := range 8 {
				group.Go(func() {
					for n := 0; ctx.Err() == nil && n < claimsPerCaller; n++ {
						_, err := r.For("ordre").Acquire(ctx, fmt.Sprint(i, worker, n), nil, []byte("1"))
						mu.Lock()
						if err == nil {
							claims++
						} else if ctx.Err() == nil {
							refused++
						}
						mu.Unlock()
					}
				})
			}
		}
		group.Wait()
		counts, _ := store.Counts()
		limit := int64(maxOwners * (writesPerOwner*seconds + 2 + 1)) // with the burst and the number of shards
		if counts.Put > limit || claims < 10*int(counts.Put) || refused > 0 {
			t.Fatalf("%d writes, limit %d, for %d claims; %d refused", counts.Put, limit, claims, refused)
		}
		t.Logf("writes=%d limit=%d claims=%d", counts.Put, limit, claims)
	})
}
