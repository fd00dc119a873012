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

// startFleet returns a fleet that has converged and is past the join grace.
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

// Guards against joins that do not spread and against false suspicions of joining nodes.
func TestJoin(t *testing.T) {
	for _, n := range []int{2, 10, 100} {
		f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 11})
		joined := f.Add(n)
		took, ok := f.RunUntil(5*time.Second, func() bool { return f.Agree(joined, wire.MemberState_ALIVE) })
		if !ok {
			t.Errorf("n=%d: join not known everywhere after %v", n, took)
		}
		f.Run(20 * time.Second)
		if s, _ := suspicions(f); s != 0 {
			t.Errorf("n=%d: %d suspicions without a fault", n, s)
		}
	}
}

// Guards the target that a leaving node receives no new work after 2 s, also when several leave one
// after the other: each still forwards requests of its own callers, so it must hear of the others.
func TestLeavingIsKnownWithinTwoSeconds(t *testing.T) {
	const departures = 5
	for _, n := range []int{10, 100, 300} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("n=%d/loss=%v", n, loss), func(t *testing.T) {
				f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 12, Loss: loss})
				for _, h := range f.Nodes[1 : 1+departures] {
					h.SetLeaving(f.Now, true)
					took, ok := f.RunUntil(2*time.Second, func() bool { return f.Agree(h, wire.MemberState_LEAVING) })
					if !ok {
						t.Errorf("departure of %s not known everywhere after %v", h.Self().NodeId, took)
					}
				}
				for _, h := range f.Nodes[1 : 1+departures] {
					h.SetLeaving(f.Now, false)
				}
				if took, ok := f.RunUntil(5*time.Second, f.Converged); !ok {
					t.Errorf("undrains not known everywhere after %v", took)
				}
			})
		}
	}
}

// deathBound is the stated time until a death is known everywhere: two rounds of pings until one
// member has pinged the node, a period without an ack, the suspicion, and the spread of it.
func deathBound(n int) time.Duration {
	const pingsAndSpread = 8 * time.Second
	return pingsAndSpread + membership.SuspicionTimeout(time.Second, n)
}

// Guards against deaths that are not noticed and against dead nodes that old gossip revives.
// With the seeds 39, 41 and 43, members held lost pings to the earlier process against the restarted one.
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
			t.Errorf("n=%d, seed %d: death not known everywhere after %v", n, r.seed, took)
		}
		f.Run(time.Minute)
		if !f.Agree(dead, wire.MemberState_DEAD) {
			t.Errorf("n=%d, seed %d: a dead node was revived", n, r.seed)
		}
		restarted := f.Add(n - 1)
		if took, ok := f.RunUntil(5*time.Second, func() bool { return f.Agree(restarted, wire.MemberState_ALIVE) }); !ok {
			t.Errorf("n=%d, seed %d: restart not known everywhere after %v", n, r.seed, took)
		}
	}
}

// Guards against the removal of healthy nodes because of lost datagrams.
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

// Guards against a region that stays lost after a cut, and against removals inside a region when the
// two views meet.
func TestPartitionHeals(t *testing.T) {
	for _, n := range []int{4, 40} {
		f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 31, Regions: 2})
		for i, h := range f.Nodes {
			h.Group = i % 2
		}
		f.Run(3 * time.Minute)
		for _, h := range f.Nodes {
			if h.LiveCount() != n/2 {
				t.Fatalf("n=%d: a node sees %d live members in the cut, want %d", n, h.LiveCount(), n/2)
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
			t.Errorf("n=%d: not healed after %v", n, took)
		}
		if lowest < n/2 {
			t.Errorf("n=%d: a node lost members of its own region while the cut healed: %d live", n, lowest)
		}
	}
}

// Guards against cuts of any shape and length that leave nodes apart, with departures and restarts
// during the cut.
func TestRandomCutsHeal(t *testing.T) {
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
		f.Run(time.Duration(rapid.IntRange(1, 120).Draw(t, "cut")) * time.Second)
		restarted := rapid.IntRange(1, n-1).Draw(t, "restarted")
		group := f.Nodes[restarted].Group
		f.Add(restarted).Group = group
		f.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "after restart")) * time.Second)
		for _, h := range f.Nodes {
			h.Group = 0
		}
		if took, ok := f.RunUntil(2*time.Minute, f.Converged); !ok {
			t.Fatalf("not healed after %v", took)
		}
	})
}

// Guards against bundle versions that do not reach every node, with and without loss.
func TestBundleVersionSpreads(t *testing.T) {
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
			t.Errorf("loss %v: bundle not everywhere after %v", loss, took)
		}
	}
}

