package bundle

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

// MaxRoutes bounds the routes of a bundle, so that validation and matching stay cheap.
const MaxRoutes = 20000

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	methods     = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
		http.MethodDelete, http.MethodOptions, http.MethodTrace,
	}
)

const (
	nameAllowed = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"
	minSlots    = 2 // one slot stays free of long work
	maxCount    = 1 << 20
	maxRate     = 1e12
	maxWait     = time.Hour
	maxKeep     = 30 * 24 * time.Hour
	// minClaimRetention exceeds the time in which a permitted run must start (see package claim) many times over.
	minClaimRetention = 10 * time.Minute
)

// Validate returns what is wrong with a bundle whose defaults have been set. The faults carry no file and line.
func (b *Bundle) Validate() []Fault {
	v := &validation{}
	v.require(b.Version >= 1, "", "version", "an integer from 1, above the version in force", "%d", b.Version)
	v.policy(b.Policy)
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		v.service(name, b.Services[name])
	}
	v.routes(b)
	return v.faults
}

type validation struct{ faults []Fault }

// require adds a fault unless ok. The texts are formatted only for a fault, because a bundle has
// thousands of routes and each node validates it at each rollout.
func (v *validation) require(ok bool, parent, field, allowed, got string, args ...any) {
	if !ok {
		fault := Fault{Key: join(parent, field), Problem: "got " + fmt.Sprintf(got, args...), Allowed: allowed}
		v.faults = append(v.faults, fault)
	}
}

func inRange[T int | int64 | float64 | Duration](v *validation, parent, field string, got, low, high T) {
	if got >= low && got <= high {
		return
	}
	allowed := fmt.Sprintf("%v to %v", low, high)
	v.require(false, parent, field, allowed, "%v", got)
}

func (v *validation) duration(parent, field string, got Duration, low, high time.Duration) {
	inRange(v, parent, field, got, Duration(low), Duration(high))
}

func (v *validation) policy(p Policy) {
	const parent = "policy"
	inRange(v, parent, "probes_per_second", p.ProbesPerSecond, 0, maxRate)
	inRange(v, parent, "probe_bytes_per_second", p.ProbeBytesPerSecond, 0, maxRate)
	inRange(v, parent, "link_probes_per_second", p.LinkProbesPerSecond, 0, maxRate)
	inRange(v, parent, "link_probe_bytes_per_second", p.LinkProbeBytesPerSecond, 0, maxRate)
	inRange(v, parent, "link_bits_per_second", p.LinkBitsPerSecond, 0, maxRate)
	inRange(v, parent, "link_bulk_share", p.LinkBulkShare, 0, 1.0)
	inRange(v, parent, "retry_share", p.RetryShare, 0, 1.0)
	inRange(v, parent, "retry_min_per_second", p.RetryMinPerSecond, 0, maxRate)
	inRange(v, parent, "max_attempts", p.MaxAttempts, 1, 10)
	inRange(v, parent, "hedge_after_quantile", p.HedgeAfterQuantile, 0.5, 0.9999)
	inRange(v, parent, "eject_consecutive_failures", p.EjectConsecutiveFailures, 1, maxCount)
	inRange(v, parent, "eject_share", p.EjectShare, 0, 1.0)
	v.duration(parent, "eject_for", p.EjectFor, time.Millisecond, maxWait)
	inRange(v, parent, "quarantine_deaths", p.QuarantineDeaths, 1, maxCount)
	v.duration(parent, "quarantine_for", p.QuarantineFor, time.Second, maxKeep)
	v.duration(parent, "claim_retention", p.ClaimRetention, minClaimRetention, maxKeep)
	inRange(v, parent, "max_depth", p.MaxDepth, 1, 64)
	inRange(v, parent, "subset_size", p.SubsetSize, 1, maxCount)
	inRange(v, parent, "max_response_keep_bytes", p.MaxResponseKeepBytes, 0, 1<<20)
	v.duration(parent, "attempt_memory", p.AttemptMemory, time.Second, maxWait)
	inRange(v, parent, "load_probes_per_second", p.LoadProbesPerSecond, 0, maxRate)
	inRange(v, parent, "slot_share", p.SlotShare, 0.1, 1)
}

