package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Key describes one key of a settings file.
type Key struct {
	// Name is the dotted path of the key.
	Name string
	// Allowed describes the values that the key accepts.
	Allowed string
	// Default describes the value used if the key is absent.
	Default string
	// Required keys have no default.
	Required bool

	// set validates the decoded TOML value, stores it if it is valid, and reports whether it is.
	set func(s *Settings, value any) bool
}

// Descriptions of allowed values that several keys share.
const (
	addressAllowed = "ip:port, such as \"10.0.0.7:7070\" (an IP address, not a name; port 0 to 65535)"
	nameAllowed    = "1 to 64 letters, digits, '.', '-', '_', ':', '[' or ']'"
	keysAllowed    = "a list of at least one public key, each \"NAME ed25519 BASE64\" as printed by bundle keygen, no name twice"
)

const maxNameLength = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._:\[\]-]+$`)

// Keys returns all keys of a settings file.
func Keys() []Key {
	return []Key{
		{Name: "node_id", Allowed: nameAllowed, Default: "advertised peer address", set: nameSetter(func(s *Settings) *string { return &s.NodeID })},
		{Name: "region", Allowed: nameAllowed, Required: true, set: nameSetter(func(s *Settings) *string { return &s.Region })},
		{Name: "failure_domain", Allowed: nameAllowed, Required: true, set: nameSetter(func(s *Settings) *string { return &s.FailureDomain })},
		{Name: "seeds", Allowed: "a list of peer addresses, each ip:port with a specific IP address and a port from 1", Default: "empty", set: setSeeds},
		{Name: "drain_timeout", Allowed: "a duration from \"1s\" to \"1h\"", Default: "30s", set: durationSetter(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.DrainTimeout })},
		{Name: "drain_reserve", Allowed: "a duration from \"0s\" to \"1h\", below drain_timeout", Default: "0s", set: durationSetter(0, time.Hour, func(s *Settings) *time.Duration { return &s.DrainReserve })},
		{Name: "drain_notice", Allowed: "a duration from \"0s\" to \"1h\", below drain_timeout", Default: "0s", set: durationSetter(0, time.Hour, func(s *Settings) *time.Duration { return &s.DrainNotice })},
		{Name: "gc_percent", Allowed: "a whole number from 10 to 1000", Default: "400", set: integerSetter(10, 1000, func(s *Settings, v int64) { s.GCPercent = int(v) })},
		{Name: "adapter", Allowed: nameAllowed + "; the name of an adapter of this build", Default: "none", set: nameSetter(func(s *Settings) *string { return &s.Adapter })},

		{Name: "ingress.listen", Allowed: addressAllowed, Default: DefaultIngressListen, set: addressSetter(func(s *Settings) *string { return &s.Ingress.Listen })},
		{Name: "ingress.header_timeout", Allowed: "a duration from \"100ms\" to \"1m\"", Default: "5s", set: durationSetter(100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Ingress.HeaderTimeout })},
		{Name: "ingress.idle_timeout", Allowed: "a duration from \"0s\" (none) to \"1h\"", Default: "0s", set: durationSetter(0, time.Hour, func(s *Settings) *time.Duration { return &s.Ingress.IdleTimeout })},
		{Name: "ingress.max_header_bytes", Allowed: "a whole number from 1024 to 1048576", Default: "65536", set: integerSetter(1<<10, 1<<20, func(s *Settings, v int64) { s.Ingress.MaxHeaderBytes = int(v) })},
		{Name: "ingress.max_body_bytes", Allowed: "a whole number from 1 to 1073741824", Default: "67108864", set: integerSetter(1, 1<<30, func(s *Settings, v int64) { s.Ingress.MaxBodyBytes = v })},

		{Name: "peer.listen", Allowed: addressAllowed, Required: true, set: addressSetter(func(s *Settings) *string { return &s.Peer.Listen })},
		{Name: "peer.advertise", Allowed: advertiseAllowed, Default: "peer.listen", set: dialableAddressSetter(func(s *Settings) *string { return &s.Peer.Advertise })},
		{Name: "gossip.listen", Allowed: addressAllowed, Default: "peer.listen", set: addressSetter(func(s *Settings) *string { return &s.Gossip.Listen })},
		{Name: "gossip.advertise", Allowed: advertiseAllowed, Default: "gossip.listen", set: dialableAddressSetter(func(s *Settings) *string { return &s.Gossip.Advertise })},
		{Name: "admin.listen", Allowed: addressAllowed, Default: DefaultAdminListen, set: addressSetter(func(s *Settings) *string { return &s.Admin.Listen })},
		{Name: "admin.token", Allowed: tokenAllowed, Default: "none", set: tokenSetter(func(s *Settings) *string { return &s.Admin.Token })},
		{Name: "announce.listen", Allowed: announceAllowed, Default: DefaultAnnounceListen, set: addressSetter(func(s *Settings) *string { return &s.Announce.Listen })},

		{Name: "backend.service", Allowed: nameAllowed, Default: "as announced", set: nameSetter(func(s *Settings) *string { return &s.Backend.Service })},
		{Name: "backend.address", Allowed: addressAllowed, Default: "as announced", set: addressSetter(func(s *Settings) *string { return &s.Backend.Address })},
		{Name: "backend.port_check", Allowed: "a duration from \"0s\" (never) to \"1m\"", Default: "500ms", set: durationSetter(0, time.Minute, func(s *Settings) *time.Duration { return &s.Backend.PortCheck })},
		{Name: "backend.max_response_header_bytes", Allowed: "a whole number from 1024 to 1048576", Default: "65536", set: integerSetter(1<<10, 1<<20, func(s *Settings, v int64) { s.Backend.MaxResponseHeaderBytes = v })},
		{Name: "health.listen", Allowed: addressAllowed, Default: "none", set: addressSetter(func(s *Settings) *string { return &s.Health.Listen })},
		{Name: "metrics.listen", Allowed: addressAllowed, Default: "none", set: addressSetter(func(s *Settings) *string { return &s.Metrics.Listen })},
		{Name: "retry.share", Allowed: "a number from 0 to 1", Default: "the bundle's policy", set: numberSetter(0, 1, func(s *Settings) *float64 { return &s.Retry.Share })},
		{Name: "retry.floor", Allowed: "a number from 0 to 1000000", Default: "the bundle's policy", set: numberSetter(0, 1e6, func(s *Settings) *float64 { return &s.Retry.Floor })},
		{Name: "retry.window", Allowed: "a duration from \"1s\" to \"10m\"", Default: "the bundle's policy", set: durationSetter(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Retry.Window })},

		{Name: "accounts.require_confirmation", Allowed: "true or false", Default: "false", set: booleanSetter(func(s *Settings) *bool { return &s.Accounts.RequireConfirmation })},
		{Name: "accounts.revocation", Allowed: "a duration from \"1s\" to \"10m\"", Default: "5s", set: durationSetter(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Accounts.Revocation })},
		{Name: "rate_limit.window", Allowed: "a duration from \"1s\" to \"10m\"", Default: "no rate limits", set: durationSetter(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.RateLimit.Window })},
		{Name: "rate_limit.tolerance", Allowed: "a number from 0 to 10", Default: "0", set: numberSetter(0, 10, func(s *Settings) *float64 { return &s.RateLimit.Tolerance })},
		{Name: "rate_limit.slack", Allowed: "a number from 0 to 1000000", Default: "0", set: numberSetter(0, 1e6, func(s *Settings) *float64 { return &s.RateLimit.Slack })},
		{Name: "slow_start.tolerance", Allowed: "a number from 0 to 100", Default: "no ramp", set: numberSetter(0, 100, func(s *Settings) *float64 { return &s.SlowStart.Tolerance })},
		{Name: "slow_start.slack", Allowed: "a number from 0 to 1000000", Default: "0", set: numberSetter(0, 1e6, func(s *Settings) *float64 { return &s.SlowStart.Slack })},
		{Name: "evacuation.within", Allowed: "a duration from \"100ms\" to \"10m\"", Default: "no evacuations", set: durationSetter(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Evacuation.Within })},

		{Name: "store.url", Allowed: "an http or https URL with a host", Default: "no direct store access", set: setStoreURL},
		{Name: "store.region", Allowed: nameAllowed, Default: "unknown", set: nameSetter(func(s *Settings) *string { return &s.Store.Region })},
		{Name: "store.token", Allowed: "printable ASCII text without spaces", Default: "none", set: tokenSetter(func(s *Settings) *string { return &s.Store.Token })},
		{Name: "store.timeout", Allowed: "a duration from \"10ms\" to \"1m\"", Default: "2s", set: durationSetter(10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Store.Timeout })},
		{Name: "store.watch_wait", Allowed: "a duration from \"100ms\" to \"30s\"", Default: "20s", set: durationSetter(100*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.Store.WatchWait })},
		{Name: "store.calls_per_second", Allowed: "a number from 0.1 to 2000", Default: "20", set: numberSetter(0.1, 2000, func(s *Settings) *float64 { return &s.Store.CallsPerSecond })},

		{Name: "bundle.unsigned", Allowed: "true or false", Default: "false", set: booleanSetter(func(s *Settings) *bool { return &s.Bundle.Unsigned })},
		{Name: "bundle.trusted_keys", Allowed: keysAllowed, Default: requiredIfSigned, set: publicKeysSetter(func(s *Settings) *map[string]ed25519.PublicKey { return &s.Bundle.TrustedKeys })},
		{Name: "bundle.approver_keys", Allowed: keysAllowed, Default: requiredIfSigned, set: publicKeysSetter(func(s *Settings) *map[string]ed25519.PublicKey { return &s.Bundle.ApproverKeys })},

		{Name: "log.level", Allowed: "\"debug\", \"info\", \"warn\" or \"error\"", Default: "info", set: setLogLevel},
	}
}

const (
	advertiseAllowed = "ip:port that other nodes reach: a specific IP address and a port from 1; required when the listen address is 0.0.0.0 or [::]"
	announceAllowed  = "ip:port with a loopback IP address, or with any IP address when adapter is set"
	requiredIfSigned = "required unless bundle.unsigned is true"
	tokenAllowed     = "printable ASCII text without spaces; required when admin.listen is not a loopback address"
)

// stringValue returns a TOML value as a string and reports whether it is one.
func stringValue(value any) (string, bool) {
	s, ok := value.(string)
	return s, ok
}

// nameSetter and the other setters below return a Key.set function that stores a value of their type in field.
func nameSetter(field func(*Settings) *string) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		v, ok := stringValue(value)
		if !ok || len(v) > maxNameLength || !namePattern.MatchString(v) {
			return false
		}
		*field(s) = v
		return true
	}
}

// parseAddress parses "ip:port". IPv6 addresses with a zone are rejected.
func parseAddress(value any) (netip.AddrPort, bool) {
	v, ok := stringValue(value)
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(v)
	return addr, err == nil && addr.Addr().Zone() == ""
}

func addressSetterWhere(allowed func(netip.AddrPort) bool, field func(*Settings) *string) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		addr, ok := parseAddress(value)
		if !ok || !allowed(addr) {
			return false
		}
		*field(s) = addr.String()
		return true
	}
}

func addressSetter(field func(*Settings) *string) func(*Settings, any) bool {
	return addressSetterWhere(func(netip.AddrPort) bool { return true }, field)
}

// isDialable reports whether other nodes can connect to a: its IP address is specific and its port is not 0.
func isDialable(a netip.AddrPort) bool { return !a.Addr().IsUnspecified() && a.Port() != 0 }

func dialableAddressSetter(field func(*Settings) *string) func(*Settings, any) bool {
	return addressSetterWhere(isDialable, field)
}

func setSeeds(s *Settings, value any) bool {
	list, ok := value.([]any)
	if !ok {
		return false
	}
	seeds := make([]string, 0, len(list))
	for _, item := range list {
		addr, ok := parseAddress(item)
		if !ok || !isDialable(addr) {
			return false
		}
		seeds = append(seeds, addr.String())
	}
	s.Seeds = seeds
	return true
}

func durationSetter(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		v, ok := stringValue(value)
		if !ok {
			return false
		}
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return false
		}
		*field(s) = d
		return true
	}
}

func integerSetter(low, high int64, store func(*Settings, int64)) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		v, ok := value.(int64)
		if !ok || v < low || v > high {
			return false
		}
		store(s, v)
		return true
	}
}

func tokenSetter(field func(*Settings) *string) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		v, ok := stringValue(value)
		if !ok || v == "" || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return false
		}
		*field(s) = v
		return true
	}
}

func booleanSetter(field func(*Settings) *bool) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		v, ok := value.(bool)
		if ok {
			*field(s) = v
		}
		return ok
	}
}

func numberSetter(low, high float64, field func(*Settings) *float64) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		v, ok := value.(float64)
		if whole, isWhole := value.(int64); isWhole {
			v, ok = float64(whole), true
		}
		if !ok || !(v >= low && v <= high) { // this form also rejects NaN
			return false
		}
		*field(s) = v
		return true
	}
}

func setStoreURL(s *Settings, value any) bool {
	v, ok := stringValue(value)
	if !ok {
		return false
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	s.Store.URL = v
	return true
}

func publicKeysSetter(field func(*Settings) *map[string]ed25519.PublicKey) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		list, ok := value.([]any)
		if !ok || len(list) == 0 {
			return false
		}
		keys := make(map[string]ed25519.PublicKey, len(list))
		for _, item := range list {
			owner, key, err := parsePublicKey(item)
			if _, duplicate := keys[owner]; duplicate || err != nil {
				return false
			}
			keys[owner] = key
		}
		*field(s) = keys
		return true
	}
}

// publicKeyScheme is the algorithm name in the text form of a public key.
const publicKeyScheme = "ed25519"

// parsePublicKey parses "NAME ed25519 BASE64".
func parsePublicKey(value any) (owner string, key ed25519.PublicKey, err error) {
	v, _ := stringValue(value)
	fields := strings.Fields(v)
	if len(fields) != 3 || fields[1] != publicKeyScheme {
		return "", nil, errors.New("public key is not of the form NAME ed25519 BASE64")
	}
	raw, err := base64.StdEncoding.DecodeString(fields[2])
	if err != nil {
		return "", nil, err
	}
	if len(raw) != ed25519.PublicKeySize {
		return "", nil, errors.Newf("public key has %d bytes", len(raw))
	}
	return fields[0], raw, nil
}

func setLogLevel(s *Settings, value any) bool {
	v, ok := stringValue(value)
	if !ok {
		return false
	}
	switch v {
	case "debug":
		s.Log.Level = slog.LevelDebug
	case "info":
		s.Log.Level = slog.LevelInfo
	case "warn":
		s.Log.Level = slog.LevelWarn
	case "error":
		s.Log.Level = slog.LevelError
	default:
		return false
	}
	return true
}
