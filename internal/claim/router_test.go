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
	networkFaultKinds = 7
	crashFault        = storeFaultKinds + networkFaultKinds // this kind and the next one kill a node
)

// TestRoutedAtMostOnce is TestAtMostOnce with routers, one of them without access to the store. It adds
// changes of owners, nodes with different membership views, lost requests and replies, and requests that
// arrive after their sender has given up.
func TestRoutedAtMostOnce(t *testing.T) { checkRouted(t, crashFault) }

// TestRoutedOwnerCrash adds crashes of owners at any time. Any key may then stay claimed, because the
// crashed node may have held it.
func TestRoutedOwnerCrash(t *testing.T) { checkRouted(t, crashFault+2) }

func checkRouted(t *testing.T, kinds int) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts := rapid.SliceOfN(genAttempt(5), 1, 25).Draw(rt, "attempts")
		faults := rapid.SliceOfN(genFault(kinds), 0, 10).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) { newRoutedScenario(t).execute(attempts, faults) })
	})
}

func newRoutedScenario(t *testing.T) *scenario {
	s := &scenario{t: t, store: objectstoretest.New(), runs: map[int]string{}, mayStayClaimed: map[int]bool{}}
	net := newNetwork(s.store, 5, 4, 1, 50)
	for _, r := range net.routers {
		s.claimers = append(s.claimers, r.For("ordre"))
	}
	s.injectNetworkFault = func(kind int) { s.injectRouterFault(net, kind) }
	s.clearNetworkFaults = net.clearFaults
	s.closers = append(s.closers, net.close)
	return s
}

func (s *scenario) injectRouterFault(net *network, kind int) {
	locked := func(f func()) {
		net.mu.Lock()
		defer net.mu.Unlock()
		f()
	}
	switch kind {
	case 0:
		locked(func() { net.loseRequests += 2 })
	case 1:
		locked(func() { net.loseReplies += 3 })
	case 2:
		locked(func() { net.delayRequests += 2 })
	case 3: // each node with access to the store considers itself the only owner
		for i := range 4 {
			net.setView(i, func(n Node) bool { return n.NodeID == fmt.Sprint(i) })
		}
	case 4:
		for i := range net.routers {
			net.setView(i, func(n Node) bool { return n.NodeID != "1" })
		}
	case 5: // the node without access to the store knows no owner
		net.setView(4, func(Node) bool { return false })
		time.Sleep(time.Second)
		net.setView(4, func(Node) bool { return true })
	case 6:
		for i := range net.routers {
			net.setView(i, func(Node) bool { return true })
		}
	default: // only nodes 2 and 3 are killed, so that the attempts of the others can end
		s.mu.Lock()
		for key := range 4 {
			s.mayStayClaimed[key] = true
		}
		s.mu.Unlock()
		net.kill(kind - networkFaultKinds + 2)
	}
}

// TestLostReply guards against three faults after a lost reply: a permit, a verdict other than not-run, and a
// claim that is not released.
func TestLostReply(t *testing.T) {
	cases := map[string]func(*network){
		"reply lost":      func(net *network) { net.loseReplies = 1 },
		"request lost":    func(net *network) { net.loseRequests = 1 },
		"request delayed": func(net *network) { net.delayRequests = 1 },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork(objectstoretest.New(), 3, 2, 1, 0)
				defer net.close()
				inject(net)
				claimer := net.routers[2].For("ordre")
				_, err := claimer.Acquire(t.Context(), "key", []byte("digest"), []byte("1"))
				wantReason(t, err, verdict.ClaimUnavailable)
				time.Sleep(2 * time.Minute)
				r, err := claimer.Acquire(t.Context(), "key", []byte("digest"), []byte("2"))
				if err != nil || r.Kind != Run {
					t.Fatalf("the key stays claimed: %+v, error %v", r, err)
				}
			})
		})
	}
}

// TestPermitStart guards against a permit whose lifetime counts from the arrival of the owner's reply, which
// would extend it by the duration of the request.
func TestPermitStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		store.SetCallDelay(300 * time.Millisecond)
		net := newNetwork(store, 3, 2, 1, 0)
		defer net.close()
		started := time.Now()
		r, err := net.routers[2].For("ordre").Acquire(t.Context(), "key", nil, []byte("1"))
		if err != nil || r.Kind != Run || time.Since(started) < time.Second {
			t.Fatalf("%+v after %v, error %v", r, time.Since(started), err)
		}
		if r.Permit.MayStart(started.Add(PermitLifetime)) || !r.Permit.MayStart(started.Add(PermitLifetime-1)) {
			t.Fatal("the lifetime of the permit does not count from the start of the request")
		}
	})
}

