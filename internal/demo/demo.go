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

// Options configure a run.
type Options struct {
	// Workload is nordlys or prairie.
	Workload string
	// Duration is the length of the light load and the load phase together.
	Duration time.Duration
	Seed     uint64
	// Faults injects faults while the load runs.
	Faults bool
	// Rate is the load in requests per second outside of the peak.
	Rate float64
	// Progress receives one line per second; nil discards them.
	Progress io.Writer
	// Logger receives the log of the nodes; nil discards it.
	Logger *slog.Logger
}

// DefaultRate is the default of Options.Rate in requests per second.
const DefaultRate = 300

// lightPart is the part of the duration that the light load takes at most.
const lightPart = 0.3

// Run starts the fleet, measures the light load, sends the load, and returns what callers saw.
func Run(ctx context.Context, o Options) (*Summary, error) {
	w, err := Find(o.Workload)
	if err != nil {
		return nil, err
	}
	o.setDefaults()
	fmt.Fprintf(o.Progress, "starting %d nodes and backend servers\n", len(w.Services)*len(w.Domains))
	f, err := startFleet(ctx, w, o.Seed, o.Logger)
	defer f.stop()
	if err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	c := newCallers(f.ingresses)
	defer c.close()
	t := newTally(w.Kinds)
	summary := &Summary{Workload: w.Name, Seed: o.Seed, Nodes: len(f.members), Faults: []string{}}
	started := time.Now()
	fmt.Fprintln(o.Progress, "measuring at light load")
	summary.addLight(measureLight(ctx, w, f.backendsOf(w.Services[0]), c, t, part(o.Duration, lightPart), o.Seed))
	g := newGenerator(w, o.Seed, c, t)
	injected, err := f.load(ctx, g, o, o.Duration-time.Since(started))
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

// load runs the load phase and, beside it, the faults and the progress lines.
func (f *fleet) load(ctx context.Context, g *generator, o Options, d time.Duration) (injected []string, err error) {
	var beside sync.WaitGroup
	done, stop := context.WithCancel(ctx)
	defer stop()
	beside.Go(func() { reportProgress(done, g.tally, o.Progress) })
	if o.Faults {
		beside.Go(func() { injected, err = runFaults(ctx, f.faults(d), d, o.Progress) })
	}
	g.run(ctx, d, o.Rate)
	stop()
	beside.Wait()
	return injected, err
}

func reportProgress(ctx context.Context, t *tally, w io.Writer) {
	for pause(ctx, time.Second) {
		fmt.Fprintf(w, "sent=%d answered_ok=%d refused_not_run=%d may_have_run=%d wrong_body=%d cut_off=%d\n",
			t.sent(), t.count(OK), t.count(RefusedNotRun), t.count(MayHaveRun), t.count(WrongBody), t.count(CutOff))
	}
}
