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

// testOperators holds the keys of several authors and one approver.
type testOperators struct {
	authors  []bundle.SigningKey
	approver bundle.SigningKey
	trusted  bundle.TrustedKeys
}

func newTestOperators(t *testing.T, authors int) testOperators {
	t.Helper()
	var ops testOperators
	var lines []string
	for i := range authors + 1 {
		k, err := bundle.GenerateKey(fmt.Sprintf("operator-%d", i))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, k.Public())
		ops.authors = append(ops.authors, k)
	}
	ops.approver = ops.authors[authors]
	ops.authors = ops.authors[:authors]
	trusted, err := bundle.ParseTrustedKeys(lines)
	if err != nil {
		t.Fatal(err)
	}
	ops.trusted = trusted
	return ops
}

// envelope returns a signed and approved envelope whose content differs for each author and version.
func (ops testOperators) envelope(t testing.TB, author int, version uint64) *bundle.Envelope {
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
	ops.sign(t, e, author)
	return e
}

func (ops testOperators) sign(t testing.TB, e *bundle.Envelope, author int) {
	t.Helper()
	e.Sign(ops.authors[author])
	if err := e.Approve(ops.approver, ops.trusted); err != nil {
		t.Fatal(err)
	}
}

// TestConcurrentRollouts guards against three failures of concurrent rollouts with the same expected version: more than
// one succeeds, one fails without an error that names the record in force, or a version is missing from the history. The
// store loses responses and writes, delays writes, and reports conflicts that did not happen.
func TestConcurrentRollouts(t *testing.T) {
	const operators, versions = 3, 4
	ops := newTestOperators(t, operators)
	var envelopes [operators][versions]*bundle.Envelope
	for o := range operators {
		for v := range versions {
			envelopes[o][v] = ops.envelope(t, o, uint64(v+1))
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 4), versions, versions).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) {
			store := objectstoretest.New()
			for v := range versions {
				injectFault(store, faults[v])
				rollOutConcurrently(t, store, ops, envelopes, v)
			}
			checkHistory(t, store, ops, versions)
		})
	})
}

// injectFault injects a fault by its number; 0 injects none.
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

// rollOutConcurrently rolls out version v+1 by all operators at once and checks that exactly one succeeds.
func rollOutConcurrently(t *testing.T, store objectstore.Store, ops testOperators, envelopes [3][4]*bundle.Envelope, v int) {
	errs := make([]error, len(envelopes))
	var wg sync.WaitGroup
	for o := range envelopes {
		wg.Go(func() {
			expect := uint64(v)
			_, errs[o] = NewOperator(store, ops.trusted).Rollout(t.Context(), envelopes[o][v], &expect)
		})
	}
	wg.Wait()
	current, err := NewOperator(store, ops.trusted).Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for o, err := range errs {
		var conflict *ConflictError
		won := current.Author == ops.authors[o].Name
		if won != (err == nil) {
			t.Fatalf("operator %d: error %v, but version %d by %s is in force", o, err, current.Version, current.Author)
		}
		if !won && (!errors.As(err, &conflict) || conflict.Current.Author != current.Author || conflict.Current.Version != uint64(v+1)) {
			t.Fatalf("operator %d: error %v does not name the record in force by %s", o, err, current.Author)
		}
	}
}

func checkHistory(t *testing.T, store objectstore.Store, ops testOperators, versions int) {
	records, err := NewOperator(store, ops.trusted).History(t.Context(), 100)
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

// TestRolloutRefused guards against rollouts without an approval, of a lower version, or while another version than the
// expected one is in force.
func TestRolloutRefused(t *testing.T) {
	ops := newTestOperators(t, 1)
	o := NewOperator(objectstoretest.New(), ops.trusted)
	unsigned := ops.envelope(t, 0, 1)
	unsigned.Approver = nil
	if _, err := o.Rollout(t.Context(), unsigned, nil); !errors.Is(err, bundle.ErrUntrusted) {
		t.Fatalf("rollout without approval returned %v", err)
	}
	one := uint64(1)
	var conflict *ConflictError
	if _, err := o.Rollout(t.Context(), ops.envelope(t, 0, 2), &one); !errors.As(err, &conflict) {
		t.Fatalf("rollout that expects another version returned %v", err)
	}
	for range 2 { // the second rollout repeats the first one
		if _, err := o.Rollout(t.Context(), ops.envelope(t, 0, 2), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := o.Rollout(t.Context(), ops.envelope(t, 0, 1), nil); !errors.As(err, &conflict) || conflict.Current.Version != 2 {
		t.Fatalf("rollout of a lower version returned %v", err)
	}
}

// TestRestore guards against a rollback that lowers the version, which nodes refuse.
func TestRestore(t *testing.T) {
	ops := newTestOperators(t, 1)
	o := NewOperator(objectstoretest.New(), ops.trusted)
	a := bundle.NewAcceptor(ops.trusted)
	for v := range uint64(3) {
		if _, err := o.Rollout(t.Context(), ops.envelope(t, 0, v+1), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := o.Restore(t.Context(), 9); !errors.Is(err, ErrVersionNotFound) {
		t.Fatalf("restore of an unknown version returned %v", err)
	}
	e, err := o.Restore(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := o.Rollout(t.Context(), e, nil); !errors.Is(err, bundle.ErrUntrusted) {
		t.Fatalf("rollout of a restored envelope without signatures returned %v", err)
	}
	ops.sign(t, e, 0)
	if _, err := o.Rollout(t.Context(), e, nil); err != nil {
		t.Fatal(err)
	}
	b, err := a.Offer(e)
	if err != nil || b.Version != 4 || b.Policy.SubsetSize != 101 {
		t.Fatalf("bundle %v, error %v", b, err)
	}
}

// TestHistoryRepair guards against a version that is missing from the history because the operator's process stopped
// between the update of bundle/current and the write to the history.
func TestHistoryRepair(t *testing.T) {
	ops := newTestOperators(t, 1)
	store := objectstoretest.New()
	o := NewOperator(store, ops.trusted)
	for v := range uint64(3) {
		if _, err := o.Rollout(t.Context(), ops.envelope(t, 0, v+1), nil); err != nil {
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
	checkHistory(t, store, ops, 3)
}
