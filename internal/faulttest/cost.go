package faulttest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Cost is the number of store calls that bundle rollouts and node restarts cause, and how long rollouts take, in a
// fleet of which a few nodes have direct access to the store.
type Cost struct {
	Nodes, WithStore int
	// Joined is the time until the first bundle is in force on all nodes, InForce the longest time that a later
	// bundle needed for that.
	Joined, InForce time.Duration
	// CallsPerChange and CallsPerRestart are the store calls of all nodes per bundle rollout and per node restart.
	// They exclude the calls of the operator and those that an idle fleet makes in the same time.
	CallsPerChange, CallsPerRestart float64
	// IdleCallsPerSecond is the rate of store calls of the whole fleet while nothing changes.
	IdleCallsPerSecond float64
}

// String returns one row of key=value pairs; times are in milliseconds.
func (c Cost) String() string {
	return fmt.Sprintf("measure=store nodes=%d with_store=%d joined_ms=%d in_force_ms=%d change_calls=%.2f restart_calls=%.2f rest_calls_per_s=%.2f",
		c.Nodes, c.WithStore, c.Joined.Milliseconds(), c.InForce.Milliseconds(), c.CallsPerChange, c.CallsPerRestart, c.IdleCallsPerSecond)
}

const (
	costDomains  = 5
	costChanges  = 3
	costRestarts = 3
	costTimeout  = 60 * time.Second
	// idlePeriod is the time over which the store calls of an idle fleet are counted: two polling intervals of the
	// store readers.
	idlePeriod = 8 * time.Second
)

// ErrNotInForce reports that a bundle was not in force on all nodes within costTimeout.
var ErrNotInForce = errors.New("faulttest: bundle is not in force on all nodes")

// MeasureAll runs Measure for several fleet sizes concurrently.
func MeasureAll(ctx context.Context, sizes []int) ([]Cost, error) {
	costs := make([]Cost, len(sizes))
	errs := make([]error, len(sizes))
	var wg sync.WaitGroup
	for i, size := range sizes {
		wg.Go(func() { costs[i], errs[i] = Measure(ctx, size) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return costs, nil
}

// SlopeRow returns a row of key=value pairs with the increase of each kind of store calls per additional node between
// two fleets.
func SlopeRow(small, large Cost) string {
	addedNodes := float64(large.Nodes - small.Nodes)
	return fmt.Sprintf("measure=store_slope nodes=%d from_nodes=%d change_calls_per_node=%.3f restart_calls_per_node=%.3f rest_calls_per_s_per_node=%.4f",
		large.Nodes, small.Nodes, (large.CallsPerChange-small.CallsPerChange)/addedNodes, (large.CallsPerRestart-small.CallsPerRestart)/addedNodes,
		(large.IdleCallsPerSecond-small.IdleCallsPerSecond)/addedNodes)
}

// Measure starts a fleet without backend servers, in which two nodes of each failure domain have direct access to the
// store, and measures its store calls.
func Measure(ctx context.Context, nodes int) (Cost, error) {
	c := Cost{Nodes: nodes, WithStore: min(nodes, 2*costDomains)}
	started := time.Now()
	f, err := Start(ctx, Options{Size: nodes, Domains: costDomains, WithStore: c.WithStore, NoBackends: true, NoRelays: true})
	defer func() { f.Close() }()
	if err != nil {
		return c, err
	}
	if err := f.waitInForce(1); err != nil {
		return c, err
	}
	c.Joined = time.Since(started)
	time.Sleep(idlePeriod) // until the gossip that follows the start has ended
	idleRate := f.storeCallRate(func() { time.Sleep(idlePeriod) })
	c.IdleCallsPerSecond = idleRate
	if err := f.measureChanges(ctx, &c); err != nil {
		return c, err
	}
	return c, f.measureRestarts(ctx, &c)
}

// storeCallRate returns the number of store calls per second during run.
func (f *Fleet) storeCallRate(run func()) float64 {
	f.Store.ResetCounts()
	run()
	counts, took := f.Store.Counts()
	return float64(counts.Reads()+counts.Writes()) / took.Seconds()
}

// callsAboveIdle returns the number of store calls during run and the idlePeriod after it, less those that an idle
// fleet makes in the same time.
func (f *Fleet) callsAboveIdle(idleRate float64, run func() error) (float64, error) {
	f.Store.ResetCounts()
	if err := run(); err != nil {
		return 0, err
	}
	time.Sleep(idlePeriod)
	counts, took := f.Store.Counts()
	return float64(counts.Reads()+counts.Writes()) - idleRate*took.Seconds(), nil
}

func (f *Fleet) waitInForce(version uint64) error {
	for deadline := time.Now().Add(costTimeout); !f.InForce(version); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.Wrapf(ErrNotInForce, "version %d, %d nodes, limit %v", version, len(f.Members), costTimeout)
		}
	}
	return nil
}

func (f *Fleet) measureChanges(ctx context.Context, c *Cost) error {
	operatorCalls := 0.0
	total, err := f.callsAboveIdle(c.IdleCallsPerSecond, func() error {
		for version := uint64(2); version < 2+costChanges; version++ {
			before, _ := f.Store.Counts()
			if err := f.Rollout(ctx, version, ""); err != nil {
				return err
			}
			after, _ := f.Store.Counts()
			operatorCalls += float64(after.Reads() + after.Writes() - before.Reads() - before.Writes())
			started := time.Now()
			if err := f.waitInForce(version); err != nil {
				return err
			}
			c.InForce = max(c.InForce, time.Since(started))
		}
		return nil
	})
	c.CallsPerChange = (total - operatorCalls) / costChanges
	return err
}

// measureRestarts kills and restarts nodes with and without direct access to the store.
func (f *Fleet) measureRestarts(ctx context.Context, c *Cost) error {
	total, err := f.callsAboveIdle(c.IdleCallsPerSecond, func() error {
		for i := range costRestarts {
			m := f.Members[i*(len(f.Members)-1)/(costRestarts-1)]
			m.Kill()
			if err := m.Start(ctx); err != nil {
				return err
			}
		}
		return f.waitInForce(1 + costChanges)
	})
	c.CallsPerRestart = total / costRestarts
	return err
}
