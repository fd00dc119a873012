// Package capacity measures what the control work of a node costs at growing numbers of nodes. It
// runs the code of the node itself: in memory under virtual time for messages and convergence, on
// loopback sockets for processor time and memory, and on one large table for the costs that grow with
// the number of members. Each result is one row of key=value pairs.
package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"dandelionspoke/internal/faulttest"
)

// Options bound a run. The zero value of a slice skips its measurements.
type Options struct {
	// FleetSizes are the numbers of nodes of the in-memory fleets. Seeds is the number of runs of each
	// with at most largeFleet nodes; larger ones run once.
	FleetSizes []int
	Seeds      int
	// TableSizes are the numbers of members of the tables that one node is measured with.
	TableSizes []int
	// Engines is the number of engines on loopback, Idle the time that they are measured for; 0 skips it.
	Engines int
	Idle    time.Duration
	// ChoiceEndpoints are the numbers of endpoints of a service among which one is chosen.
	ChoiceEndpoints []int
	// Sessions is the number of idle sessions whose memory is measured; 0 skips it.
	Sessions int
	// BundleServices are the numbers of services of the bundles that are measured.
	BundleServices []int
	// Callers are the numbers of concurrent callers of the request path, Load the time of each run.
	Callers []int
	Load    time.Duration
	// StoreSizes are the numbers of whole nodes whose store calls are counted, from small to large.
	StoreSizes []int
}

const largeFleet = 300

// Default returns the options of scripts/capacity, which take about 4 minutes.
func Default() Options {
	return Options{
		FleetSizes:      []int{10, 30, 100, 300, 1000},
		Seeds:           2,
		TableSizes:      []int{1000, 5000, 23000},
		Engines:         100,
		Idle:            20 * time.Second,
		ChoiceEndpoints: []int{4, 32, 128, 1000},
		Sessions:        200,
		BundleServices:  []int{72, 720},
		Callers:         []int{1, 8, 32},
		Load:            3 * time.Second,
		StoreSizes:      []int{10, 30, 100},
	}
}

// Run prints the rows. It returns an error when a fleet does not converge or a write fails. The
// measurements of one process come first, before the fleets have grown its heap.
func Run(w io.Writer, o Options) error {
	for _, measure := range o.measurements() {
		rows, err := measure()
		if err := errorOr(err, printRows(w, rows)); err != nil {
			return err
		}
	}
	return nil
}

// measurements returns the functions that measure, in order.
func (o Options) measurements() []func() ([]row, error) {
	var all []func() ([]row, error)
	if o.Engines > 0 {
		all = append(all, func() ([]row, error) { return engineRows(o.Engines, o.Idle) })
	}
	for _, n := range o.TableSizes {
		all = append(all, func() ([]row, error) { return tableRows(n) })
	}
	for _, n := range o.ChoiceEndpoints {
		all = append(all, func() ([]row, error) { return choiceRows(n) })
	}
	if o.Idle > 0 {
		all = append(all, func() ([]row, error) { return idleRows(o.Idle) })
	}
	for _, n := range o.BundleServices {
		all = append(all, func() ([]row, error) { return bundleRows(n) })
	}
	if o.Sessions > 0 {
		all = append(all, func() ([]row, error) { return sessionRows(o.Sessions) })
	}
	for _, n := range o.Callers {
		all = append(all, func() ([]row, error) { return requestRows(n, o.Load) })
	}
	for _, n := range o.FleetSizes {
		seeds := o.Seeds
		if n > largeFleet {
			seeds = 1
		}
		for seed := range seeds {
			all = append(all, func() ([]row, error) { return fleetRows(n, uint64(seed+1)) })
		}
	}
	if len(o.StoreSizes) > 0 {
		all = append(all, func() ([]row, error) { return storeRows(o.StoreSizes) })
	}
	return all
}

// storeRows measures what changes and restarts cost the store, and the growth between the first and the last size.
func storeRows(sizes []int) ([]row, error) {
	costs, err := faulttest.MeasureAll(context.Background(), sizes)
	if err != nil {
		return nil, err
	}
	var rows []row
	for _, c := range costs {
		rows = append(rows, row{fmt.Sprint(c)})
	}
	if len(costs) > 1 {
		rows = append(rows, row{fmt.Sprint(faulttest.SlopeRow(costs[0], costs[len(costs)-1]))})
	}
	return rows, nil
}

func errorOr(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// row is one line of output.
type row []string

func newRow(measure string, n int) row {
	return row{"measure=" + measure, fmt.Sprintf("nodes=%d", n)}
}

func (r row) with(key string, value any) row {
	switch v := value.(type) {
	case float64:
		return append(r, fmt.Sprintf("%s=%.4g", key, v))
	case time.Duration:
		return append(r, fmt.Sprintf("%s=%d", key, v.Milliseconds()))
	default:
		return append(r, fmt.Sprintf("%s=%v", key, v))
	}
}

func printRows(w io.Writer, rows []row) error {
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, " ")); err != nil {
			return err
		}
	}
	return nil
}

// quantile returns the value at share q of the sorted values, 0 without values.
func quantile[T int64 | float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
