// Package demo runs the whole path on loopback in one process: a stand-in store, nodes, stand-in backend servers and
// callers that verify each answer.
package demo

import (
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/bundle"
)

// Domain is a failure domain.
type Domain struct{ Name, Region string }

// Kind is one kind of request that callers send.
type Kind struct {
	Name   string
	Class  bundle.Class
	Method string
	// Path is followed by a slash and a number.
	Path string
	// Weight is the share of the kind in the mix, relative to the other kinds.
	Weight     float64
	BodyBytes  int
	ReplyBytes int
	Work       backendtest.Distribution
	// Keyed requests carry an Idempotency-Key, and callers repeat them.
	Keyed bool
	// Trailers asks for a trailer, which the caller verifies.
	Trailers bool
	// Calls are the paths of the services that the backend server calls, in turn.
	Calls []string
}

// Workload describes the services of one user and what callers ask of them.
type Workload struct {
	Name        string
	Domains     []Domain
	Services    []string
	Slots       int
	Connections int
	Routes      []bundle.Route
	Kinds       []Kind
}

// Route time limits.
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

// Sizes of requests and answers in bytes.
const (
	orderBytes   = 600
	receiptBytes = 400
	checkBytes   = 200
	pageBytes    = 2 << 10
	previewBytes = 24 << 10
	archiveBytes = 1 << 20
)

func work(median time.Duration, sigma float64) backendtest.Distribution {
	return backendtest.Distribution{Median: median, Sigma: sigma}
}

// Find returns the workload with this name.
func Find(name string) (Workload, error) {
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
		Domains: []Domain{
			{"oslo-a", "ostlandet"}, {"oslo-b", "ostlandet"}, {"bergen-a", "vestlandet"}, {"bergen-b", "vestlandet"},
		},
		Services:    []string{"katalog", "ordre", "arkiv", "farge"},
		Slots:       12,
		Connections: 200,
		Routes: []bundle.Route{
			read("katalog", "katalog", "/katalog"),
			read("farge", "farge", "/farge"),
			check("ordre", "ordre", "/ordre"),
			order("orders", "ordre", "/ordre/orders"),
			long("arkiv", "arkiv", "/arkiv"),
			long("studies", "farge", "/farge/studies"),
		},
		Kinds: []Kind{
			{Name: "browse", Class: bundle.Short, Method: "GET", Path: "/katalog/items", Weight: 45, ReplyBytes: pageBytes, Work: work(2*time.Millisecond, 0.3)},
			{Name: "preview", Class: bundle.Short, Method: "GET", Path: "/farge/previews", Weight: 20, ReplyBytes: previewBytes, Work: work(3*time.Millisecond, 0.3), Trailers: true},
			{Name: "order", Class: bundle.Short, Method: "POST", Path: "/ordre/orders", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, Work: work(4*time.Millisecond, 0.4)},
			{Name: "order_keyed", Class: bundle.Short, Method: "POST", Path: "/ordre/orders", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, Work: work(4*time.Millisecond, 0.4), Keyed: true},
			{Name: "check", Class: bundle.Short, Method: "GET", Path: "/katalog/entitled", Weight: 18, ReplyBytes: checkBytes, Work: work(time.Millisecond, 0.3), Calls: []string{"/ordre/entitlements", "/farge/swatches"}},
			{Name: "archive", Class: bundle.Long, Method: "GET", Path: "/arkiv/reports", Weight: 0.7, ReplyBytes: archiveBytes, Work: work(150*time.Millisecond, 0.5)},
			{Name: "study", Class: bundle.Long, Method: "GET", Path: "/farge/studies", Weight: 0.3, ReplyBytes: archiveBytes, Work: work(150*time.Millisecond, 0.5)},
		},
	}
}

func prairie() Workload {
	return Workload{
		Name: "prairie",
		Domains: []Domain{
			{"regina-a", "saskatchewan"}, {"saskatoon-b", "saskatchewan"}, {"winnipeg-a", "manitoba"}, {"brandon-b", "manitoba"},
		},
		Services:    []string{"catalogue", "reservations", "members", "depots"},
		Slots:       16,
		Connections: 250,
		Routes: []bundle.Route{
			read("catalogue", "catalogue", "/catalogue"),
			read("members", "members", "/members"),
			check("depots", "depots", "/depots"),
			check("availability", "reservations", "/reservations"),
			order("pickups", "reservations", "/reservations/pickups"),
			long("season-reports", "depots", "/depots/reports"),
		},
		Kinds: []Kind{
			{Name: "browse", Class: bundle.Short, Method: "GET", Path: "/catalogue/bikes", Weight: 45, ReplyBytes: pageBytes, Work: work(2*time.Millisecond, 0.3)},
			{Name: "history", Class: bundle.Short, Method: "GET", Path: "/members/loans", Weight: 20, ReplyBytes: previewBytes, Work: work(3*time.Millisecond, 0.3), Trailers: true},
			{Name: "reservation", Class: bundle.Short, Method: "POST", Path: "/reservations/pickups", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, Work: work(4*time.Millisecond, 0.4)},
			{Name: "reservation_keyed", Class: bundle.Short, Method: "POST", Path: "/reservations/pickups", Weight: 8, BodyBytes: orderBytes, ReplyBytes: receiptBytes, Work: work(4*time.Millisecond, 0.4), Keyed: true},
			{Name: "check", Class: bundle.Short, Method: "GET", Path: "/reservations/availability", Weight: 18, ReplyBytes: checkBytes, Work: work(time.Millisecond, 0.3), Calls: []string{"/catalogue/stock", "/depots/hours"}},
			{Name: "report", Class: bundle.Long, Method: "GET", Path: "/depots/reports", Weight: 1, ReplyBytes: archiveBytes, Work: work(150*time.Millisecond, 0.5)},
		},
	}
}

func read(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Priority: readPriority, Timeout: bundle.Duration(shortTimeout)}
}

func check(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Priority: checkPriority, Timeout: bundle.Duration(shortTimeout)}
}

func order(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Priority: orderPriority, Timeout: bundle.Duration(orderTimeout)}
}

func long(name, service, prefix string) bundle.Route {
	return bundle.Route{Name: name, Service: service, PathPrefix: prefix, Class: bundle.Long, Priority: longPriority, Timeout: bundle.Duration(longTimeout)}
}

// Bundle returns the bundle of the workload with version 1.
func (w Workload) Bundle() *bundle.Bundle {
	b := &bundle.Bundle{Version: 1, Services: map[string]bundle.Service{}, Routes: w.Routes}
	for _, name := range w.Services {
		b.Services[name] = bundle.Service{Slots: w.Slots, Connections: w.Connections}
	}
	b.SetDefaults()
	return b
}
