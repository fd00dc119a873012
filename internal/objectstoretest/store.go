// Package objectstoretest is an in-memory stand-in for the platform's object API with switchable faults.
// Store implements objectstore.Store directly and serves the HTTP form as an http.Handler.
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
	mu       sync.Mutex
	revision int64
	live     map[string]objectstore.Object
	deleted  map[string]int64 // version of the deletion of each missing object
	changed  chan struct{}    // closed and replaced after each change
	cut      chan struct{}    // closed and replaced by EndWatches
	counts   Counts
	since    time.Time
	faults   faults
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		live:    map[string]objectstore.Object{},
		deleted: map[string]int64{},
		changed: make(chan struct{}),
		cut:     make(chan struct{}),
		since:   time.Now(),
	}
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := s.enter(ctx, &s.counts.Get); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.live[key]
	if !found {
		return o, errors.Wrap(objectstore.ErrNotFound, key)
	}
	return copyOf(o), nil
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	objects, _, err := s.listAt(ctx, prefix)
	return objects, err
}

func (s *Store) listAt(ctx context.Context, prefix string) ([]objectstore.Object, int64, error) {
	if err := s.enter(ctx, &s.counts.List); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []objectstore.Object{}
	for _, key := range slices.Sorted(maps.Keys(s.live)) {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, copyOf(s.live[key]))
		}
	}
	return objects, s.revision, nil
}

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	if err := objectstore.CheckPut(key, value); err != nil {
		return objectstore.Object{}, err
	}
	var written objectstore.Object
	err := s.write(ctx, &s.counts.Put, func() (err error) {
		written, err = s.putLocked(key, value, ifVersion)
		return err
	})
	if err != nil {
		return objectstore.Object{}, err
	}
	return written, nil
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, ifVersion int64) error {
	return s.write(ctx, &s.counts.Delete, func() error { return s.deleteLocked(key, ifVersion) })
}

func (s *Store) putLocked(key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	if s.live[key].Version != ifVersion {
		return objectstore.Object{}, conflict(key, s.live[key].Version, ifVersion)
	}
	s.revision++
	o := objectstore.Object{Key: key, Value: slices.Clone(value), Version: s.revision}
	s.live[key] = o
	delete(s.deleted, key)
	s.notifyLocked()
	return copyOf(o), nil
}

func (s *Store) deleteLocked(key string, ifVersion int64) error {
	o, found := s.live[key]
	if !found {
		return errors.Wrap(objectstore.ErrNotFound, key)
	}
	if o.Version != ifVersion {
		return conflict(key, o.Version, ifVersion)
	}
	s.revision++
	delete(s.live, key)
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

func copyOf(o objectstore.Object) objectstore.Object {
	o.Value = slices.Clone(o.Value)
	return o
}

// Watch implements objectstore.Store. The channel also closes when the store goes down or EndWatches is called.
func (s *Store) Watch(ctx context.Context, prefix string, fromVersion int64) (<-chan objectstore.Event, error) {
	if err := s.enter(ctx, &s.counts.Watch); err != nil {
		return nil, err
	}
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	events := make(chan objectstore.Event)
	go s.follow(ctx, cut, events, prefix, fromVersion)
	return events, nil
}

func (s *Store) follow(ctx context.Context, cut <-chan struct{}, events chan<- objectstore.Event, prefix string, from int64) {
	defer close(events)
	for {
		batch, changed, lag := s.changesAfter(prefix, from)
		if lag > 0 && len(batch) > 0 && !wait(ctx, cut, lag) {
			return
		}
		for _, e := range batch {
			select {
			case <-ctx.Done():
				return
			case <-cut:
				return
			case events <- e:
				from = e.Object.Version
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-cut:
			return
		case <-changed:
		}
	}
}

// changesAfter returns the newest change of each matching object after from, ordered by version, and
// a channel that closes with the next change.
func (s *Store) changesAfter(prefix string, from int64) ([]objectstore.Event, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []objectstore.Event
	for key, o := range s.live {
		if strings.HasPrefix(key, prefix) && o.Version > from {
			batch = append(batch, objectstore.Event{Object: copyOf(o)})
		}
	}
	for key, version := range s.deleted {
		if strings.HasPrefix(key, prefix) && version > from && from > 0 {
			gone := objectstore.Object{Key: key, Version: version}
			batch = append(batch, objectstore.Event{Deleted: true, Object: gone})
		}
	}
	slices.SortFunc(batch, func(a, b objectstore.Event) int { return int(a.Object.Version - b.Object.Version) })
	return batch, s.changed, s.faults.watchLag
}

// wait returns false when ctx ends or cut closes within d.
func wait(ctx context.Context, cut <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-cut:
		return false
	case <-timer.C:
		return true
	}
}
