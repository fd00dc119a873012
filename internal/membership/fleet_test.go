package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/membershiptest"
	"dandelionspoke/internal/wire"
)

// startFleet returns a fleet that has converged and whose nodes are past the join grace period.
func startFleet(t *testing.T, o membershiptest.Options) *membershiptest.Fleet {
	t.Helper()
	f := membershiptest.New(o)
	took, ok := f.RunUntil(30*time.Second, f.Converged)
	if !ok {
		t.Fatalf("%d nodes have not converged after %v", o.Nodes, took)
	}
	f.Run(10 * time.Second)
	return f
}

func suspicions(f *membershiptest.Fleet) (suspicions, deaths uint64) {
	for _, h := range f.Nodes {
		suspicions += h.Counters.Suspicions.Load()
		deaths += h.Counters.Deaths.Load()
	}
	return suspicions, deaths
}

// Guards against joins that don't reach all nodes and false suspicions of joining nodes.
func TestJoin(t *testing.T) {
	for _, n := range []int{2, 10, 100} {
		f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 11})
		joined := f.Add(n)
		took, ok := f.RunUntil(5*time.Second, func() bool { return f.Agree(joined, wire.MemberState_ALIVE) })
		if !ok {
			t.Errorf("n=%d: not all nodes know the joined node after %v", n, took)
		}
		f.Run(20 * time.Second)
		if s, _ := suspicions(f); s != 0 {
			t.Errorf("n=%d: %d suspicions without a fault", n, s)
		}
	}
}

// Guards the requirement that a draining node receives no new work after 2 s, also when several nodes
// drain one after the other: each still forwards requests of its own callers, so it must learn of the
// others.
func TestLeavingIsKnownWithinTwoSeconds(t *testing.T) {
	const drains = 5
	for _, n := range []int{10, 100, 300} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("n=%d/loss=%v", n, loss), func(t *testing.T) {
				f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 12, Loss: loss})
				for _, h := range f.Nodes[1 : 1+drains] {
					h.SetLeaving(f.Now, true)
					took, ok := f.RunUntil(2*time.Second, func() bool { return f.Agree(h, wire.MemberState_LEAVING) })
					if !ok {
						t.Errorf("not all nodes know that %s is LEAVING after %v", h.Self().NodeId, took)
					}
				}
				for _, h := range f.Nodes[1 : 1+drains] {
					h.SetLeaving(f.Now, false)
				}
				if took, ok := f.RunUntil(5*time.Second, f.Converged); !ok {
					t.Errorf("not converged %v after the end of the drains", took)
				}
			})
		}
	}
}

// deathBound is the maximum time until a dead node is known everywhere: two rounds of pings until one
// member has pinged the node, a period without an ack, the suspicion timeout, and the dissemination.
func deathBound(n int) time.Duration {
	const pingsAndGossip = 8 * time.Second
	return pingsAndGossip + membership.SuspicionTimeout(time.Second, n)
}

// Guards against undetected deaths and dead nodes that old gossip revives. With seeds 39, 41 and 43,
// members attributed unanswered pings of the earlier process to the restarted one.
func TestDeathIsDetected(t *testing.T) {
	type run struct {
		n    int
		seed uint64
	}
	for _, r := range []run{{3, 13}, {10, 13}, {100, 13}, {100, 39}, {100, 41}, {100, 43}} {
		n := r.n
		f := startFleet(t, membershiptest.Options{Nodes: n, Seed: r.seed, Loss: 0.02})
		dead := f.Nodes[n-1]
		dead.Down = true
		took, ok := f.RunUntil(deathBound(n), func() bool { return f.Agree(dead, wire.MemberState_DEAD) })
		if !ok {
			t.Errorf("n=%d, seed %d: not all nodes know that the node is DEAD after %v", n, r.seed, took)
		}
		f.Run(time.Minute)
		if !f.Agree(dead, wire.MemberState_DEAD) {
			t.Errorf("n=%d, seed %d: a dead node was revived", n, r.seed)
		}
		restarted := f.Add(n - 1)
		if took, ok := f.RunUntil(5*time.Second, func() bool { return f.Agree(restarted, wire.MemberState_ALIVE) }); !ok {
			t.Errorf("n=%d, seed %d: not all nodes know the restarted node after %v", n, r.seed, took)
		}
	}
}

// Guards against the removal of healthy nodes because of packet loss.
func TestNoFalseRemovalWithLoss(t *testing.T) {
	for seed := range uint64(3) {
		f := startFleet(t, membershiptest.Options{Nodes: 60, Seed: 20 + seed, Loss: 0.05})
		f.Run(5 * time.Minute)
		s, deaths := suspicions(f)
		if deaths != 0 {
			t.Errorf("seed %d: %d healthy nodes removed, after %d suspicions", 20+seed, deaths, s)
		}
	}
}

