// Package bundle defines the versioned configuration of the nodes, which holds services, routes and a policy, and its
// signed forms: the envelope, and the delta between two envelopes.
package bundle

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bundle is one version of the configuration. A Bundle that is in force is never modified.
type Bundle struct {
	// Version increases with each rollout. Zero means that no bundle has been accepted yet.
	Version  uint64             `toml:"version"`
	Policy   Policy             `toml:"policy"`
	Services map[string]Service `toml:"services"`
	Routes   []Route            `toml:"routes"`
	// Accounts holds the client accounts by name. If it is empty, requests need no key and belong to no account.
	Accounts map[string]Account `toml:"accounts"`
}

// Account is a client account: who may send requests, and how many.
type Account struct {
	// KeyDigests are the SHA-256 digests, in hexadecimal, of the keys that select the account.
	KeyDigests []string `toml:"key_digests"`
	// Priority takes precedence over that of the route; nil leaves the route's.
	Priority *int `toml:"priority"`
	// RatePerSecond and Burst limit the requests over all nodes together, in requests per second and requests. A rate of 0
	// means no limit.
	RatePerSecond float64 `toml:"rate_per_second"`
	Burst         float64 `toml:"burst"`
	// AllowedRegions are the regions whose backend servers may run the account's requests; empty allows all.
	AllowedRegions []string `toml:"allowed_regions"`
}

// Service holds the limits of each endpoint of one service. Zero fields take the defaults of SetDefaults.
type Service struct {
	// Slots is the maximum number of requests that an endpoint runs concurrently.
	Slots int `toml:"slots"`
	// LongSlots is the maximum number of slots that long requests occupy; it is below Slots.
	LongSlots int `toml:"long_slots"`
	// Connections is the maximum number of connections from a gate to its backend server.
	Connections int `toml:"connections"`
	// QueueShort and QueueLong are the maximum lengths of a gate's wait lists for short and long requests.
	QueueShort int `toml:"queue_short"`
	QueueLong  int `toml:"queue_long"`
	// SlowStart is the time over which a new or re-admitted endpoint ramps up to its full share of requests.
	SlowStart Duration `toml:"slow_start"`
	// LoadPath is the path at which a backend server reports its load without delay, even when it is busy. Empty: none.
	LoadPath string `toml:"load_path"`
	// FarBias is the factor by which the expected time in a remote region must be lower than in the local region. A
	// higher value sends fewer bytes over the inter-region link, whose traffic is billed.
	FarBias float64 `toml:"far_bias"`
	// RampPerSecond is the number of requests per second that a backend server tolerates during its slow start; 0 means no
	// limit.
	RampPerSecond float64 `toml:"ramp_per_second"`
}

// Class separates short from long requests, which have separate wait lists and slot limits.
type Class string

// Classes of requests.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Route maps requests to a service. Among the routes that match a request, one with a host takes precedence over one
// without; then the longest path prefix wins.
type Route struct {
	Name    string `toml:"name"`
	Service string `toml:"service"` // when Split is set: its first service
	// Split distributes the requests over several services by weight; empty: all go to Service.
	Split      []WeightedService `toml:"split"`
	Host       string            `toml:"host"`        // empty: any host
	PathPrefix string            `toml:"path_prefix"` // empty: any path
	Methods    []string          `toml:"methods"`     // empty: any method
	Class      Class             `toml:"class"`       // empty: short
	// Idempotent permits hedges, and retries after the verdict may-have-run. When nil, the method
	// decides: GET, HEAD, OPTIONS, PUT, DELETE and TRACE are idempotent.
	Idempotent *bool `toml:"idempotent"`
	// Priority from 0 (highest) to MaxPriority.
	Priority     int      `toml:"priority"`
	Timeout      Duration `toml:"timeout"`
	Hedge        bool     `toml:"hedge"`
	MaxBodyBytes int64    `toml:"max_body_bytes"`
	// Objective is the latency up to which a response has its full value to the caller; zero: no objective.
	Objective Duration `toml:"objective"`
	// MaxAttempts is the maximum number of endpoints that one request is sent to; zero: the policy's value.
	MaxAttempts int `toml:"max_attempts"`
	// AllowAnonymous permits requests without a key when the bundle has accounts.
	AllowAnonymous bool `toml:"allow_anonymous"`
	// AllowedRegions are the regions whose backend servers may run the route's requests; empty allows all.
	AllowedRegions []string `toml:"allowed_regions"`
}

// WeightedService is one destination of a split route.
type WeightedService struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// MaxPriority is the highest number, and so the lowest priority, of a route.
const MaxPriority = 7

