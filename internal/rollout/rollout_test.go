package rollout

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"dandelionspoke/internal/bundle"
	_ "dandelionspoke/internal/fixedseed"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type crew struct {
	authors  []bundle.SigningKey
	approver bundle.SigningKey
	trusted  bundle.TrustedKeys
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
	trusted, err := bundle.ParseTrustedKeys(lines)
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
			store := objectstoretest.New()
			for v := range versions {
				injectFault(store, faults[v])
				race(t, store, c, envelopes, v)
			}
			checkHistory(t, store, c, versions)
		})
	})
}

func injectFault(store *objectstoretest.Store, fault int) {
	switch fault {
	case 1:
		store.DropResponses(3)
	case 2:
		store.DropWrites(3)
	case 3:
		store.DelayWrites(3, 30*time.Millisecond)
	case 4:
		store.InjectConflicts(2)
	}
}

func race(t *testing.T, store objectstore.Store, c crew, envelopes [3][4]*bundle.Envelope, v int) {
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
		if !won && (!errors.As(err, &lost) || lost.Current.Author != current.Author || lost.Current.Version != uint64(v+1)) {
			t.Fatalf("operator %d: error %v does not name the winner %s", o, err, current.Author)
		}
	}
}

func checkHistory(t *testing.T, store objectstore.Store, c crew, versions int) {
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
	o := NewOperator(objectstoretest.New(), c.trusted)
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
	if _, err := o.Rollout(t.Context(), c.envelope(t, 0, 1), nil); !errors.As(err, &lost) || lost.Current.Version != 2 {
		t.Fatalf("lower version: %v", err)
	}
}

// TestRestore guards against going back by lowering the version, which nodes would refuse.
func TestRestore(t *testing.T) {
	c := newCrew(t, 1)
	o := NewOperator(objectstoretest.New(), c.trusted)
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
	store := objectstoretest.New()
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
