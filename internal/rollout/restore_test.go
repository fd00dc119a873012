package rollout

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstoretest"
)

// Guards against a reader that ignores what a restored store gives out under revisions that it has seen, and against a
// bundle in force that goes back.
func TestReaderFollowsARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ops := newTestOperators(t, 1)
		store := objectstoretest.New()
		var delivered []uint64
		acceptor := bundle.NewAcceptor(ops.trusted)
		r := &Reader{Store: store, Log: slog.New(slog.DiscardHandler), Deliver: func(e *bundle.Envelope) {
			delivered = append(delivered, e.Version)
			before := acceptor.Version()
			if _, err := acceptor.Offer(e); (err == nil) != (e.Version > before) || acceptor.Version() < before {
				t.Errorf("version %d offered over %d: %v", e.Version, before, err)
			}
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { r.Run(ctx) })
		rollOut := func(version uint64) {
			t.Helper()
			if _, err := NewOperator(store, ops.trusted).Rollout(ctx, ops.envelope(t, 0, version), nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(6 * time.Second)
		}
		rollOut(1)
		copied := store.Copy()
		rollOut(2)
		rollOut(3)
		store.Restore(copied)
		time.Sleep(6 * time.Second)
		rollOut(4) // has the revision that version 2 had
		cancel()
		wg.Wait()
		if want := []uint64{1, 2, 3, 1, 4}; !slices.Equal(slices.Compact(delivered), want) || acceptor.Version() != 4 {
			t.Errorf("delivered %v, want %v", delivered, want)
		}
	})
}

// Guards against a store that keeps an older bundle after a restore although a node has the lost one in force, and against a
// node that replaces a newer one.
func TestRestoreRecord(t *testing.T) {
	ops := newTestOperators(t, 1)
	store := objectstoretest.New()
	operator := NewOperator(store, ops.trusted)
	first, second := ops.envelope(t, 0, 1), ops.envelope(t, 0, 2)
	if _, err := operator.Rollout(t.Context(), first, nil); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		inForce *bundle.Envelope
		written bool
		want    uint64
	}{{first, false, 1}, {second, true, 2}, {first, false, 2}} {
		written, err := RestoreRecord(t.Context(), store, step.inForce, time.Now())
		if err != nil || written != step.written {
			t.Errorf("version %d: written %t, error %v", step.inForce.Version, written, err)
		}
		if current, err := operator.Current(t.Context()); err != nil || current.Version != step.want {
			t.Errorf("version %d in the store, error %v, want %d", current.Version, err, step.want)
		}
	}
	if current, _ := operator.Current(t.Context()); current.Previous != 1 || current.Author != second.Author.Name {
		t.Errorf("record %+v", current)
	}
}
