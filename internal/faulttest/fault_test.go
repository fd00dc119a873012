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

// fault is a fault that begins and ends.
type fault struct {
	name  string
	begin func(h *harness, m *Member)
	end   func(h *harness, m *Member)
}

func nothing(*harness, *Member) {}

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

// neighbours are the members in the victim's region but itself.
func (h *harness) neighbours(m *Member) []string { return without(h.IDs(m.Region), []string{m.ID}) }

const drainTimeout = 20 * time.Second

var faults = []fault{
	{"node killed", func(_ *harness, m *Member) { m.Kill() }, restart},
	{"node lost without a sign",
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
	{"links cut",
		func(h *harness, m *Member) { h.Network.Cut([]string{m.ID}, h.neighbours(m)) },
		func(h *harness, m *Member) { h.Network.Heal([]string{m.ID}, h.neighbours(m)) }},
	{"regions cut",
		func(h *harness, _ *Member) { h.Network.Cut(h.IDs("east"), h.IDs("west")) },
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
	{"backend server drained without warning",
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
	{"answers of writes lost", func(h *harness, _ *Member) { h.Store.DropResponses(20) }, nothing},
	{"writes lost", func(h *harness, _ *Member) { h.Store.DropWrites(20) }, nothing},
	{"writes late", func(h *harness, _ *Member) { h.Store.DelayWrites(20, 300*time.Millisecond) }, nothing},
	{"access to the store cut",
		func(_ *harness, m *Member) { m.SetStoreDown(true) },
		func(_ *harness, m *Member) { m.SetStoreDown(false) }},
	{"operators race", func(h *harness, _ *Member) { h.race() }, nothing},
}

// race lets two operators roll out different bundles of one version. At most one of them may be told that it won.
func (h *harness) race() {
	current, err := rollout.NewOperator(h.Store, h.trusted).Current(context.Background())
	if err != nil {
		return // the store is down, so that no operator can roll out
	}
	var wg sync.WaitGroup
	won := make([]bool, 2)
	for i := range won {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			err := h.Rollout(ctx, current.Version+1, fmt.Sprintf("%ds", 3+i))
			won[i] = err == nil
			var conflict *rollout.ConflictError
			if errors.As(err, &conflict) && conflict.Current.Version == 0 {
				h.t.Errorf("the conflict names no winner: %v", err)
			}
		})
	}
	wg.Wait()
	if won[0] && won[1] {
		h.t.Error("both operators were told that their bundle of one version is in force")
	}
}

// Phases of a run with faults.
const (
	quietPhase = 200 * time.Millisecond
	faultPhase = 1200 * time.Millisecond
	workers    = 8
)

// suffer runs load while the faults act on the victims, and then requires that the fleet has recovered.
func (h *harness) suffer(seed uint64, acting []fault, victims []*Member) {
	h.t.Helper()
	stop := h.load(seed, workers, h.Members)
	time.Sleep(quietPhase)
	for i, f := range acting {
		f.begin(h, victims[i])
	}
	time.Sleep(faultPhase)
	for i, f := range acting {
		f.end(h, victims[i])
	}
	time.Sleep(quietPhase)
	stop()
	h.recovered()
}

// recovered rolls out the next version and requires that it is in force and that each node serves.
func (h *harness) recovered() {
	h.t.Helper()
	h.Store.DropResponses(0)
	h.Store.DropWrites(0)
	h.Store.DelayWrites(0, 0)
	current, err := rollout.NewOperator(h.Store, h.trusted).Current(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	h.rollout(current.Version + 1)
	h.within(bundleBound, "bundle in force after the fault", func() bool { return h.InForce(current.Version + 1) })
	h.within(readyBound, "endpoints known after the fault", h.Ready)
	for _, m := range h.Members {
		h.within(readyBound, "request answered after the fault", func() bool {
			o := Operation{ID: fmt.Sprint("after-", h.nextID.Add(1)), Method: "GET", Path: "/item", ReplyBytes: 100}
			return h.callers.Send(h.t.Context(), m, o).Outcome == Answered
		})
	}
}

// Guards against wrong answers, false verdicts, second runs, versions that fall, bundles that do not spread
// and probes above the budget, under each fault alone.
func TestEachFault(t *testing.T) {
	for i, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			h := start(t, Options{Size: 4, Domains: 2, Seed: uint64(i)})
			h.suffer(uint64(i), []fault{f}, h.Members[1:2])
		})
	}
}

// Guards against the same under two faults at once, on different nodes, and the same fault twice.
func TestTwoFaults(t *testing.T) {
	pairs := [][2]string{
		{"node killed", "store down"},
		{"node killed", "regions cut"},
		{"node killed", "node killed"},
		{"node lost without a sign", "operators race"},
		{"node lost without a sign", "backend server frozen"},
		{"node drained", "backend server crashed"},
		{"node drained", "store slow"},
		{"regions cut", "store down"},
		{"regions cut", "operators race"},
		{"gate frozen", "node killed"},
		{"gate frozen", "answers of writes lost"},
		{"backend server crashed", "writes late"},
		{"backend server fails fast", "backend server slow"},
		{"store slow", "operators race"},
		{"answers of writes lost", "operators race"},
		{"links cut", "access to the store cut"},
	}
	for i, pair := range pairs {
		t.Run(pair[0]+" and "+pair[1], func(t *testing.T) {
			h := start(t, Options{Size: 4, Domains: 2, Seed: uint64(i)})
			h.suffer(uint64(i), []fault{named(t, pair[0]), named(t, pair[1])}, []*Member{h.Members[1], h.Members[2]})
		})
	}
}

func named(t *testing.T, name string) fault {
	t.Helper()
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	t.Fatalf("no fault %q", name)
	return fault{}
}

// drawn returns two faults and two different victims.
func (h *harness) drawn(rng *rand.Rand) ([]fault, []*Member) {
	victims := rng.Perm(len(h.Members))
	return []fault{faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]},
		[]*Member{h.Members[victims[0]], h.Members[victims[1]]}
}
