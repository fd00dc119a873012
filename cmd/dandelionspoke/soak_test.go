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
	// soakFaults is the number of faults per seed, soakConcurrentFaults the maximum number of concurrent ones.
	soakFaults           = 8
	soakConcurrentFaults = 2
	// soakRecoveryTimeout limits the time after the last fault until every node responds with 200 again.
	soakRecoveryTimeout = 15 * time.Second
	// soakRequestTimeout is the timeout of a caller. It is longer than the timeout of the routes.
	soakRequestTimeout = 12 * time.Second
)

// soakSeeds returns the seeds in the environment variable SOAK_SEEDS=FIRST-LAST, or a short default for CI. Each seed
// that has failed once is added to the default, with a comment on the cause.
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

// Guards against wrong bodies, duplicate runs, false not-run verdicts and lasting failures under several faults at a
// time: processes are killed, terminated and restarted, paused and reloaded; connections drop or delay data or are reset.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is a fleet with callers and with faults that are drawn from a seed.
type soak struct {
	*fleet
	rng         *rand.Rand // draws the faults
	peerProxies []*proxy   // in front of the peer listener of each node
	storeProxy  *proxy
	stopped     atomic.Bool
	nodeMu      []sync.Mutex // held while a fault acts on the node

	mu                sync.Mutex
	faults            []string
	notRunIDs         []string
	wrongResponses    []string
	completeResponses int
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{fleet: &fleet{t: t, dir: t.TempDir()}, rng: rand.New(rand.NewPCG(seed, seed)), nodeMu: make([]sync.Mutex, soakNodes)}
	s.store = startProcess(t, "store")
	s.rolloutBundle()
	s.storeProxy = newProxy(t)
	s.storeProxy.setTarget(strings.TrimPrefix(s.store.fields["store"], "http://"))
	s.store.fields["store"] = "http://" + s.storeProxy.addr()
	for i := range soakNodes {
		p := newProxy(t)
		s.peerProxies = append(s.peerProxies, p)
		s.addProxiedNode(i, p)
	}
	for _, n := range s.nodes {
		s.waitReady(n)
	}
	return s
}

// addProxiedNode starts a node that advertises the address of a proxy as its peer address.
func (s *soak) addProxiedNode(i int, p *proxy) {
	s.addNode(i)
	node := s.nodes[i]
	p.setTarget(node.fields["peer"])
	text, err := os.ReadFile(s.settingsFiles[i])
	if err != nil {
		s.t.Fatal(err)
	}
	listen := fmt.Sprintf("[peer]\nlisten = %q\n", node.fields["peer"])
	s.settingsFiles[i] = s.write(fmt.Sprintf("node-%d.toml", i),
		strings.Replace(string(text), listen, listen+fmt.Sprintf("advertise = %q\n", p.addr()), 1))
	// A node reads its advertised address only at its start.
	s.restart(i)
	node = s.nodes[i]
	node.fields["peer"] = p.addr()
}

