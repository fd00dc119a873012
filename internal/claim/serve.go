package claim

import (
	"context"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Serve handles a request from another node. It also accepts requests for shards that another node owns,
// because the sender may have the newer membership view, and a wrong owner only causes write conflicts.
func (r *Router) Serve(ctx context.Context, request *wire.ClaimRequest) *wire.ClaimReply {
	id, err := parseIdentity(request)
	if err != nil || r.config.Local == nil {
		return &wire.ClaimReply{Answer: wire.ClaimAnswer_REFUSED}
	}
	timeout := min(callTimeout, time.Duration(request.TimeoutMs)*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	claimer := r.config.Local.For(request.Service)
	switch request.Op {
	case wire.ClaimOp_ACQUIRE:
		if r.config.Draining() {
			return &wire.ClaimReply{Answer: wire.ClaimAnswer_REFUSED}
		}
		return acquireReply(claimer.acquire(ctx, id))
	case wire.ClaimOp_COMPLETE:
		o := decodeOutcome(request.Outcome)
		if request.Outcome == nil || o.Verdict == verdict.NotRun {
			return &wire.ClaimReply{Answer: wire.ClaimAnswer_REFUSED}
		}
		return confirmReply(claimer.complete(ctx, id, o))
	case wire.ClaimOp_RELEASE:
		return confirmReply(claimer.release(ctx, id))
	default:
		return &wire.ClaimReply{Answer: wire.ClaimAnswer_REFUSED}
	}
}
