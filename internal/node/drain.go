package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/sleep"
)

// announceDelay is the time that a leaving node goes on accepting connections from callers after it has
// announced that it leaves, so that they and other nodes hear of it first.
const announceDelay = 200 * time.Millisecond

// Drain announces that the node leaves, refuses new work for its backend server, waits for the work in flight
// and closes the node. Callers that are still connected are served through other nodes meanwhile.
// When ctx ends first, the remaining requests are cut off and Drain returns ctx's error.
func (n *Node) Drain(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok && n.settings.DrainReserve > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-n.settings.DrainReserve))
		defer cancel()
	}
	n.draining.Store(true)
	n.ingress.SetDraining(true)
	n.logger.Info("drain started", "event", "drain_started", "node", n.settings.NodeID, "notice", n.settings.DrainNotice)
	sleep.For(ctx, n.settings.DrainNotice)
	n.engine.SetLeaving()
	n.gate.SetDraining(true)
	sleep.For(ctx, announceDelay)
	defer n.withdrawBeforeEnd(ctx)()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		n.shutdownIngress(ctx)
		n.gate.Wait()
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "drain")
	}
	n.logger.Info("drain ended", "event", "drain_ended", "node", n.settings.NodeID, "error", err)
	return errors.CombineErrors(err, n.Close())
}

// withdrawLead is the time before the end of a drain at which requests that still wait for a slot are withdrawn. It
// leaves time for the refusals to reach the callers.
const withdrawLead = 400 * time.Millisecond

// withdrawBeforeEnd withdraws what has not started shortly before the deadline of ctx. The result stops it.
func (n *Node) withdrawBeforeEnd(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline)-withdrawLead, func() {
		n.logger.Info("waiting requests withdrawn", "event", "drain_withdraws", "node", n.settings.NodeID)
		n.ingress.Withdraw(ctx)
	})
	return func() { timer.Stop() }
}

// shutdownIngress closes the listener for callers once its requests have been answered.
func (n *Node) shutdownIngress(ctx context.Context) {
	if len(n.servers) > 0 {
		_ = n.callers.Close()
		n.callers.WaitIdle(ctx, quietLimit(ctx))
		_ = n.servers[0].Shutdown(ctx)
	}
	n.ingress.Wait()
}

// quietShare is the part of the remaining drain time, as a divisor, in which idle connections are kept for callers
// that may be sending. Callers that go on sending would otherwise hold the drain up to its end, at which the newest
// requests are cut off.
const quietShare = 4

// quietLimit returns the longest time to wait for callers to become quiet.
func quietLimit(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline) / quietShare
}

// Close ends the node at once. Requests in flight break.
func (n *Node) Close() error {
	n.closeOnce.Do(n.close)
	return nil
}

func (n *Node) close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	if n.pool != nil {
		n.pool.Close()
	}
	if n.peers != nil {
		n.peers.Close()
	}
	if n.engine != nil {
		n.engine.Stop()
	}
	if n.router != nil {
		n.router.Close()
	}
	if n.claims != nil {
		n.claims.Close()
	}
	n.gate.Close()
	n.wg.Wait()
	n.logger.Info("node stopped", "event", "node_stopped", "node", n.settings.NodeID)
}
