package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

const (
	soakNodes   = 4
	soakCallers = 8
	// soakSteps is the number of faults of one seed; soakOverlap of them run at a time.
	soakSteps   = 8
	soakOverlap = 2
	// soakRecovery is the time after the last fault within which every node answers again.
	soakRecovery = 15 * time.Second
	// soakOrderLimit bounds how long a caller waits; it exceeds the timeout of the routes.
	soakOrderLimit = 12 * time.Second
)

// soakSeeds returns the seeds of this run: SOAK_SEEDS=FIRST-LAST, or a short default for CI. Seeds that ever failed
// stay in the default, each with a line on the cause.
func soakSeeds(t *testing.T) []uint64 {
	text := os.Getenv("SOAK_SEEDS")
	if text == "" {
		return []uint64{1, 2}
	}
	from, to, _ := strings.Cut(text, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		t.Fatalf("SOAK_SEEDS=%q: want FIRST-LAST", text)
	}
	last := first
	if to != "" {
		if last, err = strconv.ParseUint(to, 10, 64); err != nil {
			t.Fatalf("SOAK_SEEDS=%q: want FIRST-LAST", text)
		}
	}
	var seeds []uint64
	for s := first; s <= last; s++ {
		seeds = append(seeds, s)
	}
	return seeds
}

// Guards against promises to callers that break when processes are stopped, paused, killed and restarted and
// connections are cut, silenced, delayed and reset, several at a time.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is one fleet of processes under faults drawn from a seed.
type soak struct {
	*fleet
	rng     *rand.Rand // of the injector
	peers   []*proxy   // before the peer listener of each node
	stores  *proxy
	stopped atomic.Bool
	nodeMu  []sync.Mutex // held by the fault that acts on a node

	mu       sync.Mutex
	faults   []string
	notRun   []string
	problems []string
	answered int
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{fleet: &fleet{t: t, dir: t.TempDir()}, rng: rand.New(rand.NewPCG(seed, seed)), nodeMu: make([]sync.Mutex, soakNodes)}
	s.store = start(t, "store")
	s.rollout()
	s.stores = newProxy(t)
	s.stores.setTarget(strings.TrimPrefix(s.store.fields["store"], "http://"))
	s.store.fields["store"] = "http://" + s.stores.addr()
	for i := range soakNodes {
		p := newProxy(t)
		s.peers = append(s.peers, p)
		s.addProxiedNode(i, p)
	}
	for _, n := range s.nodes {
		s.waitReady(n)
	}
	return s
}

// addProxiedNode starts a node whose peer address is that of a proxy.
func (s *soak) addProxiedNode(i int, p *proxy) {
	s.addNode(i)
	node := s.nodes[i]
	p.setTarget(node.fields["peer"])
	text, err := os.ReadFile(s.settings[i])
	if err != nil {
		s.t.Fatal(err)
	}
	listen := fmt.Sprintf("[peer]\nlisten = %q\n", node.fields["peer"])
	s.settings[i] = s.write(fmt.Sprintf("node-%d.toml", i),
		strings.Replace(string(text), listen, listen+fmt.Sprintf("advertise = %q\n", p.addr()), 1))
	// The restart puts the advertised address in force.
	s.restart(i)
	node = s.nodes[i]
	node.fields["peer"] = p.addr()
}

