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

// Sections is the canonical form of a bundle: a small TOML text for the policy, each service and each
// route, by section name. Nodes exchange and hash these texts and never encode them again, so that a
// node with another version of the schema computes the same hashes.
type Sections map[string]string

const (
	policySection = "policy"
	servicePrefix = "service/"
	routePrefix   = "route/"
)

// Hash is a SHA-256 digest.
type Hash [sha256.Size]byte

// String returns the digest in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "bundle: hash")
	}
	if len(decoded) != len(h) {
		return errors.Newf("bundle: hash of %d bytes, want %d", len(decoded), len(h))
	}
	copy(h[:], decoded)
	return nil
}

// Sections returns the canonical form of b. Fields with the zero value are left out.
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

// nonZeroFields returns the fields of a struct of the schema by TOML key. The encoder sorts a map by key.
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

// Root returns the digest that the signatures cover: of the version and, for each section, of the
// length of its name, its name and its hash.
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

// Bundle decodes and validates the sections. Routes are ordered by name.
func (s Sections) Bundle(version uint64) (*Bundle, error) {
	return s.bundle(version, decoded{})
}

// decoded is a bundle together with the sections that it was decoded from.
type decoded struct {
	sections Sections
	bundle   *Bundle
}

// bundle copies the sections that are equal in previous instead of decoding them again.
func (s Sections) bundle(version uint64, previous decoded) (*Bundle, error) {
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
	if faults := b.Validate(); len(faults) > 0 {
		return nil, errors.Wrapf(faults[0], "bundle: version %d has %d faults", version, len(faults))
	}
	return b, nil
}

func (d decoded) copyInto(b *Bundle, name string) bool {
	if service, ok := strings.CutPrefix(name, servicePrefix); ok {
		b.Services[service] = d.bundle.Services[service]
		return true
	}
	if route, ok := strings.CutPrefix(name, routePrefix); ok {
		i, found := slices.BinarySearchFunc(d.bundle.Routes, route, compareRoute)
		if found {
			b.Routes = append(b.Routes, d.bundle.Routes[i])
		}
		return found
	}
	return false
}

func compareRoute(r Route, name string) int { return strings.Compare(r.Name, name) }

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
	if route, found := strings.CutPrefix(name, routePrefix); found {
		var value Route
		err := decodeSection(text, &value)
		b.Routes = append(b.Routes, value)
		if err == nil && value.Name != route {
			return errors.Newf("holds the route %q", value.Name)
		}
		return err
	}
	return errors.New("unknown section")
}

func decodeSection(text string, target any) error {
	return toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(target)
}