func (s *soak) run() {
	var callers, injectors sync.WaitGroup
	for c := range soakCallers {
		callers.Go(func() { s.runCaller(c) })
	}
	faults := make(chan func())
	for range soakConcurrentFaults {
		injectors.Go(func() {
			for f := range faults {
				f()
			}
		})
	}
	for range soakFaults {
		faults <- s.nextFault()
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

// nextFault returns the next fault. All random numbers are drawn here, so that a seed always gives the same series.
func (s *soak) nextFault() func() {
	i := s.rng.IntN(soakNodes)
	duration := time.Duration(200+s.rng.IntN(1800)) * time.Millisecond
	kinds := []struct {
		name string
		run  func()
	}{
		{"kill node", func() { s.replaceNode(i, syscall.SIGKILL) }},
		{"terminate node", func() { s.replaceNode(i, syscall.SIGTERM) }},
		{"pause node", func() { s.pause(s.nodes[i], duration) }},
		{"pause backend server", func() { s.pause(s.backends[i], duration) }},
		{"pause store", func() { s.pause(s.store, duration) }},
		{"reload node", func() { s.nodes[i].signal(syscall.SIGHUP) }},
		{"reset sessions", func() { s.peerProxies[i].reset() }},
		{"reset store connections", func() { s.storeProxy.reset() }},
		{"drop or delay session data", s.proxyFault(s.peerProxies[i], duration)},
		{"drop or delay store data", s.proxyFault(s.storeProxy, duration)},
	}
	kind := kinds[s.rng.IntN(len(kinds))]
	return func() {
		s.nodeMu[i].Lock()
		defer s.nodeMu[i].Unlock()
		s.mu.Lock()
		s.faults = append(s.faults, fmt.Sprintf("%s %s %d for %s", time.Now().Format("05.000"), kind.name, i, duration))
		s.mu.Unlock()
		kind.run()
	}
}

func (s *soak) proxyFault(p *proxy, duration time.Duration) func() {
	mode := proxyMode(1 + s.rng.IntN(int(proxyModeCount)-1))
	return func() {
		p.setMode(mode)
		time.Sleep(duration)
		p.setMode(proxyForward)
	}
}

func (s *soak) pause(p *process, duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

func (s *soak) replaceNode(i int, sig syscall.Signal) {
	s.nodes[i].signal(sig)
	s.nodes[i].wait()
	replacement := startProcess(s.t, "node", "--settings", s.settingsFiles[i])
	replacement.fields["peer"] = s.peerProxies[i].addr()
	s.mu.Lock()
	s.nodes[i] = replacement
	s.mu.Unlock()
}

func (s *soak) ingressAddr(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[n%soakNodes].fields["ingress"]
}

// runCaller sends orders and reads in turn until the end of the run, over persistent connections.
func (s *soak) runCaller(c int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: soakRequestTimeout}
	for n := 0; !s.stopped.Load(); n++ {
		id := fmt.Sprintf("s%d-%d", c, n)
		method, path := http.MethodGet, "/katalog/items"
		if n%2 == 0 {
			method, path = http.MethodPost, "/katalog/orders"
		}
		req := newRequest(context.Background(), s.t, method, s.ingressAddr(c+n), path, id, 3000, "body")
		req.Header.Set(backendtest.WorkHeader, "5ms")
		req.GetBody = nil // keeps net/http from retrying the request itself
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(10 * time.Millisecond) // a refused or broken connection has no verdict to check
			continue
		}
		s.readResponse(resp, id)
	}
}

func (s *soak) readResponse(resp *http.Response, id string) {
	defer resp.Body.Close()
	switch {
	case resp.Header.Get(verdict.Header) == verdict.NotRun.String():
		s.mu.Lock()
		s.notRunIDs = append(s.notRunIDs, id)
		s.mu.Unlock()
	case resp.StatusCode == http.StatusOK:
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return // visibly truncated, for example by a killed node
		}
		err = backendtest.Verify(strings.NewReader(string(body)), id, 3000)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.completeResponses++
		if err != nil {
			s.wrongResponses = append(s.wrongResponses, fmt.Sprintf("%s: complete response with a wrong body: %v", id, err))
		}
	}
}

// checkRecovery waits after the last fault until every node responds with 200.
func (s *soak) checkRecovery() {
	deadline := time.Now().Add(soakRecoveryTimeout)
	for i := range soakNodes {
		for {
			resp, err := http.Get("http://" + s.ingressAddr(i) + "/katalog/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				s.t.Errorf("node %d does not respond with 200 within %s after the last fault: %v", i, soakRecoveryTimeout, err)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkRuns reports wrong responses, orders that ran more than once and requests that ran although refused as not run.
func (s *soak) checkRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, response := range s.wrongResponses {
		s.t.Error(response)
	}
	runs := s.runs()
	for id, r := range runs {
		if _, n, _ := strings.Cut(id, "-"); n != "" && isOrder(n) && r.Started > 1 {
			s.t.Errorf("order %s was started %d times", id, r.Started)
		}
	}
	for _, id := range s.notRunIDs {
		if r, ran := runs[id]; ran && r.Started > 0 {
			s.t.Errorf("%s was refused as not run, but ran", id)
		}
	}
	if s.completeResponses == 0 {
		s.t.Error("no request got a complete response")
	}
	s.t.Logf("complete responses %d, refused as not run %d, faults %d", s.completeResponses, len(s.notRunIDs), len(s.faults))
}

// isOrder reports whether a caller's request with this number is an order: runCaller sends one for each even number.
func isOrder(number string) bool {
	n, err := strconv.Atoi(number)
	return err == nil && n%2 == 0
}
