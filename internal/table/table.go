// Package table defines a node's tables of services and endpoints. The engine loop owns the tables and publishes
// an immutable Snapshot; request goroutines read the snapshot and update the atomic counters in Stats.
package table

import (
	"sync/atomic"
	"time"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/bundle"
)

// Locality ranks endpoints by their distance from this node.
type Locality uint8

// Localities, nearest first. The zero value is the nearest.
const (
	SameDomain Locality = iota
	SameRegion
	OtherRegion
	// Localities is the number of distinct values.
	Localities = 3
)

// Endpoint is one backend server as seen by one node. All fields are immutable, but the object that
// Stats points to changes.
type Endpoint struct {
	ID            string
	Service       string
	NodeID        string
	FailureDomain string
	Region        string
	PeerAddr      string
	UDPAddr       string
	Locality      Locality
	// Slots and LongSlots are the limits that the gate applies; zero means the bundle's values.
	Slots     int32
	LongSlots int32
	// Incarnation is the start time of the process of the backend server's node, in milliseconds since the
	// Unix epoch.
	Incarnation uint64
	// Stats is the same object in successive snapshots while NodeID and Incarnation do not change.
	Stats *Stats
}

// Stats holds the mutable statistics of an endpoint. Every field is safe for concurrent use. Times are
// nanoseconds on the clock that the caller passes as now; the zero value means "never".
type Stats struct {
	// OwnInFlight counts the requests from this node that await a response.
	OwnInFlight atomic.Int32
	// ReportedInFlight and ReportedQueue are the values of the gate's newest report, over all callers.
	ReportedInFlight atomic.Int32
	ReportedQueue    atomic.Int32
	// OwnInFlightAtReport is OwnInFlight at the time of the report. Subtracting it from the reported requests
	// leaves those of other nodes, to which the current OwnInFlight is added.
	OwnInFlightAtReport atomic.Int32
	ReportedAt          atomic.Int64
	// RequestsSinceReport counts the requests from this node since the newest report.
	RequestsSinceReport atomic.Int32
	// LatencyNanos is a moving average of the latency of short requests.
	LatencyNanos     atomic.Int64
	LatencyUpdatedAt atomic.Int64
	// ConsecutiveFailures is reset by a success.
	ConsecutiveFailures atomic.Int32
	// FailureRateMilli is a moving average of the failure rate, in thousandths.
	FailureRateMilli atomic.Int32
	EjectedUntil     atomic.Int64
	// EjectionCount is the number of recent ejections; each makes the next one longer.
	EjectionCount atomic.Int32
	// AdmittedAt is when the slow start of a new or re-admitted endpoint began.
	AdmittedAt atomic.Int64
	// TrialInFlight is 1 while a trial request is in flight to an endpoint whose ejection time has passed.
	TrialInFlight atomic.Int32
	Draining      atomic.Bool
	// Suspect is set from the membership while the endpoint's node is suspected to have failed.
	Suspect atomic.Bool
	// OwnLongInFlight is the part of OwnInFlight that is long work.
	OwnLongInFlight atomic.Int32
	// StartTimeSum is the sum of the start times of this node's short requests in flight, modulo 2^64.
	// Their mean age is now - StartTimeSum/count; it reveals a stall before any request finishes.
	StartTimeSum atomic.Int64
	// ReportedLongInFlight and ReportedLongQueue are the part of the newest report that is long work;
	// OwnLongInFlightAtReport is OwnLongInFlight at the time of the report.
	ReportedLongInFlight    atomic.Int32
	ReportedLongQueue       atomic.Int32
	OwnLongInFlightAtReport atomic.Int32
	// ReportedServiceTimeNanos is the gate's recent service time of short requests; zero when not reported.
	ReportedServiceTimeNanos atomic.Int64
	// FailedAt is when the last failure was observed.
	FailedAt atomic.Int64
	// RefusedAt is when the gate last refused a request because of its load.
	RefusedAt atomic.Int64
	// RefusalRateMilli is a moving average of the refusal rate, in thousandths.
	RefusalRateMilli atomic.Int32
	// SlowSince is when an ejection pass first found the endpoint much slower than the median; zero while it
	// is not.
	SlowSince atomic.Int64
	// ColdUntil is when the slow start of the backend server ends, according to the newest report; RampMilli is the number of
	// requests per 1,000 s that it tolerates until then.
	ColdUntil atomic.Int64
	RampMilli atomic.Int64
	// ProbedAt is when this node last sent a probe to the endpoint.
	ProbedAt atomic.Int64
}

// Service is the state of one service in a snapshot.
type Service struct {
	Name   string
	Config bundle.Service
	// Endpoints holds this node's subset, nearest locality first.
	Endpoints []*Endpoint
	// LocalityEnd[l] is the index after the last endpoint of locality l.
	LocalityEnd [Localities]int
	// AllowedRegions holds the regions of a view; it is nil unless the service is one.
	AllowedRegions []string
	// Views holds the restrictions of the service to sets of regions, by their positions in bundle.RegionSets. Each has its
	// own subset of endpoints. An entry is nil if no request for the service can be restricted to the set.
	Views []*Service
}

// Snapshot is an immutable view of the tables. It is safe for concurrent use.
type Snapshot struct {
	Version  uint64
	Bundle   *bundle.Bundle // nil until one has been accepted
	Routes   *bundle.Index  // of Bundle; nil without one
	Services map[string]*Service
	TakenAt  time.Time
	Accounts *account.Index // of Bundle; nil if it has no accounts
}

// Match returns the route that matches a request, or nil. host must not include a port.
func (s *Snapshot) Match(method, host, path string) *bundle.Route {
	if s.Routes == nil {
		return s.Bundle.Match(method, host, path)
	}
	return s.Routes.Match(method, host, path)
}

// Service returns the state of the named service, or nil.
func (s *Snapshot) Service(name string) *Service {
	if s == nil {
		return nil
	}
	return s.Services[name]
}

// Publisher passes snapshots from the engine loop to request goroutines. The zero value holds no snapshot.
type Publisher struct{ current atomic.Pointer[Snapshot] }

// Load returns the newest snapshot, or nil before the first Store.
func (p *Publisher) Load() *Snapshot { return p.current.Load() }

// Store publishes s, which must not be modified afterwards.
func (p *Publisher) Store(s *Snapshot) { p.current.Store(s) }
