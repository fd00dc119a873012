package evacuation

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
)

// generationStore adds a generation to the fake store; its watches may be made silent.
type generationStore struct {
	*objectstoretest.Store
	mu          sync.Mutex
	generation  uint64
	silentWatch bool
	putFails    bool
	listed      func() // called with mu held after each list
}

func (s *generationStore) ListAt(ctx context.Context, prefix string) ([]objectstore.Object, objectstore.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, position, err := s.Store.ListAt(ctx, prefix)
	position.Generation = s.generation
	if s.listed != nil {
		s.listed()
	}
	return objects, position, err
}

func (s *generationStore) Watch(ctx context.Context, prefix string, from int64) (<-chan objectstore.Event, error) {
	if s.silentWatch {
		return make(chan objectstore.Event), nil
	}
	return s.Store.Watch(ctx, prefix, from)
}

func (s *generationStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	s.mu.Lock()
	fails := s.putFails
	s.mu.Unlock()
	if fails {
		return objectstore.Object{}, errors.Wrap(objectstore.ErrUnavailable, "put")
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// restore plays the return of the store from a copy without evacuations.
func (s *generationStore) restore(t *testing.T) {
	t.Helper()
	objects, err := s.List(t.Context(), Prefix)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range objects {
		if err := s.Delete(t.Context(), o.Key, o.Version); err != nil {
			t.Fatal(err)
		}
	}
	s.generation++
}

// holder is the part of a node that holds the set.
type holder struct {
	mu  sync.Mutex
	set Set
}

func (h *holder) known() Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set
}

func (h *holder) adopt(l Listing) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if lost := Lost(h.set, l); len(lost) > 0 {
		return lost
	}
	h.set = Merge(h.set, Observe(h.set, l))
	return nil
}

// Guards against a listing of a restored store that is taken before a message of another node names an evacuation, and ends it
// because it is adopted afterwards.
func TestReaderLearnsOfALostEvacuationAfterItsList(t *testing.T) {
	h := &holder{}
	store := &generationStore{Store: objectstoretest.New(), generation: 1}
	store.listed = func() { h.adopt(Listing{Generation: 0, Revision: 9, Domains: []string{"oslo-a"}}) }
	r := &Reader{Store: store, Known: h.known, Adopt: h.adopt, Log: slog.New(slog.DiscardHandler)}
	if err := r.refresh(t.Context()); err != nil {
		t.Error(err)
	}
	if got := h.known(); got.Generation != 1 || !got.Contains("oslo-a") {
		t.Errorf("after the list: %+v", got)
	}
}

// playReader runs play beside a reader that lists every 2 s. The channels of the store must belong to the bubble.
func playReader(t *testing.T, store *generationStore, play func(domains func() []string)) {
	synctest.Test(t, func(t *testing.T) {
		store.Store = objectstoretest.New()
		ctx, cancel := context.WithCancel(t.Context())
		h := &holder{}
		r := &Reader{Store: store, Interval: 2 * time.Second, Known: h.known, Adopt: h.adopt, Log: slog.New(slog.DiscardHandler)}
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		play(func() []string { synctest.Wait(); return h.known().Domains })
		cancel()
		<-done
		synctest.Wait()
	})
}

func request(t *testing.T, s objectstore.Store, domains ...string) {
	t.Helper()
	for _, domain := range domains {
		if err := Request(t.Context(), s, domain); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a change that the reader misses because its watch is silent, against an object with an invalid name that
// hides the others, and against an evacuation that does not end.
func TestReaderFollowsTheStore(t *testing.T) {
	for name, silent := range map[string]bool{"watch": false, "silent watch": true} {
		t.Run(name, func(t *testing.T) {
			store := &generationStore{silentWatch: silent}
			playReader(t, store, func(domains func() []string) {
				time.Sleep(time.Millisecond)
				if _, err := store.Put(t.Context(), Prefix+"not a domain", nil, objectstore.MustNotExist); err != nil {
					t.Error(err)
				}
				request(t, store, "oslo-a")
				wait := 100 * time.Millisecond
				if silent {
					wait = 2100 * time.Millisecond
				}
				time.Sleep(wait)
				if got := domains(); !slices.Equal(got, []string{"oslo-a"}) {
					t.Errorf("%v after the request: %v", wait, got)
				}
				if err := End(t.Context(), store, "oslo-a"); err != nil {
					t.Error(err)
				}
				time.Sleep(wait)
				if got := domains(); len(got) != 0 {
					t.Errorf("%v after the end: %v", wait, got)
				}
			})
		})
	}
}

// Guards against an evacuation that ends because the store is restored from a copy without it, also while the store refuses
// writes, and against one that lasts although an operator ends it afterwards.
func TestReaderWritesLostEvacuationsAgain(t *testing.T) {
	store := &generationStore{generation: 1, silentWatch: true}
	playReader(t, store, func(domains func() []string) {
		request(t, store, "oslo-a")
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		store.putFails = true
		store.mu.Unlock()
		store.restore(t)
		for range 10 {
			time.Sleep(time.Second)
			if got := domains(); !slices.Equal(got, []string{"oslo-a"}) {
				t.Fatalf("after the restore, writes refused: %v", got)
			}
		}
		store.mu.Lock()
		store.putFails = false
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		if _, err := store.Get(t.Context(), Prefix+"oslo-a"); err != nil || len(domains()) != 1 {
			t.Fatalf("not written again: %v, known %v", err, domains())
		}
		if err := End(t.Context(), store, "oslo-a"); err != nil {
			t.Error(err)
		}
		time.Sleep(5 * time.Second)
		if _, err := store.Get(t.Context(), Prefix+"oslo-a"); !errors.Is(err, objectstore.ErrNotFound) || len(domains()) != 0 {
			t.Errorf("not ended: %v, known %v", err, domains())
		}
	})
}
