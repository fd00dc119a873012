package bundle

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var accountsTOML = validTOML + fmt.Sprintf(`allowed_regions = ["north"]

[accounts.lagos]
key_digests = [
  "%064x",
  "%064x",
]
priority = 0
rate_per_second = 50.5
burst = 80

[accounts.oslo]
key_digests = ["%064X"]
allowed_regions = ["north", "South_2"]
`, 1, 2, 0xabc)

// Guards against a faulty account section that is accepted, or reported without the line, the key and the allowed values.
// A key entered in place of its digest must not appear in the report.
func TestAccountErrors(t *testing.T) {
	second, third := fmt.Sprintf("%064x", 2), fmt.Sprintf("%064X", 0xabc)
	cases := map[string]struct{ old, new, where, allowed string }{
		"digest twice in one account": {second, fmt.Sprintf("%064x", 1), "27 accounts.lagos.key_digests[1]", "no other account"},
		"digest in two accounts":      {third, second, "36 accounts.oslo.key_digests[0]", "no other account"},
		"same digest in capitals":     {second, strings.ToLower(third), "36 accounts.oslo.key_digests[0]", "no other account"},
		"empty digest":                {second, "", "27 accounts.lagos.key_digests[1]", "64 hexadecimal"},
		"key instead of its digest":   {second, "sesame-in-clear", "27 accounts.lagos.key_digests[1]", "64 hexadecimal"},
		"not hexadecimal":             {second, strings.Repeat("sesame-x", 8), "27 accounts.lagos.key_digests[1]", "64 hexadecimal"},
		"negative rate":               {"= 50.5", "= -1", "32 accounts.lagos.rate_per_second", "0 to"},
		"rate is no number":           {"= 50.5", "= nan", "32 accounts.lagos.rate_per_second", "0 to"},
		"negative burst":              {"= 80", "= -0.5", "33 accounts.lagos.burst", "0 to"},
		"priority above the range":    {"priority = 0", "priority = 8", "31 accounts.lagos.priority", "0 to 7"},
		"priority below the range":    {"priority = 0", "priority = -1", "31 accounts.lagos.priority", "0 to 7"},
		"empty region":                {`"South_2"`, `""`, "37 accounts.oslo.allowed_regions[1]", "letters"},
		"malformed region":            {`"South_2"`, `"a b"`, "37 accounts.oslo.allowed_regions[1]", "letters"},
		"malformed region of a route": {`["north"]`, `["n/o"]`, "24 routes[1].allowed_regions[0]", "letters"},
		"malformed name":              {"accounts.oslo", `accounts."o slo"`, "35 accounts.o slo", "a-z"},
		"unknown key":                 {"burst", "bursts", "33 accounts.lagos.bursts", "rate_per_second"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, errs := Parse("b.toml", []byte(strings.Replace(accountsTOML, c.old, c.new, 1)))
			if b != nil || len(errs) != 1 {
				t.Fatalf("errors %v, want one", errs)
			}
			got := fmt.Sprintf("%d %s", errs[0].Line, errs[0].Key)
			if got != c.where || !strings.Contains(errs[0].Allowed, c.allowed) || errs[0].File != "b.toml" {
				t.Errorf("error %v, want it at %q with allowed %q", errs[0], c.where, c.allowed)
			}
			if strings.Contains(errs[0].Error(), "sesame") {
				t.Errorf("the error shows a key: %v", errs[0])
			}
		})
	}
	b, errs := Parse("b.toml", []byte(accountsTOML))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	for i := range MaxAccounts {
		b.Accounts[fmt.Sprint("a-", i)] = Account{}
	}
	if errs := b.Validate(); len(errs) != 1 || errs[0].Key != "accounts" {
		t.Errorf("errors %v for too many accounts", errs)
	}
}

// Guards against accounts that are lost or changed between the author's file and the nodes, and against a faulty account
// that takes effect with the rest of its bundle.
func TestAccountsReachTheNodesWhole(t *testing.T) {
	b, errs := Parse("b.toml", []byte(accountsTOML))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	a := NewUnsignedAcceptor()
	offer := func() (*Bundle, error) {
		e, err := NewEnvelope(b)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if e, err = DecodeEnvelope(encoded); err != nil {
			t.Fatal(err)
		}
		return a.Offer(e)
	}
	got, err := offer()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(b.Accounts, got.Accounts); diff != "" || *got.Accounts["lagos"].Priority != 0 {
		t.Errorf("accounts differ: %s", diff)
	}
	b.Version++
	lagos := b.Accounts["lagos"]
	lagos.KeyDigests = []string{"sesame"}
	b.Accounts["lagos"] = lagos
	if _, err := offer(); err == nil || a.Version() != b.Version-1 || strings.Contains(err.Error(), "sesame") {
		t.Errorf("error %v, version %d in force", err, a.Version())
	}
	// Accounts whose sections are unchanged are copied instead of decoded.
	lagos.KeyDigests = nil
	b.Accounts["lagos"] = lagos
	if got, err = offer(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(b.Accounts["oslo"], got.Accounts["oslo"]); diff != "" || len(got.Accounts["lagos"].KeyDigests) != 0 {
		t.Errorf("accounts after a withdrawal: %+v, %s", got.Accounts, diff)
	}
}
