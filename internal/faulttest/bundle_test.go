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

// Guards against a node that keeps an old bundle because it has no direct access to the store, or because the store
// goes down right after the rollout.
func TestBundleWithoutStoreAccess(t *testing.T) {
	h := start(t, Options{Size: 6, Domains: 2, WithStore: 2, NoBackends: true})
	h.waitFor(readyBound, "bundle 1 in force", func() bool { return h.InForce(1) })
	for version := uint64(2); version < 6; version++ {
		h.rollout(version)
		t.Logf("version %d in force after %v", version, h.waitFor(bundleBound, "bundle in force", func() bool { return h.InForce(version) }))
	}
	h.rollout(6)
	h.waitFor(bundleBound, "bundle read by one node", func() bool { return h.Members[0].Version() == 6 || h.Members[1].Version() == 6 })
	h.Store.SetDown(true)
	h.waitFor(bundleBound, "bundle in force during the outage", func() bool { return h.InForce(6) })
}

// Guards against a node that applies an older bundle because the store lost a write.
func TestBundleNotRevertedByStore(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2, NoBackends: true})
	old, err := h.Store.Get(t.Context(), rollout.CurrentKey)
	if err != nil {
		t.Fatal(err)
	}
	h.rollout(2)
	h.waitFor(bundleBound, "bundle 2 in force", func() bool { return h.InForce(2) })
	current, err := h.Store.Get(t.Context(), rollout.CurrentKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Store.Put(t.Context(), rollout.CurrentKey, old.Value, current.Version); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	if !h.InForce(2) {
		t.Error("a node applied the older bundle from the store")
	}
	h.Members[1].Kill()
	h.Members[2].Kill()
	time.Sleep(200 * time.Millisecond)
	h.Members[0].SetStoreDown(true)
	restart(h, h.Members[1])
	h.waitFor(bundleBound, "bundle 2 in force after a restart with an older bundle in the store", func() bool { return h.InForce(2) })
	restart(h, h.Members[2])
}

// Guards against nodes that do not get a bundle that was rolled out while they were partitioned from the others, and
// against nodes that go back to the older bundle of the others when the partition heals.
func TestBundleAfterPartition(t *testing.T) {
	h := start(t, Options{Size: 6, Domains: 2, WithStore: 0, NoBackends: true})
	h.waitFor(readyBound, "bundle 1 in force", func() bool { return h.InForce(1) })
	east, west := h.IDs("east"), h.IDs("west")
	h.Network.Partition(east, west)
	for _, m := range h.Members {
		if m.Region == "west" {
			m.SetStoreDown(true)
		}
	}
	h.rollout(2)
	h.waitFor(bundleBound, "bundle 2 in force in east", func() bool {
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
			t.Fatalf("%s got version %d during the partition", m.ID, m.Version())
		}
	}
	h.Network.Heal(east, west)
	took := h.waitFor(bundleBound, "bundle 2 in force after the partition", func() bool { return h.InForce(2) })
	t.Logf("in force %v after the partition healed, with the store still unavailable in west", took)
}

// Guards against two bundles of the same version that are both in force, and against concurrent rollouts of two
// operators that both succeed.
func TestConcurrentRollouts(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2, NoBackends: true})
	for round := range 10 {
		version := uint64(round + 2)
		h.raceRollouts()
		h.waitFor(bundleBound, "bundle of the successful rollout in force", func() bool { return h.InForce(version) })
		for _, m := range h.Members {
			if _, refused := m.Node().BundleVersion(); refused != "" {
				t.Errorf("%s received two different bundles of version %d: %s", m.ID, version, refused)
			}
		}
	}
}

// Guards against a rollout that the operator cannot repeat after the response of the store was lost, and against one
// that took effect but is reported as refused.
func TestRolloutWithLostResponse(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 2, NoBackends: true})
	for version := uint64(2); version < 5; version++ {
		h.Store.DropResponses(3)
		ctx, cancel := context.WithTimeout(t.Context(), bundleBound)
		err := h.Rollout(ctx, version, "")
		cancel()
		var conflict *rollout.ConflictError
		if errors.As(err, &conflict) {
			t.Errorf("the only operator got a conflict: %v", err)
		}
		h.waitFor(bundleBound, "bundle in force", func() bool { return h.InForce(version) })
	}
}

// Guards against a bundle that needs more than 5 s to be in force on 100 nodes, both when few of them have direct
// access to the store and when all have it.
func TestHundredNodes(t *testing.T) {
	for _, withStore := range []int{2 * costDomains, 100} {
		t.Run(fmt.Sprint(withStore, " with store"), func(t *testing.T) {
			o := Options{Size: 100, Domains: costDomains, WithStore: withStore, NoBackends: true, NoRelays: true}
			h := start(t, o)
			joined := h.waitFor(readyBound, "bundle 1 in force", func() bool { return h.InForce(1) })
			for version := uint64(2); version < 5; version++ {
				h.rollout(version)
				took := h.waitFor(bundleBound, "bundle in force", func() bool { return h.InForce(version) })
				t.Logf("nodes=100 with_store=%d joined_ms=%d version=%d in_force_ms=%d", withStore,
					joined.Milliseconds(), version, took.Milliseconds())
			}
		})
	}
}

// Guards against store calls per bundle rollout or node restart that grow with the number of nodes.
func TestStoreCallsDoNotGrow(t *testing.T) {
	costs, err := MeasureAll(t.Context(), []int{10, 30})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range costs {
		t.Log(c)
	}
	if grown := costs[1].CallsPerRestart - costs[0].CallsPerRestart; grown > 5 {
		t.Errorf("a restart causes %.1f more store calls with 30 nodes than with 10", grown)
	}
	if grown := costs[1].CallsPerChange - costs[0].CallsPerChange; grown > 10 {
		t.Errorf("a rollout causes %.1f more store calls with 30 nodes than with 10", grown)
	}
}

// seedCountVariable is the environment variable with the number of seeds that TestRandomFaults runs.
const seedCountVariable = "FAULTTEST_SEEDS"

func seedCount(t *testing.T) int {
	t.Helper()
	n, err := strconv.Atoi(os.Getenv(seedCountVariable))
	if err != nil {
		return 1
	}
	return n
}
