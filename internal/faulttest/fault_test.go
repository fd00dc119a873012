package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/rollout"
)

// fault is a failure that a test injects and ends again.
type fault struct {
	name  string
	begin func(h *harness, m *Member)
	end   func(h *harness, m *Member)
}

func noop(*harness, *Member) {}

func restart(h *harness, m *Member) {
	if err := m.Start(context.Background()); err != nil {
		h.t.Errorf("restart of %s: %v", m.ID, err)
	}
}

func restartBackend(h *harness, m *Member) {
	if err := m.Backend.Restart(); err != nil {
		h.t.Errorf("restart of the backend server of %s: %v", m.ID, err)
	}
}

// otherIDsInRegion returns the node IDs of the other members in the region of m.
func (h *harness) otherIDsInRegion(m *Member) []string {
	return exclude(h.IDs(m.Region), []string{m.ID})
}

const drainTimeout = 20 * time.Second

var faults = []fault{
	{"node killed", func(_ *harness, m *Member) { m.Kill() }, restart},
	{"node killed without closing connections",
		func(h *harness, m *Member) { h.Network.Freeze(m.ID); m.Kill() },
		func(h *harness, m *Member) { h.Network.Thaw(m.ID); restart(h, m) }},
	{"node drained",
		func(h *harness, m *Member) {
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			if err := m.Drain(ctx); err != nil {
				h.t.Errorf("drain of %s: %v", m.ID, err)
			}
		}, restart},
	{"node partitioned from its region",
		func(h *harness, m *Member) { h.Network.Partition([]string{m.ID}, h.otherIDsInRegion(m)) },
		func(h *harness, m *Member) { h.Network.Heal([]string{m.ID}, h.otherIDsInRegion(m)) }},
	{"regions partitioned",
		func(h *harness, _ *Member) { h.Network.Partition(h.IDs("east"), h.IDs("west")) },
		func(h *harness, _ *Member) { h.Network.Heal(h.IDs("east"), h.IDs("west")) }},
	{"gate frozen",
		func(h *harness, m *Member) { h.Network.Freeze(m.ID) },
		func(h *harness, m *Member) { h.Network.Thaw(m.ID) }},
	{"backend server frozen",
		func(_ *harness, m *Member) { m.Backend.Freeze() },
		func(_ *harness, m *Member) { m.Backend.Thaw() }},
	{"backend server crashed", func(_ *harness, m *Member) { m.Backend.Crash() }, restartBackend},
	{"backend server slow",
		func(_ *harness, m *Member) { m.Backend.SetSlowdown(50) },
		func(_ *harness, m *Member) { m.Backend.SetSlowdown(1) }},
	{"backend server fails fast",
		func(_ *harness, m *Member) { m.Backend.SetErrorRate(1) },
		func(_ *harness, m *Member) { m.Backend.SetErrorRate(0) }},
	{"backend server drained without notice",
		func(h *harness, m *Member) {
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			if err := m.Backend.DrainWithoutNotice(ctx); err != nil {
				h.t.Errorf("drain of the backend server of %s: %v", m.ID, err)
			}
		}, restartBackend},
	{"store down",
		func(h *harness, _ *Member) { h.Store.SetDown(true) },
		func(h *harness, _ *Member) { h.Store.SetDown(false) }},
	{"store slow",
		func(h *harness, _ *Member) { h.Store.SetCallDelay(700 * time.Millisecond) },
		func(h *harness, _ *Member) { h.Store.SetCallDelay(0) }},
	{"write responses lost", func(h *harness, _ *Member) { h.Store.DropResponses(20) }, noop},
	{"writes lost", func(h *harness, _ *Member) { h.Store.DropWrites(20) }, noop},
	{"writes delayed", func(h *harness, _ *Member) { h.Store.DelayWrites(20, 300*time.Millisecond) }, noop},
	{"store access down",
		func(_ *harness, m *Member) { m.SetStoreDown(true) },
		func(_ *harness, m *Member) { m.SetStoreDown(false) }},
	{"concurrent rollouts", func(h *harness, _ *Member) { h.raceRollouts() }, noop},
}

