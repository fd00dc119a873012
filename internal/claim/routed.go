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

// maxTries bounds the nodes that one Acquire asks.
const maxTries = 3

// lostReleaseDelays are the times after a lost answer at which the claim is released. The answer may be
// lost before the claim is made, so that one release is not enough.
var lostReleaseDelays = []time.Duration{0, time.Second, callTimeout, 15 * time.Second, time.Minute}

// Routed are the keys of one service, claimed through the owners of their shards.
type Routed struct {
	router  *Router
	service string
}

// Acquire is as Claimer.Acquire. When the answer of an owner is lost, this attempt has no permit: Acquire
// returns NotRun at once and the claim, if there is one, is released in the background. A repeat that
// comes first gets Held. A claim made later than the last release, or released by no reachable node,
// stays and blocks the key until it expires.
func (k *Routed) Acquire(ctx context.Context, key string, digest, attemptID []byte) (Result, error) {
	id := newIdentity(key, digest, attemptID)
	if holder, found := k.router.held.holder(k.service, key); found {
		return record{Digest: holder.digest, State: claimed}.answer(id)
	}
	var failure error // of a node that took the request: its claim may be in the store for a while
	for n, target := range k.tries(id.key) {
		// An identity of its own for each try: a node that failed releases its claim at any later time.
		id.attempt = short(fmt.Sprintf("%s/%d", attemptID, n))
		started := time.Now()
		r, err := k.acquireAt(ctx, target, id)
		switch {
		case errors.Is(err, errNotTaken):
			continue
		case errors.Is(err, errLost):
			k.releaseLost(id)
			return Result{}, lostError(ctx, err)
		case err != nil && !isUnavailable(err):
			return Result{}, notRun(err)
		case err != nil:
			failure = err
			continue
		case r.Kind == Held && failure != nil:
			return Result{}, notRun(failure) // the holder may be an earlier try of this attempt
		}
		if r.Kind == Run {
			r.Permit = Permit{startBefore: started.Add(StartWithin)}
			k.router.held.hold(k.service, key, id)
		}
		return r, nil
	}
	if failure == nil {
		failure = errors.New("no owner of the key's shard can be reached")
	}
	return Result{}, notRun(failure)
}

// tries returns the nodes that one Acquire asks; the last one is this node if it has the store.
func (k *Routed) tries(key string) []Node {
	targets := k.router.targets(k.service, key)
	if len(targets) <= maxTries {
		return targets
	}
	tries := targets[:maxTries]
	if last := targets[len(targets)-1]; k.router.isSelf(last) {
		tries[maxTries-1] = last
	}
	return tries
}

// lostError gives the end of the caller's wait as the reason if that is what it was.
func lostError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return notRun(errors.Wrap(ctx.Err(), "claim"))
	}
	return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "%v", err)
}

func isUnavailable(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Reason == verdict.ClaimUnavailable
}

func (k *Routed) acquireAt(ctx context.Context, target Node, id identity) (Result, error) {
	if k.router.isSelf(target) {
		return k.router.config.Local.For(k.service).acquire(ctx, id)
	}
	reply, err := k.call(ctx, target, newRequest(wire.ClaimOp_ACQUIRE, k.service, id))
	if err != nil {
		return Result{}, err
	}
	return resultOf(reply)
}

// call returns errNotTaken or errLost when there is no reply.
func (k *Routed) call(ctx context.Context, target Node, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
	reply, sent, err := k.router.config.Call(ctx, target.PeerAddr, request)
	if err == nil {
		return reply, nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		k.router.unanswered(target)
	}
	if sent {
		return nil, errors.Mark(errors.Wrapf(err, "owner %s", target.NodeID), errLost)
	}
	return nil, errors.Mark(errors.Wrapf(err, "owner %s", target.NodeID), errNotTaken)
}

// Complete is as Claimer.Complete.
func (k *Routed) Complete(ctx context.Context, key string, o Outcome) error {
	if o.Verdict == verdict.NotRun {
		return errors.New("claim: an attempt that was not run is released, not completed")
	}
	id, found := k.router.held.drop(k.service, key)
	if !found {
		return errors.Wrapf(ErrFenced, "no claim of the key is held here")
	}
	o = o.bounded()
	ctx, cancel := k.router.untilClosed(ctx)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := k.settle(ctx, id, func(ctx context.Context, target Node) error { return k.completeAt(ctx, target, id, o) })
		if err == nil || errors.Is(err, ErrFenced) || !sleep.For(ctx, objectstore.Backoff(attempt, rand.Float64)) {
			return err
		}
	}
}

func (k *Routed) completeAt(ctx context.Context, target Node, id identity, o Outcome) error {
	if k.router.isSelf(target) {
		return k.router.config.Local.For(k.service).complete(ctx, id, o)
	}
	request := newRequest(wire.ClaimOp_COMPLETE, k.service, id)
	request.Outcome = encodeOutcome(o)
	reply, err := k.call(ctx, target, request)
	if err != nil {
		return err
	}
	return errorOf(reply)
}

// Release is as Claimer.Release.
func (k *Routed) Release(ctx context.Context, key string) error {
	id, found := k.router.held.drop(k.service, key)
	if !found {
		return errors.Wrapf(ErrFenced, "no claim of the key is held here")
	}
	ctx, cancel := k.router.untilClosed(ctx)
	defer cancel()
	err := k.release(ctx, id)
	if err != nil {
		k.router.background(func() { k.releaseUntilDone(id) })
	}
	return err
}

func (k *Routed) release(ctx context.Context, id identity) error {
	return k.settle(ctx, id, func(ctx context.Context, target Node) error { return k.releaseAt(ctx, target, id) })
}

func (k *Routed) releaseAt(ctx context.Context, target Node, id identity) error {
	if k.router.isSelf(target) {
		return k.router.config.Local.For(k.service).release(ctx, id)
	}
	reply, err := k.call(ctx, target, newRequest(wire.ClaimOp_RELEASE, k.service, id))
	if err != nil {
		return err
	}
	return errorOf(reply)
}

// settle passes an operation that may be repeated to the nodes in order until one confirms it.
func (k *Routed) settle(ctx context.Context, id identity, at func(context.Context, Node) error) error {
	err := errors.New("claim: no owner of the key's shard can be reached")
	for _, target := range k.router.targets(k.service, id.key) {
		if ctx.Err() != nil {
			return errors.CombineErrors(ctx.Err(), err)
		}
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err = at(bounded, target)
		cancel()
		if err == nil || errors.Is(err, ErrFenced) {
			return err
		}
	}
	return err
}

// releaseUntilDone gives up when the Router is closed, or when the claim is sure to have expired at the
// least retention.
func (k *Routed) releaseUntilDone(id identity) {
	ctx, cancel := context.WithTimeout(k.router.ctx, MinRetention)
	defer cancel()
	for attempt := 0; k.release(ctx, id) != nil; attempt++ {
		if !sleep.For(ctx, objectstore.Backoff(attempt, rand.Float64)) {
			return
		}
	}
}

func (k *Routed) releaseLost(id identity) {
	k.router.background(func() {
		passed := time.Duration(0)
		for _, at := range lostReleaseDelays {
			if !sleep.For(k.router.ctx, at-passed) {
				return
			}
			passed = at
			k.releaseUntilDone(id)
		}
	})
}
