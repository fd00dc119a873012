package faulttest

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

// storeAccess is the connection of one node to the store. It can be taken down while other nodes still reach the
// store.
type storeAccess struct {
	objectstore.Store
	mu         sync.Mutex
	down       bool
	downSignal chan struct{} // closed when the access goes down
	// generation is that of the store at generationAt.
	generation   uint64
	generationAt time.Time
}

func newStoreAccess(s objectstore.Store) *storeAccess {
	return &storeAccess{Store: s, downSignal: make(chan struct{})}
}

// setDown takes the access down, which ends its watches, or restores it.
func (a *storeAccess) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down == a.down {
		return
	}
	a.down = down
	if down {
		close(a.downSignal)
		return
	}
	a.downSignal = make(chan struct{})
}

// check returns the channel that closes when the access goes down, or an error while it is down.
func (a *storeAccess) check() (<-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, errors.Wrap(objectstore.ErrUnavailable, "no route to the store")
	}
	return a.downSignal, nil
}

// Generation implements objectstore.GenerationStater: it is known from the responses before the access went down.
func (a *storeAccess) Generation() (generation uint64, known bool, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.down {
		a.generation, _, a.generationAt = a.Store.(objectstore.GenerationStater).Generation()
	}
	return a.generation, true, a.generationAt
}

// Get implements objectstore.Store.
func (a *storeAccess) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if _, err := a.check(); err != nil {
		return objectstore.Object{}, err
	}
	return a.Store.Get(ctx, key)
}

// List implements objectstore.Store.
func (a *storeAccess) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if _, err := a.check(); err != nil {
		return nil, err
	}
	return a.Store.List(ctx, prefix)
}

// ListAt implements objectstore.PositionLister.
func (a *storeAccess) ListAt(ctx context.Context, prefix string) ([]objectstore.Object, objectstore.Position, error) {
	if _, err := a.check(); err != nil {
		return nil, objectstore.Position{}, err
	}
	return a.Store.(objectstore.PositionLister).ListAt(ctx, prefix)
}

// Put implements objectstore.Store.
func (a *storeAccess) Put(ctx context.Context, key string, value []byte, ifVersion int64) (objectstore.Object, error) {
	if _, err := a.check(); err != nil {
		return objectstore.Object{}, err
	}
	return a.Store.Put(ctx, key, value, ifVersion)
}

// Delete implements objectstore.Store.
func (a *storeAccess) Delete(ctx context.Context, key string, ifVersion int64) error {
	if _, err := a.check(); err != nil {
		return err
	}
	return a.Store.Delete(ctx, key, ifVersion)
}

// Watch implements objectstore.Store.
func (a *storeAccess) Watch(ctx context.Context, prefix string, fromVersion int64) (<-chan objectstore.Event, error) {
	downSignal, err := a.check()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	events, err := a.Store.Watch(ctx, prefix, fromVersion)
	if err != nil {
		cancel()
		return nil, err
	}
	forwarded := make(chan objectstore.Event)
	go func() {
		defer cancel()
		defer close(forwarded)
		forwardEvents(ctx, downSignal, events, forwarded)
	}()
	return forwarded, nil
}

// forwardEvents forwards the events of a watch until downSignal closes. An event that becomes ready after that is
// dropped, even if select finds it and the closed downSignal ready at the same time.
func forwardEvents(ctx context.Context, downSignal <-chan struct{}, events <-chan objectstore.Event, forwarded chan<- objectstore.Event) {
	for {
		select {
		case <-downSignal:
			return
		case e, open := <-events:
			if !open || isClosed(downSignal) {
				return
			}
			select {
			case <-ctx.Done():
				return
			case forwarded <- e:
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
