package ingress

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// keyDigest returns the digest of a key.
func keyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// regionalIngress returns an ingress in region self whose service has four endpoints in each of the given regions. Their IDs
// begin with the region.
func regionalIngress(t *testing.T, gates Opener, self string, regions ...string) (*Ingress, *table.Snapshot) {
	t.Helper()
	notIdempotent := false
	b := &bundle.Bundle{
		Services: map[string]bundle.Service{"katalog": {Slots: 2}},
		Routes: []bundle.Route{
			{Name: "read", Service: "katalog", PathPrefix: "/read", Hedge: true, Objective: bundle.Duration(30 * time.Millisecond), AllowedRegions: []string{"west"}},
			{Name: "order", Service: "katalog", PathPrefix: "/order", Idempotent: &notIdempotent, AllowedRegions: []string{"west"}},
			{Name: "any", Service: "katalog", PathPrefix: "/any"},
		},
		Accounts: map[string]bundle.Account{
			"east": {AllowedRegions: []string{"east"}, KeyDigests: []string{keyDigest("east")}},
			"both": {AllowedRegions: []string{"west", "east"}, KeyDigests: []string{keyDigest("both")}},
		},
	}
	for i := range b.Routes {
		b.Routes[i].AllowAnonymous = true
	}
	b.SetDefaults()
	var members []*wire.Member
	for _, region := range regions {
		for i := range 4 {
			id := fmt.Sprint(region, "-", i)
			members = append(members, &wire.Member{
				NodeId: id, Region: region, State: wire.MemberState_ALIVE, Endpoints: []*wire.EndpointRecord{{Id: id, Service: "katalog"}},
			})
		}
	}
	snap := system.BuildSnapshot(1, system.Self{NodeID: "self", FailureDomain: "d", Region: self}, members, b, nil, time.Now().Add(-time.Hour), nil)
	snapshots := &table.Publisher{}
	snapshots.Store(snap)
	picker, err := balance.New(balance.Dandelionspoke)
	if err != nil {
		t.Fatal(err)
	}
	in := New(Config{
		Snapshots: snapshots, Opener: gates, Chooser: NewChooser(picker), Logger: slog.New(slog.DiscardHandler),
		Budget: retry.NewBudget(time.Now(), 1, 1000), Region: self,
	})
	in.startedAt = time.Now().Add(-startupEndpointWait)
	return in, snap
}

// Guards against a choice, a retry, a hedge or a failover that takes a request out of the regions that its route allows.
func TestAttemptsStayInAllowedRegions(t *testing.T) {
	for _, self := range []string{"east", "west"} {
		t.Run("from "+self, func(t *testing.T) {
			var refuse atomic.Pointer[func(number int64) verdict.Reason]
			var number atomic.Int64
			gates := &scriptedGates{refuse: func(string, *wire.RequestHead) verdict.Reason { return (*refuse.Load())(number.Add(1)) }}
			in, snap := regionalIngress(t, gates, self, "east", "west")
			play := func(requests int, behaviour func(number int64) verdict.Reason) {
				refuse.Store(&behaviour)
				for range requests {
					in.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/read", nil))
					in.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/order", strings.NewReader("x")))
				}
			}
			play(5, func(int64) verdict.Reason { time.Sleep(40 * time.Millisecond); return "" })
			if hedged := in.Counters.Hedges.Load() > 0; hedged != (self == "west") {
				t.Errorf("hedges were sent: %t; they stay in the region of the ingress", hedged)
			}
			_, view := snap.View("katalog", []string{"west"}, nil)
			for _, e := range view.Endpoints {
				e.Stats.Suspect.Store(true)
			}
			play(2, func(int64) verdict.Reason { time.Sleep(suspectPollInterval + 60*time.Millisecond); return "" })
			if in.Counters.Retries.Load() == 0 {
				t.Error("no failover from a suspect node")
			}
			play(20, func(n int64) verdict.Reason {
				return []verdict.Reason{verdict.Busy, verdict.BackendRefused, ""}[n%3]
			})
			if in.Counters.Moved.Load() == 0 {
				t.Error("no refused request was sent to another endpoint")
			}
			gates.mu.Lock()
			defer gates.mu.Unlock()
			for _, endpoint := range gates.attempts {
				if !strings.HasPrefix(endpoint, "west") {
					t.Errorf("an attempt at %s", endpoint)
				}
			}
		})
	}
}

// Guards against a request that waits, or runs elsewhere, although its allowed regions are lost or its route and its account
// have none in common.
func TestNoAllowedRegionIsRefusedAtOnce(t *testing.T) {
	gates := &scriptedGates{refuse: func(string, *wire.RequestHead) verdict.Reason { return "" }}
	cases := []struct {
		name, path, account string
		regions             []string
		want                int
	}{
		{"region lost", "/read", "", []string{"east"}, http.StatusServiceUnavailable},
		{"nothing in common", "/read", "east", []string{"east", "west"}, http.StatusServiceUnavailable},
		{"in common", "/read", "both", []string{"east", "west"}, http.StatusOK},
		{"account only", "/any", "east", []string{"east", "west"}, http.StatusOK},
		{"account only, region lost", "/any", "east", []string{"west"}, http.StatusServiceUnavailable},
		{"unrestricted", "/any", "", []string{"east"}, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in, snap := regionalIngress(t, gates, "east", c.regions...)
			gates.attempts = nil
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, c.path, nil)
			if c.account != "" {
				r.Header.Set("Authorization", "Bearer "+c.account)
			}
			q, err := in.parse(r, snap)
			if err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			if err := in.serveParsed(w, r, q); err != nil {
				if e := verdict.As(err); e.Verdict != verdict.NotRun || e.Reason != verdict.NoAllowedRegion {
					t.Errorf("error %v", err)
				}
				in.writeFailure(w, r, err)
			}
			if w.Code != c.want || (w.Code != http.StatusOK) != (len(gates.attempts) == 0) {
				t.Errorf("status %d, attempts %v", w.Code, gates.attempts)
			}
			if c.account == "east" && slices.ContainsFunc(gates.attempts, func(e string) bool { return !strings.HasPrefix(e, "east") }) {
				t.Errorf("attempts %v", gates.attempts)
			}
			if waited := time.Since(started); w.Code != http.StatusOK && waited > 50*time.Millisecond {
				t.Errorf("refused after %v", waited)
			}
		})
	}
}

// Guards against a restricted request that moves from gate to gate of another region: each move takes a round trip between the
// regions and sends the body over the narrow link again.
func TestRestrictedRequestAcceptsAWaitInAnotherRegion(t *testing.T) {
	var waits sync.Map // region of the endpoint to the longest wait that the first attempt accepts
	gates := &scriptedGates{refuse: func(endpoint string, head *wire.RequestHead) verdict.Reason {
		waits.Store(endpoint[:4], time.Duration(head.MaxWaitUs)*time.Microsecond)
		return ""
	}}
	in, _ := regionalIngress(t, gates, "east", "east", "west")
	for _, path := range []string{"/order", "/any"} {
		in.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader("x")))
	}
	for region, want := range map[string]time.Duration{"west": otherRegionPlacementWait, "east": retry.MaxPlacementWait} {
		if got, _ := waits.Load(region); got != want {
			t.Errorf("at a gate in %s the request accepts a wait of %v, want %s", region, got, want)
		}
	}
}
