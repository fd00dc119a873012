package rollout

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/platform"
	"dandelionspoke/internal/platformtest"
	"dandelionspoke/internal/wire"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

type crew struct {
	authors  []bundle.SigningKey
	approver bundle.SigningKey
	trusted  bundle.Trusted
}

func newCrew(t *testing.T, authors int) crew {
	t.Helper()
	var c crew
	var lines []string
	for i := range authors + 1 {
		k, err := bundle.GenerateKey(fmt.Sprintf("operator-%d", i))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, k.Public())
		c.authors = append(c.authors, k)
	}
	c.approver = c.authors[authors]
	c.authors = c.authors[:authors]
	trusted, err := bundle.ParseTrusted(lines)
	if err != nil {
		t.Fatal(err)
	}
	c.trusted = trusted
	return c
}

// envelope has another content for each author and version.
func (c crew) envelope(t testing.TB, author int, version uint64) *bundle.Envelope {
	t.Helper()
	b := &bundle.Bundle{Version: version, Services: map[string]bundle.Service{}}
	for i := range 20 {
		b.Services[fmt.Sprintf("service-%d", i)] = bundle.Service{Slots: 12}
	}
	b.Policy.SubsetSize = 1 + author + 100*int(version)
	b.SetDefaults()
	e, err := bundle.NewEnvelope(b)
	if err != nil {
		t.Fatal(err)
	}
	c.sign(t, e, author)
	return e
}

func (c crew) sign(t testing.TB, e *bundle.Envelope, author int) {
	t.Helper()
	e.Sign(c.authors[author])
	if err := e.Approve(c.approver, c.trusted); err != nil {
		t.Fatal(err)
	}
}

// TestOperatorsRace guards against two rollouts that both succeed for one expected version, a loser that
// is not told the winner, and a history that lacks a version, with answers lost and writes delayed.
func TestOperatorsRace(t *testing.T) {
	const operators, versions = 3, 4
	c := newCrew(t, operators)
	var envelopes [operators][versions]*bundle.Envelope
	for o := range operators {
		for v := range versions {
			envelopes[o][v] = c.envelope(t, o, uint64(v+1))
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 4), versions, versions).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) {
			store := platformtest.New()
			for v := range versions {
				injectFault(store, faults[v])
				race(t, store, c, envelopes, v)
			}
			checkHistory(t, store, c, versions)
		})
	})
}

func injectFault(store *platformtest.Store, fault int) {
	switch fault {
	case 1:
		store.LoseAnswers(3)
	case 2:
		store.DropWrites(3)
	case 3:
		store.DelayWrites(3, 30*time.Millisecond)
	case 4:
		store.ConflictNext(2)
	}
}

func race(t *testing.T, store platform.Store, c crew, envelopes [3][4]*bundle.Envelope, v int) {
	errs := make([]error, len(envelopes))
	var group sync.WaitGroup
	for o := range envelopes {
		group.Go(func() {
			expect := uint64(v)
			_, errs[o] = NewOperator(store, c.trusted).Rollout(t.Context(), envelopes[o][v], &expect)
		})
	}
	group.Wait()
	current, err := NewOperator(store, c.trusted).Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for o, err := range errs {
		var lost *ConflictError
		won := current.Author == c.authors[o].Name
		if won != (err == nil) {
			t.Fatalf("operator %d: error %v, in force version %d by %s", o, err, current.Version, current.Author)
		}
		if !won && (!errors.As(err, &lost) || lost.Winner.Author != current.Author || lost.Winner.Version != uint64(v+1)) {
			t.Fatalf("operator %d: error %v does not name the winner %s", o, err, current.Author)
		}
	}
}

func checkHistory(t *testing.T, store platform.Store, c crew, versions int) {
	records, err := NewOperator(store, c.trusted).History(t.Context(), 100)
	if err != nil {
		t.Fatal(err)
	}
	var got []uint64
	for _, r := range records {
		got = append(got, r.Version)
	}
	if diff := cmp.Diff([]uint64{4, 3, 2, 1}[4-versions:], got); diff != "" {
		t.Fatal(diff)
	}
}

