package faulttest

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

// access is one node's way to the store; it can be cut while other nodes still reach the store.
type access struct {
	objectstore.Store
	mu     sync.Mutex
	down   bool
	closed chan struct{} // closed while the access is cut
}

func newAccess(s objectstore.Store) *access { return &access{Store: s, closed: make(chan struct{})} }

// setDown cuts the access, with its watches, or restores it.
func (a *access) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down == a.down {
		return
	}
	a.down = down
	if down {
		close(a.closed)
		return
	}
	a.closed = make(chan struct{})
}

func (a *access) state() (<-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, errors.Wrap(objectstore.ErrUnavailable, "no route to the store")
	}
	return a.closed, nil
}

// Get implements objectstore.Store.
func (a *access) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if _, err := a.state(); err != nil {
		return objectstore.Object{}, err
	}
	return a.Store.Get(ctx, key)
}

// List implements objectstore.Store.
func (a *access) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if _, err := a.state(); err != nil {
		return nil, err
	}
	return a.Store.List(ctx, prefix)
}

// Put implements objectstore.Store.
func (a *access) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	if _, err := a.state(); err != nil {
		return objectstore.Object{}, err
	}
	return a.Store.Put(ctx, key, value, ifVersion)
}

// Delete implements objectstore.Store.
func (a *access) Delete(ctx context.Context, key string, ifVersion int64) error {
	if _, err := a.state(); err != nil {
		return err
	}
	return a.Store.Delete(ctx, key, ifVersion)
}

// Watch implements objectstore.Store.
func (a *access) Watch(ctx context.Context, prefix string, fromVersion int64) (<-chan objectstore.Event, error) {
	closed, err := a.state()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	events, err := a.Store.Watch(ctx, prefix, fromVersion)
	if err != nil {
		cancel()
		return nil, err
	}
	passed := make(chan objectstore.Event)
	go func() {
		defer cancel()
		defer close(passed)
		passUntil(ctx, closed, events, passed)
	}()
	return passed, nil
}

// passUntil carries the events of a watch until closed closes. A change that the store makes after that does not
// pass, even when it is ready together with the end of the access.
func passUntil(ctx context.Context, closed <-chan struct{}, events <-chan objectstore.Event, passed chan<- objectstore.Event) {
	for {
		select {
		case <-closed:
			return
		case e, open := <-events:
			if !open || isClosed(closed) {
				return
			}
			select {
			case <-ctx.Done():
				return
			case passed <- e:
			}
		}
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