// Guards against a region that stays DEAD after a partition, and against removals within a region while
// the member tables of the two sides merge.
func TestPartitionHeals(t *testing.T) {
	for _, n := range []int{4, 40} {
		f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 31, Regions: 2})
		for i, h := range f.Nodes {
			h.Group = i % 2
		}
		f.Run(3 * time.Minute)
		for _, h := range f.Nodes {
			if h.LiveCount() != n/2 {
				t.Fatalf("n=%d: a node sees %d live members during the partition, want %d", n, h.LiveCount(), n/2)
			}
		}
		for _, h := range f.Nodes {
			h.Group = 0
		}
		lowest := n
		took, ok := f.RunUntil(time.Minute, func() bool {
			for _, h := range f.Nodes {
				lowest = min(lowest, h.LiveCount())
			}
			return f.Converged()
		})
		if !ok {
			t.Errorf("n=%d: not converged %v after the partition healed", n, took)
		}
		if lowest < n/2 {
			t.Errorf("n=%d: a node removed members of its own region after the partition healed: %d live", n, lowest)
		}
	}
}

// Guards against partitions of any shape and length that don't heal, with a restart during the partition.
func TestRandomPartitionsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "nodes")
		f := membershiptest.New(membershiptest.Options{
			Nodes: n, Seed: rapid.Uint64Range(1, 1000).Draw(t, "seed"), Regions: 2,
			Loss: rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss"),
		})
		if took, ok := f.RunUntil(time.Minute, f.Converged); !ok {
			t.Fatalf("not converged after %v", took)
		}
		for _, h := range f.Nodes {
			h.Group = rapid.IntRange(0, 2).Draw(t, "group")
		}
		f.Run(time.Duration(rapid.IntRange(1, 120).Draw(t, "partition")) * time.Second)
		restarted := rapid.IntRange(1, n-1).Draw(t, "restarted")
		group := f.Nodes[restarted].Group
		f.Add(restarted).Group = group
		f.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "after restart")) * time.Second)
		for _, h := range f.Nodes {
			h.Group = 0
		}
		if took, ok := f.RunUntil(2*time.Minute, f.Converged); !ok {
			t.Fatalf("not converged %v after the partition healed", took)
		}
	})
}

// Guards against bundle versions that don't reach every node, with and without packet loss.
func TestBundleVersionReachesAllNodes(t *testing.T) {
	for _, loss := range []float64{0, 0.05} {
		f := startFleet(t, membershiptest.Options{Nodes: 100, Seed: 41, Loss: loss})
		f.Nodes[7].AcceptBundle(5)
		took, ok := f.RunUntil(5*time.Second, func() bool {
			for _, h := range f.Nodes {
				if h.BundleVersion() != 5 {
					return false
				}
			}
			return true
		})
		if !ok {
			t.Errorf("loss %v: not all nodes have the bundle version after %v", loss, took)
		}
	}
}

// Guards against quarantine entries that don't reach every node or never expire.
func TestQuarantineReachesAllNodesAndExpires(t *testing.T) {
	f := startFleet(t, membershiptest.Options{Nodes: 30, Seed: 51})
	expires := uint64(f.Now.Add(2 * time.Minute).UnixMilli())
	entry := &wire.QuarantineEntry{Fingerprint: []byte("0123456789abcdef"), ExpiresUnixMs: expires, Deaths: 2}
	f.Nodes[3].AddQuarantine(f.Now, []*wire.QuarantineEntry{entry})
	f.Run(5 * time.Second)
	for i, h := range f.Nodes {
		if h.QuarantineReports != 1 {
			t.Errorf("node %d reported %d quarantine entries, want 1", i, h.QuarantineReports)
		}
	}
	f.Run(4 * time.Minute)
	for i, h := range f.Nodes {
		if len(h.Quarantine()) != 0 {
			t.Errorf("node %d still has an expired quarantine entry", i)
		}
	}
}

// Guards the byte budget when most of a fleet restarts at once.
func TestByteBudgetHoldsInMassRestart(t *testing.T) {
	const budget = 4000
	f := startFleet(t, membershiptest.Options{Nodes: 60, Seed: 61, Config: membership.Config{BytesPerSecond: budget}})
	for i := 1; i < 50; i++ {
		f.Add(i)
	}
	before := make([]uint64, len(f.Nodes))
	for i, h := range f.Nodes {
		_, before[i] = h.Counters.Totals()
	}
	const seconds = 20
	f.Run(seconds * time.Second)
	for i, h := range f.Nodes {
		_, after := h.Counters.Totals()
		if sent := after - before[i]; sent > budget*(seconds+1) {
			t.Errorf("node %d sent %d bytes in %d s, budget %d/s", i, sent, seconds, budget)
		}
	}
	if took, ok := f.RunUntil(time.Minute, f.Converged); !ok {
		t.Errorf("not converged %v after the restarts", took)
	}
}

