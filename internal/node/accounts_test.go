package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/wire"
)

// Guards against requests that are served for the wrong account or for none, a refusal that costs the caller its
// connection, an account name that the caller made up, a key that leaves the ingress, and 401 for a key that may be valid at a
// node without a bundle.
func TestAccountOfARequest(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	if r := f.send(http.DefaultClient, f.nodes[0], "GET", "/closed", lagosKey); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d without a bundle: %s", r.status, r.body)
	}
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
				shown := test.key != "" && strings.Contains(r.body, test.key)
				if got := r.header.Get("Dandelionspoke-Reason"); got != "unknown-key" || r.header.Get("Www-Authenticate") == "" || shown {
					t.Errorf("node %d, %+v: headers %v, body %q", i, test, r.header, r.body)
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

// Guards against a withdrawn key that still works on a connection that its caller keeps, at a node that learns of the bundle
// from a peer, or at one that has restarted without access to the store.
func TestWithdrawnKeyIsRefused(t *testing.T) {
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
	_ = f.nodes[1].Close()
	restarted, status := f.startNode(Options{Settings: f.nodes[1].settings}), 0
	f.await("the restarted node has the bundle", func() bool {
		status = f.send(http.DefaultClient, restarted, "GET", "/closed", lagosKey).status
		return status != http.StatusServiceUnavailable
	})
	if status != http.StatusUnauthorized {
		t.Errorf("status %d at the restarted node", status)
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

// Guards against a node that serves keys without a confirmation of its bundle, or that refuses other requests for lack of one.
// The second node has no access to the store and must learn of the confirmation and its end from the first.
func TestUnconfirmedBundleRefusesKeys(t *testing.T) {
	f := startAccountFleet(t, func(s *settings.Settings) {
		s.Accounts = settings.Accounts{RequireConfirmation: true, Revocation: time.Second}
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

// withdrawalStore returns a copy from before the withdrawal of a key to stale reads.
type withdrawalStore struct {
	*objectstoretest.Store
	before objectstore.Object
}

func (s *withdrawalStore) GetStale(context.Context, string) (objectstore.Object, error) {
	return s.before, nil
}

// Guards against a node that accepts a withdrawn key after its start because it read an old copy of the bundle.
func TestFirstBundleHasNoWithdrawnKey(t *testing.T) {
	f := startAccountFleet(t, func(*settings.Settings) {})
	f.rollout(accountBundle(1))
	before, err := f.store.Get(t.Context(), rollout.CurrentKey)
	if err != nil {
		t.Fatal(err)
	}
	f.rollout(accountBundle(2))
	s := settings.LoopbackDefaults()
	s.Bundle.Unsigned = true
	n := f.startNode(Options{Settings: s, Store: &withdrawalStore{f.store, before}})
	f.await("a bundle is in force", func() bool { return n.bundles.inForce.Load() != nil })
	if v := n.bundles.inForce.Load().Version; v != 2 {
		t.Errorf("version %d came into force first", v)
	}
}
