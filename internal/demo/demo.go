package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	// Workload is nordlys or prairie.
	Workload string
	// Duration is the total length of the light load phase and the load phase.
	Duration time.Duration
	Seed     uint64
	// Faults enables fault injection during the load phase.
	Faults bool
	// Rate is the number of requests per second outside of the peak; 0 means DefaultRate.
	Rate float64
	// Progress receives progress lines, one per second during the load phase; nil discards them.
	Progress io.Writer
	// Logger is the logger of the nodes; nil discards their log.
	Logger *slog.Logger
}

// DefaultRate is the default of Options.Rate in requests per second.
const DefaultRate = 300

// lightLoadFraction is the maximum fraction of the duration that the light load phase takes.
const lightLoadFraction = 0.3

// Run starts the fleet, runs the light load phase and the load phase, and returns the results that callers observed.
func Run(ctx context.Context, o Options) (*Summary, error) {
	w, err := FindWorkload(o.Workload)
	if err != nil {
		return nil, err
	}
	o.setDefaults()
	fmt.Fprintf(o.Progress, "starting %d nodes and backend servers\n", len(w.Services)*len(w.FailureDomains))
	f, err := startFleet(ctx, w, o.Seed, o.Logger)
	defer f.stop()
	if err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	c := newCallers(f.ingresses)
	defer c.close()
	t := newTally(w.Kinds)
	summary := &Summary{Workload: w.Name, Seed: o.Seed, Nodes: len(f.vms), Faults: []string{}}
	started := time.Now()
	fmt.Fprintln(o.Progress, "measuring latency under light load")
	summary.addLightLoad(measureLightLoad(ctx, w, f.backendsOf(w.Services[0]), c, t, fractionOf(o.Duration, lightLoadFraction), o.Seed))
	g := newGenerator(w, o.Seed, c, t)
	injected, err := f.runLoadPhase(ctx, g, o, o.Duration-time.Since(started))
	if err != nil {
		return nil, err
	}
	summary.Faults = append(summary.Faults, injected...)
	summary.Seconds = time.Since(started).Seconds()
	summary.Unsent = g.unsent
	summary.addTally(t)
	summary.addRuns(t, f.runs)
	return summary, nil
}

func (o *Options) setDefaults() {
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// runLoadPhase generates the load and, concurrently, injects faults and reports progress.
func (f *fleet) runLoadPhase(ctx context.Context, g *generator, o Options, d time.Duration) (injected []string, err error) {
	var background sync.WaitGroup
	progressCtx, stopProgress := context.WithCancel(ctx)
	defer stopProgress()
	background.Go(func() { reportProgress(progressCtx, g.tally, o.Progress) })
	if o.Faults {
		background.Go(func() { injected, err = runFaults(ctx, f.faultSchedule(d), d, o.Progress) })
	}
	g.run(ctx, d, o.Rate)
	stopProgress()
	background.Wait()
	return injected, err
}

func reportProgress(ctx context.Context, t *tally, w io.Writer) {
	for pause(ctx, time.Second) {
		fmt.Fprintf(w, "sent=%d answered_ok=%d refused_not_run=%d may_have_run=%d wrong_body=%d cut_off=%d\n",
			t.sent(), t.count(OK), t.count(RefusedNotRun), t.count(MayHaveRun), t.count(WrongBody), t.count(Truncated))
	}
}
