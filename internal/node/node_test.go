package node_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/node"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
)

const testBundle = `
version = %d
[services.katalog]
slots = 12
[[routes]]
name = "preview"
service = "katalog"
path_prefix = "/"
timeout = "5s"
[[routes]]
name = "order"
service = "katalog"
path_prefix = "/order"
methods = ["POST"]
idempotent = false
timeout = "5s"
`

// fleet is a set of nodes in the test process, each with a backend server, and a shared store.
type fleet struct {
	t        *testing.T
	store    *objectstoretest.Store
	author   bundle.SigningKey
	approver bundle.SigningKey
	nodes    []*node.Node
	backends []*backendtest.Server
	log      *backendtest.RunLog
	// configure changes the settings of new nodes, and extraBundle is appended to the bundle.
	configure   func(*settings.Settings)
	extraBundle string
}

func newSigningKey(t *testing.T, name string) bundle.SigningKey {
	t.Helper()
	k, err := bundle.GenerateKey(name)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	return startFleet(t, size, &fleet{})
}

// startFleet starts the nodes of a fleet whose optional fields may be set.
func startFleet(t *testing.T, size int, f *fleet) *fleet {
	t.Helper()
	f.t, f.store, f.author, f.approver, f.log = t, objectstoretest.New(), newSigningKey(t, "author"), newSigningKey(t, "approver"), backendtest.NewRunLog()
	for i := range size {
		f.addNode(i)
	}
	f.rollout(1)
	return f
}

func (f *fleet) addNode(i int) { f.addNodeWithStore(i, f.store) }

// addNodeWithStore adds a node with its backend server; if store is nil, the node has no direct access to the store.
func (f *fleet) addNodeWithStore(i int, store objectstore.Store) {
	f.t.Helper()
	s := settings.LoopbackDefaults()
	s.FailureDomain = fmt.Sprintf("local-%c", 'a'+i%2)
	s.Bundle.TrustedKeys = map[string]ed25519.PublicKey{"author": publicKey(f.author)}
	s.Bundle.ApproverKeys = map[string]ed25519.PublicKey{"approver": publicKey(f.approver)}
	if len(f.nodes) > 0 {
		s.Seeds = []string{f.nodes[0].Addrs().Peer}
	}
	if f.configure != nil {
		f.configure(&s)
	}
	n, err := node.New(node.Options{Settings: s, Store: store})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = n.Close() })
	b, err := backendtest.Start(backendtest.Options{
		ID: fmt.Sprintf("katalog-%d", i), Service: "katalog", Listen: "127.0.0.1:0", Slots: 12,
		ServiceTime: backendtest.Distribution{Median: 2 * time.Millisecond}, Announce: n.Addrs().Announce, Log: f.log,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(b.Close)
	f.nodes = append(f.nodes, n)
	f.backends = append(f.backends, b)
}

func publicKey(k bundle.SigningKey) ed25519.PublicKey {
	trusted, err := bundle.ParseTrustedKeys([]string{k.Public()})
	if err != nil {
		panic(err)
	}
	return trusted[k.Name]
}

func (f *fleet) rollout(version uint64) {
	f.t.Helper()
	b, configErrors := bundle.Parse("test.toml", append(fmt.Appendf(nil, testBundle, version), f.extraBundle...))
	if len(configErrors) > 0 {
		f.t.Fatal(configErrors)
	}
	e, err := bundle.NewEnvelope(b)
	if err != nil {
		f.t.Fatal(err)
	}
	trusted := bundle.TrustedKeys{"author": publicKey(f.author), "approver": publicKey(f.approver)}
	e.Sign(f.author)
	if err := e.Approve(f.approver, trusted); err != nil {
		f.t.Fatal(err)
	}
	if _, err := rollout.NewOperator(f.store, trusted).Rollout(f.t.Context(), e, nil); err != nil {
		f.t.Fatal(err)
	}
}

// waitFor polls ok until it returns true and returns the time this took. It fails the test after limit.
func (f *fleet) waitFor(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > limit {
			f.t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

func (f *fleet) versionInForce(version uint64) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if v, _ := n.BundleVersion(); v != version {
				return false
			}
		}
		return true
	}
}

