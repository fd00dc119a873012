package faulttest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/rollout"
)

// Guards against a node that keeps an old bundle when it has no direct access to the store, or when the store
// is down right after the rollout.
func TestBundleWithoutStoreAccess(t *testing.T) {
	h := start(t, Options{Size: 6, Domains: 2, WithStore: 2, NoBackends: true})
	h.within(readyBound, "bundle 1 in force", func() bool { return h.InForce(1) })
	for version := uint64(2); version < 6; version++ {
		h.rollout(version)
		t.Logf("version %d in force after %v", version, h.within(bundleBound, "bundle in force", func() bool { return h.InForce(version) }))
	}
	h.rollout(6)
	h.within(bundleBound, "bundle read by one node", func() bool { return h.Members[0].Version() == 6 || h.Members[1].Version() == 6 })
	h.Store.SetDown(true)
	h.within(bundleBound, "bundle in force during the outage", func() bool { return h.InForce(6) })
}

// Guards against an older bundle from the store: a version must not fall when the store loses a write.
func TestBundleNotRevertedByStore(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2, NoBackends: true})
	old, err := h.Store.Get(t.Context(), rollout.CurrentKey)
	if err != nil {
		t.Fatal(err)
	}
	h.rollout(2)
	h.within(bundleBound, "bundle 2 in force", func() bool { return h.InForce(2) })
	now, err := h.Store.Get(t.Context(), rollout.CurrentKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Store.Put(t.Context(), rollout.CurrentKey, old.Value, now.Version); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	if !h.InForce(2) {
		t.Error("a node took the older bundle from the store")
	}
	h.Members[1].Kill()
	h.Members[2].Kill()
	time.Sleep(200 * time.Millisecond)
	h.Members[0].SetStoreDown(true)
	restart(h, h.Members[1])
	h.within(bundleBound, "bundle 2 in force after a restart beside an older bundle in the store", func() bool { return h.InForce(2) })
	restart(h, h.Members[2])
}

// Guards against a bundle that does not cross to nodes that were cut off during the rollout, and against old
// nodes that revert new ones when they meet again.
func TestBundleAfterCut(t *testing.T) {
	h := start(t, Options{Size: 6, Domains: 2, WithStore: 0, NoBackends: true})
	h.within(readyBound, "bundle 1 in force", func() bool { return h.InForce(1) })
	east, west := h.IDs("east"), h.IDs("west")
	h.Network.Cut(east, west)
	for _, m := range h.Members {
		if m.Region == "west" {
			m.SetStoreDown(true)
		}
	}
	h.rollout(2)
	h.within(bundleBound, "bundle 2 in force in east", func() bool {
		for _, m := range h.Members {
			if m.Region == "east" && m.Version() != 2 {
				return false
			}
		}
		return true
	})
	h.Members[0].Kill()
	restart(h, h.Members[0])
	time.Sleep(time.Second)
	for _, m := range h.Members {
		if m.Region == "west" && m.Version() != 1 {
			t.Fatalf("%s has version %d through a cut", m.ID, m.Version())
		}
	}
	h.Network.Heal(east, west)
	took := h.within(bundleBound, "bundle 2 in force after the cut", func() bool { return h.InForce(2) })
	t.Logf("in force %v after the cut ended, with the store still out of reach in west", took)
}

// Guards against two contents in force under one version, and against a race that both operators win.
func TestRacingOperators(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2, NoBackends: true})
	for round := range 10 {
		version := uint64(round + 2)
		h.race()
		h.within(bundleBound, "bundle of the winner in force", func() bool { return h.InForce(version) })
		for _, m := range h.Members {
			if _, refused := m.Node().BundleVersion(); refused != "" {
				t.Errorf("%s saw two contents of version %d: %s", m.ID, version, refused)
			}
		}
	}
}

// Guards against a rollout with a lost answer that the operator can't repeat, and against one that took
// effect and is reported as refused.
func TestRolloutWithLostAnswer(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2, NoBackends: true})
	for version := uint64(2); version < 5; version++ {
		h.Store.DropResponses(3)
		ctx, cancel := context.WithTimeout(t.Context(), bundleBound)
		err := h.Rollout(ctx, version, "")
		cancel()
		var conflict *rollout.ConflictError
		if errors.As(err, &conflict) {
			t.Errorf("an operator without a rival was told of a conflict: %v", err)
		}
		h.within(bundleBound, "bundle in force", func() bool { return h.InForce(version) })
	}
}

// Guards against a bundle that takes more than 5 s to be in force on 100 nodes, whether or not most of them
// reach the store.
func TestHundredNodes(t *testing.T) {
	for _, withStore := range []int{2 * costDomains, 100} {
		t.Run(fmt.Sprint(withStore, " with store"), func(t *testing.T) {
			o := Options{Size: 100, Domains: costDomains, WithStore: withStore, NoBackends: true, NoRelays: true}
			h := start(t, o)
			joined := h.within(readyBound, "bundle 1 in force", func() bool { return h.InForce(1) })
			for version := uint64(2); version < 5; version++ {
				h.rollout(version)
				took := h.within(bundleBound, "bundle in force", func() bool { return h.InForce(version) })
				t.Logf("nodes=100 with_store=%d joined_ms=%d version=%d in_force_ms=%d", withStore,
					joined.Milliseconds(), version, took.Milliseconds())
			}
		})
	}
}

// Guards against store calls for a change or a restart that grow with the fleet.
func TestStoreCallsDoNotGrow(t *testing.T) {
	costs, err := MeasureAll(t.Context(), []int{10, 30})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range costs {
		t.Log(c)
	}
	if grown := costs[1].RestartCalls - costs[0].RestartCalls; grown > 5 {
		t.Errorf("a restart costs %.1f calls more at 30 nodes than at 10", grown)
	}
	if grown := costs[1].ChangeCalls - costs[0].ChangeCalls; grown > 10 {
		t.Errorf("a change costs %.1f calls more at 30 nodes than at 10", grown)
	}
}

// longSeeds names the environment variable that holds the number of seeds of a long random run.
const longSeeds = "FAULTTEST_SEEDS"

func seedCount(t *testing.T) int {
	t.Helper()
	n, err := strconv.Atoi(os.Getenv(longSeeds))
	if err != nil {
		return 1
	}
	return n
}