// raceRollouts lets two operators concurrently roll out different bundles of the same version. At most one of them may
// succeed.
func (h *harness) raceRollouts() {
	current, err := rollout.NewOperator(h.Store, h.trusted).Current(context.Background())
	if err != nil {
		return // the store is down, so that no operator can roll out
	}
	var wg sync.WaitGroup
	succeeded := make([]bool, 2)
	for i := range succeeded {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			err := h.Rollout(ctx, current.Version+1, fmt.Sprintf("%ds", 3+i))
			succeeded[i] = err == nil
			var conflict *rollout.ConflictError
			if errors.As(err, &conflict) && conflict.Current.Version == 0 {
				h.t.Errorf("the conflict does not name the version in force: %v", err)
			}
		})
	}
	wg.Wait()
	if succeeded[0] && succeeded[1] {
		h.t.Error("two concurrent rollouts of the same version both succeeded")
	}
}

// Durations and concurrency of a run with faults. settleTime is the duration of load without a fault, before
// and after the faults.
const (
	settleTime    = 200 * time.Millisecond
	faultDuration = 1200 * time.Millisecond
	loadWorkers   = 8
)

// runWithFaults sends load while each fault acts on its target, and then requires that the fleet recovers.
func (h *harness) runWithFaults(seed uint64, active []fault, targets []*Member) {
	h.t.Helper()
	stop := h.load(seed, loadWorkers, h.Members)
	time.Sleep(settleTime)
	for i, f := range active {
		f.begin(h, targets[i])
	}
	time.Sleep(faultDuration)
	for i, f := range active {
		f.end(h, targets[i])
	}
	time.Sleep(settleTime)
	stop()
	h.checkRecovery()
}

// checkRecovery ends the write faults of the store, rolls out the next version, and requires that it is in force on all
// nodes and that a request through each node is answered.
func (h *harness) checkRecovery() {
	h.t.Helper()
	h.Store.DropResponses(0)
	h.Store.DropWrites(0)
	h.Store.DelayWrites(0, 0)
	current, err := rollout.NewOperator(h.Store, h.trusted).Current(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	h.rollout(current.Version + 1)
	h.waitFor(bundleBound, "bundle in force after the fault", func() bool { return h.InForce(current.Version + 1) })
	h.waitFor(readyBound, "endpoints known after the fault", h.Ready)
	for _, m := range h.Members {
		h.waitFor(readyBound, "request answered after the fault", func() bool {
			o := Operation{ID: fmt.Sprint("after-", h.nextID.Add(1)), Method: "GET", Path: "/item", ReplyBytes: 100}
			return h.callers.Send(h.t.Context(), m, o).Outcome == Answered
		})
	}
}

// Guards against wrong responses, wrong verdicts, duplicate runs, decreasing bundle versions, bundles that do not reach
// all nodes, and probes above the budget, under each single fault.
func TestEachFault(t *testing.T) {
	for i, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			h := start(t, Options{Size: 4, Domains: 2, Seed: uint64(i)})
			h.runWithFaults(uint64(i), []fault{f}, h.Members[1:2])
		})
	}
}

// Guards against the same failures under two faults at once on different nodes, also two faults of the same kind.
func TestTwoFaults(t *testing.T) {
	pairs := [][2]string{
		{"node killed", "store down"},
		{"node killed", "regions partitioned"},
		{"node killed", "node killed"},
		{"node killed without closing connections", "concurrent rollouts"},
		{"node killed without closing connections", "backend server frozen"},
		{"node drained", "backend server crashed"},
		{"node drained", "store slow"},
		{"regions partitioned", "store down"},
		{"regions partitioned", "concurrent rollouts"},
		{"gate frozen", "node killed"},
		{"gate frozen", "write responses lost"},
		{"backend server crashed", "writes delayed"},
		{"backend server fails fast", "backend server slow"},
		{"store slow", "concurrent rollouts"},
		{"write responses lost", "concurrent rollouts"},
		{"node partitioned from its region", "store access down"},
	}
	for i, pair := range pairs {
		t.Run(pair[0]+" and "+pair[1], func(t *testing.T) {
			h := start(t, Options{Size: 4, Domains: 2, Seed: uint64(i)})
			h.runWithFaults(uint64(i), []fault{faultByName(t, pair[0]), faultByName(t, pair[1])}, []*Member{h.Members[1], h.Members[2]})
		})
	}
}

func faultByName(t *testing.T, name string) fault {
	t.Helper()
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	t.Fatalf("no fault %q", name)
	return fault{}
}

// randomFaults returns two faults, which may be equal, and two different members to inject them into.
func (h *harness) randomFaults(rng *rand.Rand) ([]fault, []*Member) {
	order := rng.Perm(len(h.Members))
	return []fault{faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]},
		[]*Member{h.Members[order[0]], h.Members[order[1]]}
}
