package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/httpconn"
	"dandelionspoke/internal/sleep"
)

// leavingAnnounceDelay is the time for which a draining node continues to accept connections from callers after it has
// announced the drain, so that callers and other nodes learn of it first.
const leavingAnnounceDelay = 200 * time.Millisecond

// Drain announces that the node is draining, refuses new requests for its backend server, waits for the requests in
// flight and closes the node. Meanwhile, requests of callers that are still connected are sent to other nodes.
// When ctx ends first, the remaining requests are aborted and Drain returns ctx's error. If ctx has a deadline, this
// happens Settings.DrainReserve before it.
func (n *Node) Drain(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok && n.settings.DrainReserve > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-n.settings.DrainReserve))
		defer cancel()
	}
	n.draining.Store(true)
	n.ingress.SetDraining(true)
	if deadline, ok := ctx.Deadline(); ok {
		n.gate.SetEnd(deadline.Add(-withdrawLeadTime))
	}
	n.logger.Info("drain started", "event", "drain_started", "node", n.settings.NodeID, "notice", n.settings.DrainNotice)
	sleep.For(ctx, n.settings.DrainNotice)
	n.engine.SetLeaving()
	n.gate.SetDraining(true)
	sleep.For(ctx, leavingAnnounceDelay)
	defer n.answerBeforeDeadline(ctx)()
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

const (
	// withdrawLeadTime is the time before the deadline of a drain at which requests that still wait for a slot are
	// withdrawn. It leaves time for the refusals to reach the callers.
	withdrawLeadTime = 400 * time.Millisecond
	// pipelineLeadTime is the time before the deadline of a drain at which requests that delay complete responses of their
	// connection are given up. It leaves time for these responses to reach the callers.
	pipelineLeadTime = 250 * time.Millisecond
	// giveUpLeadTime is the time before the deadline of a drain at which all requests without a response are given up.
	giveUpLeadTime = 100 * time.Millisecond
)

// answerBeforeDeadline schedules the failure responses to requests that do not end before the deadline of ctx: first to those
// that have not started, last to all without a response. stop cancels it.
func (n *Node) answerBeforeDeadline(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	timers := []*time.Timer{
		time.AfterFunc(time.Until(deadline)-withdrawLeadTime, func() {
			n.logger.Info("waiting requests withdrawn", "event", "drain_withdraws", "node", n.settings.NodeID)
			n.ingress.Withdraw(ctx)
		}),
		time.AfterFunc(time.Until(deadline)-pipelineLeadTime, func() { n.giveUpRequests(httpconn.DelaysAnswers) }),
		time.AfterFunc(time.Until(deadline)-giveUpLeadTime, func() {
			n.giveUpRequests(func(context.Context) bool { return true })
		}),
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// giveUpRequests answers the requests of callers which selected accepts and which have no response yet, as the node is about to end.
func (n *Node) giveUpRequests(selected func(ctx context.Context) bool) {
	if count := n.ingress.GiveUp(selected); count > 0 {
		n.logger.Info("requests given up", "event", "drain_gives_up", "node", n.settings.NodeID, "requests", count)
	}
}

// shutdownIngress closes the ingress listener and waits until its requests have been answered. Once callers have had the time
// to leave, requests are accepted only if their deadline passes before the drain ends.
func (n *Node) shutdownIngress(ctx context.Context) {
	if len(n.servers) > 0 {
		_ = n.ingressListener.Close()
		n.ingressListener.WaitIdle(ctx, maxIdleWait(ctx))
		if deadline, ok := ctx.Deadline(); ok {
			n.ingress.LimitDeadlines(deadline.Add(-withdrawLeadTime))
		}
		n.ingressListener.Shutdown(ctx)
	}
	n.ingress.Wait()
}

// idleWaitDivisor divides the remaining drain time to give the longest wait for idle caller connections. Without this
// limit, callers that keep sending would delay the drain until its deadline, at which the newest requests are aborted.
const idleWaitDivisor = 4

// maxIdleWait returns the longest time to wait until all caller connections are idle.
func maxIdleWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline) / idleWaitDivisor
}

// Close stops the node immediately and aborts requests in flight.
func (n *Node) Close() error {
	n.closeOnce.Do(n.close)
	return nil
}

func (n *Node) close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	if n.peerPool != nil {
		n.peerPool.Close()
	}
	if n.peerServer != nil {
		n.peerServer.Close()
	}
	if n.engine != nil {
		n.engine.Stop()
	}
	if n.claimRouter != nil {
		n.claimRouter.Close()
	}
	if n.claimers != nil {
		n.claimers.Close()
	}
	n.gate.Close()
	n.wg.Wait()
	n.logger.Info("node stopped", "event", "node_stopped", "node", n.settings.NodeID)
}
