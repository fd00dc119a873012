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
	// MaxRecordBytes limits an encoded record so that a datagram always has space for its header and one
	// record.
	MaxRecordBytes = 900
	// maxNodeIDBytes limits node IDs, since every datagram carries one.
	maxNodeIDBytes = 128
	// maxClockSkew is how far another node's clock may run ahead. Records from further ahead are rejected,
	// because no later process of that node could supersede them.
	maxClockSkew = 24 * time.Hour
)

// ErrBadRecord reports an invalid member record.
var ErrBadRecord = errors.New("membership: bad record")

// Validate returns an error that wraps ErrBadRecord if the record must not enter the member table.
func Validate(m *wire.Member, now time.Time) error {
	switch {
	case m.GetNodeId() == "" || len(m.NodeId) > maxNodeIDBytes:
		return errors.Wrapf(ErrBadRecord, "node ID is empty or too long (%d bytes)", len(m.GetNodeId()))
	case m.State < wire.MemberState_ALIVE || m.State > wire.MemberState_DEAD:
		return errors.Wrapf(ErrBadRecord, "unknown state %d of %q", m.State, m.NodeId)
	case Incarnation(m.Incarnation).ProcessStartMs() > uint64(now.Add(maxClockSkew).UnixMilli()):
		return errors.Wrapf(ErrBadRecord, "incarnation %d of %q is too far in the future", m.Incarnation, m.NodeId)
	case !validDepartures(m.Departures):
		return errors.Wrapf(ErrBadRecord, "departures of %q", m.NodeId)
	case proto.Size(m) > MaxRecordBytes:
		return errors.Wrapf(ErrBadRecord, "record of %q has %d bytes, limit %d", m.NodeId, proto.Size(m), MaxRecordBytes)
	}
	if _, err := netip.ParseAddrPort(m.UdpAddr); err != nil {
		return errors.Wrapf(ErrBadRecord, "invalid UDP address %q of %q", m.UdpAddr, m.NodeId)
	}
	return nil
}

// Merge combines two records of the same node. The record with the higher incarnation wins; within an
// incarnation the later state (ALIVE, SUSPECT, LEAVING, DEAD) wins. The result has the departures of both. Merge is
// commutative, associative and idempotent. It returns a or b itself if one of them is the result.
func Merge(a, b *wire.Member) *wire.Member { return withDepartures(newer(a, b), a, b) }

// newer is Merge without the departures.
func newer(a, b *wire.Member) *wire.Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	base := a
	if !equalAttributes(a, b) && bytes.Compare(marshalAttributes(a), marshalAttributes(b)) < 0 {
		base = b
	}
	state := max(a.State, b.State)
	version := max(a.BundleVersion, b.BundleVersion)
	if base.State == state && base.BundleVersion == version {
		return base
	}
	merged := proto.CloneOf(base)
	merged.State = state
	merged.BundleVersion = version
	return merged
}

// equalAttributes reports whether two records have the same addresses, location, store access and
// endpoints. Records of one incarnation differ in these only when two processes use the same node ID.
func equalAttributes(a, b *wire.Member) bool {
	return a.NodeId == b.NodeId && a.PeerAddr == b.PeerAddr && a.UdpAddr == b.UdpAddr &&
		a.FailureDomain == b.FailureDomain && a.Region == b.Region && a.StoreAccess == b.StoreAccess &&
		slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y *wire.EndpointRecord) bool {
			return x.Id == y.Id && x.Service == y.Service && x.Slots == y.Slots && x.Connections == y.Connections
		})
}

func marshalAttributes(m *wire.Member) []byte {
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
	copied := proto.CloneOf(m)
	copied.State = s
	return copied
}
