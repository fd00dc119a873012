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

// Fault is one mistake in a settings file.
type ConfigError struct {
	File string
	// Line starts at 1. A fault about a missing key names the line of its table, or line 1.
	Line int
	// Key is the dotted path of the key, or empty for a syntax error.
	Key     string
	Message string
	// Allowed says which values the key takes.
	Allowed string
}

// Error implements error.
func (f ConfigError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Message)
	if f.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.Allowed)
	}
	return b.String()
}

// Load reads the settings file at path. The error is set when the file cannot be read; mistakes in it are faults.
func Load(path string) (Settings, []ConfigError, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "read settings")
	}
	s, faults := Parse(path, data)
	return s, faults, nil
}

// Parse reads settings from data; name is the file name in faults. The settings are valid only without faults.
func Parse(name string, data []byte) (Settings, []ConfigError) {
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return Settings{}, []ConfigError{syntaxFault(name, err)}
	}
	p := &parse{file: name, lines: keyLines(data), settings: defaults()}
	flat := p.flatten(values)
	p.assign(flat)
	p.checkPairs(flat)
	slices.SortStableFunc(p.faults, func(a, b ConfigError) int { return a.Line - b.Line })
	return p.settings, p.faults
}

func syntaxFault(name string, err error) ConfigError {
	line := 1
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	return ConfigError{File: name, Line: line, Message: strings.TrimPrefix(err.Error(), "toml: "), Allowed: "TOML 1.0"}
}

type parse struct {
	file     string
	lines    map[string]int
	settings Settings
	faults   []ConfigError
}

// line returns the line of a key, or of the nearest table around it, or 1.
func (p *parse) line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 1
}

func (p *parse) fault(key, allowed, format string, args ...any) {
	p.faults = append(p.faults, ConfigError{File: p.file, Line: p.line(key), Key: key, Message: fmt.Sprintf(format, args...), Allowed: allowed})
}

// flatten maps the dotted path of each key to its value and reports the names that are not known.
func (p *parse) flatten(values map[string]any) map[string]any {
	flat := map[string]any{}
	for key, value := range values {
		table, isTable := value.(map[string]any)
		names := keysUnder(key)
		switch {
		case len(names) > 0 && isTable:
			for sub, v := range table {
				flat[key+"."+sub] = v
			}
		case len(names) > 0:
			p.fault(key, "the keys "+strings.Join(names, ", "), "is a %s, not a table", kindOf(value))
		default:
			flat[key] = value
		}
	}
	return flat
}

// keysUnder returns the names of the keys of a table, or nil when there is no such table.
func keysUnder(table string) []string {
	var names []string
	for _, k := range Keys() {
		if sub, ok := strings.CutPrefix(k.Name, table+"."); ok {
			names = append(names, sub)
		}
	}
	return names
}

func (p *parse) assign(flat map[string]any) {
	known := map[string]bool{}
	for _, k := range Keys() {
		known[k.Name] = true
		value, present := flat[k.Name]
		switch {
		case !present && k.Required:
			p.fault(k.Name, k.Allowed, "is required")
		case present && !k.set(&p.settings, value):
			p.fault(k.Name, k.Allowed, "%s is not allowed", k.describe(value))
		}
	}
	for key := range flat {
		if !known[key] {
			p.fault(key, p.siblings(key), "is not a known key")
		}
	}
}

// siblings lists the keys that are known at the place of an unknown one.
func (p *parse) siblings(key string) string {
	table, _, nested := strings.Cut(key, ".")
	if nested {
		return strings.Join(keysUnder(table), ", ")
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

// checkPairs applies the rules that concern two keys and fills in the defaults that depend on another key.
func (p *parse) checkPairs(flat map[string]any) {
	s := &p.settings
	if s.Gossip.Listen == "" {
		s.Gossip.Listen = s.Peer.Listen
	}
	p.checkAdvertise("peer", s.Peer.Listen, &s.Peer.Advertise, flat)
	p.checkAdvertise("gossip", s.Gossip.Listen, &s.Gossip.Advertise, flat)
	_, tokenGiven := flat["admin.token"]
	if !tokenGiven && !isLoopback(s.Admin.Listen) {
		p.fault("admin.token", tokenAllowed, "is required because admin.listen is %s", s.Admin.Listen)
	}
	if s.Adapter == "" && !isLoopback(s.Announce.Listen) {
		p.fault("announce.listen", announceAllowed, "the string %q is not allowed", s.Announce.Listen)
	}
	if s.DrainNotice+s.DrainReserve >= s.DrainTimeout {
		p.fault("drain_reserve", "below drain_timeout, together with drain_notice", "is %s, with drain_notice %s and drain_timeout %s",
			s.DrainReserve, s.DrainNotice, s.DrainTimeout)
	}
	if (s.Retry.Share > 0 || s.Retry.Floor > 0) && s.Retry.Window == 0 {
		p.fault("retry.window", "a duration from \"1s\" to \"10m\"", "is required because another key of retry is set")
	}
	for _, name := range []string{"bundle.trusted_keys", "bundle.approver_keys"} {
		if _, given := flat[name]; !given && !s.Bundle.Unsigned {
			p.fault(name, keysAllowed, "is required because bundle.unsigned is false")
		}
	}
	for owner, key := range s.Bundle.ApproverKeys {
		if other, both := s.Bundle.TrustedKeys[owner]; both && !other.Equal(key) {
			p.fault("bundle.approver_keys", keysAllowed, "%s has another key in bundle.trusted_keys", owner)
		}
	}
	if s.NodeID == "" {
		s.NodeID = s.Peer.Advertise
	}
}

// checkAdvertise derives the advertised address from a specific listen address with a fixed port.
func (p *parse) checkAdvertise(table, listen string, advertise *string, flat map[string]any) {
	_, given := flat[table+".advertise"]
	addr, err := netip.ParseAddrPort(listen)
	if given || err != nil {
		return
	}
	if addr.Addr().IsUnspecified() {
		p.fault(table+".advertise", advertiseAllowed, "is required because %s.listen is %s", table, listen)
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

func kindOf(value any) string {
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

// maxQuotedValue bounds the part of a wrong value that a fault repeats, in bytes.
const maxQuotedValue = 80

// describe names a wrong value. Secrets are not repeated.
func (k Key) describe(value any) string {
	if strings.HasSuffix(k.Name, "token") {
		return "the " + kindOf(value)
	}
	shown := fmt.Sprintf("%v", value)
	if v, ok := value.(string); ok {
		shown = fmt.Sprintf("%q", v)
	}
	if len(shown) > maxQuotedValue {
		shown = shown[:maxQuotedValue] + "…"
	}
	return fmt.Sprintf("the %s %s", kindOf(value), shown)
}
