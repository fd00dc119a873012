package main

import (
	"encoding/json"
	"fmt"
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

	"dandelionspoke/internal/admin"
)

const (
	soakNodes = 4
	// soakFaults is the minimum number of faults per seed, soakConcurrentFaults the maximum number of concurrent ones.
	soakFaults           = 8
	soakConcurrentFaults = 2
	// soakRecoveryTimeout limits the time after the last fault until every node responds with 200 again.
	soakRecoveryTimeout = 15 * time.Second
	// soakRequestTimeout is the timeout of a caller. It is longer than the timeout of the routes.
	soakRequestTimeout = 12 * time.Second
	terminateNode      = "terminate node" // a fault
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
// time: processes are killed, terminated and restarted, paused and reloaded; connections drop or delay data or are reset. Meanwhile a key is withdrawn, a rate limit lowered, a
// failure domain evacuated and the store restored from a copy (soakoperator_test.go); checks are in soakchecks_test.go.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is a fleet with callers and with faults that are drawn from a seed.
type soak struct {
	*fleet
	rng         *rand.Rand // draws the faults
	operatorRng *rand.Rand // draws what the operator does
	peerProxies []*proxy   // in front of the peer listener of each node
	storeProxy  *proxy
	stopped     atomic.Bool
	nodeMu      []sync.Mutex // held while a fault acts on the node

	storeURL          string // without the proxy
	mu                sync.Mutex
	faults            []*soakFault
	sent              map[string]sentRequest // by request ID, of each caller's first attempt
	notRunIDs         []string
	reports           map[string]int // by format
	responses         map[string]int // by account and status
	wrongResponses    []string
	completeResponses int
	unansweredReads   []unansweredRead // of pipelined callers
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		fleet: &fleet{t: t, dir: t.TempDir(), places: soakPlaces, extraSettings: soakSettings},
		rng:   rand.New(rand.NewPCG(seed, seed)), operatorRng: rand.New(rand.NewPCG(seed, seed+1)),
		nodeMu: make([]sync.Mutex, soakNodes), sent: map[string]sentRequest{}, responses: map[string]int{}, reports: map[string]int{},
	}
	s.backendFlags = []string{"--cold-factor", "1", "--state-cold", "--arrivals", s.path(arrivalsFile)}
	s.store = startProcess(t, "store")
	s.storeURL = s.store.fields["store"]
	s.generateKeys()
	s.rollout(soakBundle(1, hotRate, true), 0, s.storeURL)
	s.storeProxy = newProxy(t)
	s.storeProxy.setTarget(strings.TrimPrefix(s.storeURL, "http://"))
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
		strings.NewReplacer(listen, listen+fmt.Sprintf("advertise = %q\n", p.addr()),
			"[store]\n", fmt.Sprintf("[store]\nregion = %q\n", soakPlaces[0].region)).Replace(string(text)))
	// A node reads its advertised address only at its start.
	s.restart(i)
	node = s.nodes[i]
	node.fields["peer"] = p.addr()
}

func (s *soak) run() {
	var callers, injectors sync.WaitGroup
	for _, c := range soakCallers {
		callers.Go(func() { s.runCaller(c) })
	}
	for i := range pipelinedCallers {
		callers.Go(func() { s.runPipelinedCaller(i) })
	}
	var operatorDone atomic.Bool
	faults := make(chan func())
	for range soakConcurrentFaults {
		injectors.Go(func() {
			for f := range faults {
				f()
			}
		})
	}
	injectors.Go(func() {
		for n := 0; n < soakFaults || !operatorDone.Load(); n++ {
			faults <- s.nextFault()
		}
		close(faults)
	})
	history := s.runOperator()
	operatorDone.Store(true)
	injectors.Wait()
	s.checkRecovery()
	s.checkMembers()
	s.stopNodesInTurn()
	stopsEnded := time.Now()
	s.checkReturn(history)
	s.checkRestartKeepsKeyWithdrawn()
	s.stopped.Store(true)
	callers.Wait()
	s.check(history)
	s.checkPipelined(s.arrivals(), stopsEnded)
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
		{terminateNode, func() { s.replaceNode(i, syscall.SIGTERM) }},
		{"pause node", func() { s.pause(s.nodes[i], duration) }},
		{"pause backend server", func() { s.pause(s.backends[i], duration) }},
		{"kill backend server", func() { s.replaceBackend(i, duration) }},
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
		end := s.beginFault(kind.name, i)
		defer end()
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

// replaceBackend kills a backend server and starts another one in its place, which is cold.
func (s *soak) replaceBackend(i int, downtime time.Duration) {
	s.backends[i].signal(syscall.SIGKILL)
	s.backends[i].wait()
	time.Sleep(downtime)
	node := s.nodes[i].fields
	s.backends[i] = startProcess(s.t, append([]string{"backend", "--id", endpointID(i), "--service", "katalog", "--slots", "8",
		"--connections", "50", "--announce", node["announce"], "--ingress", node["ingress"], "--cold-start", soakSlowStart.String()},
		s.backendFlags...)...)
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

// checkMembers waits after the last fault until every node knows all others.
func (s *soak) checkMembers() {
	deadline := time.Now().Add(soakRecoveryTimeout)
	for i := range soakNodes {
		for live := 0; live != soakNodes; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				s.t.Errorf("node %d knows %d of %d nodes %s after the last fault", i, live, soakNodes, soakRecoveryTimeout)
				break
			}
			live = s.liveMembers(i)
		}
	}
}

// liveMembers returns the number of live nodes that a node knows, or 0 if it does not respond.
func (s *soak) liveMembers(i int) int {
	s.mu.Lock()
	address := s.nodes[i].fields["admin"]
	s.mu.Unlock()
	resp, err := http.Get("http://" + address + "/v1/health")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var health admin.Health
	if json.NewDecoder(resp.Body).Decode(&health) != nil {
		return 0
	}
	return health.LiveMembers
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
