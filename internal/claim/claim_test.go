package claim

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	_ "dandelionspoke/internal/fixedseed"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newClaimer returns a Claimer with one shard, so that all keys contend for it.
func newClaimer(store objectstore.Store) *Claimer {
	c := New(Config{
		Store:     store,
		Service:   "ordre",
		Retention: func() time.Duration { return MinRetention },
		Log:       slog.New(slog.DiscardHandler),
	})
	c.shards = 1
	return c
}

func ranOutcome(body string) Outcome {
	return Outcome{Verdict: verdict.Ran, Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte(body)}
}

func wantReason(t *testing.T, err error, want verdict.Reason) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want %s (not-run)", want)
	}
	if e := verdict.As(err); e.Verdict != verdict.NotRun || e.Reason != want {
		t.Fatalf("error %v, want %s (not-run)", err, want)
	}
}

func wantKind(t *testing.T, c *Claimer, attempt string, want Kind) Result {
	t.Helper()
	r, err := c.Acquire(t.Context(), "key", []byte("digest"), []byte(attempt))
	if err != nil || r.Kind != want {
		t.Fatalf("attempt %s: %+v, error %v, want kind %d", attempt, r, err, want)
	}
	return r
}

func complete(t *testing.T, c *Claimer, o Outcome) {
	t.Helper()
	if err := c.Complete(t.Context(), "key", o); err != nil {
		t.Fatal(err)
	}
}

// TestRepeats guards against a repeat of a keyed request whose result does not match the state of the first
// attempt.
func TestRepeats(t *testing.T) {
	cases := map[string]func(t *testing.T, a, b *Claimer, store *objectstoretest.Store){
		"in progress": func(t *testing.T, a, b *Claimer, _ *objectstoretest.Store) {
			for _, c := range []*Claimer{a, b} {
				if r := wantKind(t, c, "2", Held); r.Verdict != verdict.MayHaveRun {
					t.Fatalf("%+v", r)
				}
			}
		},
		"done": func(t *testing.T, a, b *Claimer, store *objectstoretest.Store) {
			complete(t, a, ranOutcome("x"))
			for _, c := range []*Claimer{a, b} {
				if diff := cmp.Diff(ranOutcome("x"), wantKind(t, c, "2", Replay).Outcome); diff != "" {
					t.Fatal(diff)
				}
			}
			store.SetDown(true)
			wantKind(t, b, "3", Replay) // a stored outcome is replayed from the cache
		},
		"large response": func(t *testing.T, a, b *Claimer, _ *objectstoretest.Store) {
			complete(t, a, ranOutcome(string(make([]byte, MaxOutcomeBytes))))
			if r := wantKind(t, b, "2", Held); r.Verdict != verdict.Ran {
				t.Fatalf("%+v", r)
			}
		},
		"unknown": func(t *testing.T, a, b *Claimer, _ *objectstoretest.Store) {
			complete(t, a, Outcome{Verdict: verdict.MayHaveRun})
			if r := wantKind(t, b, "2", Held); r.Verdict != verdict.MayHaveRun {
				t.Fatalf("%+v", r)
			}
		},
		"released": func(t *testing.T, a, b *Claimer, _ *objectstoretest.Store) {
			wantKind(t, b, "0", Held) // b has now cached the claim
			if err := a.Release(t.Context(), "key"); err != nil {
				t.Fatal(err)
			}
			wantKind(t, b, "2", Run)
			if err := a.Complete(t.Context(), "key", ranOutcome("x")); !errors.Is(err, ErrFenced) {
				t.Fatalf("completed after the release: error %v, want ErrFenced", err)
			}
		},
		"released during an outage": func(t *testing.T, a, b *Claimer, store *objectstoretest.Store) {
			store.SetDown(true)
			if err := a.Release(t.Context(), "key"); err == nil {
				t.Fatal("released without the store")
			}
			store.SetDown(false)
			time.Sleep(time.Minute)
			wantKind(t, b, "2", Run)
		},
		"completed during an outage": func(t *testing.T, a, b *Claimer, store *objectstoretest.Store) {
			store.SetDown(true)
			time.AfterFunc(time.Minute, func() { store.SetDown(false) })
			complete(t, a, ranOutcome("x"))
			wantKind(t, b, "2", Replay)
		},
		"completed by a late write": func(t *testing.T, a, b *Claimer, store *objectstoretest.Store) {
			store.DelayWrites(1000, writeTimeout+time.Second)
			complete(t, a, ranOutcome("x"))
			store.DelayWrites(0, 0)
			wantKind(t, b, "2", Replay)
		},
		"another request": func(t *testing.T, a, b *Claimer, _ *objectstoretest.Store) {
			for _, c := range []*Claimer{a, b} {
				_, err := c.Acquire(t.Context(), "key", []byte("other"), []byte("2"))
				wantReason(t, err, verdict.ClaimMismatch)
			}
		},
		"store down": func(t *testing.T, _, b *Claimer, store *objectstoretest.Store) {
			store.SetDown(true)
			start := time.Now()
			_, err := b.Acquire(t.Context(), "key", []byte("digest"), []byte("2"))
			wantReason(t, err, verdict.ClaimUnavailable)
			if waited := time.Since(start); waited != 0 {
				t.Fatalf("refused after %v", waited)
			}
		},
		"store slow": func(t *testing.T, _, b *Claimer, store *objectstoretest.Store) {
			store.SetCallDelay(time.Hour)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := b.Acquire(ctx, "key", []byte("digest"), []byte("2"))
			wantReason(t, err, verdict.DeadlineExceeded)
		},
		"expired": func(t *testing.T, a, b *Claimer, _ *objectstoretest.Store) {
			time.Sleep(MinRetention + MaxClockSkew/2)
			wantKind(t, b, "2", Held) // the clock of another node may be behind this one
			time.Sleep(MaxClockSkew)
			wantKind(t, a, "3", Held) // the run may still be in progress on this node
			wantKind(t, b, "4", Run)
			if err := a.Complete(t.Context(), "key", ranOutcome("x")); !errors.Is(err, ErrFenced) {
				t.Fatalf("completed after another attempt claimed the key: error %v, want ErrFenced", err)
			}
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objectstoretest.New()
				a, b := newClaimer(store), newClaimer(store)
				defer a.Close()
				defer b.Close()
				wantKind(t, a, "1", Run)
				check(t, a, b, store)
			})
		})
	}
}