// Guards against unbounded memory: records of DEAD and LEAVING nodes are removed after the retention
// time.
func TestRecordsOfDeadAndLeavingNodesExpire(t *testing.T) {
	f := startFleet(t, membershiptest.Options{Nodes: 10, Seed: 71, Config: membership.Config{Retention: 3 * time.Minute}})
	f.Nodes[8].Down = true
	f.Nodes[9].SetLeaving(f.Now, true)
	f.Run(time.Second)
	f.Nodes[9].Down = true
	f.Run(8 * time.Minute)
	for _, h := range f.Nodes[:8] {
		if got := len(h.Records()); got != 8 {
			t.Errorf("%s keeps %d records, want 8", h.Self().NodeId, got)
		}
	}
}

// Guards against suspicions of a restarted node because of pings that its earlier process didn't answer.
// Such a suspicion lasts for the seconds until all members have received the refutation. The earlier
// process has crashed or drained.
func TestRestartIsNotSuspected(t *testing.T) {
	for _, drained := range []bool{false, true} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("drained=%v/seed=%d", drained, seed), func(t *testing.T) {
				const n = 100
				f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 40 + seed})
				old := f.Nodes[n-1]
				state := wire.MemberState_DEAD
				if drained {
					old.SetLeaving(f.Now, true)
					f.Run(2 * time.Second)
					state = wire.MemberState_LEAVING
				}
				old.Down = true
				if took, ok := f.RunUntil(deathBound(n), func() bool { return f.Agree(old, state) }); !ok {
					t.Fatalf("not all nodes know the state %v after %v", state, took)
				}
				f.Run(5 * time.Second)
				before, _ := suspicions(f)
				restarted := f.Add(n - 1)
				if took, ok := f.RunUntil(2*time.Second, func() bool { return f.Agree(restarted, wire.MemberState_ALIVE) }); !ok {
					t.Errorf("not all nodes know the restarted node after %v", took)
				}
				f.Run(2 * time.Second)
				if after, _ := suspicions(f); after != before {
					t.Errorf("%d suspicions of a healthy node", after-before)
				}
			})
		}
	}
}

// Guards the recovery time after a power loss of the whole fleet: each node starts without knowing
// another, its backend server announces itself within 0.7 s, and all requests go to the few known
// endpoints until the others are known.
func TestEndpointsAreKnownSoonAfterALossOfPower(t *testing.T) {
	const announceWithin = 700 * time.Millisecond
	for _, n := range []int{16, 67, 300} {
		for seed := range uint64(4) {
			f := membershiptest.New(membershiptest.Options{
				Nodes: n, Seed: seed, Regions: 2, Loss: 0.01, Latency: 8 * time.Millisecond, AnnounceWithin: announceWithin,
			})
			f.Run(announceWithin + 800*time.Millisecond)
			if known := knownEndpointShare(f); known < 0.85 {
				t.Errorf("n=%d, seed %d: %.2f of the endpoints known 0.8 s after the last was announced", n, seed, known)
			}
			took, ok := f.RunUntil(5*time.Second, func() bool { return knownEndpointShare(f) == 1 })
			if !ok {
				t.Errorf("n=%d, seed %d: not all nodes know all endpoints after another %v", n, seed, took)
			}
			// The full member list, 200 bytes per member, may be exchanged a few times in total and rarely between
			// regions.
			if perNode := (f.SyncBytes + f.CrossRegionBytes) / n; perNode > 30_000+200*n*3 {
				t.Errorf("n=%d, seed %d: %d bytes per node", n, seed, perNode)
			}
		}
	}
}

func knownEndpointShare(f *membershiptest.Fleet) float64 {
	known := 0
	for _, h := range f.Nodes {
		for _, r := range h.Records() {
			known += len(r.Endpoints)
		}
	}
	return float64(known) / float64(len(f.Nodes)*len(f.Nodes))
}

// Guards against updates that wait behind the backlog after many nodes have started: five nodes end their
// drain at the same time, 10 s after the last of 300 nodes joined.
func TestUndrainsPassTheBacklogOfAStart(t *testing.T) {
	for seed := range uint64(8) {
		f := startFleet(t, membershiptest.Options{Nodes: 300, Seed: seed, Loss: 0.05})
		drained := f.Nodes[1:6]
		for _, h := range drained {
			h.SetLeaving(f.Now, true)
		}
		f.Run(2 * time.Second)
		for _, h := range drained {
			h.SetLeaving(f.Now, false)
		}
		took, ok := f.RunUntil(2500*time.Millisecond, func() bool {
			for _, h := range f.Nodes {
				for _, d := range drained {
					if !membership.Live(h.Record(d.Self().NodeId).State) {
						return false
					}
				}
			}
			return true
		})
		if !ok {
			t.Errorf("seed %d: not all nodes know the end of the drains after %v", seed, took)
		}
	}
}
