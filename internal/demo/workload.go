// Package demo runs a complete system in one process on the loopback interface: an in-memory store, nodes, test backend
// servers and callers that verify each response.
package demo

import (
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/bundle"
)

// FailureDomain is a failure domain and its region.
type FailureDomain struct{ Name, Region string }

// RequestKind describes one kind of request that callers send.
type RequestKind struct {
	Name   string
	Class  bundle.Class
	Method string
	// Path is the path prefix; callers append a slash and an item number.
	Path string
	// Weight is the relative frequency of the kind in the mix.
	Weight      float64
	BodyBytes   int
	ReplyBytes  int
	ServiceTime backendtest.Distribution
	// Keyed requests carry an Idempotency-Key, and callers repeat them.
	Keyed bool
	// Trailers requests a trailer with the digest of the response body, which the caller verifies.
	Trailers bool
	// Calls is a chain of calls between services: the backend server calls the first path, the backend server of that path
	// the second one, and so on.
	Calls []string
}

// Workload describes one deployment: its failure domains, services and routes, and the requests that callers send.
type Workload struct {
	Name           string
	FailureDomains []FailureDomain
	Services       []string
	Slots          int
	Connections    int
	Routes         []bundle.Route
	Kinds          []RequestKind
}

// Timeouts of the routes.
const (
	shortTimeout = 3 * time.Second
	orderTimeout = 5 * time.Second
	longTimeout  = 30 * time.Second
)

// Priorities of the routes; 0 is the highest.
const (
	orderPriority = 0
	checkPriority = 1
	readPriority  = 2
	longPriority  = 6
)

// Sizes of request and response bodies in bytes.
const (
	orderBytes   = 600
	receiptBytes = 400
	checkBytes   = 200
	pageBytes    = 2 << 10
	previewBytes = 24 << 10
	archiveBytes = 1 << 20
)

func logNormal(median time.Duration, sigma float64) backendtest.Distribution {
	return backendtest.Distribution{Median: median, Sigma: sigma}
}

// FindWorkload returns the workload with the given name.
func FindWorkload(name string) (Workload, error) {
	switch name {
	case "nordlys":
		return nordlys(), nil
	case "prairie":
		return prairie(), nil
	}
	return Workload{}, errors.Newf("workload %q is not known (allowed: nordlys, prairie)", name)
}

func nordlys() Workload {
	return Workload{
		Name: "nordlys",
		FailureDomains: []FailureDomain{
			{"oslo-a", "ostlandet"}, {"oslo-b", "ostlandet"}, {"bergen-a", "vestlandet"}, {"bergen-b", "vestlandet"},
		},
		Services:    []string{"katalog", "ordre", "arkiv", "farge"},
		Slots:       12,
		Connections: 200,
		Routes: []bundle.Route{
			readRoute("katalog", "katalog", "/katalog"),
			readRoute("farge", "farge", "/farge"),
			checkRoute("ordre", "ordre", "/ordre"),
			orderRoute("orders", "ordre", "/ordre/orders"),
			longRoute("arkiv", "arkiv", "/arkiv"),
			longRoute("studies", "farge", "/farge/studies"),
		},
		Kinds: []RequestKind{
			{Name: "browse", Class: bundle.Short, Method: "GET", Path: "/katalog/items", Weight: 45, ReplyBytes: pageBytes, ServiceTime: logNormal(2*time.Millisecond, 0.3)},
			{Name: "preview", Class: bundle.Short, Method: "GET", Path: "/farge/previews", Weight: 20, ReplyBytes: previewBytes, ServiceTime: logNormal(3*time.Millisecond, 0.3), Trailers: true},
			{Name: "order", Class: bundle.Short, Method: "POST", Path: "/ordre/orders", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, ServiceTime: logNormal(4*time.Millisecond, 0.4)},
			{Name: "order_keyed", Class: bundle.Short, Method: "POST", Path: "/ordre/orders", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, ServiceTime: logNormal(4*time.Millisecond, 0.4), Keyed: true},
			{Name: "check", Class: bundle.Short, Method: "GET", Path: "/katalog/entitled", Weight: 18, ReplyBytes: checkBytes, ServiceTime: logNormal(time.Millisecond, 0.3), Calls: []string{"/ordre/entitlements", "/farge/swatches"}},
			{Name: "archive", Class: bundle.Long, Method: "GET", Path: "/arkiv/reports", Weight: 0.7, ReplyBytes: archiveBytes, ServiceTime: logNormal(150*time.Millisecond, 0.5)},
			{Name: "study", Class: bundle.Long, Method: "GET", Path: "/farge/studies", Weight: 0.3, ReplyBytes: archiveBytes, ServiceTime: logNormal(150*time.Millisecond, 0.5)},
		},
	}
}

