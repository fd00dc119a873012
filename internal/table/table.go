// Package table holds the entities of a node as tables. The engine loop owns the tables and publishes
// an immutable Snapshot; request goroutines read the snapshot and update the atomic counters in Stats.
package table

import (
	"sync/atomic"
	"time"

	"dandelionspoke/internal/bundle"
)

// Locality orders endpoints by their distance from this node.
type Locality uint8

// Localities from near to far. The zero value is the nearest.
const (
	SameDomain Locality = iota
	SameRegion
	OtherRegion
	// Localities is the number of distinct values.
	Localities = 3
)

// Endpoint is one backend server as seen by one node. All fields but Stats are immutable.
type Endpoint struct {
	ID            string
	Service       string
	NodeID        string
	FailureDomain string
	Region        string
	PeerAddr      string
	UDPAddr       string
	Locality      Locality
	// Slots and LongSlots are those that the gate uses; zero means the bundle's values.
	Slots     int32
	LongSlots int32
	// Incarnation is that of the node beside the backend server.
	Incarnation uint64
	// Stats stays the same object across snapshots as long as the incarnation does.
	Stats *Stats
}

// Stats are the changing figures of an endpoint. Every field is safe for concurrent use. Times are
// nanoseconds on the clock that the caller passes as now; the zero value means "never".
type Stats struct {
	// OwnInFlight counts the requests that this node has sent and that have not been answered.
	OwnInFlight atomic.Int32
	// ReportedInFlight and ReportedQueue are the newest figures from the gate, all callers together.
	ReportedInFlight atomic.Int32
	ReportedQueue    atomic.Int32
	// OwnAtReport is OwnInFlight at the moment of the report, so that work sent since can be added.
	OwnAtReport atomic.Int32
	ReportedAt  atomic.Int64
	// ReportUses counts the choices that relied on the newest report.
	ReportUses atomic.Int32
	// LatencyNanos is a moving average of short work's time at the endpoint.
	LatencyNanos atomic.Int64
	LatencyAt    atomic.Int64
	// ConsecutiveFailures is reset by a success.
	ConsecutiveFailures atomic.Int32
	// FailureRateMilli is a moving failure share in thousandths.
	FailureRateMilli atomic.Int32
	EjectedUntil     atomic.Int64
	// EjectionCount raises the length of the next ejection.
	EjectionCount atomic.Int32
	// AdmittedAt starts the slow start of a new or re-admitted endpoint.
	AdmittedAt atomic.Int64
	// TrialInFlight is 1 while a trial request runs against an endpoint whose ejection has ended.
	TrialInFlight atomic.Int32
	Draining      atomic.Bool
	// Suspect is set by membership while the node beside the endpoint misses its pings.
	Suspect atomic.Bool
	// OwnLong is the part of OwnInFlight that is long work.
	OwnLong atomic.Int32
	// StartSum is the sum of the start times of this node's short requests in flight, modulo 2^64.
	// Their mean age is now - StartSum/count; it shows a stall before any request finishes.
	StartSum atomic.Int64
	// ReportedLong and ReportedLongQueue are the part of the newest report that is long work;
	// OwnLongAtReport is OwnLong at that moment.
	ReportedLong      atomic.Int32
	ReportedLongQueue atomic.Int32
	OwnLongAtReport   atomic.Int32
	// ReportedServiceNanos is the gate's recent short service time; zero when it stated none.
	ReportedServiceNanos atomic.Int64
	// FailedAt is when the last failure was observed.
	FailedAt atomic.Int64
	// RefusedAt is when the gate last refused a request for its load.
	RefusedAt atomic.Int64
	// RefusalRateMilli is a moving share of refused requests in thousandths.
	RefusalRateMilli atomic.Int32
	// SlowSince is when the ejection pass first found the endpoint far slower than its peers.
	SlowSince atomic.Int64
	// ProbedAt is when this node last sent a probe to the endpoint.
	ProbedAt atomic.Int64
}

// Service is the view of one service in a snapshot.
type Service struct {
	Name   string
	Config bundle.Service
	// Endpoints holds this node's subset, nearest locality first.
	Endpoints []*Endpoint
	// LocalityEnd[l] is the index after the last endpoint of locality l.
	LocalityEnd [Localities]int
}

// Snapshot is an immutable view of the tables. It is safe for concurrent use.
type Snapshot struct {
	Version  uint64
	Bundle   *bundle.Bundle // nil until one has been accepted
	Routes   *bundle.Index  // of Bundle; nil without one
	Services map[string]*Service
	TakenAt  time.Time
}

// Match returns the route of a request, or nil. host carries no port.
func (s *Snapshot) Match(method, host, path string) *bundle.Route {
	if s.Routes == nil {
		return s.Bundle.Match(method, host, path)
	}
	return s.Routes.Match(method, host, path)
}

// Service returns the view of the named service, or nil.
func (s *Snapshot) Service(name string) *Service {
	if s == nil {
		return nil
	}
	return s.Services[name]
}

// Publisher hands snapshots from the engine loop to request goroutines. The zero value holds no snapshot.
type Publisher struct{ current atomic.Pointer[Snapshot] }

// Load returns the newest snapshot, or nil before the first Store.
func (p *Publisher) Load() *Snapshot { return p.current.Load() }

// Store publishes s. The caller must not modify s afterwards.
func (p *Publisher) Store(s *Snapshot) { p.current.Store(s) }
