package objectstoretest

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/objectstore"
)

// eventTimeout is the timeout of the wait for an expected event.
const eventTimeout = 20 * time.Second

// Factory returns the store under test and the fake store that backs it. They may be the same.
type Factory func(t *testing.T) (objectstore.Store, *Store)

// Contract runs the tests that every implementation of objectstore.Store must pass.
func Contract(t *testing.T, factory Factory) {
	cases := map[string]func(*testing.T, objectstore.Store, *Store){
		"writes are conditional":                     contractConditionalWrites,
		"versions increase after a deletion":         contractRecreate,
		"list is ordered by key":                     contractList,
		"limits":                                     contractLimits,
		"calls while down fail without effect":       contractUnavailable,
		"lost response is unknown outcome":           contractLostResponses,
		"unknown outcome is resolved":                contractResolve,
		"watch starts at a version":                  contractWatch,
		"watch resumes or closes after interruption": contractWatchInterrupted,
		"injected conflict has no effect":            contractSpuriousConflict,
		"generation is stated":                       contractGeneration,
		"versions of a lost generation conflict":     contractRestoredVersions,
		"restore during a write":                     contractRestoreDuringWrite,
		"watch restarts after a restore":             contractWatchRestored,
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			store, backing := factory(t)
			check(t, store, backing)
		})
	}
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}

