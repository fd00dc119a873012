package claim

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/wire"
)

const testLatency = time.Millisecond

var errNetwork = errors.New("network fault")

// network connects routers in this process and injects faults between them.
type network struct {
	group sync.WaitGroup

	mu       sync.Mutex
	routers  []*Router
	claimers []*ClaimerSet // nil for a router without direct access to the store
	views    [][]Node
	killed   map[int]bool
	// Numbers of upcoming calls whose request is lost, whose reply is lost, and whose request is delayed.
	loseRequests, loseReplies, delayRequests int
}

func (net *network) nodes() []Node {
	var all []Node
	for i, local := range net.claimers {
		if local != nil && !net.killed[i] {
			all = append(all, Node{NodeID: fmt.Sprint(i), PeerAddr: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 2)})
		}
	}
	return all
}

// newNetwork returns a network of routers, of which the first withStore have direct access to the store.
func newNetwork(store objectstore.Store, size, withStore, shards int, writesPerSecond float64) *network {
	net := &network{killed: map[int]bool{}, claimers: make([]*ClaimerSet, size), views: make([][]Node, size)}
	for i := range withStore {
		net.claimers[i] = NewClaimerSet(Config{
			Store: store, Retention: func() time.Duration { return MinRetention },
			WritesPerSecond: writesPerSecond, Log: slog.New(slog.DiscardHandler),
			OwnedSince: func(service string, shard int) (time.Time, bool) { return net.routers[i].OwnedSince(service, shard) },
		})
		net.claimers[i].shards = shards
	}
	for i := range size {
		r := NewRouter(RouterConfig{
			Self: fmt.Sprint(i), Local: net.claimers[i], Nodes: func() []Node { return net.view(i) },
			Call: func(ctx context.Context, addr string, r *wire.ClaimRequest) (*wire.ClaimReply, bool, error) {
				return net.call(ctx, i, addr, r)
			},
			Draining: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
		})
		r.shards = shards
		net.routers = append(net.routers, r)
		net.views[i] = net.nodes()
	}
	return net
}

func (net *network) view(i int) []Node {
	net.mu.Lock()
	defer net.mu.Unlock()
	return net.views[i]
}

// setView sets the membership view of router i to the live nodes for which keep returns true.
func (net *network) setView(i int, keep func(Node) bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.views[i] = slices.DeleteFunc(net.nodes(), func(n Node) bool { return !keep(n) })
}

// kill stops a node. Its calls, and the calls of other nodes to it, then fail.
func (net *network) kill(i int) {
	net.mu.Lock()
	net.killed[i] = true
	net.mu.Unlock()
	net.routers[i].Close()
	if net.claimers[i] != nil {
		net.claimers[i].Close()
	}
}

// clearFaults cancels the faults of upcoming calls.
func (net *network) clearFaults() {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.loseRequests, net.loseReplies, net.delayRequests = 0, 0, 0
}

func (net *network) close() {
	for i := range net.routers {
		net.kill(i)
	}
	net.group.Wait()
}

type callResult struct {
	reply *wire.ClaimReply
	lost  bool
}

// nextFault returns the target of a call, nil if it cannot be reached, and the fault to inject into the call.
func (net *network) nextFault(from int, to string) (target *Router, delay time.Duration, loseRequest, loseReply bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	for i, r := range net.routers {
		if r.config.Self == to && !net.killed[i] && !net.killed[from] {
			target = r
		}
	}
	consume := func(n *int) bool {
		if *n == 0 || target == nil {
			return false
		}
		*n--
		return true
	}
	if consume(&net.delayRequests) {
		return target, 4 * time.Second, false, false
	}
	return target, testLatency, consume(&net.loseRequests), consume(&net.loseReplies)
}

func (net *network) call(ctx context.Context, from int, to string, request *wire.ClaimRequest) (*wire.ClaimReply, bool, error) {
	target, delay, loseRequest, loseReply := net.nextFault(from, to)
	if target == nil {
		time.Sleep(testLatency)
		return nil, false, errNetwork
	}
	replies := make(chan callResult, 1)
	net.group.Go(func() {
		time.Sleep(delay)
		if loseRequest {
			return
		}
		reply := target.Serve(context.Background(), request)
		replies <- callResult{reply, loseReply || target.ctx.Err() != nil}
	})
	select {
	case result := <-replies:
		if result.lost {
			return nil, true, errNetwork
		}
		return result.reply, true, nil
	case <-ctx.Done():
		return nil, true, ctx.Err()
	}
}
