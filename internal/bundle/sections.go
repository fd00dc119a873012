package bundle

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Sections is the canonical form of a bundle: one TOML text for the policy, for each service, each account and each
// route, by section name. Nodes transfer and hash these texts as they are and never encode them again, so
// that nodes with different versions of the schema compute the same hashes.
type Sections map[string]string

const (
	policySection = "policy"
	servicePrefix = "service/"
	routePrefix   = "route/"
	accountPrefix = "account/"
)

// Hash is a SHA-256 digest.
type Hash [sha256.Size]byte

// String returns the digest in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "bundle: hash")
	}
	if len(raw) != len(h) {
		return errors.Newf("bundle: hash of %d bytes, want %d", len(raw), len(h))
	}
	copy(h[:], raw)
	return nil
}

// Sections returns the canonical form of b. It omits fields with the zero value.
func (b *Bundle) Sections() (Sections, error) {
	s := Sections{}
	if err := s.add(policySection, b.Policy); err != nil {
		return nil, err
	}
	for name, service := range b.Services {
		if err := s.add(servicePrefix+name, service); err != nil {
			return nil, err
		}
	}
	for _, route := range b.Routes {
		if err := s.add(routePrefix+route.Name, route); err != nil {
			return nil, err
		}
	}
	for name, account := range b.Accounts {
		if err := s.add(accountPrefix+name, account); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s Sections) add(name string, v any) error {
	if _, taken := s[name]; taken {
		return errors.Newf("bundle: two sections have the name %q", name)
	}
	text, err := toml.Marshal(nonZeroFields(v))
	s[name] = string(text)
	return errors.Wrapf(err, "bundle: encode %s", name)
}

// nonZeroFields returns the fields of a schema struct that are not zero, by TOML key. It returns a map because the
// encoder sorts the keys of a map, which makes the text canonical.
func nonZeroFields(v any) map[string]any {
	value := reflect.ValueOf(v)
	fields := map[string]any{}
	for i, key := range fieldNames(value.Type()) {
		if field := value.Field(i); !field.IsZero() {
			fields[key] = field.Interface()
		}
	}
	return fields
}

// Root returns the root hash, which the signatures cover. It is the digest of the version and, for each section in
// order of names, of the length of the name, the name and the hash of the text.
func (s Sections) Root(version uint64) Hash {
	digest := sha256.New()
	fmt.Fprintf(digest, "dandelionspoke bundle %d\n", version)
	var entry []byte
	for _, name := range slices.Sorted(maps.Keys(s)) {
		hash := sha256.Sum256([]byte(s[name]))
		entry = binary.BigEndian.AppendUint64(entry[:0], uint64(len(name)))
		entry = append(entry, name...)
		entry = append(entry, hash[:]...)
		digest.Write(entry)
	}
	var root Hash
	digest.Sum(root[:0])
	return root
}

// Bundle decodes and validates the sections and sets the defaults. It orders the routes by name.
func (s Sections) Bundle(version uint64) (*Bundle, error) {
	return s.decodeReusing(version, decodedBundle{})
}

// decodedBundle is a bundle together with the sections that it was decoded from.
type decodedBundle struct {
	sections Sections
	bundle   *Bundle
}

// decodeReusing does the work of Bundle. It copies the services, accounts and routes whose sections are unchanged since previous
// instead of decoding them again.
func (s Sections) decodeReusing(version uint64, previous decodedBundle) (*Bundle, error) {
	b := &Bundle{Version: version, Services: make(map[string]Service, len(s))}
	for _, name := range slices.Sorted(maps.Keys(s)) {
		text := s[name]
		old, found := previous.sections[name]
		if found && old == text && previous.copyInto(b, name) {
			continue
		}
		if err := decodeInto(b, name, text); err != nil {
			return nil, errors.Wrapf(err, "bundle: section %q", name)
		}
	}
	b.SetDefaults()
	if errs := b.Validate(); len(errs) > 0 {
		return nil, errors.Wrapf(errs[0], "bundle: version %d has %d errors", version, len(errs))
	}
	return b, nil
}

// copyInto copies the service, account or route of the named section into b. It returns false if it copies nothing, as for the
// policy.
func (d decodedBundle) copyInto(b *Bundle, name string) bool {
	if service, ok := strings.CutPrefix(name, servicePrefix); ok {
		b.Services[service] = d.bundle.Services[service]
		return true
	}
	if account, ok := strings.CutPrefix(name, accountPrefix); ok {
		b.setAccount(account, d.bundle.Accounts[account])
		return true
	}
	if route, ok := strings.CutPrefix(name, routePrefix); ok {
		i, found := slices.BinarySearchFunc(d.bundle.Routes, route, compareRouteName)
		if found {
			b.Routes = append(b.Routes, d.bundle.Routes[i])
		}
		return found
	}
	return false
}

func compareRouteName(r Route, name string) int { return strings.Compare(r.Name, name) }

func decodeInto(b *Bundle, name, text string) error {
	if name == policySection {
		return decodeSection(text, &b.Policy)
	}
	if service, found := strings.CutPrefix(name, servicePrefix); found {
		var value Service
		err := decodeSection(text, &value)
		b.Services[service] = value
		return err
	}
	if account, found := strings.CutPrefix(name, accountPrefix); found {
		var value Account
		err := decodeSection(text, &value)
		b.setAccount(account, value)
		return err
	}
	if route, found := strings.CutPrefix(name, routePrefix); found {
		var value Route
		err := decodeSection(text, &value)
		b.Routes = append(b.Routes, value)
		if err == nil && value.Name != route {
			return errors.Newf("contains the route %q", value.Name)
		}
		return err
	}
	return errors.New("unknown section")
}

func (b *Bundle) setAccount(name string, a Account) {
	if b.Accounts == nil {
		b.Accounts = map[string]Account{}
	}
	b.Accounts[name] = a
}

func decodeSection(text string, target any) error {
	return toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(target)
}
