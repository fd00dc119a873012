package faulttest

import (
	"testing"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
)

// Guards against a watch that delivers a change which the store made after the access went down: a node would then
// receive a bundle that the test means to withhold. The event and the closed downSignal are ready at the same time, and
// select picks either.
func TestDownStoreAccessDeliversNoLaterChange(t *testing.T) {
	for range 200 {
		store := objectstoretest.New()
		a := newStoreAccess(store)
		events, err := a.Watch(t.Context(), "", 0)
		if err != nil {
			t.Fatal(err)
		}
		a.setDown(true)
		if _, err := store.Put(t.Context(), "bundle/current", []byte("2"), objectstore.MustNotExist); err != nil {
			t.Fatal(err)
		}
		if e, open := <-events; open {
			t.Fatalf("the watch delivered %s although the access is down", e.Object.Key)
		}
	}
}
