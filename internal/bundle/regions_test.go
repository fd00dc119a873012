package bundle

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against an accepted bundle with a malformed region, or with so many sets of regions that the nodes' tables grow
// without bound.
func TestAllowedRegionsAreValidated(t *testing.T) {
	valid := func() *Bundle {
		b := &Bundle{Version: 1, Services: map[string]Service{"katalog": {}}, Routes: []Route{{Name: "r", Service: "katalog"}}}
		b.SetDefaults()
		return b
	}
	malformed := valid()
	malformed.Routes[0].AllowedRegions = []string{"kul", "", "K L"}
	errs := malformed.Validate()
	if len(errs) != 2 || errs[0].Key != "routes[0].allowed_regions[1]" || errs[1].Key != "routes[0].allowed_regions[2]" {
		t.Errorf("errors %v", errs)
	}
	for _, sets := range []int{MaxRegionSets, MaxRegionSets + 1} {
		b := valid()
		for i := range sets {
			r := b.Routes[0]
			r.Name, r.PathPrefix, r.AllowedRegions = fmt.Sprint("r-", i), fmt.Sprint("/", i), []string{fmt.Sprint("region-", i)}
			b.Routes = append(b.Routes, r)
		}
		if errs := b.Validate(); (len(errs) > 0) != (sets > MaxRegionSets) {
			t.Errorf("%d sets: %v", sets, errs)
		}
	}
	product := valid()
	product.Accounts = map[string]Account{}
	for i := range 12 {
		all := strings.Split("a b c d e f g h i j k l m n o", " ")
		r := product.Routes[0]
		r.Name, r.PathPrefix, r.AllowedRegions = fmt.Sprint("r-", i), fmt.Sprint("/", i), append(all[:i:i], all[i+1:]...)
		product.Routes = append(product.Routes, r)
		product.Accounts[fmt.Sprint("a-", i)] = Account{AllowedRegions: append(all[:i:i], all[i+1:]...)}
	}
	if errs := product.Validate(); len(errs) != 1 || errs[0].Key != "allowed_regions" {
		t.Errorf("the lists combine to 78 sets: %v", errs)
	}
}