// Policy holds the budgets and limits that apply to every node. Zero fields take the defaults of SetDefaults.
type Policy struct {
	ProbesPerSecond          float64  `toml:"probes_per_second"`           // per node
	ProbeBytesPerSecond      float64  `toml:"probe_bytes_per_second"`      // per node
	LinkProbesPerSecond      float64  `toml:"link_probes_per_second"`      // per node, to other regions
	LinkProbeBytesPerSecond  float64  `toml:"link_probe_bytes_per_second"` // per node, to other regions
	LinkBitsPerSecond        float64  `toml:"link_bits_per_second"`        // per node, to other regions; this traffic is billed
	LinkBulkShare            float64  `toml:"link_bulk_share"`             // fraction of LinkBitsPerSecond for long requests, 0 to 1
	RetryShare               float64  `toml:"retry_share"`                 // retries and hedges per first attempt
	RetryMinPerSecond        float64  `toml:"retry_min_per_second"`        // allowed even above RetryShare
	MaxAttempts              int      `toml:"max_attempts"`                // including the first
	HedgeAfterQuantile       float64  `toml:"hedge_after_quantile"`        // of recent latency
	EjectConsecutiveFailures int      `toml:"eject_consecutive_failures"`
	EjectShare               float64  `toml:"eject_share"`       // of a service's endpoints, 0 to 1
	EjectFor                 Duration `toml:"eject_for"`         // of the first ejection; doubles with each further one
	QuarantineDeaths         int      `toml:"quarantine_deaths"` // backend servers that crashed while they ran a request
	QuarantineFor            Duration `toml:"quarantine_for"`
	ClaimRetention           Duration `toml:"claim_retention"`         // how long outcomes of keyed requests are stored
	MaxDepth                 int      `toml:"max_depth"`               // maximum length of a call chain
	SubsetSize               int      `toml:"subset_size"`             // endpoints of a service that one node uses
	MaxResponseKeepBytes     int      `toml:"max_response_keep_bytes"` // largest response that a gate retains for repeats
	AttemptMemory            Duration `toml:"attempt_memory"`          // how long a gate keeps an attempt in its history
	// SlotShare is the fraction of an endpoint's slots that its gate uses, from 0.1 to 1. Backend servers that
	// slow down when nearly all slots are in use complete more requests in time with a value below 1.
	SlotShare float64 `toml:"slot_share"`
	// LoadProbesPerSecond limits the rate at which a gate probes its backend server's load; 0 disables these probes.
	LoadProbesPerSecond float64 `toml:"load_probes_per_second"`
	// PlacementWait is the expected wait that a short request accepts at a gate while it may still move to another one, at
	// most a part of the route's objective; 0 means 1 ms. With a value above 0, three instead of two gates may refuse a
	// request as busy before it accepts any wait.
	PlacementWait Duration `toml:"placement_wait"`
}

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetDefaults sets fields with the zero value to their defaults.
func (b *Bundle) SetDefaults() {
	p := &b.Policy
	setDefault(&p.ProbesPerSecond, 50)
	setDefault(&p.ProbeBytesPerSecond, 6000)
	setDefault(&p.LinkProbesPerSecond, 4)
	setDefault(&p.LinkProbeBytesPerSecond, 600)
	setDefault(&p.LinkBitsPerSecond, 4e6)
	setDefault(&p.LinkBulkShare, 0.5)
	setDefault(&p.RetryShare, 0.1)
	setDefault(&p.RetryMinPerSecond, 3)
	setDefault(&p.MaxAttempts, 3)
	setDefault(&p.HedgeAfterQuantile, 0.95)
	setDefault(&p.EjectConsecutiveFailures, 5)
	setDefault(&p.EjectShare, 0.34)
	setDefault(&p.EjectFor, Duration(2*time.Second))
	setDefault(&p.QuarantineDeaths, 2)
	setDefault(&p.QuarantineFor, Duration(10*time.Minute))
	setDefault(&p.ClaimRetention, Duration(24*time.Hour))
	setDefault(&p.MaxDepth, 9)
	setDefault(&p.SubsetSize, 24)
	setDefault(&p.MaxResponseKeepBytes, 16<<10)
	setDefault(&p.AttemptMemory, Duration(time.Minute))
	setDefault(&p.SlotShare, 1)
	for name, s := range b.Services {
		setDefault(&s.Slots, 12)
		setDefault(&s.LongSlots, max(1, s.Slots/3))
		setDefault(&s.Connections, 200)
		setDefault(&s.QueueShort, 8*s.Slots)
		setDefault(&s.QueueLong, 4*s.Slots)
		setDefault(&s.SlowStart, Duration(2*time.Second))
		setDefault(&s.FarBias, 1.2)
		b.Services[name] = s
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		setDefault(&r.Class, Short)
		setDefault(&r.Timeout, Duration(10*time.Second))
		setDefault(&r.MaxBodyBytes, 8<<20)
	}
}

// IsIdempotent reports whether a request with this method on the route may run more than once.
func (r *Route) IsIdempotent(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// LimitedTo returns the limits of an endpoint that has announced its slots and connections (0: not announced),
// when its gate uses the fraction slotShare of the slots. LongSlots and the wait lists shrink in proportion to Slots.
func (s Service) LimitedTo(slots, connections int, slotShare float64) Service {
	configured := s.Slots
	if slots > 0 {
		s.Slots = min(s.Slots, slots)
	}
	s.Slots = max(1, int(float64(s.Slots)*slotShare))
	if s.Slots < configured {
		scale := float64(s.Slots) / float64(configured)
		s.LongSlots = max(1, min(int(math.Ceil(float64(s.LongSlots)*scale)), s.Slots-1))
		s.QueueShort = max(1, int(float64(s.QueueShort)*scale))
		s.QueueLong = max(1, int(float64(s.QueueLong)*scale))
	}
	if connections > 0 {
		s.Connections = min(s.Connections, connections)
	}
	return s
}

func (r *Route) matches(method, host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	rest := path[len(r.PathPrefix):]
	return rest == "" || r.PathPrefix == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/'
}

// Match returns the route of a request, or nil if none matches. host has no port. Index.Match is faster.
func (b *Bundle) Match(method, host, path string) *Route {
	var best *Route
	for i := range b.Routes {
		r := &b.Routes[i]
		if r.matches(method, host, path) && (best == nil || compareRoutes(r, best) < 0) {
			best = r
		}
	}
	return best
}

// compareRoutes orders routes by precedence: a route with a host before one without, then the longer path prefix
// first, then a route with methods before one without.
func compareRoutes(a, b *Route) int {
	return cmp.Or(
		firstWith(a.Host != "", b.Host != ""),
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		firstWith(len(a.Methods) > 0, len(b.Methods) > 0),
	)
}

// firstWith compares two routes by a property: the route that has it comes first.
func firstWith(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
