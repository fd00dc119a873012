package engine

import (
	"dandelionspoke/internal/wire"
)

// output receives the decisions of the membership node. It runs under Engine.mu.
type output Engine

// SendDatagram implements membership.Output.
func (o *output) SendDatagram(udpAddr string, data []byte) {
	if err := o.server.send(udpAddr, data); err != nil {
		o.counters.SendErrors.Add(1)
	}
}

// NewerBundle implements membership.Output.
func (o *output) NewerBundle(version uint64, peerAddr string) {
	if hook := o.hooks.OnNewerBundle; hook != nil {
		o.calls = append(o.calls, func() { hook(version, peerAddr) })
	}
}

// Quarantined implements membership.Output.
func (o *output) Quarantined(entries []*wire.QuarantineEntry) {
	if hook := o.hooks.OnQuarantine; hook != nil {
		o.calls = append(o.calls, func() { hook(entries) })
	}
}

// Sync implements membership.Output. An exchange is skipped while maxSyncs others run; the periodic
// exchange makes up for it.
func (o *output) Sync(peerAddr string, request *wire.SyncRequest) {
	hook := o.hooks.SyncWith
	if hook == nil {
		return
	}
	select {
	case o.syncs <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-o.syncs }()
		hook(peerAddr, request)
	}()
}

// Changed implements membership.Output.
func (o *output) Changed(before, after *wire.Member) {
	if before != nil && before.State == after.State && before.Incarnation == after.Incarnation {
		return
	}
	if !o.logLimit.Allow() {
		o.logLost++
		return
	}
	from := "unknown"
	if before != nil {
		from = before.State.String()
	}
	o.log.Info("member changed", "node", o.cfg.NodeID, "member", after.NodeId, "from", from,
		"to", after.State.String(), "incarnation", after.Incarnation, "suppressed", o.logLost)
	o.logLost = 0
}
