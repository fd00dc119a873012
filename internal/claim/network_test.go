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
	services []*Claimers // nil for a router without direct access to the store
	views    [][]Node
	dead     map[int]bool
	// Numbers of further calls with a fault: request lost, answer lost, request delivered late.
	loseRequest, loseAnswer, late int
}

func (w *network) nodes() []Node {
	var all []Node
	for i, s := range w.services {
		if s != nil && !w.dead[i] {
			all = append(all, Node{NodeID: fmt.Sprint(i), PeerAddr: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 2)})
		}
	}
	return all
}

// newNetwork returns a network of routers, of which the first withStore have direct access to the store.
func newNetwork(store objectstore.Store, size, withStore, shards int, writes float64) *network {
	w := &network{dead: map[int]bool{}, services: make([]*Claimers, size), views: make([][]Node, size)}
	for i := range withStore {
		w.services[i] = NewClaimers(Config{
			Store: store, Retention: func() time.Duration { return MinRetention },
			WritesPerSecond: writes, Log: slog.New(slog.DiscardHandler),
		})
		w.services[i].shards = shards
	}
	for i := range size {
		r := NewRouter(RouterConfig{
			Self: fmt.Sprint(i), Local: w.services[i], Nodes: func() []Node { return w.view(i) },
			Call: func(ctx context.Context, addr string, r *wire.ClaimRequest) (*wire.ClaimReply, bool, error) {
				return w.call(ctx, i, addr, r)
			},
			Draining: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
		})
		r.shards = shards
		w.routers = append(w.routers, r)
		w.views[i] = w.nodes()
	}
	return w
}

func (w *network) view(i int) []Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.views[i]
}

// split gives router i a view that lacks every node for which keep is false.
func (w *network) split(i int, keep func(Node) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.views[i] = slices.DeleteFunc(w.nodes(), func(n Node) bool { return !keep(n) })
}

// kill ends a node. Others notice by calls that fail.
func (w *network) kill(i int) {
	w.mu.Lock()
	w.dead[i] = true
	w.mu.Unlock()
	w.routers[i].Close()
	if w.services[i] != nil {
		w.services[i].Close()
	}
}

// calm ends the faults of calls.
func (w *network) calm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseRequest, w.loseAnswer, w.late = 0, 0, 0
}

func (w *network) close() {
	for i := range w.routers {
		w.kill(i)
	}
	w.group.Wait()
}

type answered struct {
	reply *wire.ClaimReply
	lost  bool
}

// takeFault decides the fate of one call.
func (w *network) takeFault(from int, to string) (target *Router, delay time.Duration, loseRequest, loseAnswer bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, r := range w.routers {
		if r.config.Self == to && !w.dead[i] && !w.dead[from] {
			target = r
		}
	}
	take := func(n *int) bool {
		if *n == 0 || target == nil {
			return false
		}
		*n--
		return true
	}
	if take(&w.late) {
		return target, 4 * time.Second, false, false
	}
	return target, testLatency, take(&w.loseRequest), take(&w.loseAnswer)
}

func (w *network) call(ctx context.Context, from int, to string, request *wire.ClaimRequest) (*wire.ClaimReply, bool, error) {
	target, delay, loseRequest, loseAnswer := w.takeFault(from, to)
	if target == nil {
		time.Sleep(testLatency)
		return nil, false, errNetwork
	}
	replies := make(chan answered, 1)
	w.group.Go(func() {
		time.Sleep(delay)
		if loseRequest {
			return
		}
		reply := target.Serve(context.Background(), request)
		replies <- answered{reply, loseAnswer || target.ctx.Err() != nil}
	})
	select {
	case a := <-replies:
		if a.lost {
			return nil, true, errNetwork
		}
		return a.reply, true, nil
	case <-ctx.Done():
		return nil, true, ctx.Err()
	}
}
