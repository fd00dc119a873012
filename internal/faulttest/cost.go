package faulttest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Cost is what configuration changes and restarts cost a fleet of which few nodes reach the store.
type Cost struct {
	Nodes, WithStore int
	// Joined is the time until all nodes have the first bundle, InForce the longest time of a change.
	Joined, InForce time.Duration
	// ChangeCalls and RestartCalls are store calls of all nodes for each change and each restart of a node,
	// without the operator's own and without those that a fleet at rest makes.
	ChangeCalls, RestartCalls float64
	// RestCallsPerSecond are store calls of the whole fleet at rest.
	RestCallsPerSecond float64
}

// String returns one row of key=value pairs; times are in milliseconds.
func (c Cost) String() string {
	return fmt.Sprintf("measure=store nodes=%d with_store=%d joined_ms=%d in_force_ms=%d change_calls=%.2f restart_calls=%.2f rest_calls_per_s=%.2f",
		c.Nodes, c.WithStore, c.Joined.Milliseconds(), c.InForce.Milliseconds(), c.ChangeCalls, c.RestartCalls, c.RestCallsPerSecond)
}

const (
	costDomains  = 5
	costChanges  = 3
	costRestarts = 3
	costLimit    = 60 * time.Second
	// restTime is the time over which the calls of a fleet at rest are counted: two intervals at which readers poll.
	restTime = 8 * time.Second
)

// ErrSlow says that a bundle was not in force everywhere within a minute.
var ErrSlow = errors.New("faulttest: bundle is not in force everywhere")

// MeasureAll measures fleets of several sizes at the same time.
func MeasureAll(ctx context.Context, sizes []int) ([]Cost, error) {
	costs := make([]Cost, len(sizes))
	failures := make([]error, len(sizes))
	var wg sync.WaitGroup
	for i, size := range sizes {
		wg.Go(func() { costs[i], failures[i] = Measure(ctx, size) })
	}
	wg.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return costs, nil
}

// Slope returns the growth of the store calls per change and per restart with each node between two fleets.
func SlopeRow(small, large Cost) string {
	more := float64(large.Nodes - small.Nodes)
	return fmt.Sprintf("measure=store_slope nodes=%d from_nodes=%d change_calls_per_node=%.3f restart_calls_per_node=%.3f rest_calls_per_s_per_node=%.4f",
		large.Nodes, small.Nodes, (large.ChangeCalls-small.ChangeCalls)/more, (large.RestartCalls-small.RestartCalls)/more,
		(large.RestCallsPerSecond-small.RestCallsPerSecond)/more)
}

// Measure starts nodes without backend servers, of which two in each failure domain reach the store.
func Measure(ctx context.Context, nodes int) (Cost, error) {
	c := Cost{Nodes: nodes, WithStore: min(nodes, 2*costDomains)}
	started := time.Now()
	f, err := Start(ctx, Options{Size: nodes, Domains: costDomains, WithStore: c.WithStore, NoBackends: true, NoRelays: true})
	defer func() { f.Close() }()
	if err != nil {
		return c, err
	}
	if err := f.await(1); err != nil {
		return c, err
	}
	c.Joined = time.Since(started)
	time.Sleep(restTime) // the gossip of the start ends
	rest := f.calls(func() { time.Sleep(restTime) })
	c.RestCallsPerSecond = rest
	if err := f.changes(ctx, &c); err != nil {
		return c, err
	}
	return c, f.restarts(ctx, &c)
}

// calls returns the store calls per second while run runs.
func (f *Fleet) calls(run func()) float64 {
	f.Store.ResetCounts()
	run()
	counts, took := f.Store.Counts()
	return float64(counts.Reads()+counts.Writes()) / took.Seconds()
}

// extra returns the store calls while run runs and for a while after, beyond those of a fleet at rest.
func (f *Fleet) extra(rest float64, run func() error) (float64, error) {
	f.Store.ResetCounts()
	if err := run(); err != nil {
		return 0, err
	}
	time.Sleep(restTime)
	counts, took := f.Store.Counts()
	return float64(counts.Reads()+counts.Writes()) - rest*took.Seconds(), nil
}

func (f *Fleet) await(version uint64) error {
	for deadline := time.Now().Add(costLimit); !f.InForce(version); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.Wrapf(ErrSlow, "version %d, %d nodes, limit %v", version, len(f.Members), costLimit)
		}
	}
	return nil
}

func (f *Fleet) changes(ctx context.Context, c *Cost) error {
	operator := 0.0
	total, err := f.extra(c.RestCallsPerSecond, func() error {
		for version := uint64(2); version < 2+costChanges; version++ {
			before, _ := f.Store.Counts()
			if err := f.Rollout(ctx, version, ""); err != nil {
				return err
			}
			after, _ := f.Store.Counts()
			operator += float64(after.Reads() + after.Writes() - before.Reads() - before.Writes())
			started := time.Now()
			if err := f.await(version); err != nil {
				return err
			}
			c.InForce = max(c.InForce, time.Since(started))
		}
		return nil
	})
	c.ChangeCalls = (total - operator) / costChanges
	return err
}

// restarts replaces nodes with and without access to the store.
func (f *Fleet) restarts(ctx context.Context, c *Cost) error {
	total, err := f.extra(c.RestCallsPerSecond, func() error {
		for i := range costRestarts {
			m := f.Members[i*(len(f.Members)-1)/(costRestarts-1)]
			m.Kill()
			if err := m.Start(ctx); err != nil {
				return err
			}
		}
		return f.await(1 + costChanges)
	})
	c.RestartCalls = total / costRestarts
	return err
}
