package ingress

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
)

// orderOn returns an order with the given account that has been read on a route.
func orderOn(t *testing.T, route bundle.Route, target, accountName string) *request {
	t.Helper()
	q := &request{
		httpRequest: httptest.NewRequest("POST", target, strings.NewReader("bike")), route: &route,
		caller: "katalog", accountName: accountName, idempotencyKey: "k", deadline: time.Now().Add(time.Minute),
	}
	if err := q.readBodyPrefix(t.Context(), httptest.NewRecorder(), 100); err != nil {
		t.Fatal(err)
	}
	return q
}

// fingerprintsOf returns both fingerprints and the claim key of an order with the given account.
func fingerprintsOf(t *testing.T, accountName string) (fingerprint, callerFingerprint []byte, claimKey string) {
	t.Helper()
	q := orderOn(t, bundle.Route{Service: "s"}, "/order?n=1", accountName)
	return q.fingerprint, q.callerFingerprint, q.claimKey()
}

// Guards against a request that crashes backend servers and is taken for another one when a configuration moves or splits its
// route, and against requests of two hosts that are taken for one.
func TestFingerprintDoesNotDependOnTheService(t *testing.T) {
	const target = "http://Shop.example:8080/order?n=1"
	q := orderOn(t, bundle.Route{Name: "a", Host: "shop.example", PathPrefix: "/", Service: "s"}, target, "")
	routes := map[string]bundle.Route{
		"moved":         {Name: "a", Host: "shop.example", PathPrefix: "/", Service: "t"},
		"split":         {Name: "a", Host: "shop.example", PathPrefix: "/", Service: "t", Split: []bundle.WeightedService{{Service: "t", Weight: 1}, {Service: "u", Weight: 1}}},
		"longer prefix": {Name: "b", Host: "SHOP.example", PathPrefix: "/order", Service: "u"},
	}
	for name, route := range routes {
		moved := orderOn(t, route, target, "")
		if !bytes.Equal(moved.fingerprint, q.fingerprint) || !bytes.Equal(moved.callerFingerprint, q.callerFingerprint) {
			t.Errorf("%s: the request has other fingerprints", name)
		}
	}
	other := orderOn(t, bundle.Route{Host: "depot.example", PathPrefix: "/", Service: "s"}, "http://depot.example/order?n=1", "")
	if bytes.Equal(other.fingerprint, q.fingerprint) {
		t.Error("requests of two hosts have one fingerprint")
	}
	anyHost := bundle.Route{PathPrefix: "/", Service: "s"}
	if a, b := orderOn(t, anyHost, "http://10.0.0.1/order", ""), orderOn(t, anyHost, "http://10.0.0.2/order", ""); !bytes.Equal(a.fingerprint, b.fingerprint) {
		t.Error("on a route of any host, the fingerprint depends on the address of the node")
	}
}

// Guards against a request of one account that is quarantined, or whose claim is held, because of another account's request,
// and against other digests than before in the claims of requests without an account: nodes of both versions run side by side
// in a rolling restart, and claims are stored.
func TestFingerprintsAndClaimsDifferBetweenAccounts(t *testing.T) {
	f, cf, key := fingerprintsOf(t, "")
	digestOf := func(target string) retry.Fingerprint {
		digest := retry.NewDigest("POST", target)
		_, _ = digest.Write([]byte("bike"))
		return digest.Sum()
	}
	stored, want := digestOf("s /order?n=1"), digestOf(" /order?n=1")
	if q := orderOn(t, bundle.Route{Service: "s"}, "/order?n=1", ""); !bytes.Equal(q.claimFingerprint(), stored.Bytes()) {
		t.Error("the digest in the claim of a request without an account has changed")
	}
	if !bytes.Equal(f, want.Bytes()) || !bytes.Equal(cf, retry.CallerFingerprint(want, "katalog").Bytes()) || key != "k" {
		t.Error("the digests of a request without an account have changed")
	}
	seen := map[string]bool{string(f): true, string(cf): true, key: true}
	for _, name := range []string{"lagos", "oslo"} {
		f, cf, key := fingerprintsOf(t, name)
		again, _, _ := fingerprintsOf(t, name)
		for _, text := range []string{string(f), string(cf), key} {
			if seen[text] || !bytes.Equal(f, again) {
				t.Errorf("%s shares %q", name, text)
			}
			seen[text] = true
		}
	}
}