// TestRolloutRefused guards against rollouts without the signatures or the version that they need.
func TestRolloutRefused(t *testing.T) {
	c := newCrew(t, 1)
	o := NewOperator(platformtest.New(), c.trusted)
	unsigned := c.envelope(t, 0, 1)
	unsigned.Approver = nil
	if _, err := o.Rollout(t.Context(), unsigned, nil); !errors.Is(err, bundle.ErrUntrusted) {
		t.Fatalf("without approval: %v", err)
	}
	one := uint64(1)
	var lost *ConflictError
	if _, err := o.Rollout(t.Context(), c.envelope(t, 0, 2), &one); !errors.As(err, &lost) {
		t.Fatalf("expected a missing version: %v", err)
	}
	for range 2 { // the second rollout repeats the first one
		if _, err := o.Rollout(t.Context(), c.envelope(t, 0, 2), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := o.Rollout(t.Context(), c.envelope(t, 0, 1), nil); !errors.As(err, &lost) || lost.Winner.Version != 2 {
		t.Fatalf("lower version: %v", err)
	}
}

// TestRestore guards against going back by lowering the version, which nodes would refuse.
func TestRestore(t *testing.T) {
	c := newCrew(t, 1)
	o := NewOperator(platformtest.New(), c.trusted)
	a := bundle.NewAcceptor(c.trusted)
	for v := range uint64(3) {
		if _, err := o.Rollout(t.Context(), c.envelope(t, 0, v+1), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := o.Restore(t.Context(), 9); !errors.Is(err, ErrNoVersion) {
		t.Fatalf("unknown version: %v", err)
	}
	e, err := o.Restore(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := o.Rollout(t.Context(), e, nil); !errors.Is(err, bundle.ErrUntrusted) {
		t.Fatalf("restored without signatures: %v", err)
	}
	c.sign(t, e, 0)
	if _, err := o.Rollout(t.Context(), e, nil); err != nil {
		t.Fatal(err)
	}
	b, err := a.Offer(e)
	if err != nil || b.Version != 4 || b.Policy.SubsetSize != 101 {
		t.Fatalf("bundle %v, error %v", b, err)
	}
}

// TestHistoryRepair guards against a version that is lost when its operator stops right after the update.
func TestHistoryRepair(t *testing.T) {
	c := newCrew(t, 1)
	store := platformtest.New()
	o := NewOperator(store, c.trusted)
	for v := range uint64(3) {
		if _, err := o.Rollout(t.Context(), c.envelope(t, 0, v+1), nil); err != nil {
			t.Fatal(err)
		}
		entry, err := store.Get(t.Context(), historyKey(v+1))
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Delete(t.Context(), entry.Key, entry.Version); err != nil {
			t.Fatal(err)
		}
	}
	checkHistory(t, store, c, 3)
}

// TestReader guards against a reader that stays behind after a cut, an outage or while its watch lags.
func TestReader(t *testing.T) {
	cases := map[string]func(*platformtest.Store){
		"no fault":   func(*platformtest.Store) {},
		"cut":        func(s *platformtest.Store) { s.CutWatches() },
		"outage":     func(s *platformtest.Store) { s.SetDown(true); time.Sleep(time.Minute); s.SetDown(false) },
		"watch lag":  func(s *platformtest.Store) { s.SetWatchLag(time.Hour) },
		"late event": func(s *platformtest.Store) { s.SetWatchLag(30 * time.Second) }, // of the first of three versions
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkReader(t, fault) })
		})
	}
}

func checkReader(t *testing.T, fault func(*platformtest.Store)) {
	c := newCrew(t, 1)
	store := platformtest.New()
	var delivered []uint64
	r := &Reader{
		Store:   store,
		Deliver: func(e *bundle.Envelope) { delivered = append(delivered, e.Version) },
		Log:     slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { r.Run(ctx) })
	const withinTarget = 11 * time.Second
	for v := range uint64(3) {
		fault(store)
		if _, err := NewOperator(store, c.trusted).Rollout(ctx, c.envelope(t, 0, v+1), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(withinTarget)
		synctest.Wait()
		if len(delivered) == 0 || delivered[len(delivered)-1] != v+1 {
			t.Fatalf("delivered %v, want version %d last", delivered, v+1)
		}
	}
	if !slices.IsSorted(delivered) {
		t.Fatalf("delivered %v", delivered)
	}
	cancel()
	group.Wait()
}

// TestProvider guards against peers that transfer whole bundles where a delta suffices, or a delta that
// the requester cannot apply.
func TestProvider(t *testing.T) {
	c := newCrew(t, 1)
	p := &Provider{}
	if reply, err := p.Answer(&wire.BundleRequest{}); err != nil || reply.Version != 0 {
		t.Fatalf("empty provider: %v %v", reply, err)
	}
	const versions = 12
	nodes := map[uint64]*bundle.Acceptor{0: bundle.NewAcceptor(c.trusted)}
	for v := uint64(1); v <= versions; v++ {
		e := c.envelope(t, 0, v)
		nodes[v] = bundle.NewAcceptor(c.trusted)
		if _, err := nodes[v].Offer(e); err != nil {
			t.Fatal(err)
		}
		if err := p.Set(e); err != nil {
			t.Fatal(err)
		}
	}
	for v, a := range nodes {
		reply, err := p.Answer(&wire.BundleRequest{HaveVersion: v})
		if err != nil {
			t.Fatal(err)
		}
		if known := v > versions-providerVersions && v < versions; reply.Delta != known {
			t.Fatalf("from version %d: delta %v", v, reply.Delta)
		}
		_, err = Receive(a, reply)
		if upToDate := v == versions; upToDate != errors.Is(err, bundle.ErrUnchanged) || !upToDate && err != nil {
			t.Fatalf("from version %d: %v", v, err)
		}
		if a.Version() != versions {
			t.Fatalf("version %d in force", a.Version())
		}
	}
}

// TestIsReader guards against a number of watches that grows with the fleet, and against a domain without a reader.
func TestIsReader(t *testing.T) {
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
			if IsReader(m.NodeID, members, ReadersPerDomain) {
				readers[m.FailureDomain]++
			}
		}
		for d, size := range sizes {
			if got := readers[fmt.Sprintf("d%d", d)]; got != min(size, ReadersPerDomain) {
				rt.Fatalf("domain of %d nodes has %d readers", size, got)
			}
		}
	})
	if IsReader("absent", []Member{{NodeID: "a", FailureDomain: "d"}}, 2) {
		t.Fatal("a node outside the membership is a reader")
	}
}

// TestStatusWrites guards against a status that costs the store a write for each node and change.
func TestStatusWrites(t *testing.T) {
	store := platformtest.New()
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
	if err != nil || len(got) != 1 || got[0].Nodes != 500 || len(got[0].Behind) != maxBehind {
		t.Fatalf("statuses %v, error %v", got, err)
	}
}
