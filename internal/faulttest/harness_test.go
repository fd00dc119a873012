package faulttest

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// harness runs a fleet for a test. It checks bundle versions and probe budgets continuously, and the results of requests
// at the end of the test.
type harness struct {
	*Fleet
	t       *testing.T
	callers *Callers
	stop    chan struct{}
	wg      sync.WaitGroup
	nextID  atomic.Int64
	budget  *budgetMonitor
}

// Time limits of the guarantees: for a bundle to be in force on all nodes, for new requests to a draining backend server
// to end, and for a fleet to be ready or to recover.
const (
	bundleBound = 5 * time.Second
	drainBound  = 2 * time.Second
	readyBound  = 20 * time.Second
)

func start(t *testing.T, o Options) *harness {
	t.Helper()
	if path := os.Getenv("FAULTTEST_LOG"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = file.Close() })
		o.Log = slog.New(slog.NewTextHandler(file, nil))
	}
	f, err := Start(t.Context(), o)
	h := &harness{Fleet: f, t: t, callers: NewCallers(), stop: make(chan struct{}), budget: newBudgetMonitor(f)}
	t.Cleanup(h.finish)
	if err != nil {
		t.Fatal(err)
	}
	h.wg.Go(h.monitorVersions)
	h.wg.Go(func() { h.budget.run(h.stop) })
	if !o.NoBackends {
		h.waitFor(readyBound, "fleet ready", h.Ready)
	}
	return h
}

// finish stops the monitors, closes the fleet and then compares the results of requests with what ran.
func (h *harness) finish() {
	close(h.stop)
	h.wg.Wait()
	for _, violation := range h.budget.violations() {
		h.t.Error(violation)
	}
	h.Close()
	h.callers.Close()
	results := h.callers.Results()
	for _, violation := range Violations(results, h.Runs) {
		h.t.Error(violation)
	}
	h.t.Logf("requests by outcome: %v", CountByOutcome(results))
}

// waitFor polls until ok returns true and returns how long that took. It fails the test after limit.
func (h *harness) waitFor(limit time.Duration, what string, ok func() bool) time.Duration {
	h.t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > limit {
			h.t.Fatalf("%s: timed out after %v%s", what, limit, h.describeNodes())
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

func (h *harness) rollout(version uint64) {
	h.t.Helper()
	if err := h.Rollout(h.t.Context(), version, ""); err != nil {
		h.t.Fatal(err)
	}
}

// monitorVersions checks that the bundle version of a node never decreases, also over restarts of the node.
func (h *harness) monitorVersions() {
	highest := make([]uint64, len(h.Members))
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		for i, m := range h.Members {
			version := m.Version()
			if version != 0 && version < highest[i] {
				h.t.Errorf("%s went from version %d to %d", m.ID, highest[i], version)
			}
			highest[i] = max(highest[i], version)
		}
	}
}

// randomOperation returns a read, an order with or without an idempotency key, or a long request.
func (h *harness) randomOperation(rng *rand.Rand) Operation {
	o := Operation{ID: fmt.Sprint("op-", h.nextID.Add(1)), Method: "GET", Path: "/item", ReplyBytes: rng.IntN(4 << 10)}
	switch rng.IntN(10) {
	case 0, 1, 2:
		o.Method, o.Path = "POST", "/order"
	case 3, 4:
		o.Method, o.Path, o.Keyed = "POST", "/order", true
	case 5:
		o.Path, o.ReplyBytes, o.Work, o.Trailers = "/archive", 200<<10, 40*time.Millisecond, true
	case 6:
		o.ReplyBytes = 100 << 10
	}
	return o
}

// load sends requests through random members of the list until stop is called. Like a real caller, it repeats an order
// with an idempotency key that was not answered, through a randomly chosen member.
func (h *harness) load(seed uint64, workers int, members []*Member) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for worker := range workers {
		rng := rand.New(rand.NewPCG(seed, uint64(worker)))
		wg.Go(func() {
			for ctx.Err() == nil {
				h.sendWithRepeats(h.randomOperation(rng), rng, members)
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Microsecond)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

const maxKeyedAttempts = 3

func (h *harness) sendWithRepeats(o Operation, rng *rand.Rand, members []*Member) {
	for range maxKeyedAttempts {
		r := h.callers.Send(context.Background(), members[rng.IntN(len(members))], o)
		if r.Outcome == Answered || !o.Keyed {
			return
		}
	}
}
