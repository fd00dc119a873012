// Package system builds the snapshots of a node's tables from its membership view and its bundle.
package system

import (
	"cmp"
	"slices"
	"time"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// Self identifies the node that a snapshot is built for, and its location.
type Self struct {
	NodeID        string
	FailureDomain string
	Region        string
}

// Locality returns the locality of the given failure domain and region as seen from the node.
func (s Self) Locality(failureDomain, region string) table.Locality {
	switch {
	case failureDomain == s.FailureDomain && region == s.Region:
		return table.SameDomain
	case region == s.Region:
		return table.SameRegion
	default:
		return table.OtherRegion
	}
}

// SubsetFunc selects the endpoints of a service that the node uses. It may reorder and truncate
// candidates, whose Locality is set and whose Stats is nil. size is the bundle's subset size, or 0
// without a bundle.
type SubsetFunc func(self Self, service string, candidates []*table.Endpoint, size int) []*table.Endpoint

// KeepAll is the SubsetFunc that keeps every endpoint.
func KeepAll(_ Self, _ string, candidates []*table.Endpoint, _ int) []*table.Endpoint {
	return candidates
}

type endpointKey struct{ service, id string }

// BuildSnapshot returns a snapshot with the endpoints of ALIVE and SUSPECT members, grouped by service and
// sorted by locality. Endpoints of LEAVING and DEAD members are left out. An endpoint keeps its Stats from
// prev if its service, ID, node ID and node process are the same, and an unchanged endpoint is the same
// object. Stats.Suspect is set for every endpoint. A nil subset keeps all endpoints; b and prev may be nil.
func BuildSnapshot(
	version uint64, self Self, members []*wire.Member, b *bundle.Bundle, prev *table.Snapshot, now time.Time, subset SubsetFunc,
) *table.Snapshot {
	if subset == nil {
		subset = KeepAll
	}
	snap := &table.Snapshot{Version: version, Bundle: b, Services: map[string]*table.Service{}, TakenAt: now}
	switch {
	case b == nil:
	case prev != nil && prev.Bundle == b && prev.Routes != nil:
		snap.Routes, snap.Accounts = prev.Routes, prev.Accounts
	default:
		snap.Routes, snap.Accounts = bundle.NewIndex(b), account.NewIndex(b)
	}
	suspects := suspectNodes(members)
	size := 0
	if b != nil {
		size = b.Policy.SubsetSize
		for name, config := range b.Services {
			snap.Services[name] = &table.Service{Name: name, Config: config}
		}
	}
	for name, candidates := range candidatesByService(self, members, b) {
		service := snap.Services[name]
		if service == nil {
			service = &table.Service{Name: name}
			snap.Services[name] = service
		}
		resolver := newResolver(prev.Service(name), now)
		choose := func(allowed []*table.Endpoint) []*table.Endpoint { return subset(self, name, allowed, size) }
		setViews(service, snap.Routes, candidates, resolver, choose)
		setEndpoints(service, choose(candidates), resolver)
		for _, e := range resolver.resolved {
			e.Stats.Suspect.Store(suspects[e.NodeID])
		}
	}
	return snap
}

// candidatesByService returns the endpoints of ALIVE and SUSPECT members, without Stats. When two nodes
// announce the same endpoint, the one whose process started later is kept.
func candidatesByService(self Self, members []*wire.Member, b *bundle.Bundle) map[string][]*table.Endpoint {
	byService := map[string][]*table.Endpoint{}
	indexByKey := map[endpointKey]int{}
	for _, m := range members {
		if m.State != wire.MemberState_ALIVE && m.State != wire.MemberState_SUSPECT {
			continue
		}
		for _, record := range m.Endpoints {
			e := newEndpoint(self, m, record, b)
			key := endpointKey{e.Service, e.ID}
			index, duplicate := indexByKey[key]
			switch {
			case !duplicate:
				indexByKey[key] = len(byService[e.Service])
				byService[e.Service] = append(byService[e.Service], e)
			case isNewer(e, byService[e.Service][index]):
				byService[e.Service][index] = e
			}
		}
	}
	return byService
}

func newEndpoint(self Self, m *wire.Member, record *wire.EndpointRecord, b *bundle.Bundle) *table.Endpoint {
	e := &table.Endpoint{
		ID:            record.Id,
		Service:       record.Service,
		NodeID:        m.NodeId,
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		PeerAddr:      m.PeerAddr,
		UDPAddr:       m.UdpAddr,
		Locality:      self.Locality(m.FailureDomain, m.Region),
		Slots:         int32(min(record.Slots, maxSlots)),
		Incarnation:   membership.Incarnation(m.Incarnation).ProcessStartMs(),
	}
	if b == nil {
		return e
	}
	if service, inBundle := b.Services[record.Service]; inBundle {
		limits := service.LimitedTo(int(e.Slots), 0, b.Policy.SlotShare)
		e.Slots, e.LongSlots = int32(limits.Slots), int32(limits.LongSlots)
	}
	return e
}

// maxSlots caps the announced slots so that sums over a service fit in 32 bits.
const maxSlots = 1 << 20

func suspectNodes(members []*wire.Member) map[string]bool {
	suspects := map[string]bool{}
	for _, m := range members {
		if m.State == wire.MemberState_SUSPECT {
			suspects[m.NodeId] = true
		}
	}
	return suspects
}

func isNewer(a, b *table.Endpoint) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.NodeID < b.NodeID
}

// setEndpoints sets the endpoints of a service or a view.
func setEndpoints(service *table.Service, chosen []*table.Endpoint, resolver *resolver) {
	slices.SortFunc(chosen, func(a, b *table.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Locality, b.Locality), cmp.Compare(a.ID, b.ID))
	})
	service.Endpoints = make([]*table.Endpoint, len(chosen))
	for i, e := range chosen {
		service.Endpoints[i] = resolver.resolve(e)
		for l := int(e.Locality); l < table.Localities; l++ {
			service.LocalityEnd[l] = i + 1
		}
	}
}

// reuseStats sets the Stats of e: those of prev if the node process is the same, otherwise new ones. It
// returns prev itself if nothing changed.
func reuseStats(e, prev *table.Endpoint, now time.Time) *table.Endpoint {
	if prev == nil || prev.Incarnation != e.Incarnation || prev.NodeID != e.NodeID {
		e.Stats = newStats(e, now)
		return e
	}
	e.Stats = prev.Stats
	if *e == *prev {
		return prev
	}
	return e
}

// newStats returns Stats whose slow start began when the endpoint's node process started, so that a node
// that joins late does not treat every endpoint as newly started. A start time in the future, from a clock
// that is ahead, is replaced by now.
func newStats(e *table.Endpoint, now time.Time) *table.Stats {
	s := &table.Stats{}
	started := time.UnixMilli(int64(e.Incarnation))
	if started.After(now) {
		started = now
	}
	s.AdmittedAt.Store(steady.Nanos(started))
	return s
}
