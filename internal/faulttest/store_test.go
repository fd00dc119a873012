package faulttest

import (
	"testing"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
)

// Guards against a watch that delivers a change which the store made after the access was cut: the fault would
// then be weaker than its name, and a node would learn through it what the test withholds.
func TestCutAccessPassesNoLaterChange(t *testing.T) {
	for range 200 {
		store := objectstoretest.New()
		a := newAccess(store)
		events, err := a.Watch(t.Context(), "", 0)
		if err != nil {
			t.Fatal(err)
		}
		a.setDown(true)
		if _, err := store.Put(t.Context(), "bundle/current", []byte("2"), objectstore.MustNotExist); err != nil {
			t.Fatal(err)
		}
		if e, open := <-events; open {
			t.Fatalf("the watch delivered %s through the cut", e.Object.Key)
		}
	}
}
