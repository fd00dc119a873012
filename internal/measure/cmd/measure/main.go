// Command measure simulates each scenario with each workload and policy, and prints one row of results for each run.
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
	Scenario      []string        `help:"Scenarios to run; all by default."`
	Workload      []string        `help:"Workloads to run; all by default."`
	Policy        []string        `help:"Policies to run; all by default."`
	Duration      time.Duration   `default:"30s" help:"Virtual time of each run."`
	Seed          uint64          `default:"1" help:"Seed of the random number generators."`
	Scope         string          `default:"all" enum:"region,all" help:"Endpoints that the baseline policies use: all, or only those in the caller node's region."`
	PlacementWait []time.Duration `default:"0s" help:"Values of the bundle's placement_wait; policy dandelionspoke runs once with each."`
	Parallel      int             `default:"3" help:"Maximum number of concurrent runs."`
	Format        string          `default:"row" enum:"row,markdown" help:"row: lines of key=value pairs; markdown: a table."`
	Plots         string          `help:"Directory for plots of latency over time; no plots by default."`
}

// parallel returns the number of concurrent runs, at least 1 and at most the number of processors.
func (o *options) parallel() int { return min(max(o.Parallel, 1), runtime.NumCPU()) }

type job struct {
	scenario measure.Scenario
	workload measure.Workload
	policy   string
	wait     time.Duration
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func (o *options) jobs() []job {
	var jobs []job
	for _, s := range measure.Scenarios() {
		for _, w := range s.Workloads() {
			for _, p := range balance.PolicyNames() {
				if !selected(o.Scenario, s.Name) || !selected(o.Workload, w.Name) || !selected(o.Policy, p) {
					continue
				}
				if p != balance.Dandelionspoke {
					jobs = append(jobs, job{s, w, p, 0})
					continue
				}
				for _, wait := range o.PlacementWait {
					jobs = append(jobs, job{s, w, p, wait})
				}
			}
		}
	}
	return jobs
}

// run executes the jobs and returns their results in the same order.
func (o *options) run(jobs []job) []*measure.Result {
	results := make([]*measure.Result, len(jobs))
	semaphore := make(chan struct{}, o.parallel())
	var wg sync.WaitGroup
	for i, j := range jobs {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			started := time.Now()
			results[i] = measure.Run(j.scenario, j.workload, measure.Config{
				Policy: j.policy, Duration: o.Duration, Seed: o.Seed, LocalRegionOnly: o.Scope == "region",
				PlacementWait: j.wait,
			})
			slog.Info("run finished", "scenario", j.scenario.Name, "workload", j.workload.Name, "policy", j.policy,
				"requests", results[i].Requests, "took", time.Since(started).Round(time.Millisecond))
		})
	}
	wg.Wait()
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
	ctx := kong.Parse(&o, kong.Description("Compare endpoint choice policies in virtual time."))
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	jobs := o.jobs()
	if len(jobs) == 0 {
		ctx.Fatalf("no scenario, workload and policy match the given names")
	}
	results := o.run(jobs)
	o.print(results)
	if o.Plots != "" {
		ctx.FatalIfErrorf(measure.Plot(o.Plots, results))
	}
}
