package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ConfigError is a syntax or validation error in a settings file.
type ConfigError struct {
	File string
	// Line starts at 1. For a missing key it is the line of the key's table, or 1 if the table is missing as well.
	Line int
	// Key is the dotted path of the key, or empty for a syntax error.
	Key     string
	Message string
	// Allowed describes the values that the key accepts.
	Allowed string
}

// Error implements error.
func (e ConfigError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(e.Message)
	if e.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", e.Allowed)
	}
	return b.String()
}

// Load reads the settings file at path. It returns an error if the file cannot be read, and configuration errors if
// its content is invalid.
func Load(path string) (Settings, []ConfigError, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "read settings")
	}
	s, configErrors := Parse(path, data)
	return s, configErrors, nil
}

// Parse decodes and validates settings; name is the file name that errors report. The settings are valid only if there
// are no errors.
func Parse(name string, data []byte) (Settings, []ConfigError) {
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return Settings{}, []ConfigError{syntaxError(name, err)}
	}
	p := &parser{file: name, lines: keyLines(data), settings: defaults()}
	flat := p.flatten(values)
	p.assign(flat)
	p.checkCrossKeyRules(flat)
	slices.SortStableFunc(p.configErrors, func(a, b ConfigError) int { return a.Line - b.Line })
	return p.settings, p.configErrors
}

func syntaxError(name string, err error) ConfigError {
	line := 1
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	return ConfigError{File: name, Line: line, Message: strings.TrimPrefix(err.Error(), "toml: "), Allowed: "TOML 1.0"}
}

type parser struct {
	file         string
	lines        map[string]int
	settings     Settings
	configErrors []ConfigError
}

// lineOf returns the line of a key, or else of its innermost enclosing table, or 1.
func (p *parser) lineOf(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 1
}

func (p *parser) addError(key, allowed, format string, args ...any) {
	p.configErrors = append(p.configErrors, ConfigError{File: p.file, Line: p.lineOf(key), Key: key, Message: fmt.Sprintf(format, args...), Allowed: allowed})
}

// flatten maps the dotted path of each key to its value. It reports a value of another type where a table is expected;
// unknown keys stay in the map.
func (p *parser) flatten(values map[string]any) map[string]any {
	flat := map[string]any{}
	for key, value := range values {
		table, isTable := value.(map[string]any)
		names := tableKeys(key)
		switch {
		case len(names) > 0 && isTable:
			for sub, v := range table {
				flat[key+"."+sub] = v
			}
		case len(names) > 0:
			p.addError(key, "the keys "+strings.Join(names, ", "), "is a %s, not a table", tomlTypeName(value))
		default:
			flat[key] = value
		}
	}
	return flat
}

// tableKeys returns the names of the keys that a table may hold, or nil if there is no such table.
func tableKeys(table string) []string {
	var names []string
	for _, k := range Keys() {
		if sub, ok := strings.CutPrefix(k.Name, table+"."); ok {
			names = append(names, sub)
		}
	}
	return names
}

// assign stores the values in the settings and reports missing, invalid and unknown keys.
func (p *parser) assign(flat map[string]any) {
	known := map[string]bool{}
	for _, k := range Keys() {
		known[k.Name] = true
		value, present := flat[k.Name]
		switch {
		case !present && k.Required:
			p.addError(k.Name, k.Allowed, "is required")
		case present && !k.set(&p.settings, value):
			p.addError(k.Name, k.Allowed, "%s is not allowed", k.describeValue(value))
		}
	}
	for key := range flat {
		if !known[key] {
			p.addError(key, p.siblingKeys(key), "is not a known key")
		}
	}
}

// siblingKeys lists the known keys of the table in which an unknown key was found.
func (p *parser) siblingKeys(key string) string {
	table, _, nested := strings.Cut(key, ".")
	if nested {
		return strings.Join(tableKeys(table), ", ")
	}
	var names []string
	for _, k := range Keys() {
		top, _, _ := strings.Cut(k.Name, ".")
		if !slices.Contains(names, top) {
			names = append(names, top)
		}
	}
	return strings.Join(names, ", ")
}

