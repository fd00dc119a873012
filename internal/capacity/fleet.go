package capacity

import (
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/membershiptest"
	"dandelionspoke/internal/wire"
)

const (
	// settleTime is how long a fleet runs after a change for its gossip to end.
	settleTime = time.Minute
	// settleTimeout bounds the wait for the gossip to end after all nodes have started at once.
	settleTimeout = 20 * time.Minute
	// steadyTime is how long steady traffic is measured.
	steadyTime = time.Minute
	// convergenceTimeout bounds each wait for convergence.
	convergenceTimeout = 3 * time.Minute
	// datagramLatency is the one-way delay of a datagram, near the longest within a region.
	datagramLatency = 2 * time.Millisecond
)

var errNotConverged = errors.New("capacity: fleet did not converge")

// traffic is the rate at which one node sends, per second.
type traffic struct{ messages, bytes float64 }

// pendingUpdates returns the number of updates that the nodes of f have yet to gossip.
func pendingUpdates(f *membershiptest.Fleet) int {
	n := 0
	for _, h := range f.Nodes {
		n += h.PendingUpdates()
	}
	return n
}

// measureTraffic runs the fleet for d and returns the traffic of each node.
func measureTraffic(f *membershiptest.Fleet, d time.Duration) []traffic {
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

// fleetRows measures steady traffic, and for each kind of change the time until all nodes know of it.
func fleetRows(n int, seed uint64) ([]row, error) {
	// In a large fleet, simulating the gossip of a cold start would take too long.
	warm := n > maxRepeatedFleetNodes
	f := membershiptest.New(membershiptest.Options{Nodes: n, Seed: seed, Regions: 2, Latency: datagramLatency, WarmStart: warm})
	took, ok := f.RunUntil(convergenceTimeout, f.Converged)
	if !ok {
		return nil, errors.Wrapf(errNotConverged, "%d nodes joining, seed %d", n, seed)
	}
	rowFor := func(measure string) row { return newRow(measure, n).with("seed", seed) }
	var rows []row
	settled, ok := f.RunUntil(settleTimeout, func() bool { return pendingUpdates(f) == 0 })
	if !ok {
		return nil, errors.Wrapf(errNotConverged, "%d nodes still gossiping after %v, seed %d", n, settled, seed)
	}
	if !warm {
		rows = append(rows, rowFor("start_all").with("known_ms", took))
		rows = append(rows, rowFor("start_all_gossip_ends").with("known_ms", took+settled))
	}
	syncBytes := f.SyncBytes
	steady := trafficRow(rowFor("steady"), measureTraffic(f, steadyTime))
	rows = append(rows, steady.with("sync_bytes_per_s", float64(f.SyncBytes-syncBytes)/steadyTime.Seconds()/float64(n)))
	changes, err := changeRows(f, n, seed, rowFor)
	return append(rows, changes...), err
}

func changeRows(f *membershiptest.Fleet, n int, seed uint64, rowFor func(string) row) ([]row, error) {
	var rows []row
	wait := func(name string, done func() bool) error {
		took, ok := f.RunUntil(convergenceTimeout, done)
		rows = append(rows, rowFor(name).with("known_ms", took))
		if !ok {
			return errors.Wrapf(errNotConverged, "%s, %d nodes, seed %d", name, n, seed)
		}
		f.Run(settleTime)
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
	partition, err := partitionRows(f, n, rowFor)
	return append(rows, partition...), err
}

// partitionRows measures traffic in a partition of the two regions that lasts 2 minutes, and the time to
// convergence after it heals.
func partitionRows(f *membershiptest.Fleet, n int, rowFor func(string) row) ([]row, error) {
	const partitionTime = 2 * time.Minute
	for i, h := range f.Nodes {
		h.Group = i % 2
	}
	rows := []row{trafficRow(rowFor("region_cut"), measureTraffic(f, partitionTime))}
	for _, h := range f.Nodes {
		h.Group = 0
	}
	syncBytes := f.SyncBytes
	took, ok := f.RunUntil(convergenceTimeout, f.Converged)
	healed := rowFor("region_heal").with("known_ms", took)
	rows = append(rows, healed.with("sync_bytes_total_per_node", (f.SyncBytes-syncBytes)/n))
	if !ok {
		return rows, errors.Wrapf(errNotConverged, "%d nodes after a partition", n)
	}
	return rows, nil
}
