// Package settings parses the TOML settings file of a node and reports each error with its file, line and key.
package settings

import (
	"crypto/ed25519"
	"log/slog"
	"maps"
	"reflect"
	"time"
)

// Settings configure one node. Addresses have the form "ip:port".
type Settings struct {
	// NodeID is unique in the fleet. If it is empty, the node uses its advertised peer address.
	NodeID        string
	Region        string
	FailureDomain string
	Ingress       Ingress
	Peer          Peer
	Gossip        Gossip
	Admin         Admin
	Announce      Announce
	// Seeds are the peer addresses of nodes that this node contacts to join the fleet.
	Seeds  []string
	Store  Store
	Bundle Bundle
	Log    Log
	// DrainTimeout limits the time of a graceful shutdown. Requests that are still running DrainReserve before its end
	// are aborted.
	DrainTimeout time.Duration
	// DrainReserve is the final part of DrainTimeout, reserved for closing the node after requests have ended or
	// been aborted.
	DrainReserve time.Duration
	// DrainNotice is the first part of DrainTimeout. During it, a draining node still accepts requests, so that the
	// platform can direct callers to other nodes first.
	DrainNotice time.Duration
	// GCPercent is the garbage collection target, as in GOGC: heap growth in percent of the live heap. A lower value
	// uses more CPU time and less memory.
	GCPercent int
	// Adapter is the name of the adapter to a platform with its own interfaces. Empty selects the native interfaces.
	Adapter string
	Backend Backend
	Health  Health
	Metrics Metrics
	Retry   Retry
	// Accounts, RateLimit, SlowStart and Evacuation configure parts that are off while they are zero.
	Accounts   Accounts
	RateLimit  RateLimit
	SlowStart  SlowStart
	Evacuation Evacuation
}

// Accounts configures the selection of client accounts by key.
type Accounts struct {
	// RequireConfirmation refuses requests with a key at a node that could not confirm for Revocation that its bundle is the latest.
	// Otherwise the node uses the bundle that it has.
	RequireConfirmation bool
	// Revocation is the time within which a withdrawn key stops working. It has an effect only with RequireConfirmation.
	Revocation time.Duration
}

// RateLimit bounds what the rate limits of accounts permit: in any window, all nodes together send at most
// (rate*Window + burst)*(1 + Tolerance) + Slack requests of an account. A Window of 0 disables the limits.
type RateLimit struct {
	Window    time.Duration
	Tolerance float64
	Slack     float64 // in requests
}

// SlowStart bounds what a backend server gets in any second of its slow start: the service's ramp per second times
// Tolerance, plus Slack requests. A Tolerance of 0 disables the ramp.
type SlowStart struct {
	Tolerance float64
	Slack     float64 // in requests
}

// Evacuation configures the evacuation of failure domains.
type Evacuation struct {
	// Within is the time after the store's acknowledgement within which an evacuated failure domain gets no more requests; 0
	// disables evacuations.
	Within time.Duration
}

// Backend describes the backend server on the node's VM.
type Backend struct {
	// Service is the service that the backend server belongs to, for platforms that configure it. Empty: the service
	// that it announces.
	Service string
	// Address is the address that the backend server must announce, for platforms that configure it. Empty accepts any.
	Address string
	// PortCheck is the interval between checks that the backend server's port is open; 0 disables them. Each check
	// opens a connection.
	PortCheck time.Duration
	// MaxResponseHeaderBytes limits the header of a backend server's response. A longer one ends the connection.
	MaxResponseHeaderBytes int64
}

// Health configures the listener for readiness checks by the platform.
type Health struct {
	Listen string // empty disables the listener
}

// Metrics configures the listener that exposes counters and histograms.
type Metrics struct {
	Listen string // empty disables the listener
}

// Retry configures the retry budget of the fleet: the limit on additional attempts, which are retries and hedges. The
// budget overrides the bundle's policy if Window is not 0.
type Retry struct {
	// Share is the allowed ratio of additional attempts to first attempts at a service.
	Share float64
	// Floor is the minimum number of additional attempts per Window that all nodes together may make at a service,
	// regardless of Share.
	Floor  float64
	Window time.Duration
}

// Ingress configures the HTTP listener for callers.
type Ingress struct {
	Listen string
	// HeaderTimeout limits the time in which a caller must send the complete request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed; 0 keeps idle connections open.
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Peer configures the TCP listener for sessions with other nodes.
type Peer struct {
	Listen string
	// Advertise is the address that other nodes connect to. If it is empty, the node uses its bound listen address.
	Advertise string
}

// Gossip configures the UDP socket for probes and membership gossip.
type Gossip struct {
	Listen string
	// Advertise is the address that other nodes send to. If it is empty, the node uses its bound listen address.
	Advertise string
}

// Admin configures the listener for operators.
type Admin struct {
	Listen string
	// Token is the bearer token that requests must carry. It is required unless Listen is a loopback address.
	Token string
}

// Announce configures the listener on which backend servers announce themselves. It must be a loopback address unless
// Adapter is set.
type Announce struct {
	Listen string
}

// Store configures the client of the object store.
type Store struct {
	// URL is empty if the node has no direct access to the store. It then obtains bundles and claims of idempotency
	// keys through peers.
	URL string
	// Region is the region of the store, or empty if it is unknown. The nodes in this region own the claims of
	// idempotency keys.
	Region  string
	Token   string
	Timeout time.Duration
	// WatchWait is the maximum wait of one long poll, on platforms that implement a watch by long polling.
	WatchWait      time.Duration
	CallsPerSecond float64
}

// Bundle holds the public keys that verify the signatures of bundles, by owner name.
type Bundle struct {
	// Unsigned accepts bundles without signatures, for stores in which only operators can write bundles.
	Unsigned bool
	// TrustedKeys are the public keys of bundle authors.
	TrustedKeys map[string]ed25519.PublicKey
	// ApproverKeys are the public keys of bundle approvers. An owner in both maps must have the same key in both.
	ApproverKeys map[string]ed25519.PublicKey
}

// Trusted returns the public keys of authors and approvers.
func (b Bundle) Trusted() map[string]ed25519.PublicKey {
	all := maps.Clone(b.TrustedKeys)
	if all == nil {
		all = map[string]ed25519.PublicKey{}
	}
	maps.Copy(all, b.ApproverKeys)
	return all
}

// Log configures logging to stderr.
type Log struct {
	Level slog.Level
}

// Defaults of optional keys.
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
	// Responses on all slots of a large backend server at once must not exhaust the memory of the VM.
	DefaultMaxResponseHeaderBytes = 64 << 10
	// The live heap is small: with the Go default of 100, collections are frequent and raise the p99 request latency.
	DefaultGCPercent    = 400
	DefaultDrainReserve = 0
	DefaultPortCheck    = 500 * time.Millisecond
	DefaultWatchWait    = 20 * time.Second
	DefaultRevocation   = 5 * time.Second
)

// LoopbackDefaults returns settings for nodes in tests and demos: each listener on a loopback address with an ephemeral
// port, no store and no keys.
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

// defaults returns the settings before a file is applied.
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
		Accounts:     Accounts{Revocation: DefaultRevocation},
		GCPercent:    DefaultGCPercent,
		DrainTimeout: DefaultDrainTimeout,
		DrainReserve: DefaultDrainReserve,
		Backend:      Backend{PortCheck: DefaultPortCheck, MaxResponseHeaderBytes: DefaultMaxResponseHeaderBytes},
	}
}

// Equal reports whether a and b are deeply equal.
func Equal(a, b Settings) bool { return reflect.DeepEqual(a, b) }