// waitReady waits until bundle 1 is in force on each node and each node knows all endpoints of the service.
func (f *fleet) waitReady() {
	f.t.Helper()
	f.waitFor(10*time.Second, "bundle 1 in force", f.versionInForce(1))
	f.waitFor(10*time.Second, "endpoints known", func() bool {
		for _, n := range f.nodes {
			if n.EndpointCount("katalog") != len(f.nodes) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) get(n *node.Node, path string) (int, string) {
	resp, err := http.Get("http://" + n.Addrs().Ingress + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// Guards against a backend server that gets no requests any more after a crash, because its node has stated meanwhile that it
// accepts none. It is back before its announcement ends, so that its endpoint stays in the list.
func TestBackendServerIsUsedAgainAfterACrash(t *testing.T) {
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			f := newFleet(t, size)
			f.waitReady()
			load := func() {
				var callers sync.WaitGroup
				for i := range 16 * size {
					callers.Go(func() { f.get(f.nodes[i%size], "/preview") })
				}
				callers.Wait()
			}
			load()
			f.backends[0].Crash()
			f.waitFor(4*time.Second, "refused as down", func() bool {
				load()
				return f.nodes[0].Dump().(node.Dump).GateLoad.Draining
			})
			load() // until all nodes have been refused
			if err := f.backends[0].Restart(); err != nil {
				t.Fatal(err)
			}
			before := f.nodes[0].Metrics()["gate_ran"]
			took := f.waitFor(3*time.Second, "requests at the restarted server", func() bool {
				load()
				return f.nodes[0].Metrics()["gate_ran"] > before
			})
			t.Logf("used again after %v", took)
		})
	}
}

// Guards against a fleet that cannot serve requests through every node, or that does not distribute them.
func TestFleetServesThroughEveryNode(t *testing.T) {
	f := newFleet(t, 3)
	f.waitReady()
	for i := range 60 {
		if status, body := f.get(f.nodes[i%3], "/preview"); status != http.StatusOK {
			t.Fatalf("status %d: %s", status, body)
		}
	}
	for i, n := range f.nodes {
		if n.Metrics()["gate_ran"] == 0 {
			t.Errorf("node %d ran no request", i)
		}
	}
}

type failure struct {
	status int
	body   string
	err    error
}

// Guards against a graceful shutdown that aborts or loses requests, and against new requests on a draining node.
func TestDrainUnderLoadLosesNoRequest(t *testing.T) {
	f := newFleet(t, 3)
	f.waitReady()
	var stop atomic.Bool
	var wg sync.WaitGroup
	var sent, failed atomic.Int64
	var firstFailure atomic.Pointer[failure]
	for range 16 {
		wg.Go(func() {
			for !stop.Load() {
				sent.Add(1)
				req, _ := http.NewRequest("POST", "http://"+f.nodes[0].Addrs().Ingress+"/order", strings.NewReader("x"))
				req.Header.Set(backendtest.RequestIDHeader, fmt.Sprint(sent.Load(), " ", rand.Uint64()))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					failed.Add(1)
					continue
				}
				if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
					firstFailure.CompareAndSwap(nil, &failure{resp.StatusCode, string(body), err})
				}
				resp.Body.Close()
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := f.nodes[2].Drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
	time.Sleep(200 * time.Millisecond)
	stop.Store(true)
	wg.Wait()
	if failed.Load() > 0 || sent.Load() < 100 {
		t.Errorf("%d of %d requests failed; the first: %+v", failed.Load(), sent.Load(), firstFailure.Load())
	}
	if d := f.log.Duplicates(); len(d) > 0 {
		t.Errorf("duplicate runs: %v", d)
	}
}

// Guards against a new bundle that does not come into force on every node, or that is replaced by the previous one.
func TestBundleReachesAllNodes(t *testing.T) {
	f := newFleet(t, 5)
	f.waitReady()
	f.rollout(2)
	t.Logf("in force everywhere after %v", f.waitFor(5*time.Second, "bundle 2 in force", f.versionInForce(2)))
}

// Guards against refusing the requests of callers while a node that has just started has no bundle yet.
func TestRestartedNodeServesItsFirstCaller(t *testing.T) {
	f := newFleet(t, 2)
	f.waitReady()
	for i := 2; i < 5; i++ {
		f.addNode(i)
		if status, body := f.get(f.nodes[i], "/preview"); status != http.StatusOK {
			t.Errorf("status %d: %s", status, body)
		}
	}
}
