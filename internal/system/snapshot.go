// Package system holds the passes that run over the tables of a node.
package system

import (
	"cmp"
	"slices"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// Self locates the node that a snapshot is built for.
type Self struct {
	NodeID        string
	FailureDomain string
	Region        string
}

// Locality returns the distance from the node to a place.
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

// Subset chooses the endpoints of a service that the node uses. It may reorder and shorten
// candidates, whose Locality is filled and whose Stats is nil. size is the bundle's subset size, 0 without a bundle.
type SubsetFunc func(self Self, service string, candidates []*table.Endpoint, size int) []*table.Endpoint

// All is the Subset that keeps every endpoint.
func All(_ Self, _ string, candidates []*table.Endpoint, _ int) []*table.Endpoint { return candidates }

type endpointKey struct{ service, id string }

// BuildSnapshot groups the endpoints of ALIVE and SUSPECT members by service, nearest first.
// LEAVING and DEAD members have no endpoints. Stats, and endpoints that did not change, are taken
// from prev when endpoint ID, service and the process of the node beside it are the same. A nil
// subset keeps all endpoints; b and prev may be nil. It sets Stats.Suspect.
func BuildSnapshot(
	version uint64, self Self, members []*wire.Member, b *bundle.Bundle, prev *table.Snapshot, now time.Time, subset SubsetFunc,
) *table.Snapshot {
	if subset == nil {
		subset = All
	}
	snap := &table.Snapshot{Version: version, Bundle: b, Services: map[string]*table.Service{}, TakenAt: now}
	switch {
	case b == nil:
	case prev != nil && prev.Bundle == b && prev.Routes != nil:
		snap.Routes = prev.Routes
	default:
		snap.Routes = bundle.NewIndex(b)
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
		fillService(service, subset(self, name, candidates, size), prev.Service(name), now)
		for _, e := range service.Endpoints {
			e.Stats.Suspect.Store(suspects[e.NodeID])
		}
	}
	return snap
}

// candidatesByService returns the endpoints in use, without Stats. When two nodes announce the same
// endpoint, the newer process wins.
func candidatesByService(self Self, members []*wire.Member, b *bundle.Bundle) map[string][]*table.Endpoint {
	byService := map[string][]*table.Endpoint{}
	position := map[endpointKey]int{}
	for _, m := range members {
		if m.State != wire.MemberState_ALIVE && m.State != wire.MemberState_SUSPECT {
			continue
		}
		for _, record := range m.Endpoints {
			e := newEndpoint(self, m, record, b)
			key := endpointKey{e.Service, e.ID}
			at, duplicate := position[key]
			switch {
			case !duplicate:
				position[key] = len(byService[e.Service])
				byService[e.Service] = append(byService[e.Service], e)
			case newer(e, byService[e.Service][at]):
				byService[e.Service][at] = e
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
	if service, known := b.Services[record.Service]; known {
		limits := service.LimitedTo(int(e.Slots), 0, b.Policy.SlotShare)
		e.Slots, e.LongSlots = int32(limits.Slots), int32(limits.LongSlots)
	}
	return e
}

// maxSlots bounds the announced slots so that sums over a service fit in 32 bits.
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

func newer(a, b *table.Endpoint) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.NodeID < b.NodeID
}

func fillService(service *table.Service, chosen []*table.Endpoint, prev *table.Service, now time.Time) {
	slices.SortFunc(chosen, func(a, b *table.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Locality, b.Locality), cmp.Compare(a.ID, b.ID))
	})
	known := map[string]*table.Endpoint{}
	if prev != nil {
		for _, e := range prev.Endpoints {
			known[e.ID] = e
		}
	}
	service.Endpoints = make([]*table.Endpoint, len(chosen))
	for i, e := range chosen {
		service.Endpoints[i] = carryOver(e, known[e.ID], now)
		for l := int(e.Locality); l < table.Localities; l++ {
			service.LocalityEnd[l] = i + 1
		}
	}
}

// carryOver gives e the Stats of the same process in the previous snapshot, or new ones.
func carryOver(e, old *table.Endpoint, now time.Time) *table.Endpoint {
	if old == nil || old.Incarnation != e.Incarnation || old.NodeID != e.NodeID {
		e.Stats = newStats(e, now)
		return e
	}
	e.Stats = old.Stats
	if *e == *old {
		return old
	}
	return e
}

// newStats starts the slow start when the process beside the endpoint started, so that a node that
// joins late does not treat the whole fleet as cold. A start in the future, from a clock that is
// ahead, counts as now.
func newStats(e *table.Endpoint, now time.Time) *table.Stats {
	s := &table.Stats{}
	started := time.UnixMilli(int64(e.Incarnation))
	if started.After(now) {
		started = now
	}
	s.AdmittedAt.Store(started.UnixNano())
	return s
}
