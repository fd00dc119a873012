package claim

import (
	"testing"

	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/verdict"
)

// TestLayout guards against two numbers of shards in one store, with which the request of a key could run
// twice.
func TestLayout(t *testing.T) {
	store := objectstoretest.New()
	a, b := newClaimer(store), newClaimer(store)
	defer a.Close()
	defer b.Close()
	b.shards = 2
	wantKind(t, a, "1", Run)
	_, err := b.Acquire(t.Context(), "key", []byte("digest"), []byte("2"))
	wantReason(t, err, verdict.ClaimUnavailable)
}

// TestClaimsWithoutLayout guards against a claimer that overlooks claims of a version that did not store
// the number of shards.
func TestClaimsWithoutLayout(t *testing.T) {
	store := objectstoretest.New()
	a := newClaimer(store)
	defer a.Close()
	if _, err := store.Put(t.Context(), "claims/ordre/1000", nil, 0); err != nil {
		t.Fatal(err)
	}
	_, err := a.Acquire(t.Context(), "key", []byte("digest"), []byte("1"))
	wantReason(t, err, verdict.ClaimUnavailable)
}
