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

// MaxRoutes is the maximum number of routes in a bundle. It bounds the cost of validation and matching.
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
	nameAllowed  = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"
	minSlots     = 2 // at least one slot is reserved for short requests
	maxCount     = 1 << 20
	maxRate      = 1e12
	maxDuration  = time.Hour
	maxRetention = 30 * 24 * time.Hour
	// minClaimRetention is many times claim.PermitLifetime, within which a permitted run must start.
	minClaimRetention = 10 * time.Minute
)

// Validate returns the errors in a bundle whose defaults have been set. The errors have no file and line.
func (b *Bundle) Validate() []ConfigError {
	v := &validator{}
	v.require(b.Version >= 1, "", "version", "an integer from 1, above the version in force", "%d", b.Version)
	v.checkPolicy(b.Policy)
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		v.checkService(name, b.Services[name])
	}
	v.checkRoutes(b)
	v.checkAccounts(b)
	v.checkRegionSets(b)
	return v.errs
}

type validator struct{ errs []ConfigError }

// require adds an error unless ok is true. It formats the message only then, because a bundle has thousands of
// routes and each node validates them at each rollout.
func (v *validator) require(ok bool, parent, field, allowed, got string, args ...any) {
	if !ok {
		configErr := ConfigError{Key: joinKey(parent, field), Message: "got " + fmt.Sprintf(got, args...), Allowed: allowed}
		v.errs = append(v.errs, configErr)
	}
}

func checkRange[T int | int64 | float64 | Duration](v *validator, parent, field string, got, low, high T) {
	if got >= low && got <= high {
		return
	}
	allowed := fmt.Sprintf("%v to %v", low, high)
	v.require(false, parent, field, allowed, "%v", got)
}

func (v *validator) checkDuration(parent, field string, got Duration, low, high time.Duration) {
	checkRange(v, parent, field, got, Duration(low), Duration(high))
}

func (v *validator) checkPolicy(p Policy) {
	const parent = "policy"
	checkRange(v, parent, "probes_per_second", p.ProbesPerSecond, 0, maxRate)
	checkRange(v, parent, "probe_bytes_per_second", p.ProbeBytesPerSecond, 0, maxRate)
	checkRange(v, parent, "link_probes_per_second", p.LinkProbesPerSecond, 0, maxRate)
	checkRange(v, parent, "link_probe_bytes_per_second", p.LinkProbeBytesPerSecond, 0, maxRate)
	checkRange(v, parent, "link_bits_per_second", p.LinkBitsPerSecond, 0, maxRate)
	checkRange(v, parent, "link_bulk_share", p.LinkBulkShare, 0, 1.0)
	checkRange(v, parent, "retry_share", p.RetryShare, 0, 1.0)
	checkRange(v, parent, "retry_min_per_second", p.RetryMinPerSecond, 0, maxRate)
	checkRange(v, parent, "max_attempts", p.MaxAttempts, 1, 10)
	checkRange(v, parent, "hedge_after_quantile", p.HedgeAfterQuantile, 0.5, 0.9999)
	checkRange(v, parent, "eject_consecutive_failures", p.EjectConsecutiveFailures, 1, maxCount)
	checkRange(v, parent, "eject_share", p.EjectShare, 0, 1.0)
	v.checkDuration(parent, "eject_for", p.EjectFor, time.Millisecond, maxDuration)
	checkRange(v, parent, "quarantine_deaths", p.QuarantineDeaths, 1, maxCount)
	v.checkDuration(parent, "quarantine_for", p.QuarantineFor, time.Second, maxRetention)
	v.checkDuration(parent, "claim_retention", p.ClaimRetention, minClaimRetention, maxRetention)
	checkRange(v, parent, "max_depth", p.MaxDepth, 1, 64)
	checkRange(v, parent, "subset_size", p.SubsetSize, 1, maxCount)
	checkRange(v, parent, "max_response_keep_bytes", p.MaxResponseKeepBytes, 0, 1<<20)
	v.checkDuration(parent, "attempt_memory", p.AttemptMemory, time.Second, maxDuration)
	checkRange(v, parent, "load_probes_per_second", p.LoadProbesPerSecond, 0, maxRate)
	v.checkDuration(parent, "placement_wait", p.PlacementWait, 0, time.Second)
	checkRange(v, parent, "slot_share", p.SlotShare, 0.1, 1)
}

func (v *validator) checkService(name string, s Service) {
	parent := "services." + name
	v.require(namePattern.MatchString(name), parent, "", nameAllowed, "the name %q", name)
	checkRange(v, parent, "slots", s.Slots, minSlots, maxCount)
	checkRange(v, parent, "long_slots", s.LongSlots, 1, max(1, s.Slots-1))
	checkRange(v, parent, "connections", s.Connections, 1, maxCount)
	checkRange(v, parent, "queue_short", s.QueueShort, 1, maxCount)
	checkRange(v, parent, "queue_long", s.QueueLong, 1, maxCount)
	v.checkDuration(parent, "slow_start", s.SlowStart, time.Millisecond, maxDuration)
	checkRange(v, parent, "ramp_per_second", s.RampPerSecond, 0, maxRate)
	checkRange(v, parent, "far_bias", s.FarBias, 1, maxRate)
	v.require(s.LoadPath == "" || s.LoadPath[0] == '/', parent, "load_path", `a path that starts with "/", or none`, "%q", s.LoadPath)
}

// routeMatch holds the criteria of a route for one method. If two routes had the same criteria, their order in the
// bundle would decide which of them takes a request.
type routeMatch struct{ host, path, method string }

func (v *validator) checkRoutes(b *Bundle) {
	checkRange(v, "", "routes", len(b.Routes), 0, MaxRoutes)
	services := "a service of this bundle: " + strings.Join(slices.Sorted(maps.Keys(b.Services)), ", ")
	names := map[string]bool{}
	byMatch := map[routeMatch]string{} // name of the route with these criteria
	for i := range b.Routes {
		r := &b.Routes[i]
		parent := fmt.Sprintf("routes[%d]", i)
		v.checkRoute(parent, r)
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
		v.checkDuplicateMatch(parent, r, byMatch)
	}
}

// checkDuplicateMatch adds an error for each method for which an earlier route has the same host and path prefix.
func (v *validator) checkDuplicateMatch(parent string, r *Route, byMatch map[routeMatch]string) {
	routeMethods := r.Methods
	if len(routeMethods) == 0 {
		routeMethods = []string{""}
	}
	for _, method := range routeMethods {
		match := routeMatch{host: r.Host, path: r.PathPrefix, method: method}
		other, taken := byMatch[match]
		v.require(!taken, parent, "", "a host, path or method that differs", "host, path and method of route %q", other)
		byMatch[match] = r.Name
	}
}

func (v *validator) checkRoute(parent string, r *Route) {
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
	checkRange(v, parent, "priority", r.Priority, 0, MaxPriority)
	v.checkDuration(parent, "timeout", r.Timeout, time.Millisecond, maxDuration)
	checkRange(v, parent, "max_body_bytes", r.MaxBodyBytes, 1, 1<<40)
	checkRange(v, parent, "objective", r.Objective, 0, Duration(maxDuration))
	checkRange(v, parent, "max_attempts", r.MaxAttempts, 0, 10)
	v.checkRegions(parent, r.AllowedRegions)
	hedgeable := r.Idempotent == nil || *r.Idempotent
	v.require(!r.Hedge || hedgeable, parent, "hedge", hedgeAllowed, "true on a route that is not idempotent")
}
