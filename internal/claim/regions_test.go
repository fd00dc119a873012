package claim

import (
	"strings"
	"testing"
	"testing/synctest"

	"dandelionspoke/internal/objectstoretest"
)

// Guards against the response to a request that only some regions may run in a store or at an owner in another region, and
// against the loss of the stored response where both are in an allowed region.
func TestOutcomeStaysInAllowedRegions(t *testing.T) {
	cases := map[string]struct {
		allowed                  []string
		storeRegion, ownerRegion string
		want                     Kind
	}{
		"not restricted":       {nil, "", "west", Replay},
		"inside":               {[]string{"east", "west"}, "east", "west", Replay},
		"store outside":        {[]string{"west"}, "east", "west", Held},
		"store unknown":        {[]string{"west"}, "", "west", Held},
		"owner outside":        {[]string{"east"}, "east", "west", Held},
		"owner's not stated":   {[]string{"east"}, "east", "", Held},
		"nothing is allowed":   {[]string{}, "east", "east", Held},
		"owner in the store's": {[]string{"east"}, "east", "east", Replay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objectstoretest.New()
				net := newNetwork(store, 2, 1, 1, 0)
				defer net.close()
				net.routers[1].config.StoreRegion = c.storeRegion
				for i := range net.views[1] {
					net.views[1][i].Region = c.ownerRegion
				}
				claims := net.routers[1].For("ordre")
				if r, err := claims.Acquire(t.Context(), "key", []byte("digest"), []byte("first")); err != nil || r.Kind != Run {
					t.Fatalf("%+v, error %v", r, err)
				}
				o := ranOutcome("secret")
				o.AllowedRegions = c.allowed
				if err := claims.Complete(t.Context(), "key", o); err != nil {
					t.Fatal(err)
				}
				r, err := claims.Acquire(t.Context(), "key", []byte("digest"), []byte("second"))
				if err != nil || r.Kind != c.want {
					t.Errorf("repeat: %+v, error %v", r, err)
				}
				stored, err := store.List(t.Context(), "claims/")
				if err != nil || len(stored) != 1 {
					t.Fatal(stored, err)
				}
				if contains := strings.Contains(string(stored[0].Value), `"b":`); contains != (c.want == Replay) {
					t.Errorf("stored: %s", stored[0].Value)
				}
			})
		})
	}
}
