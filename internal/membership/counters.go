package membership

import (
	"sync/atomic"

	"dandelionspoke/internal/wire"
)

// Kind is the type of a datagram. Messages and bytes are counted per kind.
type Kind uint8

// Kinds of datagrams.
const (
	KindGossip Kind = iota // a datagram with updates only
	KindPing
	KindAck
	KindPingRequest
	KindProbe
	KindProbeReply
	KindBundleNotice
	KindTokenRequest
	KindTokenGrant
	KindOther
	kindCount
)

var kindNames = [kindCount]string{"gossip", "ping", "ack", "ping_request", "probe", "probe_reply", "bundle_notice", "token_request", "token_grant", "other"}

// String returns the name used in the counters.
func (k Kind) String() string { return kindNames[min(k, KindOther)] }

// KindOf returns the kind of a datagram.
func KindOf(d *wire.Datagram) Kind {
	switch d.Kind.(type) {
	case nil:
		return KindGossip
	case *wire.Datagram_Ping:
		return KindPing
	case *wire.Datagram_Ack:
		return KindAck
	case *wire.Datagram_PingRequest:
		return KindPingRequest
	case *wire.Datagram_Probe:
		return KindProbe
	case *wire.Datagram_ProbeReply:
		return KindProbeReply
	case *wire.Datagram_BundleNotice:
		return KindBundleNotice
	case *wire.Datagram_TokenRequest:
		return KindTokenRequest
	case *wire.Datagram_TokenGrant:
		return KindTokenGrant
	default:
		return KindOther
	}
}

// Counters are totals since the process started. Byte counts include ipUDPHeaderBytes per datagram. All
// fields are safe for concurrent use.
type Counters struct {
	SentMessages, SentBytes         [kindCount]atomic.Uint64
	ReceivedMessages, ReceivedBytes [kindCount]atomic.Uint64
	// OverBudget counts datagrams that were not sent because the byte budget was exhausted.
	OverBudget atomic.Uint64
	// Malformed counts invalid datagrams and records; UnknownSender counts datagrams from nodes that are not
	// members.
	Malformed, UnknownSender atomic.Uint64
	// Suspicions and Deaths count the state changes that this node initiated.
	Suspicions, Deaths, Refutations atomic.Uint64
	// IDConflicts counts received records with this node's ID but different addresses or endpoints.
	IDConflicts atomic.Uint64
	// InputDropped counts inputs from request goroutines that were dropped because the queue was full.
	InputDropped atomic.Uint64
	SendErrors   atomic.Uint64
	Snapshots    atomic.Uint64
}

// Map returns the nonzero counters by name, for expvar.
func (c *Counters) Map() map[string]uint64 {
	out := map[string]uint64{}
	put := func(name string, v *atomic.Uint64) {
		if n := v.Load(); n > 0 {
			out[name] = n
		}
	}
	for k := range kindCount {
		put("sent_messages_"+k.String(), &c.SentMessages[k])
		put("sent_bytes_"+k.String(), &c.SentBytes[k])
		put("received_messages_"+k.String(), &c.ReceivedMessages[k])
		put("received_bytes_"+k.String(), &c.ReceivedBytes[k])
	}
	put("over_budget", &c.OverBudget)
	put("malformed", &c.Malformed)
	put("unknown_sender", &c.UnknownSender)
	put("suspicions", &c.Suspicions)
	put("deaths", &c.Deaths)
	put("refutations", &c.Refutations)
	put("id_conflicts", &c.IDConflicts)
	put("input_dropped", &c.InputDropped)
	put("send_errors", &c.SendErrors)
	put("snapshots", &c.Snapshots)
	return out
}

// Totals returns the number of messages and bytes sent.
func (c *Counters) Totals() (messages, bytes uint64) {
	for k := range kindCount {
		messages += c.SentMessages[k].Load()
		bytes += c.SentBytes[k].Load()
	}
	return messages, bytes
}

// Received counts a datagram that was read from the socket.
func (c *Counters) Received(d *wire.Datagram, size int) {
	k := KindOf(d)
	c.ReceivedMessages[k].Add(1)
	c.ReceivedBytes[k].Add(uint64(size + ipUDPHeaderBytes))
}
