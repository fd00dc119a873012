package membership

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

const (
	// MaxRecordBytes bounds an encoded record so that one always fits into a datagram with its header.
	MaxRecordBytes = 900
	// maxNameBytes bounds node IDs, which every datagram carries.
	maxNameBytes = 128
	// maxClockLead is how far the clock of another node may run ahead. Records from further ahead are
	// refused, because their node could never be superseded.
	maxClockLead = 24 * time.Hour
)

// ErrBadRecord reports a member record that cannot be used.
var ErrBadRecord = errors.New("membership: bad record")

// Validate reports whether a record may enter the tables. Errors wrap ErrBadRecord.
func Validate(m *wire.Member, now time.Time) error {
	switch {
	case m.GetNodeId() == "" || len(m.NodeId) > maxNameBytes:
		return errors.Wrapf(ErrBadRecord, "node ID of %d bytes", len(m.GetNodeId()))
	case m.State < wire.MemberState_ALIVE || m.State > wire.MemberState_DEAD:
		return errors.Wrapf(ErrBadRecord, "state %d of %q", m.State, m.NodeId)
	case Incarnation(m.Incarnation).ProcessStartMs() > uint64(now.Add(maxClockLead).UnixMilli()):
		return errors.Wrapf(ErrBadRecord, "incarnation %d of %q is in the future", m.Incarnation, m.NodeId)
	case proto.Size(m) > MaxRecordBytes:
		return errors.Wrapf(ErrBadRecord, "record of %q has %d bytes, limit %d", m.NodeId, proto.Size(m), MaxRecordBytes)
	}
	if _, err := netip.ParseAddrPort(m.UdpAddr); err != nil {
		return errors.Wrapf(ErrBadRecord, "UDP address %q of %q", m.UdpAddr, m.NodeId)
	}
	return nil
}

// Merge returns the record that holds after both a and b, of the same node, have been heard. The
// higher incarnation wins; within an incarnation the later state (ALIVE, SUSPECT, LEAVING, DEAD) wins.
// Merge is commutative, associative and idempotent. It returns a or b unchanged where it can.
func Merge(a, b *wire.Member) *wire.Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	winner := a
	if !sameDetails(a, b) && bytes.Compare(encodeDetails(a), encodeDetails(b)) < 0 {
		winner = b
	}
	state := max(a.State, b.State)
	version := max(a.BundleVersion, b.BundleVersion)
	if winner.State == state && winner.BundleVersion == version {
		return winner
	}
	merged := proto.CloneOf(winner)
	merged.State = state
	merged.BundleVersion = version
	return merged
}

// sameDetails reports whether two records agree about addresses and endpoints. Records of one
// incarnation disagree only when two processes use the same node ID.
func sameDetails(a, b *wire.Member) bool {
	return a.NodeId == b.NodeId && a.PeerAddr == b.PeerAddr && a.UdpAddr == b.UdpAddr &&
		a.FailureDomain == b.FailureDomain && a.Region == b.Region && a.StoreAccess == b.StoreAccess &&
		slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y *wire.EndpointRecord) bool {
			return x.Id == y.Id && x.Service == y.Service && x.Slots == y.Slots && x.Connections == y.Connections
		})
}

func encodeDetails(m *wire.Member) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Member{
		NodeId: m.NodeId, PeerAddr: m.PeerAddr, UdpAddr: m.UdpAddr,
		FailureDomain: m.FailureDomain, Region: m.Region, Endpoints: m.Endpoints, StoreAccess: m.StoreAccess,
	})
	if err != nil {
		return nil
	}
	return encoded
}

// Live reports whether a member in this state may run requests.
func Live(s wire.MemberState) bool {
	return s == wire.MemberState_ALIVE || s == wire.MemberState_SUSPECT
}

func withState(m *wire.Member, s wire.MemberState) *wire.Member {
	changed := proto.CloneOf(m)
	changed.State = s
	return changed
}
