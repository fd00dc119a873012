package bundle

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validTOML = `version = 7

[policy]
probes_per_second = 20
claim_retention = "1h"

[services.katalog]
slots = 12

[services.arkiv]
slots = 4
long_slots = 3

[[routes]]
name = "katalog"
service = "katalog"
path_prefix = "/katalog"

[[routes]]
name = "arkiv"
service = "arkiv"
path_prefix = "/arkiv"
class = "long"
`

// TestParseErrors guards against errors without the line, the key and the allowed values that an operator needs to
// correct them.
func TestParseErrors(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     []string // prefix of "LINE KEY", and part of Allowed
	}{
		"unknown key in policy": {"probes_per_second", "probes_per_sec", []string{"4 policy.probes_per_sec", "probes_per_second"}},
		"unknown key in route":  {"class =", "clas =", []string{"23 routes.clas", "path_prefix"}},
		"unknown table":         {"[policy]", "[polcy]", []string{"3 polcy", "policy"}},
		"wrong type":            {"slots = 12", `slots = "12"`, []string{"8 ", ""}},
		"wrong duration":        {`"1h"`, `"1 hour"`, []string{"5 ", ""}},
		"duration too short":    {`"1h"`, `"1s"`, []string{"5 policy.claim_retention", "10m0s to 720h0m0s"}},
		"syntax":                {"[policy]", "[policy", []string{"3 ", ""}},
		"unknown service":       {`service = "arkiv"`, `service = "arkive"`, []string{"21 routes[1].service", "arkiv, katalog"}},
		"too few slots":         {"slots = 12", "slots = 1", []string{"8 services.katalog.slots", "2 to"}},
		"long slots take all":   {"long_slots = 3", "long_slots = 4", []string{"12 services.arkiv.long_slots", "1 to 3"}},
		"priority":              {`class = "long"`, "priority = 8", []string{"23 routes[1].priority", "0 to 7"}},
		"class":                 {`"long"`, `"slow"`, []string{"23 routes[1].class", `"short" or "long"`}},
		"same match":            {`"/arkiv"`, `"/katalog"`, []string{"19 routes[1]", "differs"}},
		"same name":             {`name = "arkiv"`, `name = "katalog"`, []string{"20 routes[1].name", "no other route"}},
		"method":                {`class = "long"`, `methods = ["get"]`, []string{"23 routes[1].methods[0]", "GET"}},
		"hedge":                 {`class = "long"`, "hedge = true\nidempotent = false", []string{"23 routes[1].hedge", "idempotent = true"}},
		"no version":            {"version = 7", "", []string{"1 version", "from 1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, errs := Parse("b.toml", []byte(strings.Replace(validTOML, c.old, c.new, 1)))
			if b != nil || len(errs) == 0 {
				t.Fatal("invalid bundle was accepted")
			}
			first := errs[0]
			if got := fmt.Sprintf("%d %s", first.Line, first.Key); !strings.HasPrefix(got, c.want[0]) {
				t.Errorf("error at %q, want %q (all errors: %v)", got, c.want[0], errs)
			}
			if !strings.Contains(first.Allowed, c.want[1]) || first.File != "b.toml" {
				t.Errorf("wrong file or allowed values in %v", first)
			}
		})
	}
}

// TestSectionsRoundTrip guards against fields that are lost between the author's file and the nodes.
func TestSectionsRoundTrip(t *testing.T) {
	no := false
	b, errs := Parse("b.toml", []byte(validTOML))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	b.Routes[0].Idempotent = &no
	sections, err := b.Sections()
	if err != nil {
		t.Fatal(err)
	}
	got, err := sections.Bundle(b.Version)
	if err != nil {
		t.Fatal(err)
	}
	b.Routes[0], b.Routes[1] = b.Routes[1], b.Routes[0] // the decoder orders routes by name
	if diff := cmp.Diff(b, got); diff != "" {
		t.Fatal(diff)
	}
}