func (s *soak) run() {
	var callers, injectors sync.WaitGroup
	for c := range soakCallers {
		callers.Go(func() { s.call(c) })
	}
	faults := make(chan func())
	for range soakOverlap {
		injectors.Go(func() {
			for f := range faults {
				f()
			}
		})
	}
	for range soakSteps {
		faults <- s.draw()
	}
	close(faults)
	injectors.Wait()
	s.checkRecovery()
	s.stopped.Store(true)
	callers.Wait()
	s.checkRuns()
	if s.t.Failed() {
		s.t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
}

// draw returns the next fault. All randomness is drawn here, so that a seed gives the same series.
func (s *soak) draw() func() {
	i := s.rng.IntN(soakNodes)
	length := time.Duration(200+s.rng.IntN(1800)) * time.Millisecond
	kinds := []struct {
		name string
		run  func()
	}{
		{"kill node", func() { s.replaceNode(i, syscall.SIGKILL) }},
		{"terminate node", func() { s.replaceNode(i, syscall.SIGTERM) }},
		{"pause node", func() { s.pause(s.nodes[i], length) }},
		{"pause backend server", func() { s.pause(s.backends[i], length) }},
		{"pause store", func() { s.pause(s.store, length) }},
		{"reload node", func() { s.nodes[i].signal(syscall.SIGHUP) }},
		{"reset sessions", func() { s.peers[i].reset() }},
		{"reset store connections", func() { s.stores.reset() }},
		{"silence or delay sessions", s.linkFault(s.peers[i], length)},
		{"silence or delay the store", s.linkFault(s.stores, length)},
	}
	k := kinds[s.rng.IntN(len(kinds))]
	return func() {
		s.nodeMu[i].Lock()
		defer s.nodeMu[i].Unlock()
		s.mu.Lock()
		s.faults = append(s.faults, fmt.Sprintf("%s %s %d for %s", time.Now().Format("05.000"), k.name, i, length))
		s.mu.Unlock()
		k.run()
	}
}

func (s *soak) linkFault(p *proxy, length time.Duration) func() {
	mode := proxyMode(1 + s.rng.IntN(int(proxyModes)-1))
	return func() {
		p.setMode(mode)
		time.Sleep(length)
		p.setMode(passAll)
	}
}

func (s *soak) pause(p *process, length time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(syscall.SIGCONT)
}

func (s *soak) replaceNode(i int, sig syscall.Signal) {
	s.nodes[i].signal(sig)
	s.nodes[i].wait()
	next := start(s.t, "node", "--settings", s.settings[i])
	next.fields["peer"] = s.peers[i].addr()
	s.mu.Lock()
	s.nodes[i] = next
	s.mu.Unlock()
}

func (s *soak) ingress(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[n%soakNodes].fields["ingress"]
}

// call sends reads and orders until the end. Connections stay open between requests.
func (s *soak) call(c int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: soakOrderLimit}
	for n := 0; !s.stopped.Load(); n++ {
		id := fmt.Sprintf("s%d-%d", c, n)
		method, path := http.MethodGet, "/katalog/items"
		if n%2 == 0 {
			method, path = http.MethodPost, "/katalog/orders"
		}
		req := request(context.Background(), s.t, method, s.ingress(c+n), path, id, 3000, "body")
		req.Header.Set(backendtest.WorkHeader, "5ms")
		req.GetBody = nil // net/http must not repeat a request unseen
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(10 * time.Millisecond) // a refused or broken connection says nothing
			continue
		}
		s.read(resp, id)
	}
}

func (s *soak) read(resp *http.Response, id string) {
	defer resp.Body.Close()
	switch {
	case resp.Header.Get(verdict.Header) == verdict.NotRun.String():
		s.mu.Lock()
		s.notRun = append(s.notRun, id)
		s.mu.Unlock()
	case resp.StatusCode == http.StatusOK:
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return // cut off visibly, as by a killed node
		}
		err = backendtest.Verify(strings.NewReader(string(body)), id, 3000)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answered++
		if err != nil {
			s.problems = append(s.problems, fmt.Sprintf("%s: a complete answer that is not the own one: %v", id, err))
		}
	}
}

// checkRecovery waits until every node answers after the last fault.
func (s *soak) checkRecovery() {
	end := time.Now().Add(soakRecovery)
	for i := range soakNodes {
		for {
			resp, err := http.Get("http://" + s.ingress(i) + "/katalog/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				s.t.Errorf("node %d does not answer %s after the last fault: %v", i, soakRecovery, err)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkRuns compares what callers were told with what the backend servers ran.
func (s *soak) checkRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.problems {
		s.t.Error(p)
	}
	runs := s.runs()
	for id, r := range runs {
		if _, n, _ := strings.Cut(id, "-"); n != "" && isOrder(n) && r.Started > 1 {
			s.t.Errorf("order %s was started %d times", id, r.Started)
		}
	}
	for _, id := range s.notRun {
		if r, ran := runs[id]; ran && r.Started > 0 {
			s.t.Errorf("%s was refused as not run, and ran", id)
		}
	}
	if s.answered == 0 {
		s.t.Error("no request was answered")
	}
	s.t.Logf("answered %d, refused %d, faults %d", s.answered, len(s.notRun), len(s.faults))
}

// isOrder reports whether the number of a caller's request is that of an order.
func isOrder(number string) bool {
	n, err := strconv.Atoi(number)
	return err == nil && n%2 == 0
}
