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
	Seed     uint64  `default:"1" help:"Seed of the random requests."`
	Rate     float64 `default:"300" help:"Requests per second outside of the peak, from 1 to 5000."`
	Faults   bool    `help:"Restart VMs, drain and freeze backend servers and stop the store during the run."`
	JSON     bool    `name:"json" help:"Print the result as one JSON object."`
	Quiet    bool    `help:"Do not print progress."`
	Verbose  bool    `help:"Print the logs of the nodes on stderr."`
}

// Validate checks the ranges of flags. Kong calls it after parsing.
func (c *demoCommand) Validate() error {
	if !(c.Seconds >= 1 && c.Seconds <= 3600) {
		return errors.Newf("--seconds is %v (allowed: 1 to 3600)", c.Seconds)
	}
	if !(c.Rate >= 1 && c.Rate <= 5000) {
		return errors.Newf("--rate is %v (allowed: 1 to 5000)", c.Rate)
	}
	return nil
}

// Run prints the result on stdout and progress on stderr. It returns an error if the run violated a guarantee to
// callers.
func (c *demoCommand) Run(o output) error {
	setGCPercent(settings.DefaultGCPercent)
	signals := catchSignals()
	defer signals.release()
	ctx := signals.drainContext()
	progress, log := o.stderr, io.Discard
	if c.Quiet {
		progress = io.Discard
	}
	if c.Verbose {
		log = o.stderr
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
		return json.NewEncoder(o.stdout).Encode(s)
	}
	s.Print(o.stdout)
	return nil
}