func prairie() Workload {
	return Workload{
		Name: "prairie",
		FailureDomains: []FailureDomain{
			{"regina-a", "saskatchewan"}, {"saskatoon-b", "saskatchewan"}, {"winnipeg-a", "manitoba"}, {"brandon-b", "manitoba"},
		},
		Services:    []string{"catalogue", "reservations", "members", "depots"},
		Slots:       16,
		Connections: 250,
		Routes: []bundle.Route{
			readRoute("catalogue", "catalogue", "/catalogue"),
			readRoute("members", "members", "/members"),
			checkRoute("depots", "depots", "/depots"),
			checkRoute("availability", "reservations", "/reservations"),
			orderRoute("pickups", "reservations", "/reservations/pickups"),
			longRoute("season-reports", "depots", "/depots/reports"),
		},
		Kinds: []RequestKind{
			{Name: "browse", Class: bundle.Short, Method: "GET", Path: "/catalogue/bikes", Weight: 45, ReplyBytes: pageBytes, ServiceTime: logNormal(2*time.Millisecond, 0.3)},
			{Name: "history", Class: bundle.Short, Method: "GET", Path: "/members/loans", Weight: 20, ReplyBytes: previewBytes, ServiceTime: logNormal(3*time.Millisecond, 0.3), Trailers: true},
			{Name: "reservation", Class: bundle.Short, Method: "POST", Path: "/reservations/pickups", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, ServiceTime: logNormal(4*time.Millisecond, 0.4)},
			{Name: "reservation_keyed", Class: bundle.Short, Method: "POST", Path: "/reservations/pickups", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, ServiceTime: logNormal(4*time.Millisecond, 0.4), Keyed: true},
			{Name: "check", Class: bundle.Short, Method: "GET", Path: "/reservations/availability", Weight: 18, ReplyBytes: checkBytes, ServiceTime: logNormal(time.Millisecond, 0.3), Calls: []string{"/catalogue/stock", "/depots/hours"}},
			{Name: "report", Class: bundle.Long, Method: "GET", Path: "/depots/reports", Weight: 1, ReplyBytes: archiveBytes, ServiceTime: logNormal(150*time.Millisecond, 0.5)},
		},
	}
}

func readRoute(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Priority: readPriority, Timeout: bundle.Duration(shortTimeout)}
}

func checkRoute(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Priority: checkPriority, Timeout: bundle.Duration(shortTimeout)}
}

func orderRoute(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Priority: orderPriority, Timeout: bundle.Duration(orderTimeout)}
}

func longRoute(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Class: bundle.Long, Priority: longPriority, Timeout: bundle.Duration(longTimeout)}
}

// Bundle returns version 1 of the workload's bundle.
func (w Workload) Bundle() *bundle.Bundle {
	b := &bundle.Bundle{Version: 1, Services: map[string]bundle.Service{}, Routes: w.Routes}
	for _, name := range w.Services {
		b.Services[name] = bundle.Service{Slots: w.Slots, Connections: w.Connections}
	}
	b.SetDefaults()
	return b
}
