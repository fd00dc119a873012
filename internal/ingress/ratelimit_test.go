package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/steady"
)

// Guards against a token that is lost when the handling of a request panics before any attempt.
func TestPanicReturnsTheToken(t *testing.T) {
	in, _ := regionalIngress(t, nil, "west", "west")
	in.IsQuarantined = func([]byte) bool { panic("injected panic") }
	in.Limits = ratelimit.New(1)
	in.Limits.SetLimits(ratelimit.Bounds{Window: time.Second, Slack: 20}, map[string]ratelimit.Limit{"both": {Rate: 1000, Burst: 1000}})
	self := []ratelimit.Member{{ID: "self", Region: "west", Alive: true, Spending: true}}
	in.Limits.SetFleet(steady.Now(), ratelimit.NewFleet("self", "west", self, 0, true, true))
	for started := time.Now(); in.Counters.Panics.Load() == 0 && time.Since(started) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		in.Limits.Advance(steady.Now())
		r := httptest.NewRequest(http.MethodGet, "/any", nil)
		r.Header.Set("Authorization", "Bearer both")
		in.ServeHTTP(httptest.NewRecorder(), r)
	}
	if panics, returned := in.Counters.Panics.Load(), in.Limits.Counters.Returned.Load(); panics != 1 || returned != 1 {
		t.Errorf("%d panics, %d tokens returned, want 1 of each", panics, returned)
	}
}
