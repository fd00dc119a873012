// Package capacity measures the control-plane overhead of a node for increasing numbers of nodes. It runs
// the node's own code in three ways: in memory and virtual time for message counts and convergence times, on
// loopback sockets for processor time and memory, and on a single large membership table for the costs that
// grow with the number of members. Each result is one row of key=value pairs.
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

// Options select the measurements of a run. An empty slice skips its measurements.
type Options struct {
	// FleetSizes are the numbers of nodes in the in-memory fleets. Seeds is the number of runs of each fleet
	// of at most maxRepeatedFleetNodes nodes, with seeds from 1; larger fleets run once.
	FleetSizes []int
	Seeds      int
	// TableSizes are the numbers of members in the membership table of one node.
	TableSizes []int
	// Engines is the number of engines on loopback; 0 skips them. IdleDuration is how long engines and whole
	// nodes are measured while idle; 0 skips the nodes.
	Engines      int
	IdleDuration time.Duration
	// ChoiceEndpoints are the numbers of endpoints among which one is chosen.
	ChoiceEndpoints []int
	// Sessions is the number of idle peer sessions whose memory is measured; 0 skips them.
	Sessions int
	// BundleServices are the numbers of services in the measured bundles.
	BundleServices []int
	// Accounts is the number of client accounts with which the parts for contested capacity are measured, in a fleet of
	// AccountNodes nodes; 0 skips them.
	Accounts, AccountNodes int
	// Callers are the numbers of concurrent callers on the request path. LoadDuration is the length of each of
	// these runs.
	Callers      []int
	LoadDuration time.Duration
	// StoreSizes are the numbers of whole nodes whose store calls are counted, in ascending order.
	StoreSizes []int
}

// maxRepeatedFleetNodes is the size up to which a fleet runs with several seeds and from a cold start.
const maxRepeatedFleetNodes = 300

// Default returns the options of scripts/capacity, which take about 4 minutes.
func Default() Options {
	return Options{
		FleetSizes:      []int{10, 30, 100, 300, 1000},
		Seeds:           2,
		TableSizes:      []int{1000, 5000, 23000},
		Engines:         100,
		IdleDuration:    20 * time.Second,
		ChoiceEndpoints: []int{4, 32, 128, 1000},
		Sessions:        200,
		BundleServices:  []int{72, 720},
		Accounts:        10_000,
		AccountNodes:    23_000,
		Callers:         []int{1, 8, 32},
		LoadDuration:    3 * time.Second,
		StoreSizes:      []int{10, 30, 100},
	}
}

// Run takes the measurements and writes their rows to w. It returns an error if a measurement or a write
// fails, for example because a fleet doesn't converge. Measurements of processor time and memory run first,
// before the fleets enlarge the heap.
func Run(w io.Writer, o Options) error {
	for _, measure := range o.measurements() {
		rows, err := measure()
		if err := firstError(err, printRows(w, rows)); err != nil {
			return err
		}
	}
	return nil
}

// measurements returns the selected measurements in the order in which they run.
func (o Options) measurements() []func() ([]row, error) {
	var all []func() ([]row, error)
	if o.Engines > 0 {
		all = append(all, func() ([]row, error) { return engineRows(o.Engines, o.IdleDuration) })
	}
	for _, n := range o.TableSizes {
		all = append(all, func() ([]row, error) { return tableRows(n) })
	}
	for _, n := range o.ChoiceEndpoints {
		all = append(all, func() ([]row, error) { return choiceRows(n) })
	}
	if o.IdleDuration > 0 {
		all = append(all, func() ([]row, error) { return idleRows(o.IdleDuration) })
	}
	for _, n := range o.BundleServices {
		all = append(all, func() ([]row, error) { return bundleRows(n) })
	}
	if o.Accounts > 0 {
		all = append(all, func() ([]row, error) { return contestedRows(o.AccountNodes, o.Accounts) })
	}
	if o.Sessions > 0 {
		all = append(all, func() ([]row, error) { return sessionRows(o.Sessions) })
	}
	for _, n := range o.Callers {
		all = append(all, func() ([]row, error) { return requestRows(n, o.LoadDuration) })
	}
	for _, n := range o.FleetSizes {
		seeds := o.Seeds
		if n > maxRepeatedFleetNodes {
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

// storeRows counts the store calls that bundle rollouts and node restarts cause, and their growth from the
// first to the last size.
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

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// row is one line of output, as key=value pairs.
type row []string

func newRow(measure string, n int) row {
	return row{"measure=" + measure, fmt.Sprintf("nodes=%d", n)}
}

// with appends a pair. A duration is written in milliseconds.
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

// quantile returns the q-quantile of values, with q from 0 to 1. It returns 0 if there are none.
func quantile[T int64 | float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
