package claim

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dandelionspoke/internal/wire"
)

const (
	// callTimeout bounds one request to an owner. It exceeds writeTimeout, so that an owner whose store
	// is slow still answers.
	callTimeout = writeTimeout + time.Second
	// poolInterval is the time for which the list of owners is used before it is computed again.
	poolInterval = 500 * time.Millisecond
	// avoidFor is the time for which a node that could not be reached, or did not answer, is asked last.
	avoidFor = 2 * time.Second
)

// Keys are the operations on idempotency keys of one service. Claimer and Routed implement them.
type KeyClaimer interface {
	Acquire(ctx context.Context, key string, digest, attemptID []byte) (Result, error)
	Complete(ctx context.Context, key string, o Outcome) error
	Release(ctx context.Context, key string) error
}

// RouterConfig configures a Router.
type RouterConfig struct {
	Self string // node ID
	// Local has the claimers of this node; nil without direct access to the store.
	Local *Claimers
	// Nodes returns the live nodes with direct access to the store that are not leaving. Self may be one.
	Nodes func() []Node
	// Call sends a request to a node and returns the reply. sent false means that the request has not
	// left this node and has no effect.
	Call func(ctx context.Context, peerAddr string, r *wire.ClaimRequest) (reply *wire.ClaimReply, sent bool, err error)
	// Leaving makes Serve refuse new claims while it returns true.
	Draining func() bool
	Log     *slog.Logger
}

// Router sends the claims of each shard to one owner node, so that claims of many nodes share writes.
// Safety comes from the conditional writes of the owners alone: two nodes that both act as owner of a
// shard conflict. Router is safe for concurrent use.
type Router struct {
	config RouterConfig
	held   holds
	shards int
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	pool     []Node
	poolTime time.Time
	avoid    map[string]time.Time // end of the time in which a node is asked last, by node ID
}

// NewRouter returns a Router. Close ends its goroutines; it does not close config.Local.
func NewRouter(config RouterConfig) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	return &Router{config: config, shards: shardCount, ctx: ctx, cancel: cancel, avoid: map[string]time.Time{}}
}

// For returns the keys of a service.
func (r *Router) For(service string) KeyClaimer { return &Routed{router: r, service: service} }

// Close ends Complete and Release calls and background releases in progress. Claims that were not
// settled stay until they expire.
func (r *Router) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.group.Wait()
}

// untilClosed returns a context that ends with ctx or with the Router.
func (r *Router) untilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// background runs f unless the Router is closed.
func (r *Router) background(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.group.Go(f)
	}
}

// targets returns the nodes to ask for a key in order: the owners by rank, then this node if it has the
// store. Nodes that lately failed to answer come last.
func (r *Router) targets(service, key string) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.poolTime.IsZero() || now.Sub(r.poolTime) >= poolInterval {
		r.pool, r.poolTime = owners(r.config.Nodes()), now
	}
	order := ranked(r.pool, service, shardNumber(key, r.shards))
	if r.config.Local == nil {
		order = slices.DeleteFunc(order, r.isSelf)
	} else if !slices.ContainsFunc(order, r.isSelf) {
		order = append(order, Node{NodeID: r.config.Self})
	}
	avoided := func(n Node) bool { return now.Before(r.avoid[n.NodeID]) }
	first := slices.DeleteFunc(slices.Clone(order), avoided)
	last := slices.DeleteFunc(order, func(n Node) bool { return !avoided(n) })
	return append(first, last...)
}

func (r *Router) isSelf(n Node) bool { return n.NodeID == r.config.Self }

// unanswered makes later requests ask n last.
func (r *Router) unanswered(n Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, until := range r.avoid {
		if !now.Before(until) {
			delete(r.avoid, id)
		}
	}
	if _, known := r.avoid[n.NodeID]; !known {
		r.config.Log.Info("claim owner did not answer", "event", "claim_owner_unanswered", "node", n.NodeID)
	}
	r.avoid[n.NodeID] = now.Add(avoidFor)
}