// TestPausedHolder guards against a holder that starts its run after a pause during which its claim expired
// and another attempt claimed the key.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		a, b := newClaimer(store), newClaimer(store)
		defer a.Close()
		defer b.Close()
		first := wantKind(t, a, "1", Run)
		time.Sleep(MinRetention + 2*MaxClockSkew)
		second := wantKind(t, b, "2", Run)
		if first.Permit.MayStart(time.Now()) || !second.Permit.MayStart(time.Now()) {
			t.Fatal("MayStart: want false for the paused holder and true for the second attempt")
		}
		if (Permit{}).MayStart(time.Now()) {
			t.Fatal("the zero Permit permits a run")
		}
	})
}

// supersededStore loses the response to one write and calls afterPut, which makes a later write before the
// read-back.
type supersededStore struct {
	objectstore.Store
	afterPut func()
}

func (s *supersededStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	o, err := s.Store.Put(ctx, key, value, ifVersion)
	if s.afterPut == nil {
		return o, err
	}
	s.afterPut()
	s.afterPut = nil
	return objectstore.Object{}, objectstore.ErrUnknownOutcome
}

// TestSupersededWrite guards against a claimer that, after a read-back, takes its own write for the newest one
// and then overwrites the claims of others.
func TestSupersededWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		superseded := &supersededStore{Store: store}
		a, b := newClaimer(superseded), newClaimer(store)
		defer a.Close()
		defer b.Close()
		superseded.afterPut = func() { wantKind(t, b, "1", Run) }
		for _, key := range []string{"other", "third"} {
			if r, err := a.Acquire(t.Context(), key, nil, []byte("2")); err != nil || r.Kind != Run {
				t.Fatalf("%+v, error %v", r, err)
			}
		}
		wantKind(t, a, "3", Held)
	})
}

// TestFullTable guards against a shard that exceeds the size limit of the store, or that drops claims to
// stay within it.
func TestFullTable(t *testing.T) {
	table := &table{records: map[string]record{}}
	now := time.Unix(0, 0)
	var ids []identity
	for {
		id := identity{key: shortDigest(fmt.Sprint(len(ids))), digest: shortDigest("d"), attempt: shortDigest("a")}
		if _, _, err := table.acquire(id, now, MinRetention); err != nil {
			wantReason(t, err, verdict.ClaimUnavailable)
			break
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if _, err := table.complete(id, ranOutcome("an answer of some bytes"), now, MinRetention); err != nil {
			t.Fatal(err)
		}
		if table.size > maxTableBytes {
			t.Fatalf("%d bytes, limit %d", table.size, maxTableBytes)
		}
	}
	decoded, err := decodeTable(table.encode())
	if err != nil || len(decoded.records) != len(ids) || decoded.size != table.size {
		t.Fatalf("%d of %d claims, %d of %d bytes, error %v", len(decoded.records), len(ids), decoded.size, table.size, err)
	}
	t.Logf("claims=%d bytes=%d", len(ids), table.size)
}

// TestGroupCommit guards against one write per claim when claims are concurrent.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstoretest.New()
		store.SetCallDelay(3 * time.Millisecond)
		c := newClaimer(store)
		defer c.Close()
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				r, err := c.Acquire(t.Context(), keyName(i), nil, fmt.Append(nil, i))
				if err != nil || r.Kind != Run {
					t.Errorf("%+v, error %v", r, err)
				}
			})
		}
		group.Wait()
		if counts, _ := store.Counts(); counts.Put > 3 {
			t.Fatalf("%d writes for 200 concurrent claims", counts.Put)
		}
	})
}

// TestClaimers guards against a key of one service that blocks the same key of another, and against a
// memory bound that grows with the number of services.
func TestClaimers(t *testing.T) {
	store := objectstoretest.New()
	claimers := NewClaimerSet(Config{
		Store:     store,
		Retention: func() time.Duration { return 0 },
		Log:       slog.New(slog.DiscardHandler),
	})
	for _, service := range []string{"ordre", "katalog"} {
		wantKind(t, claimers.For(service), "1", Run)
		wantKind(t, claimers.For(service), "2", Held)
	}
	var stored int64
	objects, err := store.List(t.Context(), "claims/")
	for _, o := range objects {
		sealed, err := objectstore.Unseal(o)
		if err != nil {
			t.Fatal(err)
		}
		stored += int64(len(sealed.Payload))
	}
	if got := claimers.shared.cachedBytes.Load(); err != nil || len(objects) != 2 || got != stored {
		t.Fatalf("%d objects of %d bytes, %d bytes counted, error %v", len(objects), stored, got, err)
	}
	claimers.Close()
	_, err = claimers.For("farge").Acquire(t.Context(), "key", nil, nil)
	wantReason(t, err, verdict.ClaimUnavailable)
}
