package claim

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dandelionspoke/internal/recovery"
	"dandelionspoke/internal/wire"
)

const (
	// callTimeout bounds one request to an owner. It exceeds writeTimeout, so that an owner still replies
	// when its write to the store times out.
	callTimeout = writeTimeout + time.Second
	// ownersMaxAge is the age at which the list of owners is computed again.
	ownersMaxAge = 500 * time.Millisecond
	// avoidDuration is the time for which a node comes last in the order of targets after it could not be
	// reached or did not reply.
	avoidDuration = 2 * time.Second
)

// KeyClaimer claims idempotency keys of one service. Claimer and RoutedClaimer implement it.
type KeyClaimer interface {
	Acquire(ctx context.Context, key string, digest, attemptID []byte) (Result, error)
	Complete(ctx context.Context, key string, o Outcome) error
	Release(ctx context.Context, key string) error
}

// RouterConfig configures a Router.
type RouterConfig struct {
	Self string // node ID
	// Local holds the claimers of this node; nil if the node has no direct access to the store.
	Local *ClaimerSet
	// StoreRegion is the region of the store, or empty if it is unknown. Outcomes that must not enter it are stored without
	// header and body.
	StoreRegion string
	// Nodes returns the live nodes that have direct access to the store and are not draining. Self may be
	// one of them.
	Nodes func() []Node
	// Call sends a request to a node and returns the reply. If sent is false, the request has not left
	// this node and has no effect.
	Call func(ctx context.Context, peerAddr string, r *wire.ClaimRequest) (reply *wire.ClaimReply, sent bool, err error)
	// Draining reports whether this node is draining. Serve then refuses new claims.
	Draining func() bool
	Log      *slog.Logger
}

// Router sends the claims of each shard to one owner node, so that claims of many nodes share writes.
// Safety depends only on the conditional writes of the owners: if two nodes both act as the owner of a
// shard, their writes conflict. Router is safe for concurrent use.
type Router struct {
	config RouterConfig
	held   heldClaims
	shards int
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu             sync.Mutex
	closed         bool
	owners         []Node
	ownersComputed time.Time            // when owners was computed
	ownersSince    time.Time            // since when owners has held the same nodes
	avoidUntil     map[string]time.Time // by node ID; until then the node comes last in the order of targets
}

// NewRouter returns a Router. Close ends its goroutines; it does not close config.Local.
func NewRouter(config RouterConfig) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	return &Router{config: config, shards: shardCount, ctx: ctx, cancel: cancel, avoidUntil: map[string]time.Time{}}
}

// For returns the routed claimer of a service.
func (r *Router) For(service string) KeyClaimer { return &RoutedClaimer{router: r, service: service} }

// Close cancels Complete and Release calls and background releases in progress. Claims that were neither
// completed nor released remain until they expire.
func (r *Router) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.group.Wait()
}

// contextUntilClosed returns a context that ends when ctx ends or the Router is closed.
func (r *Router) contextUntilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// runInBackground starts f in a goroutine unless the Router is closed. Close waits for f to return. A panic of f is logged;
// what f would have released expires.
func (r *Router) runInBackground(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.group.Go(func() {
			defer func() {
				if value := recover(); value != nil {
					recovery.Log(r.config.Log, value)
				}
			}()
			f()
		})
	}
}

// targets returns the nodes that can serve requests for a key, in order of preference: the owners by
// rank, then this node if it has direct access to the store. Nodes that recently could not be reached or
// did not reply come last.
func (r *Router) targets(service, key string) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.refreshOwners(now)
	order := rankOwners(r.owners, service, shardNumber(key, r.shards))
	if r.config.Local == nil {
		order = slices.DeleteFunc(order, r.isSelf)
	} else if !slices.ContainsFunc(order, r.isSelf) {
		order = append(order, Node{NodeID: r.config.Self})
	}
	avoided := func(n Node) bool { return now.Before(r.avoidUntil[n.NodeID]) }
	first := slices.DeleteFunc(slices.Clone(order), avoided)
	last := slices.DeleteFunc(order, func(n Node) bool { return !avoided(n) })
	return append(first, last...)
}

// refreshOwners computes the owners again if they are older than ownersMaxAge. It is called with mu held.
func (r *Router) refreshOwners(now time.Time) {
	if !r.ownersComputed.IsZero() && now.Sub(r.ownersComputed) < ownersMaxAge {
		return
	}
	owners := selectOwners(r.config.Nodes())
	sameNode := func(a, b Node) bool { return a.NodeID == b.NodeID }
	if r.ownersSince.IsZero() || !slices.EqualFunc(owners, r.owners, sameNode) {
		r.ownersSince = now
	}
	r.owners, r.ownersComputed = owners, now
}

// KnowsOwners reports whether the owners have been computed, which the first claim and IsOwner cause.
func (r *Router) KnowsOwners() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ownersComputed.IsZero()
}

// IsOwner reports whether this node owns shards of each service.
func (r *Router) IsOwner() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshOwners(time.Now())
	return slices.ContainsFunc(r.owners, r.isSelf)
}

// OwnedSince returns the time since which the owners have been the same and this node has been the first one of a shard. It
// returns false if this node is not.
func (r *Router) OwnedSince(service string, shard int) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshOwners(time.Now())
	order := rankOwners(r.owners, service, shard)
	return r.ownersSince, len(order) > 0 && r.isSelf(order[0])
}

func (r *Router) isSelf(n Node) bool { return n.NodeID == r.config.Self }

// recordUnanswered puts n last in the order of targets for avoidDuration.
func (r *Router) recordUnanswered(n Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, until := range r.avoidUntil {
		if !now.Before(until) {
			delete(r.avoidUntil, id)
		}
	}
	if _, known := r.avoidUntil[n.NodeID]; !known {
		r.config.Log.Info("claim owner did not answer", "event", "claim_owner_unanswered", "node", n.NodeID)
	}
	r.avoidUntil[n.NodeID] = now.Add(avoidDuration)
}
