package claim

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

const (
	claimsPrefix = "claims/"
	// layoutKey is the object that holds the number of shards of a service as decimal text.
	layoutKey = "claim-layout"
)

// errLayout reports that the store's claims are spread over another number of shards.
var errLayout = errors.New("claim: the store has another number of shards")

// layout makes sure that all claimers of a store use one number of shards. The first claimer creates the
// object layoutKey; the others take no claim unless it agrees with them.
type layout struct {
	store  objectstore.Store
	agreed atomic.Bool
	turn   chan struct{} // holds an element while a shard checks, so that others wait for the result
}

func newLayout(store objectstore.Store) *layout {
	return &layout{store: store, turn: make(chan struct{}, 1)}
}

func (l *layout) check(ctx context.Context, shards int) error {
	if l.agreed.Load() {
		return nil
	}
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), objectstore.ErrUnavailable)
	}
	if l.agreed.Load() {
		return nil
	}
	err := l.compare(ctx, shards)
	if errors.Is(err, objectstore.ErrNotFound) {
		err = l.create(ctx, shards)
	}
	if err == nil {
		l.agreed.Store(true)
	}
	return err
}

func (l *layout) compare(ctx context.Context, shards int) error {
	o, err := l.store.Get(ctx, layoutKey)
	if err != nil {
		return err
	}
	if string(o.Value) != strconv.Itoa(shards) {
		return errors.Wrapf(errLayout, "%s, this node %d", o.Value, shards)
	}
	return nil
}

// create refuses a store that has claims of a version without the object.
func (l *layout) create(ctx context.Context, shards int) error {
	old, err := l.store.List(ctx, claimsPrefix)
	if err != nil {
		return err
	}
	if len(old) > 0 {
		if err := l.compare(ctx, shards); !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		return errors.Wrapf(errLayout, "%d objects under %s without %s", len(old), claimsPrefix, layoutKey)
	}
	_, err = l.store.Put(ctx, layoutKey, []byte(strconv.Itoa(shards)), objectstore.MustNotExist)
	if err == nil {
		return nil
	}
	if other := l.compare(ctx, shards); !errors.Is(other, objectstore.ErrNotFound) {
		return other // another claimer, or this write, created it
	}
	return err
}
