package demo

import (
	"context"
	"fmt"
	"io"
	"time"
)

// fault is one injected fault.
type fault struct {
	// at is the moment as a part of the load phase, 0 to 1.
	at     float64
	name   string
	inject func(context.Context) error
}

// faultTimeout bounds one fault, including graceful shutdowns.
const faultTimeout = 20 * time.Second

// outagePart is the length of the store outage as a part of the load phase, freezePart that of the freeze.
const (
	outagePart = 0.15
	freezePart = 0.05
)

// faults returns the schedule for a load phase of length d.
func (f *fleet) faults(d time.Duration) []fault {
	restart, drain, freeze, second := f.members[0], f.members[5], f.members[10], f.members[13]
	return []fault{
		{0.10, "restart of VM " + restart.settings.NodeID, restart.restart},
		{0.25, "drain of backend server " + drain.settings.NodeID, drain.drainBackend},
		{0.45, "freeze of backend server " + freeze.settings.NodeID, freeze.freezeFor(part(d, freezePart))},
		{0.60, "store outage", f.storeOutage(part(d, outagePart))},
		{0.80, "restart of VM " + second.settings.NodeID, second.restart},
	}
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// runFaults injects each fault at its time, one after the other, and returns the names of those injected.
func runFaults(ctx context.Context, schedule []fault, d time.Duration, progress io.Writer) ([]string, error) {
	started := time.Now()
	var done []string
	for _, f := range schedule {
		if !pause(ctx, time.Until(started.Add(part(d, f.at)))) {
			return done, nil
		}
		fmt.Fprintf(progress, "fault: %s\n", f.name)
		// The end of the load does not interrupt a fault, since a graceful shutdown would become an abrupt one.
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), faultTimeout)
		err := f.inject(bounded)
		cancel()
		if err != nil {
			return done, fmt.Errorf("%s: %w", f.name, err)
		}
		done = append(done, f.name)
	}
	return done, nil
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(max(d, 0)):
		return true
	case <-ctx.Done():
		return false
	}
}

// restart stops the node gracefully, then the backend server, and starts both again.
func (m *member) restart(ctx context.Context) error {
	if err := m.drainNode(ctx); err != nil {
		return err
	}
	m.backend.Close()
	if err := m.startNode(ctx); err != nil {
		return err
	}
	return m.backend.Restart()
}

// drainBackend lets the backend server leave gracefully and starts it again.
func (m *member) drainBackend(ctx context.Context) error {
	if err := m.backend.Drain(ctx); err != nil {
		return err
	}
	return m.backend.Restart()
}

func (m *member) freezeFor(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		m.backend.Freeze()
		defer m.backend.Thaw()
		pause(ctx, d)
		return nil
	}
}

func (f *fleet) storeOutage(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		f.store.objects.SetDown(true)
		defer f.store.objects.SetDown(false)
		pause(ctx, d)
		return nil
	}
}
