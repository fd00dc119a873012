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
	"dandelionspoke/internal/wire"
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

// Guards against requests that are served for the wrong account or for none, a refusal that costs the caller its
// connection, an account name that the caller made up, and a key that leaves the ingress.
func TestAccountOfARequest(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	f.putInForce(accountBundle(1))
	f.awaitServing()
	for i, n := range f.nodes {
		client := &http.Client{Transport: &http.Transport{}}
		f.send(client, n, "GET", "/open", "")
		for _, test := range []struct {
			path, key string
			status    int
			account   string
			priority  string
		}{
			{"/closed", unknownKey, 401, "", ""},
			{"/open", unknownKey, 401, "", ""},
			{"/closed", "", 401, "", ""},
			{"/open", "", 200, "", "5"},
			{"/closed", lagosKey, 200, "lagos", "0"},
			{"/open", osloKey, 200, "oslo", "5"},
		} {
			r := f.send(client, n, "GET", test.path, test.key, "Dandelionspoke-Account", "forged", "X-Other", "kept")
			if r.status != test.status || !r.reused {
				t.Errorf("node %d, %+v: status %d, connection reused: %t", i, test, r.status, r.reused)
			}
			if r.status == 401 {
				if got := r.header.Get("Dandelionspoke-Reason"); got != "unknown-key" || r.header.Get("Www-Authenticate") == "" {
					t.Errorf("node %d, %+v: headers %v", i, test, r.header)
				}
				continue
			}
			account, hasAccount := r.sent["Dandelionspoke-Account"]
			if r.sent.Get("Dandelionspoke-Account") != test.account || len(account) > 1 || hasAccount != (test.account != "") {
				t.Errorf("node %d, %+v: backend server got the account %q", i, test, account)
			}
			if r.sent.Get("Authorization") != "" || r.sent.Get("X-Other") != "kept" || r.sent.Get("Dandelionspoke-Priority") != test.priority {
				t.Errorf("node %d, %+v: backend server got %v", i, test, r.sent)
			}
		}
		if m := n.Metrics(); m["ingress_unknown_keys"] != 3 || m["accounts"] != 2 || m["account_keys"] != 2 {
			t.Errorf("metrics %v", m)
		}
	}
	f.checkNoSecrets()
}

// checkNoSecrets searches the log at level debug, the dumps and the metrics for the keys.
func (f *accountFleet) checkNoSecrets() {
	f.t.Helper()
	text := f.log.String()
	for _, n := range f.nodes {
		dump, err := json.Marshal(n.Dump())
		if err != nil {
			f.t.Fatal(err)
		}
		text += string(dump) + fmt.Sprint(n.Metrics())
	}
	for _, key := range []string{lagosKey, osloKey, unknownKey} {
		if strings.Contains(text, key) {
			f.t.Errorf("%s is in the log, the dump or the metrics", key)
		}
	}
	if !strings.Contains(text, "account=lagos") {
		f.t.Error("the log does not name the accounts")
	}
}

// Guards against a withdrawn key that still works on a connection that its caller keeps, or at a node that learns of the
// bundle from a peer.
func TestWithdrawnKeyIsRefusedOnAKeptConnection(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	f.putInForce(accountBundle(1))
	f.awaitServing()
	clients := [2]*http.Client{{Transport: &http.Transport{}}, {Transport: &http.Transport{}}}
	for i, n := range f.nodes {
		if r := f.send(clients[i], n, "GET", "/closed", lagosKey); r.status != http.StatusOK {
			t.Fatalf("node %d: status %d: %s", i, r.status, r.body)
		}
	}
	withdrawn := accountBundle(2)
	delete(withdrawn.Accounts, "lagos")
	f.putInForce(withdrawn)
	for i, n := range f.nodes {
		if r := f.send(clients[i], n, "GET", "/closed", lagosKey); r.status != http.StatusUnauthorized || !r.reused {
			t.Errorf("node %d: status %d, connection reused: %t", i, r.status, r.reused)
		}
		if r := f.send(clients[i], n, "GET", "/closed", osloKey); r.status != http.StatusOK || !r.reused {
			t.Errorf("node %d: status %d for the other account, connection reused: %t", i, r.status, r.reused)
		}
	}
}

