package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/wire"
)

// TestReader guards against a reader that does not deliver the latest version in time when its watch is interrupted or
// delayed, or after an outage of the store.
func TestReader(t *testing.T) {
	cases := map[string]func(*objectstoretest.Store){
		"no fault":          func(*objectstoretest.Store) {},
		"interrupted watch": func(s *objectstoretest.Store) { s.EndWatches() },
		"outage":            func(s *objectstoretest.Store) { s.SetDown(true); time.Sleep(time.Minute); s.SetDown(false) },
		"delayed watch":     func(s *objectstoretest.Store) { s.SetWatchDelay(time.Hour) },
		"late event":        func(s *objectstoretest.Store) { s.SetWatchDelay(30 * time.Second) }, // first event arrives after the third rollout
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkReader(t, fault) })
		})
	}
}

func checkReader(t *testing.T, fault func(*objectstoretest.Store)) {
	ops := newTestOperators(t, 1)
	store := objectstoretest.New()
	var delivered []uint64
	r := &Reader{
		Store:   store,
		Deliver: func(e *bundle.Envelope) { delivered = append(delivered, e.Version) },
		Log:     slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	const deliveryLimit = 11 * time.Second
	for v := range uint64(3) {
		fault(store)
		if _, err := NewOperator(store, ops.trusted).Rollout(ctx, ops.envelope(t, 0, v+1), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(deliveryLimit)
		synctest.Wait()
		if len(delivered) == 0 || delivered[len(delivered)-1] != v+1 {
			t.Fatalf("delivered %v, want version %d last", delivered, v+1)
		}
	}
	if !slices.IsSorted(delivered) {
		t.Fatalf("delivered %v, want ascending versions", delivered)
	}
	cancel()
	wg.Wait()
}

// TestProvider guards against a provider that replies with a full envelope where a delta suffices, or with a delta that
// the requester cannot apply.
func TestProvider(t *testing.T) {
	ops := newTestOperators(t, 1)
	p := &Provider{}
	if reply, err := p.Reply(&wire.BundleRequest{}); err != nil || reply.Version != 0 {
		t.Fatalf("empty provider: %v %v", reply, err)
	}
	const versions = 12
	nodes := map[uint64]*bundle.Acceptor{0: bundle.NewAcceptor(ops.trusted)}
	for v := uint64(1); v <= versions; v++ {
		e := ops.envelope(t, 0, v)
		nodes[v] = bundle.NewAcceptor(ops.trusted)
		if _, err := nodes[v].Offer(e); err != nil {
			t.Fatal(err)
		}
		if err := p.Set(e); err != nil {
			t.Fatal(err)
		}
	}
	for v, a := range nodes {
		reply, err := p.Reply(&wire.BundleRequest{HaveVersion: v})
		if err != nil {
			t.Fatal(err)
		}
		if known := v > versions-maxDeltaVersions && v < versions; reply.Delta != known {
			t.Fatalf("from version %d: delta %v", v, reply.Delta)
		}
		_, err = OfferReply(a, reply)
		if upToDate := v == versions; upToDate != errors.Is(err, bundle.ErrUnchanged) || !upToDate && err != nil {
			t.Fatalf("from version %d: %v", v, err)
		}
		if a.Version() != versions {
			t.Fatalf("version %d in force", a.Version())
		}
	}
}

// TestIsReader guards against a number of readers, and so of watches on the store, that grows with the number of nodes,
// and against a failure domain without a reader.
func TestIsReader(t *testing.T) {
	const readersPerDomain = 2
	rapid.Check(t, func(rt *rapid.T) {
		var members []Member
		sizes := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 5).Draw(rt, "sizes")
		for d, size := range sizes {
			for n := range size {
				members = append(members, Member{NodeID: fmt.Sprintf("n%d-%d", d, n), FailureDomain: fmt.Sprintf("d%d", d)})
			}
		}
		readers := map[string]int{}
		for _, m := range members {
			if IsReader(m.NodeID, members, readersPerDomain) {
				readers[m.FailureDomain]++
			}
		}
		for d, size := range sizes {
			if got := readers[fmt.Sprintf("d%d", d)]; got != min(size, readersPerDomain) {
				rt.Fatalf("domain of %d nodes has %d readers", size, got)
			}
		}
	})
	if IsReader("absent", []Member{{NodeID: "a", FailureDomain: "d"}}, 2) {
		t.Fatal("a node outside the membership is a reader")
	}
}

// TestStatusWrites guards against a write to the store for each node and each change.
func TestStatusWrites(t *testing.T) {
	store := objectstoretest.New()
	writers := []*StatusWriter{{Store: store}, {Store: store}}
	members := make([]Member, 500)
	for i := range members {
		members[i] = Member{NodeID: fmt.Sprintf("node-%03d", i), FailureDomain: "oslo-a"}
	}
	start := time.Unix(0, 0)
	const seconds = 100
	for s := range seconds {
		for i := range 5 {
			members[(5*s+i)%len(members)].BundleVersion++
		}
		for i, w := range writers {
			at := start.Add(time.Duration(s) * time.Second)
			if err := w.Publish(t.Context(), Summarize("oslo-a", fmt.Sprintf("reader-%d", i), members, at)); err != nil {
				t.Fatal(err)
			}
		}
	}
	counts, _ := store.Counts()
	if limit := int64(seconds / 5); counts.Put > limit {
		t.Fatalf("%d writes, limit %d", counts.Put, limit)
	}
	got, err := Statuses(t.Context(), store)
	if err != nil || len(got) != 1 || got[0].Nodes != 500 || len(got[0].Behind) != maxBehindNodes {
		t.Fatalf("statuses %v, error %v", got, err)
	}
}
