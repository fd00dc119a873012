package capacity

import (
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/membershiptest"
	"dandelionspoke/internal/wire"
)

const (
	// settle is how long a fleet runs after a change, so that its gossip ends.
	settle = time.Minute
	// settleLimit ends the wait for the gossip of a start of the whole fleet.
	settleLimit = 20 * time.Minute
	// steadyTime is the time over which steady traffic is measured.
	steadyTime = time.Minute
	// limit ends a wait for convergence.
	limit = 3 * time.Minute
	// latency is the time of one datagram, near the longest within a region.
	latency = 2 * time.Millisecond
)

var errNotConverged = errors.New("capacity: fleet has not converged")

// traffic is what one node sent in an interval.
type traffic struct{ messages, bytes float64 }

// pending returns the number of updates that wait in all nodes.
func pending(f *membershiptest.Fleet) int {
	n := 0
	for _, h := range f.Nodes {
		n += h.PendingUpdates()
	}
	return n
}

// measure runs the fleet and returns each node's traffic per second.
func measure(f *membershiptest.Fleet, d time.Duration) []traffic {
	type totals struct{ messages, bytes uint64 }
	before := make([]totals, len(f.Nodes))
	for i, h := range f.Nodes {
		before[i].messages, before[i].bytes = h.Counters.Totals()
	}
	f.Run(d)
	out := make([]traffic, len(f.Nodes))
	for i, h := range f.Nodes {
		messages, bytes := h.Counters.Totals()
		out[i] = traffic{
			messages: float64(messages-before[i].messages) / d.Seconds(),
			bytes:    float64(bytes-before[i].bytes) / d.Seconds(),
		}
	}
	return out
}

func trafficRow(r row, all []traffic) row {
	var messages, bytes []float64
	var sumMessages, sumBytes float64
	for _, t := range all {
		messages, bytes = append(messages, t.messages), append(bytes, t.bytes)
		sumMessages += t.messages
		sumBytes += t.bytes
	}
	count := float64(len(all))
	return r.with("msgs_per_s", sumMessages/count).with("msgs_per_s_max", quantile(messages, 1)).
		with("bytes_per_s", sumBytes/count).with("bytes_per_s_max", quantile(bytes, 1))
}

// fleetRows measures steady traffic, churn, and the time until each kind of change is known everywhere.
func fleetRows(n int, seed uint64) ([]row, error) {
	// The gossip after a start of all nodes takes too long to run for a large fleet.
	warm := n > largeFleet
	f := membershiptest.New(membershiptest.Options{Nodes: n, Seed: seed, Regions: 2, Latency: latency, WarmStart: warm})
	took, ok := f.RunUntil(limit, f.Converged)
	if !ok {
		return nil, errors.Wrapf(errNotConverged, "%d nodes joining, seed %d", n, seed)
	}
	base := func(measure string) row { return newRow(measure, n).with("seed", seed) }
	var rows []row
	quiet, ok := f.RunUntil(settleLimit, func() bool { return pending(f) == 0 })
	if !ok {
		return nil, errors.Wrapf(errNotConverged, "%d nodes still gossip after %v, seed %d", n, quiet, seed)
	}
	if !warm {
		rows = append(rows, base("start_all").with("known_ms", took))
		rows = append(rows, base("start_all_gossip_ends").with("known_ms", took+quiet))
	}
	syncBytes := f.SyncBytes
	steady := trafficRow(base("steady"), measure(f, steadyTime))
	rows = append(rows, steady.with("sync_bytes_per_s", float64(f.SyncBytes-syncBytes)/steadyTime.Seconds()/float64(n)))
	changes, err := changeRows(f, n, seed, base)
	return append(rows, changes...), err
}

func changeRows(f *membershiptest.Fleet, n int, seed uint64, base func(string) row) ([]row, error) {
	var rows []row
	wait := func(name string, done func() bool) error {
		took, ok := f.RunUntil(limit, done)
		rows = append(rows, base(name).with("known_ms", took))
		if !ok {
			return errors.Wrapf(errNotConverged, "%s, %d nodes, seed %d", name, n, seed)
		}
		f.Run(settle)
		return nil
	}
	last := f.Nodes[n-1]
	last.SetLeaving(f.Now, true)
	err := wait("leave", func() bool { return f.Agree(last, wire.MemberState_LEAVING) })
	if err != nil {
		return rows, err
	}
	last.Down = true
	joined := f.Add(n - 1)
	if err := wait("join", func() bool { return f.Agree(joined, wire.MemberState_ALIVE) }); err != nil {
		return rows, err
	}
	joined.Down = true
	if err := wait("death", func() bool { return f.Agree(joined, wire.MemberState_DEAD) }); err != nil {
		return rows, err
	}
	f.Nodes[0].AcceptBundle(1)
	err = wait("bundle", func() bool {
		for _, h := range f.Nodes {
			if !h.Down && h.BundleVersion() != 1 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return rows, err
	}
	cut, err := cutRows(f, n, base)
	return append(rows, cut...), err
}

// cutRows cuts the two regions off from each other for 2 minutes.
func cutRows(f *membershiptest.Fleet, n int, base func(string) row) ([]row, error) {
	const cutTime = 2 * time.Minute
	for i, h := range f.Nodes {
		h.Group = i % 2
	}
	rows := []row{trafficRow(base("region_cut"), measure(f, cutTime))}
	for _, h := range f.Nodes {
		h.Group = 0
	}
	syncBytes := f.SyncBytes
	took, ok := f.RunUntil(limit, f.Converged)
	healed := base("region_heal").with("known_ms", took)
	rows = append(rows, healed.with("sync_bytes_total_per_node", (f.SyncBytes-syncBytes)/n))
	if !ok {
		return rows, errors.Wrapf(errNotConverged, "healing, %d nodes", n)
	}
	return rows, nil
}
