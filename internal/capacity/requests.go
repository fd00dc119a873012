package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/node"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
)

const (
	requestService = "service-000"
	requestSlots   = 64
	serviceTime    = 2 * time.Millisecond
	readyTimeout   = 10 * time.Second
)

// nodePair is a node used as ingress, a node used as gate and a backend server, on loopback in this process.
type nodePair struct {
	ingress, gate *node.Node
	backend       *backendtest.Server
}

func startNodePair(ctx context.Context) (*nodePair, error) {
	s, err := newSigner()
	if err != nil {
		return nil, err
	}
	b := largeBundle(1, 1)
	b.Services[requestService] = bundle.Service{Slots: requestSlots}
	e, err := s.sign(b)
	if err != nil {
		return nil, err
	}
	store := objectstoretest.New()
	if _, err := rollout.NewOperator(store, s.trusted).Rollout(ctx, e, nil); err != nil {
		return nil, err
	}
	p := &nodePair{}
	if p.gate, err = startNode(ctx, s, store, nil); err != nil {
		return p, err
	}
	if p.ingress, err = startNode(ctx, s, store, []string{p.gate.Addrs().Peer}); err != nil {
		return p, err
	}
	p.backend, err = backendtest.Start(backendtest.Options{
		ID: "endpoint-0", Service: requestService, Listen: "127.0.0.1:0", Slots: requestSlots,
		ServiceTime: backendtest.Distribution{Median: serviceTime}, Announce: p.gate.Addrs().Announce,
	})
	if err != nil {
		return p, err
	}
	return p, p.waitReady()
}

func startNode(ctx context.Context, s *signer, store *objectstoretest.Store, seeds []string) (*node.Node, error) {
	cfg := settings.LoopbackDefaults()
	cfg.Seeds = seeds
	cfg.Bundle.TrustedKeys = s.trusted
	cfg.Bundle.ApproverKeys = s.trusted
	n, err := node.New(node.Options{Settings: cfg, Store: store})
	if err != nil {
		return nil, err
	}
	return n, n.Start(ctx)
}

func (p *nodePair) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if p.ingress.EndpointCount(requestService) == 1 && get(http.DefaultClient, "http://"+p.ingress.Addrs().Ingress+"/"+requestService) == nil {
			return nil
		}
	}
	return errors.New("capacity: node pair is not ready")
}

func (p *nodePair) close() {
	if p.backend != nil {
		p.backend.Close()
	}
	for _, n := range []*node.Node{p.ingress, p.gate} {
		if n != nil {
			_ = n.Close()
		}
	}
}

func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// generateLoad sends requests to url from the given number of concurrent callers. It returns the number of
// requests and the processor time that this process used.
func generateLoad(url string, callers int, duration time.Duration) (calls int, cpu time.Duration, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	before, end := processTime(), time.Now().Add(duration)
	for range callers {
		wg.Go(func() {
			count := 0
			var callErr error
			for callErr == nil && time.Now().Before(end) {
				callErr = get(client, url)
				count++
			}
			mu.Lock()
			defer mu.Unlock()
			calls += count
			err = errors.CombineErrors(err, callErr)
		})
	}
	wg.Wait()
	return calls, processTime() - before, err
}

// requestRows measures the processor time that ingress and gate add to a request. Callers and backend server
// run in the same process, so the time of direct requests is subtracted.
func requestRows(callers int, duration time.Duration) ([]row, error) {
	p, err := startNodePair(context.Background())
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return nil, err
	}
	proxied, proxiedCPU, err := generateLoad("http://"+p.ingress.Addrs().Ingress+"/"+requestService, callers, duration)
	if err != nil {
		return nil, err
	}
	direct, directCPU, err := generateLoad("http://"+p.backend.Addr()+"/"+requestService, callers, duration)
	if err != nil {
		return nil, err
	}
	perCall := func(cpu time.Duration, calls int) float64 { return float64(cpu.Microseconds()) / float64(calls) }
	r := row{"measure=request_path", fmt.Sprintf("callers=%d", callers)}
	return []row{r.with("calls_per_s", float64(proxied)/duration.Seconds()).
		with("cpu_us_per_call", perCall(proxiedCPU, proxied)).
		with("direct_cpu_us_per_call", perCall(directCPU, direct)).
		with("added_cpu_us_per_call", perCall(proxiedCPU, proxied)-perCall(directCPU, direct))}, nil
}

// idleRows measures the processor time and the heap of a whole node without requests. The process runs two
// nodes and one backend server, so the values are halved.
func idleRows(duration time.Duration) ([]row, error) {
	before := heapBytes()
	p, err := startNodePair(context.Background())
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return nil, err
	}
	cpu := processTime()
	time.Sleep(duration)
	used := processTime() - cpu
	const nodes = 2
	r := row{"measure=node_idle"}
	return []row{r.with("cpu_percent_of_core", 100*used.Seconds()/duration.Seconds()/nodes).
		with("heap_bytes", (int64(heapBytes())-int64(before))/nodes)}, nil
}
