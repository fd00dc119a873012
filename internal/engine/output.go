package engine

import (
	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/wire"
)

// output implements membership.Output for an Engine. Its methods are called with Engine.mu held.
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
		o.pendingHooks = append(o.pendingHooks, func() { hook(version, peerAddr) })
	}
}

// OwnDepartures implements membership.Output.
func (o *output) OwnDepartures(departures []*wire.Departure, known bool) {
	if hook := o.hooks.OnOwnDepartures; hook != nil {
		o.pendingHooks = append(o.pendingHooks, func() { hook(departures, known) })
	}
}

// Quarantined implements membership.Output.
func (o *output) Quarantined(entries []*wire.QuarantineEntry) {
	if hook := o.hooks.OnQuarantine; hook != nil {
		o.pendingHooks = append(o.pendingHooks, func() { hook(entries) })
	}
}

// EvacuationsChanged implements membership.Output.
func (o *output) EvacuationsChanged(set evacuation.Set) {
	if hook := o.hooks.OnEvacuations; hook != nil {
		o.pendingHooks = append(o.pendingHooks, func() { hook(set) })
	}
}

// Sync implements membership.Output. It skips the exchange if maxConcurrentSyncs others are running; a later
// periodic exchange transfers the same state.
func (o *output) Sync(peerAddr string, request *wire.SyncRequest) {
	hook := o.hooks.SyncWith
	if hook == nil {
		return
	}
	select {
	case o.syncSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-o.syncSlots }()
		hook(peerAddr, request)
	}()
}

// Changed implements membership.Output.
func (o *output) Changed(before, after *wire.Member) {
	if before != nil && before.State == after.State && before.Incarnation == after.Incarnation {
		return
	}
	if !o.changeLogLimiter.Allow() {
		o.suppressedLogs++
		return
	}
	from := "unknown"
	if before != nil {
		from = before.State.String()
	}
	o.log.Info("member changed", "node", o.cfg.NodeID, "member", after.NodeId, "from", from,
		"to", after.State.String(), "incarnation", after.Incarnation, "suppressed", o.suppressedLogs)
	o.suppressedLogs = 0
}