func mustPut(t *testing.T, s objectstore.Store, key, value string, ifVersion int64) objectstore.Object {
	t.Helper()
	o, err := s.Put(t.Context(), key, []byte(value), ifVersion)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func wantValue(t *testing.T, s objectstore.Store, want objectstore.Object) {
	t.Helper()
	got, err := s.Get(t.Context(), want.Key)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func contractConditionalWrites(t *testing.T, s objectstore.Store, _ *Store) {
	_, err := s.Get(t.Context(), "a/b")
	wantError(t, err, objectstore.ErrNotFound)
	_, err = s.Put(t.Context(), "a/b", []byte("x"), 7)
	wantError(t, err, objectstore.ErrConflict)
	first := mustPut(t, s, "a/b", "one", objectstore.MustNotExist)
	_, err = s.Put(t.Context(), "a/b", []byte("x"), objectstore.MustNotExist)
	wantError(t, err, objectstore.ErrConflict)
	second := mustPut(t, s, "a/b", "two", first.Version)
	_, err = s.Put(t.Context(), "a/b", []byte("x"), first.Version)
	wantError(t, err, objectstore.ErrConflict)
	wantError(t, s.Delete(t.Context(), "a/b", first.Version), objectstore.ErrConflict)
	wantValue(t, s, second)
}

func contractRecreate(t *testing.T, s objectstore.Store, _ *Store) {
	first := mustPut(t, s, "k", "one", objectstore.MustNotExist)
	if err := s.Delete(t.Context(), "k", first.Version); err != nil {
		t.Fatal(err)
	}
	wantError(t, s.Delete(t.Context(), "k", first.Version), objectstore.ErrNotFound)
	second := mustPut(t, s, "k", "two", objectstore.MustNotExist)
	if second.Version <= first.Version {
		t.Fatalf("version %d after %d", second.Version, first.Version)
	}
}

func contractList(t *testing.T, s objectstore.Store, _ *Store) {
	b := mustPut(t, s, "p/b", "2", objectstore.MustNotExist)
	a := mustPut(t, s, "p/a", "", objectstore.MustNotExist)
	mustPut(t, s, "q/a", "3", objectstore.MustNotExist)
	got, err := s.List(t.Context(), "p/")
	if err != nil {
		t.Fatal(err)
	}
	for i := range got {
		got[i].Value = append([]byte{}, got[i].Value...)
	}
	a.Value = []byte{}
	if diff := cmp.Diff([]objectstore.Object{a, b}, got); diff != "" {
		t.Fatal(diff)
	}
}

func contractLimits(t *testing.T, s objectstore.Store, _ *Store) {
	large := make([]byte, objectstore.MaxValueBytes+1)
	_, err := s.Put(t.Context(), "k", large, objectstore.MustNotExist)
	wantError(t, err, objectstore.ErrTooLarge)
	wantValue(t, s, mustPut(t, s, "k", string(large[1:]), objectstore.MustNotExist))
	_, err = s.Put(t.Context(), "a/../b", nil, objectstore.MustNotExist)
	wantError(t, err, objectstore.ErrInvalidKey)
}

func contractUnavailable(t *testing.T, s objectstore.Store, backing *Store) {
	before := mustPut(t, s, "k", "one", objectstore.MustNotExist)
	backing.SetDown(true)
	_, err := s.Put(t.Context(), "k", []byte("two"), before.Version)
	wantError(t, err, objectstore.ErrUnavailable)
	if errors.Is(err, objectstore.ErrUnknownOutcome) {
		t.Fatalf("outcome of a refused write is reported as unknown: %v", err)
	}
	_, err = s.Get(t.Context(), "k")
	wantError(t, err, objectstore.ErrUnavailable)
	_, err = s.List(t.Context(), "k")
	wantError(t, err, objectstore.ErrUnavailable)
	backing.SetDown(false)
	wantValue(t, s, before)
}

func contractLostResponses(t *testing.T, s objectstore.Store, backing *Store) {
	backing.DropResponses(1)
	_, err := s.Put(t.Context(), "k", []byte("one"), objectstore.MustNotExist)
	wantError(t, err, objectstore.ErrUnknownOutcome)
	backing.DropWrites(1)
	_, err = s.Put(t.Context(), "k", []byte("two"), 1)
	wantError(t, err, objectstore.ErrUnknownOutcome)
	wantValue(t, s, objectstore.Object{Key: "k", Value: []byte("one"), Version: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	backing.SetCallDelay(time.Minute)
	_, err = s.Put(ctx, "k", []byte("three"), 1)
	wantError(t, err, objectstore.ErrUnknownOutcome)
}

func contractResolve(t *testing.T, s objectstore.Store, backing *Store) {
	base := objectstore.Sealed{}
	inject := []func(){
		func() { backing.DropResponses(1) },
		func() { backing.DropWrites(2) },
		func() { backing.DelayWrites(2, 5*time.Millisecond) },
	}
	for i, fault := range inject {
		fault()
		payload := []byte{byte('a' + i)}
		next, err := objectstore.PutResolved(t.Context(), s, "k", base, payload)
		if err != nil {
			t.Fatalf("fault %d: %v", i, err)
		}
		found, err := objectstore.GetSealed(t.Context(), s, "k")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(next, found); diff != "" {
			t.Fatal(diff)
		}
		base = next
	}
	_, err := objectstore.PutResolved(t.Context(), s, "k", objectstore.Sealed{}, nil)
	wantError(t, err, objectstore.ErrConflict)
}

func nextEvent(t *testing.T, events <-chan objectstore.Event) (objectstore.Event, bool) {
	t.Helper()
	select {
	case e, open := <-events:
		return e, open
	case <-time.After(eventTimeout):
		t.Fatal("no event")
		return objectstore.Event{}, false
	}
}

func wantEvent(t *testing.T, events <-chan objectstore.Event, want objectstore.Event) {
	t.Helper()
	got, _ := nextEvent(t, events)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func contractWatch(t *testing.T, s objectstore.Store, _ *Store) {
	existing := mustPut(t, s, "w/old", "1", objectstore.MustNotExist)
	ctx, cancel := context.WithCancel(t.Context())
	all, err := s.Watch(ctx, "w/", 0)
	if err != nil {
		t.Fatal(err)
	}
	wantEvent(t, all, objectstore.Event{Object: existing})
	later, err := s.Watch(ctx, "w/", existing.Version)
	if err != nil {
		t.Fatal(err)
	}
	mustPut(t, s, "other", "1", objectstore.MustNotExist)
	created := mustPut(t, s, "w/new", "2", objectstore.MustNotExist)
	wantEvent(t, all, objectstore.Event{Object: created})
	wantEvent(t, later, objectstore.Event{Object: created})
	if err := s.Delete(t.Context(), "w/new", created.Version); err != nil {
		t.Fatal(err)
	}
	deletion := objectstore.Event{Deleted: true, Object: objectstore.Object{Key: "w/new", Version: created.Version + 1}}
	wantEvent(t, all, deletion)
	wantEvent(t, later, deletion)
	cancel()
	if e, open := nextEvent(t, all); open {
		t.Fatalf("event %v after the context was canceled", e)
	}
}

// contractWatchInterrupted guards against missing a change that is made between the interruption of a watch and the
// next watch.
func contractWatchInterrupted(t *testing.T, s objectstore.Store, backing *Store) {
	first := mustPut(t, s, "w/a", "1", objectstore.MustNotExist)
	events, err := s.Watch(t.Context(), "w/", 0)
	if err != nil {
		t.Fatal(err)
	}
	wantEvent(t, events, objectstore.Event{Object: first})
	backing.SetDown(true)
	second, err := backing.putDirect("w/a", []byte("2"), first.Version)
	if err != nil {
		t.Fatal(err)
	}
	backing.SetDown(false)
	e, open := nextEvent(t, events)
	if !open {
		events, err = s.Watch(t.Context(), "w/", first.Version)
		if err != nil {
			t.Fatal(err)
		}
		e, _ = nextEvent(t, events)
	}
	if diff := cmp.Diff(objectstore.Event{Object: second}, e); diff != "" {
		t.Fatal(diff)
	}
}

// putDirect writes a value without applying the injected faults.
func (s *Store) putDirect(key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, ifVersion)
}

func contractSpuriousConflict(t *testing.T, s objectstore.Store, backing *Store) {
	first := mustPut(t, s, "k", "1", objectstore.MustNotExist)
	backing.InjectConflicts(1)
	_, err := s.Put(t.Context(), "k", []byte("2"), first.Version)
	wantError(t, err, objectstore.ErrConflict)
	wantValue(t, s, first)
	mustPut(t, s, "k", "2", first.Version)
}
