package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// maxAcquireTries is the maximum number of nodes to which one Acquire sends its request.
const maxAcquireTries = 3

// lostReplyReleaseDelays are the delays after a lost reply at which the claim is released. One release is
// not enough, because the request may still be in transit and make the claim after the release.
var lostReplyReleaseDelays = []time.Duration{0, time.Second, callTimeout, 15 * time.Second, time.Minute}

// RoutedClaimer claims the keys of one service through the owners of their shards.
type RoutedClaimer struct {
	router  *Router
	service string
}

// Acquire is like Claimer.Acquire. If the reply of an owner is lost, the attempt has no permit: Acquire
// returns NotRun immediately and releases the claim, if it was made, in the background. A repeat that
// arrives before the release gets Held. A claim that is made after the last release, or that no reachable
// node could release, blocks the key until it expires.
func (c *RoutedClaimer) Acquire(ctx context.Context, key string, digest, attemptID []byte) (Result, error) {
	id := newIdentity(key, digest, attemptID)
	if holder, found := c.router.held.lookup(c.service, key); found {
		return record{Digest: holder.digest, State: claimed}.repeatResult(id)
	}
	var acceptedErr error // from a node that accepted the request: its claim may remain in the store for a while
	for try, target := range c.acquireTargets(id.key) {
		// Each try has its own attempt identity, because a node that failed may release its claim at any
		// later time and must not release the claim made by a later try.
		id.attempt = shortDigest(fmt.Sprintf("%s/%d", attemptID, try))
		started := time.Now()
		r, err := c.acquireAt(ctx, target, id)
		switch {
		case errors.Is(err, errNotAccepted):
			continue
		case errors.Is(err, errReplyLost):
			c.releaseLostReply(id)
			return Result{}, lostReplyError(ctx, err)
		case err != nil && !isUnavailable(err):
			return Result{}, asNotRun(err)
		case err != nil:
			acceptedErr = err
			continue
		case r.Kind == Held && acceptedErr != nil:
			return Result{}, asNotRun(acceptedErr) // an earlier try of this Acquire may hold the claim
		}
		if r.Kind == Run {
			r.Permit = Permit{startBefore: started.Add(PermitLifetime)}
			c.router.held.add(c.service, key, id)
		}
		return r, nil
	}
	if acceptedErr == nil {
		acceptedErr = errors.New("no owner of the key's shard can be reached")
	}
	return Result{}, asNotRun(acceptedErr)
}

// acquireTargets returns the nodes to which one Acquire sends its request, in order: the first
// maxAcquireTries targets. If this node is the last of all targets, it takes the last of these places.
func (c *RoutedClaimer) acquireTargets(key string) []Node {
	targets := c.router.targets(c.service, key)
	if len(targets) <= maxAcquireTries {
		return targets
	}
	selected := targets[:maxAcquireTries]
	if last := targets[len(targets)-1]; c.router.isSelf(last) {
		selected[maxAcquireTries-1] = last
	}
	return selected
}

// lostReplyError returns a verdict.Error with NotRun for a lost reply. If ctx has ended, the reason is that of
// ctx.Err().
func lostReplyError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return asNotRun(errors.Wrap(ctx.Err(), "claim"))
	}
	return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "%v", err)
}

func isUnavailable(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Reason == verdict.ClaimUnavailable
}

func (c *RoutedClaimer) acquireAt(ctx context.Context, target Node, id identity) (Result, error) {
	if c.router.isSelf(target) {
		return c.router.config.Local.For(c.service).acquire(ctx, id)
	}
	reply, err := c.call(ctx, target, newRequest(wire.ClaimOp_ACQUIRE, c.service, id))
	if err != nil {
		return Result{}, err
	}
	return parseAcquireReply(reply)
}

// call sends a request to a node and returns the reply. If there is none, the error is marked with
// errNotAccepted or errReplyLost.
func (c *RoutedClaimer) call(ctx context.Context, target Node, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
	reply, sent, err := c.router.config.Call(ctx, target.PeerAddr, request)
	if err == nil {
		return reply, nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.router.recordUnanswered(target)
	}
	if sent {
		return nil, errors.Mark(errors.Wrapf(err, "owner %s", target.NodeID), errReplyLost)
	}
	return nil, errors.Mark(errors.Wrapf(err, "owner %s", target.NodeID), errNotAccepted)
}