// Guards against quarantine entries that do not spread or are kept for ever.
func TestQuarantineSpreadsAndExpires(t *testing.T) {
	f := startFleet(t, membershiptest.Options{Nodes: 30, Seed: 51})
	expires := uint64(f.Now.Add(2 * time.Minute).UnixMilli())
	entry := &wire.QuarantineEntry{Fingerprint: []byte("0123456789abcdef"), ExpiresUnixMs: expires, Deaths: 2}
	f.Nodes[3].AddQuarantine(f.Now, []*wire.QuarantineEntry{entry})
	f.Run(5 * time.Second)
	for i, h := range f.Nodes {
		if h.QuarantineSeen != 1 {
			t.Errorf("node %d was told %d times, want once", i, h.QuarantineSeen)
		}
	}
	f.Run(4 * time.Minute)
	for i, h := range f.Nodes {
		if len(h.Quarantine()) != 0 {
			t.Errorf("node %d keeps an expired entry", i)
		}
	}
}

// Guards the control budget when most of a fleet restarts at once.
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

// Guards bounded memory: records of gone nodes are dropped after the retention time.
func TestGoneNodesAreDropped(t *testing.T) {
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

// Guards against suspicions of a restarted node because of pings that its earlier process never answered, and against
// the seconds that it takes until all members have heard the refutation. The earlier process has ended without notice
// or has left.
func TestRestartIsNotSuspected(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("leaves=%v/seed=%d", leaves, seed), func(t *testing.T) {
				const n = 100
				f := startFleet(t, membershiptest.Options{Nodes: n, Seed: 40 + seed})
				old := f.Nodes[n-1]
				state := wire.MemberState_DEAD
				if leaves {
					old.SetLeaving(f.Now, true)
					f.Run(2 * time.Second)
					state = wire.MemberState_LEAVING
				}
				old.Down = true
				if took, ok := f.RunUntil(deathBound(n), func() bool { return f.Agree(old, state) }); !ok {
					t.Fatalf("state %v not known everywhere after %v", state, took)
				}
				f.Run(5 * time.Second)
				before, _ := suspicions(f)
				restarted := f.Add(n - 1)
				if took, ok := f.RunUntil(2*time.Second, func() bool { return f.Agree(restarted, wire.MemberState_ALIVE) }); !ok {
					t.Errorf("restart not known everywhere after %v", took)
				}
				f.Run(2 * time.Second)
				if after, _ := suspicions(f); after != before {
					t.Errorf("%d suspicions of a healthy node", after-before)
				}
			})
		}
	}
}

// Guards the time in which a fleet that has lost power serves again: each node starts knowing nobody, its backend server
// announces itself within 0.7 s, and all requests go to the few endpoints that are known until the others are.
func TestEndpointsAreKnownSoonAfterALossOfPower(t *testing.T) {
	const announceWithin = 700 * time.Millisecond
	for _, n := range []int{16, 67, 300} {
		for seed := range uint64(4) {
			f := membershiptest.New(membershiptest.Options{
				Nodes: n, Seed: seed, Regions: 2, Loss: 0.01, Latency: 8 * time.Millisecond, AnnounceWithin: announceWithin,
			})
			f.Run(announceWithin + 800*time.Millisecond)
			if known := shareOfEndpointsKnown(f); known < 0.85 {
				t.Errorf("n=%d, seed %d: %.2f of the endpoints known 0.8 s after the last was announced", n, seed, known)
			}
			took, ok := f.RunUntil(5*time.Second, func() bool { return shareOfEndpointsKnown(f) == 1 })
			if !ok {
				t.Errorf("n=%d, seed %d: not all endpoints known everywhere after further %v", n, seed, took)
			}
			// A list of all members, 200 bytes each, may be exchanged a few times in all and seldom between regions.
			if perNode := (f.SyncBytes + f.FarBytes) / n; perNode > 30_000+200*n*3 {
				t.Errorf("n=%d, seed %d: %d bytes a node", n, seed, perNode)
			}
		}
	}
}

func shareOfEndpointsKnown(f *membershiptest.Fleet) float64 {
	known := 0
	for _, h := range f.Nodes {
		for _, r := range h.Records() {
			known += len(r.Endpoints)
		}
	}
	return float64(known) / float64(len(f.Nodes)*len(f.Nodes))
}

// Guards against news that has to wait behind the backlog of updates that the start of a fleet leaves: five nodes take
// work again at the same time, 10 s after the last of 300 nodes joined.
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
			t.Errorf("seed %d: undrains not known everywhere after %v", seed, took)
		}
	}
}