// TestOwnerChange guards against a lost outcome and a second run of the key when the owner crashes between
// the claim and the outcome.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(objectstoretest.New(), 4, 3, 1, 0)
		defer net.close()
		claimer := net.routers[3].For("ordre")
		r, err := claimer.Acquire(t.Context(), "key", []byte("digest"), []byte("1"))
		if err != nil || r.Kind != Run {
			t.Fatalf("%+v, error %v", r, err)
		}
		owner := rankOwners(selectOwners(net.nodes()), "ordre", 0)[0]
		for i := range 3 {
			if owner.NodeID == fmt.Sprint(i) {
				net.kill(i)
			}
		}
		r, err = claimer.Acquire(t.Context(), "key", []byte("digest"), []byte("2"))
		if err != nil || r.Kind != Held {
			t.Fatalf("repeat during the run: %+v, error %v", r, err)
		}
		if err := claimer.Complete(t.Context(), "key", ranOutcome("x")); err != nil {
			t.Fatal(err)
		}
		r, err = claimer.Acquire(t.Context(), "key", []byte("digest"), []byte("3"))
		if err != nil || r.Kind != Replay || string(r.Outcome.Body) != "x" {
			t.Fatalf("repeat after the run: %+v, error %v", r, err)
		}
	})
}

// TestCloseEndsComplete guards against a Complete that, after the Router is closed, retries until its
// caller's context ends.
func TestCloseEndsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		net := newNetwork(store, 2, 1, 1, 0)
		defer net.close()
		claimer := net.routers[1].For("ordre")
		if _, err := claimer.Acquire(t.Context(), "key", nil, []byte("1")); err != nil {
			t.Fatal(err)
		}
		store.SetDown(true)
		started := time.Now()
		time.AfterFunc(time.Second, net.routers[1].Close)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := claimer.Complete(ctx, "key", ranOutcome("x")); err == nil || time.Since(started) != time.Second {
			t.Fatalf("Complete returned after %v, error %v", time.Since(started), err)
		}
	})
}

// unknownOutcomeStore drops writes of claims until a time and reports an unknown outcome for them.
type unknownOutcomeStore struct {
	objectstore.Store
	until time.Time
}

func (s unknownOutcomeStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	if strings.HasPrefix(key, claimsPrefix) && time.Now().Before(s.until) {
		return objectstore.Object{}, objectstore.ErrUnknownOutcome
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// TestFailedOwnerReleases guards against an owner that failed to make a claim, later releases it, and thereby
// removes the claim that the same attempt has made through the next owner.
func TestFailedOwnerReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		net := newNetwork(store, 3, 2, 1, 0)
		defer net.close()
		order := rankOwners(selectOwners(net.nodes()), "ordre", 0)
		for i, claimers := range net.claimers[:2] {
			if order[0].NodeID == fmt.Sprint(i) {
				claimers.config.Store = unknownOutcomeStore{store, time.Now().Add(2 * writeTimeout)}
			}
		}
		for attempt, want := range []Kind{Run, Held} {
			r, err := net.routers[2*(1-attempt)].For("ordre").Acquire(t.Context(), "key", nil, fmt.Append(nil, attempt))
			if err != nil || r.Kind != want {
				t.Fatalf("attempt %d: %+v, error %v", attempt, r, err)
			}
			time.Sleep(time.Minute)
		}
	})
}

// TestNoOwner guards against a verdict other than not-run, and against a wait, when no node with access to the
// store can be reached.
func TestNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(objectstoretest.New(), 3, 2, 1, 0)
		defer net.close()
		net.kill(0)
		net.kill(1)
		_, err := net.routers[2].For("ordre").Acquire(t.Context(), "key", nil, []byte("1"))
		wantReason(t, err, verdict.ClaimUnavailable)
		if err := net.routers[2].For("ordre").Complete(t.Context(), "key", ranOutcome("x")); !errors.Is(err, ErrFenced) {
			t.Fatalf("completed without a claim: error %v, want ErrFenced", err)
		}
	})
}

// TestSharedWrites guards against claims of many nodes that do not share writes, and against a write rate
// above the bounds of the owners.
func TestSharedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writesPerOwner, seconds, claimsPerCaller = 10, 2, 8
		store := objectstoretest.New()
		store.SetCallDelay(3 * time.Millisecond)
		net := newNetwork(store, 32, 32, 16, writesPerOwner)
		defer net.close()
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		var group sync.WaitGroup
		var claims, refused int
		var mu sync.Mutex
		for i, r := range net.routers {
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
		limit := int64(maxOwners * (writesPerOwner*seconds + 2 + 1)) // 2 for the burst, 1 for LayoutKey
		if counts.Put > limit || claims < 10*int(counts.Put) || refused > 0 {
			t.Fatalf("%d writes, limit %d, for %d claims; %d refused", counts.Put, limit, claims, refused)
		}
		t.Logf("writes=%d limit=%d claims=%d", counts.Put, limit, claims)
	})
}