// Guards against a Retry-After of a rate limit that is bounded like one for lack of capacity, so that callers return long
// before the limit allows it, and against one with a 401.
func TestRetryAfterOfRefusals(t *testing.T) {
	for _, test := range []struct {
		reason verdict.Reason
		wait   time.Duration
		want   time.Duration
		header string
	}{
		{verdict.RateLimited, 7300 * time.Millisecond, 7300 * time.Millisecond, "8"},
		{verdict.RateLimited, 20 * time.Millisecond, 20 * time.Millisecond, "1"},
		{verdict.Unconfirmed, time.Second, time.Second, "1"},
		{verdict.Overloaded, time.Minute, maxRetryAfter, "1"},
		{verdict.UnknownKey, time.Second, 0, ""},
	} {
		e := &verdict.Error{Verdict: verdict.NotRun, Reason: test.reason, Wait: test.wait}
		w := httptest.NewRecorder()
		nativeProtocol{}.Fail(w, nil, e, retryAfter(e))
		if got := retryAfter(e); got != test.want || w.Header().Get("Retry-After") != test.header {
			t.Errorf("%s: %v, header %q", test.reason, got, w.Header().Get("Retry-After"))
		}
	}
}

// Guards against a priority of the route that overrides the account's, and against one of the account that overrides the
// priority which a call chain passes on.
func TestPriorityOfTheAccount(t *testing.T) {
	low := 6
	b := &bundle.Bundle{
		Routes:   []bundle.Route{{Name: "r", Service: "s", Priority: 3, Timeout: bundle.Duration(time.Second)}},
		Accounts: map[string]bundle.Account{"lagos": {KeyDigests: []string{fmt.Sprintf("%x", sha256.Sum256([]byte("k1")))}, Priority: &low}},
	}
	b.SetDefaults()
	snapshot := &table.Snapshot{Bundle: b, Accounts: account.NewIndex(b)}
	in := New(Config{})
	for header, want := range map[string]int{"": low, "1": 1} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.RemoteAddr = "127.0.0.1:99"
		r.Header.Set("Authorization", "Bearer k1")
		r.Header.Set(priorityHeader, header)
		q, err := in.parse(r, snapshot)
		if err != nil {
			t.Fatal(err)
		}
		if err := in.selectAccount(q); err != nil || q.priority != want || q.credential != "" {
			t.Errorf("header %q: priority %d, want %d, error %v", header, q.priority, want, err)
		}
	}
}

// Guards against refusals that are counted for the wrong account or not at all, and against an unbounded number of reasons.
func TestRefusalsAreCountedByAccount(t *testing.T) {
	in := New(Config{})
	record := func(name string, v verdict.Verdict, reason verdict.Reason) {
		in.accountRefusals.record(&request{accountName: name}, &verdict.Error{Verdict: v, Reason: reason})
	}
	record("lagos", verdict.NotRun, verdict.RateLimited)
	record("lagos", verdict.NotRun, verdict.RateLimited)
	record("oslo", verdict.NotRun, verdict.Overloaded)
	record("oslo", verdict.MayHaveRun, verdict.Overloaded)
	record("", verdict.NotRun, verdict.Overloaded)
	got := in.AccountRefusals()
	if len(got) != 2 || got[verdict.RateLimited]["lagos"] != 2 || got[verdict.Overloaded]["oslo"] != 1 || len(got[verdict.Overloaded]) != 1 {
		t.Errorf("refusals %v", got)
	}
	for i := range 2 * maxRefusalReasons {
		record("oslo", verdict.NotRun, verdict.Reason(fmt.Sprint(i)))
	}
	if n := len(in.AccountRefusals()); n > maxRefusalReasons {
		t.Errorf("%d reasons", n)
	}
}
