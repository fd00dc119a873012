package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/sleep"
)

const (
	lagosKey   = "key-of-lagos-7d1"
	osloKey    = "key-of-oslo-93c"
	unknownKey = "key-of-nobody-b20"
)

// lockedBuffer is a log destination for concurrent writers.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// accountFleet is two nodes, of which only the first has a backend server and access to the store.
type accountFleet struct {
	t     *testing.T
	store *objectstoretest.Store
	nodes [2]*Node
	log   lockedBuffer
	runs  atomic.Int64
}

func accountBundle(version uint64) *bundle.Bundle {
	digest := func(key string) []string {
		d := sha256.Sum256([]byte(key))
		return []string{hex.EncodeToString(d[:])}
	}
	no, first := false, 0
	return &bundle.Bundle{
		Version: version, Services: map[string]bundle.Service{"katalog": {}},
		Routes: []bundle.Route{
			{Name: "open", Service: "katalog", PathPrefix: "/open", AllowAnonymous: true, Priority: 5},
			{Name: "closed", Service: "katalog", PathPrefix: "/closed", Priority: 5},
			{Name: "order", Service: "katalog", PathPrefix: "/order", Idempotent: &no},
		},
		Accounts: map[string]bundle.Account{
			"lagos": {KeyDigests: digest(lagosKey), Priority: &first, RatePerSecond: 40},
			"oslo":  {KeyDigests: digest(osloKey)},
		},
	}
}

// startAccountFleet starts the fleet; change may modify the settings of a node.
func startAccountFleet(t *testing.T, change func(*settings.Settings)) *accountFleet {
	t.Helper()
	f := &accountFleet{t: t, store: objectstoretest.New()}
	for i := range f.nodes {
		options := Options{Store: f.store}
		s := settings.LoopbackDefaults()
		s.Bundle.Unsigned = true
		if i > 0 {
			s.Seeds = []string{f.nodes[0].Addrs().Peer}
			options.Store = nil
		}
		change(&s)
		options.Settings = s
		f.nodes[i] = f.startNode(options)
	}
	backend := httptest.NewServer(http.HandlerFunc(f.runRequest))
	t.Cleanup(backend.Close)
	go announceBackend(t.Context(), f.nodes[0].Addrs().Announce, backend.Listener.Addr().String())
	return f
}

func (f *accountFleet) startNode(o Options) *Node {
	f.t.Helper()
	o.Logger = slog.New(slog.NewTextHandler(&f.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	n, err := New(o)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = n.Close() })
	return n
}

// runRequest answers with the number of the run and the request's headers.
func (f *accountFleet) runRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Run", fmt.Sprint(f.runs.Add(1)))
	_ = json.NewEncoder(w).Encode(r.Header)
}

func announceBackend(ctx context.Context, node, address string) {
	for ok := true; ok; ok = sleep.For(ctx, 500*time.Millisecond) {
		body := fmt.Sprintf(`{"id":"katalog-0","service":"katalog","address":%q,"slots":8,"connections":20}`, address)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+node+"/v1/backend", strings.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}
}

// putInForce puts a bundle in force at the first node, and waits until the second one has it from there.
func (f *accountFleet) putInForce(b *bundle.Bundle) {
	f.t.Helper()
	e, err := bundle.NewEnvelope(b)
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[0].offerFromStore(e)
	f.await("the bundle is in force", func() bool {
		s := f.nodes[1].snapshots.Load()
		return s != nil && s.Bundle != nil && s.Bundle.Version == b.Version
	})
}

// rollout writes a bundle to the store.
func (f *accountFleet) rollout(b *bundle.Bundle) {
	f.t.Helper()
	e, err := bundle.NewEnvelope(b)
	if err != nil {
		f.t.Fatal(err)
	}
	var keys []bundle.SigningKey
	var lines []string
	for _, name := range []string{"author", "approver"} {
		k, err := bundle.GenerateKey(name)
		if err != nil {
			f.t.Fatal(err)
		}
		keys, lines = append(keys, k), append(lines, k.Public())
	}
	trusted, err := bundle.ParseTrustedKeys(lines)
	if err != nil {
		f.t.Fatal(err)
	}
	e.Sign(keys[0])
	if err := e.Approve(keys[1], trusted); err != nil {
		f.t.Fatal(err)
	}
	if _, err := rollout.NewOperator(f.store, trusted).Rollout(f.t.Context(), e, nil); err != nil {
		f.t.Fatal(err)
	}
}

func (f *accountFleet) await(what string, ok func() bool) {
	f.t.Helper()
	for started := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Since(started) > 8*time.Second {
			f.t.Fatalf("not within 8 s: %s", what)
		}
	}
}

type reply struct {
	status int
	body   string
	header http.Header
	sent   http.Header // headers that the backend server received
	reused bool        // the request used a connection of an earlier one
}

func (f *accountFleet) send(client *http.Client, n *Node, method, path, key string, headers ...string) reply {
	f.t.Helper()
	req, _ := http.NewRequest(method, "http://"+n.Addrs().Ingress+path, nil)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	var r reply
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.reused = info.Reused }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(f.t.Context(), trace)))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	r.status, r.body, r.header = resp.StatusCode, string(body), resp.Header
	_ = json.Unmarshal(body, &r.sent)
	return r
}

func (f *accountFleet) awaitServing() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.await("requests are served", func() bool {
			return f.send(http.DefaultClient, n, "GET", "/open", "").status == http.StatusOK
		})
	}
}
