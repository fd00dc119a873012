package faulttest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/rollout"
)

// Guards against second runs of keyed orders, a bundle in force that goes back, and a store without the lost bundle, when
// the store of a running fleet is restored from a copy that is some seconds old.
func TestStoreRestoredFromACopy(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2})
	orders := func(round string) int {
		var answered atomic.Int64
		var wg sync.WaitGroup
		for i := range 30 {
			o := Operation{ID: fmt.Sprint(round, "-", i), Method: "POST", Path: "/order", Keyed: true}
			wg.Go(func() {
				if r := h.callers.Send(context.Background(), h.Members[i%4], o); r.Outcome == Answered {
					answered.Add(1)
				}
			})
		}
		wg.Wait()
		return int(answered.Load())
	}
	if answered := orders("before"); answered != 30 {
		t.Errorf("%d of 30 orders were answered", answered)
	}
	copied := h.Store.Copy()
	h.rollout(2)
	h.waitFor(bundleBound, "bundle 2 in force", func() bool { return h.InForce(2) })
	if answered := orders("lost"); answered != 30 {
		t.Errorf("%d of 30 orders were answered", answered)
	}
	h.Store.Restore(copied)
	// Callers send the orders again, through other nodes; finish compares the results with what ran.
	orders("lost")
	h.waitFor(bundleBound, "the lost bundle is in the store again", func() bool {
		current, err := rollout.NewOperator(h.Store, h.trusted).Current(t.Context())
		return err == nil && current.Version == 2
	})
	// The owners have not been the same for long, so that they hold new keys for some seconds.
	h.waitFor(2*bundleBound, "new orders are answered", func() bool { return orders(fmt.Sprint("new-", time.Now())) == 30 })
	orders("lost")
	for _, id := range []string{"lost-0", "lost-29", "before-3"} {
		if runs := h.Runs.Get(id).Started; runs != 1 {
			t.Errorf("order %s ran %d times", id, runs)
		}
	}
	h.rollout(3)
	h.waitFor(bundleBound, "bundle 3 in force", func() bool { return h.InForce(3) })
}
