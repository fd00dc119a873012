package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// maxDepartures is the number of departures in a record; the latest are kept. A VM has one backend server at a time.
	maxDepartures = 3
	// maxEndpointIDBytes limits the ID in a departure, so that a record with maxDepartures fits into a datagram.
	maxEndpointIDBytes = 64
)

// withDepartures returns the record with the departures of both a and b, which are records of the same node. A process that
// has just started doesn't know the departures that earlier ones acknowledged, so its record must not replace them.
func withDepartures(record, a, b *wire.Member) *wire.Member {
	departures := mergeDepartures(a.Departures, b.Departures)
	known := a.DeparturesKnown || b.DeparturesKnown
	if record.DeparturesKnown == known && equalDepartures(record.Departures, departures) {
		return record
	}
	merged := proto.CloneOf(record)
	merged.Departures, merged.DeparturesKnown = departures, known
	return merged
}

// mergeDepartures returns the maxDepartures latest departures of both lists, the latest first. Like Merge, it is
// commutative, associative and idempotent.
func mergeDepartures(a, b []*wire.Departure) []*wire.Departure {
	if len(a)+len(b) == 0 {
		return nil
	}
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(x, y *wire.Departure) int {
		return cmp.Or(cmp.Compare(y.GetIncarnation(), x.GetIncarnation()), cmp.Compare(x.GetEndpointId(), y.GetEndpointId()))
	})
	merged = slices.CompactFunc(merged, equalDeparture)
	return merged[:min(len(merged), maxDepartures)]
}

func equalDeparture(x, y *wire.Departure) bool {
	return x.GetEndpointId() == y.GetEndpointId() && x.GetIncarnation() == y.GetIncarnation()
}

func equalDepartures(a, b []*wire.Departure) bool { return slices.EqualFunc(a, b, equalDeparture) }

// validDepartures reports whether a record may hold these departures.
func validDepartures(departures []*wire.Departure) bool {
	return len(departures) <= maxDepartures && !slices.ContainsFunc(departures, func(d *wire.Departure) bool {
		return d.GetEndpointId() == "" || len(d.GetEndpointId()) > maxEndpointIDBytes
	})
}

// AddDepartures adds departures of backend servers on this node's VM to its record. known states that these, with those in
// the record, are all that earlier processes of the node have acknowledged. Departures with an invalid ID are left out.
func (n *Node) AddDepartures(now time.Time, departures []*wire.Departure, known bool) {
	valid := slices.DeleteFunc(slices.Clone(departures), func(d *wire.Departure) bool {
		return !validDepartures([]*wire.Departure{d})
	})
	next := withDepartures(n.self, n.self, &wire.Member{Departures: valid, DeparturesKnown: known})
	if next == n.self || Validate(next, now) != nil {
		return
	}
	n.replaceSelf(now, next, Incarnation(n.self.Incarnation).Next())
}

// reportOwnDepartures passes on departures of this node's VM that another node knows.
func (n *Node) reportOwnDepartures(departures []*wire.Departure, known bool) {
	if known || len(departures) > 0 {
		n.out.OwnDepartures(departures, known)
	}
}
