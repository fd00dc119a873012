package engine

import (
	"slices"
	"strings"
	"time"

	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// State is a copy of all tables in the form of the JSON dump.
type State struct {
	NodeID          string            `json:"node_id"`
	ProcessStartMs  uint64            `json:"process_unix_ms"`
	Incarnation     uint64            `json:"incarnation"`
	State           string            `json:"state"`
	BundleVersion   uint64            `json:"bundle_version"`
	SnapshotVersion uint64            `json:"snapshot_version"`
	LiveMembers     int               `json:"live_members"`
	PendingUpdates  int               `json:"pending_updates"`
	Members         []MemberState     `json:"members"`
	Services        []ServiceState    `json:"services"`
	Quarantine      []QuarantineState `json:"quarantine"`
	Counters        map[string]uint64 `json:"counters"`
}

// MemberState is one row of the member table.
type MemberState struct {
	NodeID         string   `json:"node_id"`
	State          string   `json:"state"`
	Incarnation    uint64   `json:"incarnation"`
	ProcessStartMs uint64   `json:"process_unix_ms"`
	PeerAddr       string   `json:"peer_addr"`
	UDPAddr        string   `json:"udp_addr"`
	FailureDomain  string   `json:"failure_domain"`
	Region         string   `json:"region"`
	BundleVersion  uint64   `json:"bundle_version"`
	Endpoints      []string `json:"endpoints"`
}

// ServiceState is one service of the published snapshot.
type ServiceState struct {
	Name string `json:"name"`
	// AllowedRegions is set for a restriction of the service to these regions, which has a row of its own.
	AllowedRegions []string        `json:"allowed_regions,omitempty"`
	Endpoints      []EndpointState `json:"endpoints"`
}

// EndpointState is one row of the endpoint table. A time is 0 if its event has not happened.
type EndpointState struct {
	ID                  string `json:"id"`
	NodeID              string `json:"node_id"`
	Locality            uint8  `json:"locality"` // 0 local failure domain, 1 local region, 2 other region
	Slots               int32  `json:"slots"`
	OwnInFlight         int32  `json:"own_in_flight"`
	ReportedInFlight    int32  `json:"reported_in_flight"`
	ReportedQueue       int32  `json:"reported_queue"`
	ReportedAtUnixNano  int64  `json:"reported_at_unix_ns"`
	LatencyMicros       int64  `json:"latency_us"`
	ConsecutiveFailures int32  `json:"consecutive_failures"`
	FailureRateMilli    int32  `json:"failure_rate_milli"`
	EjectedUntilNano    int64  `json:"ejected_until_unix_ns"`
	AdmittedAtNano      int64  `json:"admitted_at_unix_ns"`
	ColdUntilNano       int64  `json:"cold_until_unix_ns"`
	RampMilli           int64  `json:"ramp_milli"`
	Draining            bool   `json:"draining"`
	Suspect             bool   `json:"suspect"`
}

// QuarantineState is one row of the quarantine table.
type QuarantineState struct {
	Fingerprint   []byte `json:"fingerprint"`
	ExpiresUnixMs uint64 `json:"expires_unix_ms"`
	Deaths        uint32 `json:"deaths"`
}

// Dump returns a copy of all tables.
func (e *Engine) Dump() State {
	state := State{NodeID: e.cfg.NodeID, Counters: e.counters.Map()}
	var members []*wire.Member
	var snapshot *table.Snapshot
	e.view(func(node *membership.Node) {
		self := node.Self()
		state.Incarnation = self.Incarnation
		state.ProcessStartMs = membership.Incarnation(self.Incarnation).ProcessStartMs()
		state.State = self.State.String()
		state.BundleVersion = node.BundleVersion()
		state.LiveMembers = node.LiveCount()
		state.PendingUpdates = node.PendingUpdates()
		for _, q := range node.Quarantine() {
			state.Quarantine = append(state.Quarantine, QuarantineState{q.Fingerprint, q.ExpiresUnixMs, q.Deaths})
		}
		members = node.Members()
		snapshot = e.snapshot
	})
	state.Members = memberStates(members)
	if snapshot != nil {
		state.SnapshotVersion = snapshot.Version
		state.Services = serviceStates(snapshot)
	}
	return state
}

func memberStates(members []*wire.Member) []MemberState {
	out := make([]MemberState, 0, len(members))
	for _, m := range members {
		row := MemberState{
			NodeID: m.NodeId, State: m.State.String(),
			Incarnation: m.Incarnation, ProcessStartMs: membership.Incarnation(m.Incarnation).ProcessStartMs(),
			PeerAddr: m.PeerAddr, UDPAddr: m.UdpAddr, FailureDomain: m.FailureDomain, Region: m.Region,
			BundleVersion: m.BundleVersion,
		}
		for _, endpoint := range m.Endpoints {
			row.Endpoints = append(row.Endpoints, endpoint.Id)
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b MemberState) int { return strings.Compare(a.NodeID, b.NodeID) })
	return out
}

func serviceStates(snapshot *table.Snapshot) []ServiceState {
	out := make([]ServiceState, 0, len(snapshot.Services))
	for name, service := range snapshot.Services {
		for view := range service.WithViews() {
			row := ServiceState{Name: name, AllowedRegions: view.AllowedRegions}
			for _, e := range view.Endpoints {
				row.Endpoints = append(row.Endpoints, endpointState(e))
			}
			out = append(out, row)
		}
	}
	slices.SortStableFunc(out, func(a, b ServiceState) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func endpointState(e *table.Endpoint) EndpointState {
	s := e.Stats
	return EndpointState{
		ID: e.ID, NodeID: e.NodeID, Locality: uint8(e.Locality), Slots: e.Slots,
		OwnInFlight:         s.OwnInFlight.Load(),
		ReportedInFlight:    s.ReportedInFlight.Load(),
		ReportedQueue:       s.ReportedQueue.Load(),
		ReportedAtUnixNano:  s.ReportedAt.Load(),
		LatencyMicros:       s.LatencyNanos.Load() / int64(time.Microsecond),
		ConsecutiveFailures: s.ConsecutiveFailures.Load(),
		FailureRateMilli:    s.FailureRateMilli.Load(),
		EjectedUntilNano:    s.EjectedUntil.Load(),
		AdmittedAtNano:      s.AdmittedAt.Load(),
		ColdUntilNano:       s.ColdUntil.Load(),
		RampMilli:           s.RampMilli.Load(),
		Draining:            s.Draining.Load(),
		Suspect:             s.Suspect.Load(),
	}
}