func (v *validation) service(name string, s Service) {
	parent := "services." + name
	v.require(namePattern.MatchString(name), parent, "", nameAllowed, "the name %q", name)
	inRange(v, parent, "slots", s.Slots, minSlots, maxCount)
	inRange(v, parent, "long_slots", s.LongSlots, 1, max(1, s.Slots-1))
	inRange(v, parent, "connections", s.Connections, 1, maxCount)
	inRange(v, parent, "queue_short", s.QueueShort, 1, maxCount)
	inRange(v, parent, "queue_long", s.QueueLong, 1, maxCount)
	v.duration(parent, "slow_start", s.SlowStart, time.Millisecond, maxWait)
	inRange(v, parent, "far_bias", s.FarBias, 1, maxRate)
	v.require(s.LoadPath == "" || s.LoadPath[0] == '/', parent, "load_path", `a path that starts with "/", or none`, "%q", s.LoadPath)
}

// target is what a route matches. Two routes with one target would be decided by their order.
type target struct{ host, path, method string }

func (v *validation) routes(b *Bundle) {
	inRange(v, "", "routes", len(b.Routes), 0, MaxRoutes)
	services := "a service of this bundle: " + strings.Join(slices.Sorted(maps.Keys(b.Services)), ", ")
	names := map[string]bool{}
	targets := map[target]string{} // name of the route with the target
	for i := range b.Routes {
		r := &b.Routes[i]
		parent := fmt.Sprintf("routes[%d]", i)
		v.route(parent, r)
		_, known := b.Services[r.Service]
		v.require(known, parent, "service", services, "the unknown service %q", r.Service)
		for j, share := range r.Split {
			field := fmt.Sprintf("split[%d]", j)
			_, known := b.Services[share.Service]
			v.require(known, parent, field+".service", services, "the unknown service %q", share.Service)
			v.require(share.Weight > 0 && share.Weight <= maxRate, parent, field+".weight", "a number above 0", "%v", share.Weight)
		}
		v.require(!names[r.Name], parent, "name", "a name that no other route has", "the name %q a second time", r.Name)
		names[r.Name] = true
		v.overlap(parent, r, targets)
	}
}

func (v *validation) overlap(parent string, r *Route, targets map[target]string) {
	list := r.Methods
	if len(list) == 0 {
		list = []string{""}
	}
	for _, method := range list {
		key := target{host: r.Host, path: r.PathPrefix, method: method}
		other, taken := targets[key]
		v.require(!taken, parent, "", "a host, path or method that differs", "host, path and method of route %q", other)
		targets[key] = r.Name
	}
}

func (v *validation) route(parent string, r *Route) {
	const (
		hostAllowed  = "a lower-case host name without a port, or none for any host"
		pathAllowed  = `a path that starts with "/", or none for any path`
		classAllowed = `"short" or "long"`
		hedgeAllowed = "false, or idempotent = true"
	)
	v.require(namePattern.MatchString(r.Name), parent, "name", nameAllowed, "%q", r.Name)
	v.require(r.Host == "" || hostPattern.MatchString(r.Host), parent, "host", hostAllowed, "%q", r.Host)
	v.require(r.PathPrefix == "" || r.PathPrefix[0] == '/', parent, "path_prefix", pathAllowed, "%q", r.PathPrefix)
	for i, method := range r.Methods {
		field := fmt.Sprintf("methods[%d]", i)
		v.require(slices.Contains(methods, method), parent, field, strings.Join(methods, ", "), "%q", method)
	}
	v.require(r.Class == Short || r.Class == Long, parent, "class", classAllowed, "%q", r.Class)
	inRange(v, parent, "priority", r.Priority, 0, MaxPriority)
	v.duration(parent, "timeout", r.Timeout, time.Millisecond, maxWait)
	inRange(v, parent, "max_body_bytes", r.MaxBodyBytes, 1, 1<<40)
	inRange(v, parent, "objective", r.Objective, 0, Duration(maxWait))
	inRange(v, parent, "max_attempts", r.MaxAttempts, 0, 10)
	hedgeable := r.Idempotent == nil || *r.Idempotent
	v.require(!r.Hedge || hedgeable, parent, "hedge", hedgeAllowed, "true on a route that is not idempotent")
}
