package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth      = 6 * vg.Inch
	plotHeight     = 3.5 * vg.Inch
	plotPercentile = 99
	// legendHeadroom is the space for the legend above the highest value, as a fraction of that value.
	legendHeadroom = 0.6
)

// plottedScenarios names the scenarios whose latency over time is plotted.
var plottedScenarios = []string{"swing", "archive_pulls"}

// Plot writes one PNG per plotted scenario and workload into dir. It shows the 99th percentile of the
// latency of short requests in each seriesStep, with one line per policy.
func Plot(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "measure: create plot directory")
	}
	groups := map[string][]*Result{}
	var names []string
	for _, r := range results {
		if !slices.Contains(plottedScenarios, r.Scenario) {
			continue
		}
		name := r.Scenario + "-" + r.Workload
		if groups[name] == nil {
			names = append(names, name)
		}
		groups[name] = append(groups[name], r)
	}
	for _, name := range names {
		if err := plotGroup(filepath.Join(dir, name+".png"), groups[name]); err != nil {
			return errors.Wrapf(err, "measure: plot %s", name)
		}
	}
	return nil
}

func plotGroup(path string, results []*Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d", results[0].Scenario, results[0].Workload, results[0].Seed)
	p.X.Label.Text = "virtual time (s)"
	p.Y.Label.Text = "p99 of short work (ms)"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, r := range results {
		line, err := plotter.NewLine(r.points())
		if err != nil {
			return errors.Wrap(err, r.Policy)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	p.Y.Min = 0
	p.Y.Max *= 1 + legendHeadroom
	return p.Save(plotWidth, plotHeight, path)
}

// points returns the latency of each step after the warmup in which requests arrived.
func (r *Result) points() plotter.XYs {
	var points plotter.XYs
	for i, h := range r.series {
		x := float64(i) * seriesStep.Seconds()
		if x >= warmup.Seconds() && h.TotalCount() > 0 {
			points = append(points, plotter.XY{X: x, Y: quantileMS(h, plotPercentile)})
		}
	}
	return points
}
