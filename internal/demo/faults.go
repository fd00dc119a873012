package demo

import (
	"context"
	"fmt"
	"io"
	"time"
)

// fault is one injected fault.
type fault struct {
	// startFraction is the start time as a fraction of the load phase, from 0 to 1.
	startFraction float64
	name          string
	inject        func(context.Context) error
}

// faultTimeout bounds the injection of one fault, including graceful shutdowns.
const faultTimeout = 20 * time.Second

// Durations of the store outage and of the freeze as fractions of the load phase.
const (
	storeOutageFraction = 0.15
	freezeFraction      = 0.05
)

// faultSchedule returns the faults for a load phase of length d in the order of their start.
func (f *fleet) faultSchedule(d time.Duration) []fault {
	firstRestarted, drained, frozen, secondRestarted := f.vms[0], f.vms[5], f.vms[10], f.vms[13]
	return []fault{
		{0.10, "restart of VM " + firstRestarted.settings.NodeID, firstRestarted.restart},
		{0.25, "drain of backend server " + drained.settings.NodeID, drained.drainBackend},
		{0.45, "freeze of backend server " + frozen.settings.NodeID, frozen.freezeFor(fractionOf(d, freezeFraction))},
		{0.60, "store outage", f.storeOutage(fractionOf(d, storeOutageFraction))},
		{0.80, "restart of VM " + secondRestarted.settings.NodeID, secondRestarted.restart},
	}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// runFaults injects the faults of a schedule sequentially, each at its start time, and returns the names of the injected
// faults.
func runFaults(ctx context.Context, schedule []fault, d time.Duration, progress io.Writer) ([]string, error) {
	started := time.Now()
	var injected []string
	for _, f := range schedule {
		if !pause(ctx, time.Until(started.Add(fractionOf(d, f.startFraction)))) {
			return injected, nil
		}
		fmt.Fprintf(progress, "fault: %s\n", f.name)
		// The cancellation of ctx does not interrupt a fault, since it would turn a graceful shutdown into an abrupt one.
		faultCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), faultTimeout)
		err := f.inject(faultCtx)
		cancel()
		if err != nil {
			return injected, fmt.Errorf("%s: %w", f.name, err)
		}
		injected = append(injected, f.name)
	}
	return injected, nil
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
func (v *vm) restart(ctx context.Context) error {
	if err := v.drainNode(ctx); err != nil {
		return err
	}
	v.backend.Close()
	if err := v.startNode(ctx); err != nil {
		return err
	}
	return v.backend.Restart()
}

// drainBackend drains the backend server and starts it again.
func (v *vm) drainBackend(ctx context.Context) error {
	if err := v.backend.Drain(ctx); err != nil {
		return err
	}
	return v.backend.Restart()
}

func (v *vm) freezeFor(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		v.backend.Freeze()
		defer v.backend.Thaw()
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
