// Package settings reads the settings of one node from TOML and reports every fault with its file, line and key.
package settings

import (
	"crypto/ed25519"
	"log/slog"
	"maps"
	"reflect"
	"time"
)

// Settings configure one node. Addresses are "ip:port" text.
type Settings struct {
	// NodeID is unique in the fleet. When empty, the node uses its advertised peer address.
	NodeID        string
	Region        string
	FailureDomain string
	Ingress       Ingress
	Peer          Peer
	Gossip        Gossip
	Admin         Admin
	Announce      Announce
	// Seeds are peer addresses of nodes through which this node joins the fleet.
	Seeds  []string
	Store  Store
	Bundle Bundle
	Log    Log
	// DrainTimeout bounds a graceful shutdown; requests that are still running then are cut off.
	DrainTimeout time.Duration
	// DrainReserve is the part of DrainTimeout that is left for closing down after the last request.
	DrainReserve time.Duration
	// DrainNotice is the part of DrainTimeout in which a leaving node still takes work, so that the platform can
	// send callers elsewhere first.
	DrainNotice time.Duration
	// GCPercent is the growth of the heap, in percent of the live data, after which garbage is collected. A lower
	// value takes more processor time and less memory.
	GCPercent int
	// Adapter names the translation to a platform with interfaces of its own. Empty: the product's interfaces.
	Adapter string
	Backend Backend
	Health  Health
	Metrics Metrics
	Retry   Retry
}

// Backend describes the backend server beside the node.
type Backend struct {
	// Service that it belongs to, for platforms that fix it. Empty: whatever the server announces.
	Service string
	// Address that it must announce. Empty: any.
	Address string
	// PortCheck is the time between two checks that its port is open; 0 checks never. Each check opens a connection.
	PortCheck time.Duration
}

// Health configures the listener that tells a platform whether the node takes work.
type Health struct {
	Listen string // empty: none
}

// Metrics configures the listener for counters and histograms.
type Metrics struct {
	Listen string // empty: none
}

// Retry holds the fleet's budget of further attempts. It goes before the bundle's policy when Window is not 0.
type Retry struct {
	// Share of the first attempts at a service that may be repeated.
	Share float64
	// Floor is the number of further attempts in each Window that all nodes together may make at a service
	// whatever the share says.
	Floor  float64
	Window time.Duration
}

// Ingress configures the HTTP listener for callers.
type Ingress struct {
	Listen string
	// HeaderTimeout bounds the time in which a caller sends the whole request header.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections on which no request comes; 0 keeps them.
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Peer configures the TCP listener for sessions with other nodes.
type Peer struct {
	Listen string
	// Advertise is the address that other nodes connect to. When empty, it is the bound listen address.
	Advertise string
}

// Gossip configures the UDP socket for probes and membership.
type Gossip struct {
	Listen string
	// Advertise is the address that other nodes send to. When empty, it is the bound listen address.
	Advertise string
}

// Admin configures the listener for operators.
type Admin struct {
	Listen string
	// Token is the bearer token that requests must carry. It is set whenever Listen is not a loopback address.
	Token string
}

// Announce configures the loopback listener on which backend servers announce themselves.
type Announce struct {
	Listen string
}

// Store configures the client of the platform's object API.
type Store struct {
	// URL is empty when the node has no direct access; bundles and claims of keys then go through peers.
	URL string
	// Region is the region of the store. Nodes in it own the claims of keys. Empty means unknown.
	Region  string
	Token   string
	Timeout time.Duration
	// WatchWait is the longest time that one call for changes waits, on platforms where a watch is a series of calls.
	WatchWait      time.Duration
	CallsPerSecond float64
}

// Bundle holds the public keys that a bundle must be signed with, by the names of their owners.
type Bundle struct {
	// Unsigned accepts bundles without signatures, for stores that let only operators write them.
	Unsigned bool
	// TrustedKeys are those of authors.
	TrustedKeys map[string]ed25519.PublicKey
	// ApproverKeys are those of approvers. An owner may be in both maps, with the same key.
	ApproverKeys map[string]ed25519.PublicKey
}

// Trusted returns the keys of authors and approvers together.
func (b Bundle) Trusted() map[string]ed25519.PublicKey {
	all := maps.Clone(b.TrustedKeys)
	if all == nil {
		all = map[string]ed25519.PublicKey{}
	}
	maps.Copy(all, b.ApproverKeys)
	return all
}

// Log configures the log on stderr.
type Log struct {
	Level slog.Level
}

// Defaults of the keys that a settings file may omit.
const (
	DefaultIngressListen  = "0.0.0.0:8080"
	DefaultAdminListen    = "127.0.0.1:9090"
	DefaultAnnounceListen = "127.0.0.1:9091"
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxBodyBytes   = 64 << 20
	DefaultStoreTimeout   = 2 * time.Second
	DefaultCallsPerSecond = 20
	DefaultDrainTimeout   = 30 * time.Second
	// Live data is small, so the runtime's own 100 collects often, and collections show in the p99 of requests.
	DefaultGCPercent    = 400
	DefaultDrainReserve = 0
	DefaultPortCheck    = 500 * time.Millisecond
	DefaultWatchWait    = 20 * time.Second
)

// Default returns settings for tests: every listener on loopback with a port that the system picks, no store and no keys.
func LoopbackDefaults() Settings {
	s := defaults()
	s.Region = "local"
	s.FailureDomain = "local-a"
	s.Ingress.Listen = "127.0.0.1:0"
	s.Peer.Listen = "127.0.0.1:0"
	s.Gossip.Listen = "127.0.0.1:0"
	s.Admin.Listen = "127.0.0.1:0"
	s.Announce.Listen = "127.0.0.1:0"
	return s
}

// defaults returns the values of a settings file that sets nothing.
func defaults() Settings {
	return Settings{
		Ingress: Ingress{
			Listen:         DefaultIngressListen,
			HeaderTimeout:  DefaultHeaderTimeout,
			MaxHeaderBytes: DefaultMaxHeaderBytes,
			MaxBodyBytes:   DefaultMaxBodyBytes,
		},
		Admin:        Admin{Listen: DefaultAdminListen},
		Announce:     Announce{Listen: DefaultAnnounceListen},
		Store:        Store{Timeout: DefaultStoreTimeout, WatchWait: DefaultWatchWait, CallsPerSecond: DefaultCallsPerSecond},
		Log:          Log{Level: slog.LevelInfo},
		GCPercent:    DefaultGCPercent,
		DrainTimeout: DefaultDrainTimeout,
		DrainReserve: DefaultDrainReserve,
		Backend:      Backend{PortCheck: DefaultPortCheck},
	}
}

// Equal reports whether two settings are the same.
func Equal(a, b Settings) bool { return reflect.DeepEqual(a, b) }
