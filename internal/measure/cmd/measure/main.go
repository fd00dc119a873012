// Command measure prints one row of key=value pairs for each scenario, workload and policy.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/measure"
)

type options struct {
	Scenario []string      `help:"Scenarios to run; all when absent."`
	Workload []string      `help:"Workloads to run; all when absent."`
	Policy   []string      `help:"Policies to run; all when absent."`
	Duration time.Duration `default:"30s" help:"Virtual time of each run."`
	Seed     uint64        `default:"1" help:"Seed of all random numbers."`
	Scope    string        `default:"all" enum:"region,all" help:"Endpoints that the baselines use: all, or those of the caller's region."`
	Parallel int           `default:"3" help:"Runs at once."`
	Format   string        `default:"row" enum:"row,markdown" help:"row: lines of key=value pairs; markdown: a table."`
	Plots    string        `help:"Directory for plots of latency over time; none when absent."`
}

// maxParallel keeps a wrong option from starting more runs than there are processors.
func (o *options) parallel() int { return min(max(o.Parallel, 1), runtime.NumCPU()) }

type job struct {
	scenario measure.Scenario
	workload measure.Workload
	policy   string
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func (o *options) jobs() []job {
	var jobs []job
	for _, s := range measure.Scenarios() {
		for _, w := range measure.Workloads() {
			for _, p := range balance.PolicyNames() {
				if selected(o.Scenario, s.Name) && selected(o.Workload, w.Name) && selected(o.Policy, p) {
					jobs = append(jobs, job{s, w, p})
				}
			}
		}
	}
	return jobs
}

// run executes the jobs and returns their results in the same order.
func (o *options) run(jobs []job) []*measure.Result {
	results := make([]*measure.Result, len(jobs))
	limit := make(chan struct{}, o.parallel())
	var group sync.WaitGroup
	for i, j := range jobs {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			began := time.Now()
			results[i] = measure.Run(j.scenario, j.workload, measure.Config{
				Policy: j.policy, Duration: o.Duration, Seed: o.Seed, OwnRegionOnly: o.Scope == "region",
			})
			slog.Info("run finished", "scenario", j.scenario.Name, "workload", j.workload.Name, "policy", j.policy,
				"requests", results[i].Requests, "took", time.Since(began).Round(time.Millisecond))
		})
	}
	group.Wait()
	return results
}

func (o *options) print(results []*measure.Result) {
	if o.Format == "markdown" {
		fmt.Println(measure.TableHeader)
	}
	for _, r := range results {
		if o.Format == "markdown" {
			fmt.Println(r.TableRow())
			continue
		}
		fmt.Println(r.Row())
	}
}

func main() {
	var o options
	parsed := kong.Parse(&o, kong.Description("Compare endpoint choice policies in virtual time."))
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	jobs := o.jobs()
	if len(jobs) == 0 {
		parsed.Fatalf("no scenario, workload and policy of these names")
	}
	results := o.run(jobs)
	o.print(results)
	if o.Plots != "" {
		parsed.FatalIfErrorf(measure.Plot(o.Plots, results))
	}
}
