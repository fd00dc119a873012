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

// pair is an ingress node and a gate node with a backend server, on loopback in this process.
type pair struct {
	ingress, gate *node.Node
	backend       *backendtest.Server
}

func startPair(ctx context.Context) (*pair, error) {
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
	p := &pair{}
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

func (p *pair) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if p.ingress.EndpointCount(requestService) == 1 && get(http.DefaultClient, "http://"+p.ingress.Addrs().Ingress+"/"+requestService) == nil {
			return nil
		}
	}
	return errors.New("capacity: the pair of nodes does not serve")
}

func (p *pair) close() {
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

// load calls url from the given number of callers for a time. It returns calls and processor time.
func load(url string, callers int, duration time.Duration) (calls int, cpu time.Duration, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	before, end := processTime(), time.Now().Add(duration)
	for range callers {
		wg.Go(func() {
			done := 0
			var failed error
			for failed == nil && time.Now().Before(end) {
				failed = get(client, url)
				done++
			}
			mu.Lock()
			defer mu.Unlock()
			calls += done
			err = errors.CombineErrors(err, failed)
		})
	}
	wg.Wait()
	return calls, processTime() - before, err
}

// requestRows measures the processor time that ingress and gate add to a call. Caller and backend server
// run in the same process, so that the time of direct calls is subtracted.
func requestRows(callers int, duration time.Duration) ([]row, error) {
	p, err := startPair(context.Background())
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return nil, err
	}
	through, throughCPU, err := load("http://"+p.ingress.Addrs().Ingress+"/"+requestService, callers, duration)
	if err != nil {
		return nil, err
	}
	direct, directCPU, err := load("http://"+p.backend.Addr()+"/"+requestService, callers, duration)
	if err != nil {
		return nil, err
	}
	perCall := func(cpu time.Duration, calls int) float64 { return float64(cpu.Microseconds()) / float64(calls) }
	r := row{"measure=request_path", fmt.Sprintf("callers=%d", callers)}
	return []row{r.with("calls_per_s", float64(through)/duration.Seconds()).
		with("cpu_us_per_call", perCall(throughCPU, through)).
		with("direct_cpu_us_per_call", perCall(directCPU, direct)).
		with("added_cpu_us_per_call", perCall(throughCPU, through)-perCall(directCPU, direct))}, nil
}

// idleRows measures the processor time and the heap of a whole node without requests. Two nodes and one
// backend server share the process; the figures are halved.
func idleRows(duration time.Duration) ([]row, error) {
	before := heapBytes()
	p, err := startPair(context.Background())
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
