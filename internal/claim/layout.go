package claim

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

const (
	claimsPrefix = "claims/"
	// LayoutKey is the key of the object that holds, as decimal text, the number of shards of each service.
	LayoutKey = "claim-layout"
)

// errLayoutMismatch reports that the claims in the store use a different number of shards.
var errLayoutMismatch = errors.New("claim: the store has another number of shards")

// layout ensures that all claimers of a store use the same number of shards. The first claimer creates
// the object LayoutKey. A claimer whose number differs from that object accepts no claims.
type layout struct {
	store    objectstore.Store
	verified atomic.Bool
	// verifiedIn is the generation of the store in which the number was verified.
	verifiedIn atomic.Uint64
	checking   chan struct{} // binary semaphore: one shard checks while the others wait for the result
}

func newLayout(store objectstore.Store) *layout {
	return &layout{store: store, checking: make(chan struct{}, 1)}
}

// check returns errLayoutMismatch if the store has another number of shards. If it has none, check stores
// shards as the number. After the first success it does not access the store again, unless the store is restored.
func (l *layout) check(ctx context.Context, shards int, generation *storeGeneration) error {
	current, _ := generation.observe(time.Now())
	isVerified := func() bool { return l.verified.Load() && l.verifiedIn.Load() == current }
	if isVerified() {
		return nil
	}
	select {
	case l.checking <- struct{}{}:
		defer func() { <-l.checking }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), objectstore.ErrUnavailable)
	}
	if isVerified() {
		return nil
	}
	err := l.compare(ctx, shards)
	if errors.Is(err, objectstore.ErrNotFound) {
		err = l.create(ctx, shards)
	}
	if err == nil {
		l.verifiedIn.Store(current)
		l.verified.Store(true)
	}
	return err
}

func (l *layout) compare(ctx context.Context, shards int) error {
	o, err := l.store.Get(ctx, LayoutKey)
	if err != nil {
		return err
	}
	if string(o.Value) != strconv.Itoa(shards) {
		return errors.Wrapf(errLayoutMismatch, "%s, this node %d", o.Value, shards)
	}
	return nil
}

// create stores the number of shards. It returns errLayoutMismatch if the store already has claims, made by a
// version that did not write LayoutKey.
func (l *layout) create(ctx context.Context, shards int) error {
	objects, err := l.store.List(ctx, claimsPrefix)
	if err != nil {
		return err
	}
	if len(objects) > 0 {
		if err := l.compare(ctx, shards); !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		return errors.Wrapf(errLayoutMismatch, "%d objects under %s without %s", len(objects), claimsPrefix, LayoutKey)
	}
	_, err = l.store.Put(ctx, LayoutKey, []byte(strconv.Itoa(shards)), objectstore.MustNotExist)
	if err == nil {
		return nil
	}
	if compareErr := l.compare(ctx, shards); !errors.Is(compareErr, objectstore.ErrNotFound) {
		return compareErr // the object exists: created by another claimer, or by this write despite the error
	}
	return err
}
