package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// MaxAccounts is the maximum number of accounts in a bundle. It bounds the memory of the index of keys and the cost of
	// validation at each rollout.
	MaxAccounts = 20000
	// maxKeysPerAccount bounds the memory of the index of keys. Operators replace a key by adding the new one first, which
	// takes two.
	maxKeysPerAccount = 100
	regionAllowed     = "1 to 64 letters, digits, '.', '-', '_', ':', '[' or ']'"
	digestAllowed     = "a SHA-256 digest of 64 hexadecimal digits, which no other account has and this one only once"
)

// regionPattern matches the names that the setting region accepts.
var regionPattern = regexp.MustCompile(`^[A-Za-z0-9._:\[\]-]{1,64}$`)

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest = Hash

var errMalformedDigest = errors.New("bundle: key digest is not 64 hexadecimal digits")

// ParseKeyDigest decodes a digest of Account.KeyDigests. The error does not contain the text, which may be a key that was
// entered in place of its digest.
func ParseKeyDigest(text string) (d KeyDigest, err error) {
	if len(text) != 2*sha256.Size {
		return d, errMalformedDigest
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return d, errMalformedDigest
	}
	return d, nil
}

// HasAccounts reports whether the sections contain an account.
func (s Sections) HasAccounts() bool {
	for name := range s {
		if strings.HasPrefix(name, accountPrefix) {
			return true
		}
	}
	return false
}

// checkAccounts adds the errors of all accounts. Messages do not show key digests, since an operator may have entered a key
// in place of its digest.
func (v *validator) checkAccounts(b *Bundle) {
	checkRange(v, "", "accounts", len(b.Accounts), 0, MaxAccounts)
	owners := map[KeyDigest]string{}
	for _, name := range slices.Sorted(maps.Keys(b.Accounts)) {
		a := b.Accounts[name]
		parent := "accounts." + name
		v.require(namePattern.MatchString(name), parent, "", nameAllowed, "the name %q", name)
		if a.Priority != nil {
			checkRange(v, parent, "priority", *a.Priority, 0, MaxPriority)
		}
		checkRange(v, parent, "rate_per_second", a.RatePerSecond, 0, maxRate)
		checkRange(v, parent, "burst", a.Burst, 0, maxRate)
		v.checkRegions(parent, a.AllowedRegions)
		v.checkKeyDigests(parent, name, a.KeyDigests, owners)
	}
}

// checkKeyDigests adds an error for each malformed digest and each one in owners, which maps the digests to the accounts
// checked so far.
func (v *validator) checkKeyDigests(parent, account string, digests []string, owners map[KeyDigest]string) {
	if len(digests) > maxKeysPerAccount {
		v.require(false, parent, "key_digests", fmt.Sprintf("up to %d digests", maxKeysPerAccount), "%d digests", len(digests))
		return
	}
	for i, text := range digests {
		d, err := ParseKeyDigest(text)
		owner, taken := owners[d]
		if err == nil && !taken {
			owners[d] = account
			continue
		}
		field := fmt.Sprintf("key_digests[%d]", i)
		switch {
		case text == "":
			v.require(false, parent, field, digestAllowed, "an empty text")
		case err != nil:
			v.require(false, parent, field, digestAllowed, "a text of %d bytes that is no digest", len(text))
		default:
			v.require(false, parent, field, digestAllowed, "a digest of account %q", owner)
		}
	}
}

// HasContendedCapacity reports whether the bundle has accounts or allowed regions: its callers compete for capacity, also for
// that of the link between regions.
func (b *Bundle) HasContendedCapacity() bool {
	return len(b.Accounts) > 0 || slices.ContainsFunc(b.Routes, func(r Route) bool { return len(r.AllowedRegions) > 0 })
}

// checkRegions adds an error for each name in allowed_regions that no node can have as its region.
func (v *validator) checkRegions(parent string, regions []string) {
	for i, region := range regions {
		if !regionPattern.MatchString(region) {
			v.require(false, parent, fmt.Sprintf("allowed_regions[%d]", i), regionAllowed, "the region %q", region)
		}
	}
}