// Guards against an account that gets the response to another account's request with the same idempotency key, or whose
// request is refused or not run because of it.
func TestAccountsShareNoIdempotencyKeys(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	f.putInForce(accountBundle(1))
	f.awaitServing()
	order := func(key string) reply {
		return f.send(http.DefaultClient, f.nodes[0], "POST", "/order", key, "Idempotency-Key", "order-1")
	}
	f.await("claims are available", func() bool { return order(lagosKey).status == http.StatusOK })
	f.await("the outcome is stored", func() bool { return order(lagosKey).header.Get("Idempotent-Replayed") == "true" })
	runs := f.runs.Load()
	oslo := order(osloKey)
	if oslo.status != http.StatusOK || oslo.sent.Get("Dandelionspoke-Account") != "oslo" || f.runs.Load() != runs+1 {
		t.Errorf("status %d, account %q, %d runs", oslo.status, oslo.sent.Get("Dandelionspoke-Account"), f.runs.Load()-runs)
	}
	if again := order(lagosKey); again.sent.Get("Dandelionspoke-Account") != "lagos" || f.runs.Load() != runs+1 {
		t.Errorf("the first account got %q, %d runs", again.sent.Get("Dandelionspoke-Account"), f.runs.Load()-runs)
	}
}

// Guards against a change for deployments without accounts: the Authorization header and a header with the name of the
// account header are the callers' own there.
func TestWithoutAccountsHeadersAreForwarded(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	b := accountBundle(1)
	b.Accounts = nil
	f.putInForce(b)
	f.awaitServing()
	r := f.send(http.DefaultClient, f.nodes[1], "GET", "/closed", unknownKey, "Dandelionspoke-Account", "own")
	if r.status != http.StatusOK || r.sent.Get("Authorization") != "Bearer "+unknownKey || r.sent.Get("Dandelionspoke-Account") != "own" {
		t.Errorf("status %d, backend server got %v", r.status, r.sent)
	}
}

// Guards against 401 for a key that may be valid, at a node that does not know the accounts yet.
func TestNoBundleIsNoUnknownKey(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	if r := f.send(http.DefaultClient, f.nodes[0], "GET", "/closed", lagosKey); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d: %s", r.status, r.body)
	}
}

// Guards against a key that works again at a node that has restarted without access to the store.
func TestWithdrawnKeyIsRefusedAfterARestart(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	withdrawn := accountBundle(2)
	delete(withdrawn.Accounts, "lagos")
	f.putInForce(withdrawn)
	f.awaitServing()
	s := f.nodes[1].settings
	if err := f.nodes[1].Close(); err != nil {
		t.Fatal(err)
	}
	restarted := f.startNode(Options{Settings: s})
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		switch r := f.send(http.DefaultClient, restarted, "GET", "/closed", lagosKey); {
		case r.status == http.StatusUnauthorized:
			return
		case r.status != http.StatusServiceUnavailable || time.Since(started) > 8*time.Second:
			t.Fatalf("status %d: %s", r.status, r.body)
		}
	}
}

// Guards against a node that serves keys without a confirmation of its bundle, or that refuses other requests for lack of one.
// The second node has no access to the store and must learn of the confirmation and its end from the first.
func TestUnconfirmedBundleRefusesKeys(t *testing.T) {
	f := startAccountFleet(t, func(s *settings.Settings) {
		s.Accounts = settings.Accounts{FailClosed: true, Revocation: time.Second}
	})
	f.rollout(accountBundle(1))
	f.awaitServing()
	status := func(n *Node) int { return f.send(http.DefaultClient, n, "GET", "/closed", lagosKey).status }
	for _, n := range f.nodes {
		f.await("the key is served", func() bool { return status(n) == http.StatusOK })
	}
	f.store.SetDown(true)
	down := time.Now()
	for i, n := range f.nodes {
		f.await("the key is refused", func() bool { return status(n) == http.StatusServiceUnavailable })
		if took := time.Since(down); took > 1500*time.Millisecond {
			t.Errorf("node %d served the key until %v after the store went away", i, took)
		}
		r := f.send(http.DefaultClient, n, "GET", "/closed", unknownKey)
		if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || r.header.Get("Dandelionspoke-Reason") != "bundle-unconfirmed" {
			t.Errorf("node %d: status %d, headers %v", i, r.status, r.header)
		}
		if r := f.send(http.DefaultClient, n, "GET", "/open", ""); r.status != http.StatusOK {
			t.Errorf("node %d: status %d without a key", i, r.status)
		}
	}
	f.store.SetDown(false)
	for _, n := range f.nodes {
		f.await("the key is served again", func() bool { return status(n) == http.StatusOK })
	}
}

// Guards against nodes that ask for confirmations in a deployment whose settings do not require them.
func TestConfirmationsAreOffByDefault(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	f.rollout(accountBundle(1))
	f.awaitServing()
	f.store.ResetCounts()
	time.Sleep(1500 * time.Millisecond)
	if counts, _ := f.store.Counts(); counts.Get > 3 {
		t.Errorf("%d reads in 1.5 s", counts.Get)
	}
	reply, err := f.nodes[0].bundleReply(&wire.BundleRequest{})
	if err != nil || reply.HasConfirmedAge {
		t.Errorf("reply states an age: %t, error %v", reply.GetHasConfirmedAge(), err)
	}
}
