package objectstoretest

import (
	"slices"
	"testing"

	"dandelionspoke/internal/objectstore"
)

// contractGeneration guards against objects and clients that do not state the generation of the store.
func contractGeneration(t *testing.T, s objectstore.Store, backing *Store) {
	first := mustPut(t, s, "g/a", "1", objectstore.MustNotExist)
	c := backing.Copy()
	for want := range uint64(3) {
		o, err := s.Get(t.Context(), "g/a")
		if err != nil || o.Generation != want || string(o.Value) != "1" {
			t.Fatalf("%+v, error %v, want generation %d", o, err, want)
		}
		objects, err := s.List(t.Context(), "g/")
		if err != nil || len(objects) != 1 || objects[0].Generation != want || objects[0].Version != o.Version {
			t.Fatalf("list: %+v, error %v", objects, err)
		}
		if generation, known, _ := s.(objectstore.GenerationStater).Generation(); !known || generation != want {
			t.Fatalf("the store states generation %d (%t), want %d", generation, known, want)
		}
		if want > 0 && o.Version <= first.Version {
			t.Fatalf("version %d after %d", o.Version, first.Version)
		}
		backing.Restore(c)
	}
}

// contractRestoredVersions guards against a write that replaces an object whose revision has been given out a second time,
// after the client has seen the new generation.
func contractRestoredVersions(t *testing.T, s objectstore.Store, backing *Store) {
	mustPut(t, s, "g/a", "1", objectstore.MustNotExist)
	c := backing.Copy()
	lost := mustPut(t, s, "g/b", "lost", objectstore.MustNotExist)
	backing.Restore(c)
	if _, err := s.Get(t.Context(), "g/a"); err != nil {
		t.Fatal(err)
	}
	again := mustPut(t, s, "g/b", "again", objectstore.MustNotExist)
	lostRevision, _ := objectstore.RevisionOf(lost.Version, lost.Generation)
	if revision, _ := objectstore.RevisionOf(again.Version, again.Generation); revision != lostRevision {
		t.Fatalf("revision %d, lost %d", revision, lostRevision)
	}
	backing.ResetCounts()
	_, err := s.Put(t.Context(), "g/b", []byte("stale"), lost.Version)
	wantError(t, err, objectstore.ErrConflict)
	wantError(t, s.Delete(t.Context(), "g/b", lost.Version), objectstore.ErrConflict)
	if counts, _ := backing.Counts(); counts.Writes() != 0 {
		t.Errorf("%d writes were sent", counts.Writes())
	}
	wantValue(t, s, again)
	mustPut(t, s, "g/b", "next", again.Version)
}

// contractRestoreDuringWrite guards against reporting the outcome of a write that the restored store has applied to another
// content, or that it has lost.
func contractRestoreDuringWrite(t *testing.T, s objectstore.Store, backing *Store) {
	mustPut(t, s, "g/a", "1", objectstore.MustNotExist)
	c := backing.Copy()
	base := mustPut(t, s, "g/b", "base", objectstore.MustNotExist)
	backing.Restore(c)
	if _, err := backing.PutRevision(t.Context(), "g/b", []byte("other"), objectstore.MustNotExist); err != nil {
		t.Fatal(err)
	}
	other := backing.Copy()
	backing.rewind() // the client has not seen the restored store yet
	backing.RestoreBeforeWrite(other)
	_, err := s.Put(t.Context(), "g/b", []byte("next"), base.Version)
	wantError(t, err, objectstore.ErrUnknownOutcome)

	sealed, err := objectstore.PutResolved(t.Context(), s, "g/c", objectstore.Sealed{}, []byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	c = backing.Copy()
	lost, err := objectstore.PutResolved(t.Context(), s, "g/c", sealed, []byte("2"))
	if err != nil {
		t.Fatal(err)
	}
	backing.RestoreBeforeWrite(c)
	_, err = objectstore.PutResolved(t.Context(), s, "g/c", lost, []byte("3"))
	if err == nil {
		t.Fatal("a write on a lost value was reported as stored")
	}
	found, err := objectstore.GetSealed(t.Context(), s, "g/c")
	if err != nil || string(found.Payload) != "1" {
		t.Fatalf("%+v, error %v", found, err)
	}
}

// rewind makes the store state the previous generation again, as before a Restore that the client has not seen.
func (s *Store) rewind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation--
}

// contractWatchRestored guards against a watch that misses what a restore has changed: an object that has gone back to an
// earlier content, one that is gone, and one that was written with a revision that the watch has already sent.
func contractWatchRestored(t *testing.T, s objectstore.Store, backing *Store) {
	old := mustPut(t, s, "w/a", "old", objectstore.MustNotExist)
	c := backing.Copy()
	changed := mustPut(t, s, "w/a", "new", old.Version)
	lost := mustPut(t, s, "w/b", "lost", objectstore.MustNotExist)
	events, err := s.Watch(t.Context(), "w/", 0)
	if err != nil {
		t.Fatal(err)
	}
	wantEvent(t, events, objectstore.Event{Object: changed})
	wantEvent(t, events, objectstore.Event{Object: lost})
	backing.Restore(c)
	if _, err := backing.PutRevision(t.Context(), "w/c", []byte("again"), objectstore.MustNotExist); err != nil {
		t.Fatal(err)
	}
	e, open := nextEvent(t, events)
	reported := []string{"w/a old", "w/c again", "w/b deleted"}
	if !open {
		// The watcher has to watch again, and learns of the existing objects.
		reported = reported[:2]
		if events, err = s.Watch(t.Context(), "w/", lost.Version); err != nil {
			t.Fatal(err)
		}
		e, _ = nextEvent(t, events)
	}
	for i := range reported {
		if i > 0 {
			e, _ = nextEvent(t, events)
		}
		got := e.Object.Key + " " + string(e.Object.Value)
		if e.Deleted {
			got = e.Object.Key + " deleted"
		}
		if !slices.Contains(reported, got) || e.Object.Generation == lost.Generation && !e.Deleted {
			t.Fatalf("event %+v, want one of %q", e, reported)
		}
		if !e.Deleted && e.Object.Version <= lost.Version {
			t.Errorf("version %d of %s is not above %d", e.Object.Version, e.Object.Key, lost.Version)
		}
	}
}