// checkCrossKeyRules validates combinations of keys and sets the defaults that depend on another key.
func (p *parser) checkCrossKeyRules(flat map[string]any) {
	s := &p.settings
	if s.Gossip.Listen == "" {
		s.Gossip.Listen = s.Peer.Listen
	}
	p.deriveAdvertise("peer", s.Peer.Listen, &s.Peer.Advertise, flat)
	p.deriveAdvertise("gossip", s.Gossip.Listen, &s.Gossip.Advertise, flat)
	_, tokenGiven := flat["admin.token"]
	if !tokenGiven && !isLoopback(s.Admin.Listen) {
		p.addError("admin.token", tokenAllowed, "is required because admin.listen is %s", s.Admin.Listen)
	}
	if s.Adapter == "" && !isLoopback(s.Announce.Listen) {
		p.addError("announce.listen", announceAllowed, "the string %q is not allowed", s.Announce.Listen)
	}
	if s.DrainNotice+s.DrainReserve >= s.DrainTimeout {
		p.addError("drain_reserve", "below drain_timeout, together with drain_notice", "is %s, with drain_notice %s and drain_timeout %s",
			s.DrainReserve, s.DrainNotice, s.DrainTimeout)
	}
	if (s.Retry.Share > 0 || s.Retry.Floor > 0) && s.Retry.Window == 0 {
		p.addError("retry.window", "a duration from \"1s\" to \"10m\"", "is required because another key of retry is set")
	}
	for _, name := range []string{"bundle.trusted_keys", "bundle.approver_keys"} {
		if _, given := flat[name]; !given && !s.Bundle.Unsigned {
			p.addError(name, keysAllowed, "is required because bundle.unsigned is false")
		}
	}
	for owner, key := range s.Bundle.ApproverKeys {
		if other, both := s.Bundle.TrustedKeys[owner]; both && !other.Equal(key) {
			p.addError("bundle.approver_keys", keysAllowed, "%s has a different public key in bundle.trusted_keys", owner)
		}
	}
	if s.NodeID == "" {
		s.NodeID = s.Peer.Advertise
	}
}

// deriveAdvertise sets the default of an advertised address: the listen address, if it has a specific IP address and a
// fixed port. With an unspecified IP address (0.0.0.0 or [::]) the key is required.
func (p *parser) deriveAdvertise(table, listen string, advertise *string, flat map[string]any) {
	_, given := flat[table+".advertise"]
	addr, err := netip.ParseAddrPort(listen)
	if given || err != nil {
		return
	}
	if addr.Addr().IsUnspecified() {
		p.addError(table+".advertise", advertiseAllowed, "is required because %s.listen is %s", table, listen)
		return
	}
	if addr.Port() != 0 {
		*advertise = listen
	}
}

func isLoopback(listen string) bool {
	addr, err := netip.ParseAddrPort(listen)
	return err == nil && addr.Addr().IsLoopback()
}

func tomlTypeName(value any) string {
	switch value.(type) {
	case string:
		return "string"
	case int64:
		return "whole number"
	case float64:
		return "number"
	case bool:
		return "boolean"
	case []any:
		return "list"
	case map[string]any:
		return "table"
	default:
		return "date or time"
	}
}

// maxQuotedBytes limits how much of an invalid value an error message quotes.
const maxQuotedBytes = 80

// describeValue returns the type and the content of an invalid value, or only the type if the key holds a secret.
func (k Key) describeValue(value any) string {
	if strings.HasSuffix(k.Name, "token") {
		return "the " + tomlTypeName(value)
	}
	shown := fmt.Sprintf("%v", value)
	if v, ok := value.(string); ok {
		shown = fmt.Sprintf("%q", v)
	}
	if len(shown) > maxQuotedBytes {
		shown = shown[:maxQuotedBytes] + "…"
	}
	return fmt.Sprintf("the %s %s", tomlTypeName(value), shown)
}
