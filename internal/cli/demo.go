package cli

import (
	"encoding/json"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/demo"
	"dandelionspoke/internal/settings"
)

type demoCommand struct {
	Workload string  `default:"nordlys" enum:"nordlys,prairie" help:"Services and callers to run: ${enum}."`
	Seconds  float64 `default:"12" help:"Length of the run in seconds, from 1 to 3600."`
	Seed     uint64  `default:"1" help:"Seed of the load."`
	Rate     float64 `default:"300" help:"Requests per second outside of the peak, from 1 to 5000."`
	Faults   bool    `help:"Restart VMs, drain and freeze backend servers and stop the store while the load runs."`
	JSON     bool    `name:"json" help:"Print the result as one JSON object."`
	Quiet    bool    `help:"Print no progress."`
	Verbose  bool    `help:"Print the log of the nodes on stderr."`
}

// Validate implements kong's check of flag values.
func (c *demoCommand) Validate() error {
	if !(c.Seconds >= 1 && c.Seconds <= 3600) {
		return errors.Newf("--seconds is %v (allowed: 1 to 3600)", c.Seconds)
	}
	if !(c.Rate >= 1 && c.Rate <= 5000) {
		return errors.Newf("--rate is %v (allowed: 1 to 5000)", c.Rate)
	}
	return nil
}

// Run prints the result on stdout and progress on stderr. It fails when a promise to callers was broken.
func (c *demoCommand) Run(o output) error {
	setGCPercent(settings.DefaultGCPercent)
	signals := catchSignals()
	defer signals.release()
	ctx := signals.untilFirst()
	progress, log := o.err, io.Discard
	if c.Quiet {
		progress = io.Discard
	}
	if c.Verbose {
		log = o.err
	}
	summary, err := demo.Run(ctx, demo.Options{
		Workload: c.Workload,
		Duration: time.Duration(c.Seconds * float64(time.Second)),
		Seed:     c.Seed,
		Rate:     c.Rate,
		Faults:   c.Faults,
		Progress: progress,
		Logger:   slog.New(slog.NewTextHandler(log, nil)),
	})
	if err != nil {
		return err
	}
	if err := printSummary(o, summary, c.JSON); err != nil {
		return err
	}
	if summary.Failed() {
		return errors.New("wrong_body, duplicate_runs, cut_off, not_run_but_ran or ok_without_run is not 0")
	}
	return nil
}

func printSummary(o output, s *demo.Summary, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(o.out).Encode(s)
	}
	s.Print(o.out)
	return nil
}