// Complete is like Claimer.Complete.
func (c *RoutedClaimer) Complete(ctx context.Context, key string, o Outcome) error {
	if o.Verdict == verdict.NotRun {
		return errors.New("claim: an attempt that was not run is released, not completed")
	}
	id, found := c.router.held.remove(c.service, key)
	if !found {
		return errors.Wrapf(ErrFenced, "no claim of the key is held here")
	}
	o = o.bounded().permittedIn(c.router.config.StoreRegion)
	ctx, cancel := c.router.contextUntilClosed(ctx)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := c.tryOwners(ctx, id, func(ctx context.Context, target Node) error { return c.completeAt(ctx, target, id, o) })
		if err == nil || errors.Is(err, ErrFenced) || !sleep.For(ctx, objectstore.Backoff(attempt, rand.Float64)) {
			return err
		}
	}
}

func (c *RoutedClaimer) completeAt(ctx context.Context, target Node, id identity, o Outcome) error {
	if c.router.isSelf(target) {
		return c.router.config.Local.For(c.service).complete(ctx, id, o)
	}
	request := newRequest(wire.ClaimOp_COMPLETE, c.service, id)
	request.Outcome = encodeOutcome(o.permittedIn(target.Region))
	reply, err := c.call(ctx, target, request)
	if err != nil {
		return err
	}
	return parseConfirmReply(reply)
}

// Release is like Claimer.Release.
func (c *RoutedClaimer) Release(ctx context.Context, key string) error {
	id, found := c.router.held.remove(c.service, key)
	if !found {
		return errors.Wrapf(ErrFenced, "no claim of the key is held here")
	}
	ctx, cancel := c.router.contextUntilClosed(ctx)
	defer cancel()
	err := c.release(ctx, id)
	if err != nil {
		c.router.runInBackground(func() { c.releaseUntilDone(id) })
	}
	return err
}

func (c *RoutedClaimer) release(ctx context.Context, id identity) error {
	return c.tryOwners(ctx, id, func(ctx context.Context, target Node) error { return c.releaseAt(ctx, target, id) })
}

func (c *RoutedClaimer) releaseAt(ctx context.Context, target Node, id identity) error {
	if c.router.isSelf(target) {
		return c.router.config.Local.For(c.service).release(ctx, id)
	}
	reply, err := c.call(ctx, target, newRequest(wire.ClaimOp_RELEASE, c.service, id))
	if err != nil {
		return err
	}
	return parseConfirmReply(reply)
}

// tryOwners calls do for the targets of a key, in order, until a call succeeds or returns ErrFenced. do must
// be idempotent, because a node whose reply is lost may have applied the operation.
func (c *RoutedClaimer) tryOwners(ctx context.Context, id identity, do func(context.Context, Node) error) error {
	err := errors.New("claim: no owner of the key's shard can be reached")
	for _, target := range c.router.targets(c.service, id.key) {
		if ctx.Err() != nil {
			return errors.CombineErrors(ctx.Err(), err)
		}
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err = do(bounded, target)
		cancel()
		if err == nil || errors.Is(err, ErrFenced) {
			return err
		}
	}
	return err
}

// releaseUntilDone retries until the release succeeds or the Router is closed. It gives up after
// MinRetention, by which time a claim with the minimum retention has expired.
func (c *RoutedClaimer) releaseUntilDone(id identity) {
	ctx, cancel := context.WithTimeout(c.router.ctx, MinRetention)
	defer cancel()
	for attempt := 0; c.release(ctx, id) != nil; attempt++ {
		if !sleep.For(ctx, objectstore.Backoff(attempt, rand.Float64)) {
			return
		}
	}
}

// releaseLostReply releases in the background a claim whose reply was lost.
func (c *RoutedClaimer) releaseLostReply(id identity) {
	c.router.runInBackground(func() {
		elapsed := time.Duration(0)
		for _, delay := range lostReplyReleaseDelays {
			if !sleep.For(c.router.ctx, delay-elapsed) {
				return
			}
			elapsed = delay
			c.releaseUntilDone(id)
		}
	})
}
