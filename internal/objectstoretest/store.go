// Package objectstoretest provides an in-memory fake of the platform's object API with fault injection, and a test
// suite for implementations of objectstore.Store. The fake implements objectstore.Store and also serves the API over
// HTTP as an http.Handler.
package objectstoretest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

// Store keeps objects in memory. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	generation   uint64
	revision     int64
	objects      map[string]objectstore.Object // with the revision as the version
	deleted      map[string]int64              // version of the deletion, by key of each deleted object
	changed      chan struct{}                 // closed and replaced after each change
	watchesEnded chan struct{}                 // closed and replaced by SetDown and EndWatches
	counts       Counts
	countsSince  time.Time
	faults       faults
	kept         Copy // by a POST to CopyPath
}

var (
	_ objectstore.Store            = (*Store)(nil)
	_ objectstore.GenerationStater = (*Store)(nil)
)

// New returns an empty Store with no faults injected.
func New() *Store {
	return &Store{
		objects:      map[string]objectstore.Object{},
		deleted:      map[string]int64{},
		changed:      make(chan struct{}),
		watchesEnded: make(chan struct{}),
		countsSince:  time.Now(),
		kept:         Copy{objects: map[string]objectstore.Object{}, deleted: map[string]int64{}},
	}
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := s.beginCall(ctx, &s.counts.Get); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[key]
	if !found {
		return o, errors.Wrap(objectstore.ErrNotFound, key)
	}
	return s.stated(o), nil
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	objects, _, _, err := s.listAt(ctx, prefix)
	return objects, err
}

// ListAt implements objectstore.PositionLister.
func (s *Store) ListAt(ctx context.Context, prefix string) ([]objectstore.Object, objectstore.Position, error) {
	objects, version, _, err := s.listAt(ctx, prefix)
	return objects, objectstore.PositionOf(version), err
}

// listAt is like List and also returns the version counter and the generation at the time of the list.
func (s *Store) listAt(ctx context.Context, prefix string) (objects []objectstore.Object, version int64, generation uint64, err error) {
	if err := s.beginCall(ctx, &s.counts.List); err != nil {
		return nil, 0, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects = []objectstore.Object{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, s.stated(s.objects[key]))
		}
	}
	return objects, objectstore.VersionOf(s.generation, s.revision), s.generation, nil
}

// Put implements objectstore.Store. Like a client of the store, it does not send a write whose version is of an earlier
// generation.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	condition, err := s.condition(ifVersion)
	if err != nil {
		return objectstore.Object{}, err
	}
	written, err := s.PutRevision(ctx, key, value, condition.Revision)
	if err == nil {
		err = condition.Check(written.Generation)
	}
	if err != nil {
		return objectstore.Object{}, err
	}
	return written, nil
}

// PutRevision writes an object whose last change has the given revision, as the store itself does: it knows no generation
// of the condition.
func (s *Store) PutRevision(ctx context.Context, key string, value []byte, revision int64) (objectstore.Object, error) {
	if err := objectstore.CheckPut(key, value); err != nil {
		return objectstore.Object{}, err
	}
	var written objectstore.Object
	err := s.applyWrite(ctx, &s.counts.Put, func() (err error) {
		written, err = s.putLocked(key, value, revision)
		return err
	})
	if err != nil {
		return objectstore.Object{}, err
	}
	return written, nil
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, ifVersion int64) error {
	condition, err := s.condition(ifVersion)
	if err != nil {
		return err
	}
	generation, err := s.DeleteRevision(ctx, key, condition.Revision)
	if err == nil {
		err = condition.Check(generation)
	}
	return err
}

// DeleteRevision is like PutRevision and returns the generation that has deleted the object.
func (s *Store) DeleteRevision(ctx context.Context, key string, revision int64) (generation uint64, err error) {
	err = s.applyWrite(ctx, &s.counts.Delete, func() error {
		generation = s.generation
		return s.deleteLocked(key, revision)
	})
	return generation, err
}

func (s *Store) putLocked(key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	if s.objects[key].Version != ifVersion {
		return objectstore.Object{}, conflict(key, s.objects[key].Version, ifVersion)
	}
	s.revision++
	o := objectstore.Object{Key: key, Value: slices.Clone(value), Version: s.revision}
	s.objects[key] = o
	delete(s.deleted, key)
	s.notifyLocked()
	return s.stated(o), nil
}

func (s *Store) deleteLocked(key string, ifVersion int64) error {
	o, found := s.objects[key]
	if !found {
		return errors.Wrap(objectstore.ErrNotFound, key)
	}
	if o.Version != ifVersion {
		return conflict(key, o.Version, ifVersion)
	}
	s.revision++
	delete(s.objects, key)
	s.deleted[key] = s.revision
	s.notifyLocked()
	return nil
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func conflict(key string, version, ifVersion int64) error {
	return errors.Wrapf(objectstore.ErrConflict, "%s has version %d, expected %d", key, version, ifVersion)
}

// stated returns a copy of o as a client of the store returns it. It is called with mu held.
func (s *Store) stated(o objectstore.Object) objectstore.Object {
	o.Value = slices.Clone(o.Value)
	o.Version, o.Generation = objectstore.VersionOf(s.generation, o.Version), s.generation
	return o
}

// Watch implements objectstore.Store. The channel also closes on SetDown(true), EndWatches and Restore. A watch from a
// version of an earlier generation first sends all existing objects.
func (s *Store) Watch(ctx context.Context, prefix string, fromVersion int64) (<-chan objectstore.Event, error) {
	if err := s.beginCall(ctx, &s.counts.Watch); err != nil {
		return nil, err
	}
	s.mu.Lock()
	ended := s.watchesEnded
	from, current := objectstore.RevisionOf(fromVersion, s.generation)
	if !current {
		from = 0
	}
	s.mu.Unlock()
	events := make(chan objectstore.Event)
	go s.sendChanges(ctx, ended, events, prefix, from)
	return events, nil
}

// sendChanges sends the changes with versions above from until ctx ends or ended closes.
func (s *Store) sendChanges(ctx context.Context, ended <-chan struct{}, events chan<- objectstore.Event, prefix string, from int64) {
	defer close(events)
	for {
		batch, changed, delay := s.changesAfter(prefix, from)
		if delay > 0 && len(batch) > 0 && !wait(ctx, ended, delay) {
			return
		}
		for _, e := range batch {
			select {
			case <-ctx.Done():
				return
			case <-ended:
				return
			case events <- e:
				from, _ = objectstore.RevisionOf(e.Object.Version, e.Object.Generation)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-changed:
		}
	}
}

// changesAfter returns the newest change of each object whose key starts with prefix, if its version is above from,
// ordered by version. Deletions are included only if from is above zero. It also returns a channel that closes at the
// next change, and the delay of watch events.
func (s *Store) changesAfter(prefix string, from int64) ([]objectstore.Event, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []objectstore.Event
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > from {
			batch = append(batch, objectstore.Event{Object: s.stated(o)})
		}
	}
	for key, version := range s.deleted {
		if strings.HasPrefix(key, prefix) && version > from && from > 0 {
			deletion := objectstore.Object{Key: key, Version: objectstore.VersionOf(s.generation, version), Generation: s.generation}
			batch = append(batch, objectstore.Event{Deleted: true, Object: deletion})
		}
	}
	slices.SortFunc(batch, func(a, b objectstore.Event) int { return int(a.Object.Version - b.Object.Version) })
	return batch, s.changed, s.faults.watchDelay
}

// wait waits for d. It returns false if ctx ends or ended closes first.
func wait(ctx context.Context, ended <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ended:
		return false
	case <-timer.C:
		return true
	}
}
