package node_test

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/verdict"
)

// Guards against a limit that applies to each node instead of all together, or that refuses what the account may send: the
// exchanges, the step of the ingress and the response are connected.
func TestRateLimitOverNodes(t *testing.T) {
	const rate, burst, window = 40.0, 10.0, 2 * time.Second
	f := startFleet(t, 3, &fleet{
		configure: func(s *settings.Settings) {
			s.RateLimit = settings.RateLimit{Window: window, Tolerance: 0.1, Slack: 20}
		},
		extraBundle: fmt.Sprintf("[accounts.lagos]\nkey_digests = [\"%x\"]\nrate_per_second = %v\nburst = %v\n",
			sha256.Sum256([]byte("key")), rate, burst),
	})
	f.waitReady()
	time.Sleep(3 * time.Second) // the nodes take part
	var served []time.Time
	refused, started := 0, time.Now()
	get := func(i int) *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.nodes[i%3].Addrs().Ingress+"/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp
	}
	for i := 0; time.Since(started) < 3*window; i++ {
		sentAt := time.Now()
		resp := get(i)
		switch resp.StatusCode {
		case http.StatusOK:
			served = append(served, sentAt)
		case http.StatusTooManyRequests:
			refused++
			seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
			if err != nil || seconds < 1 || resp.Header.Get(verdict.ReasonHeader) != string(verdict.RateLimited) || resp.Header.Get(verdict.Header) != verdict.NotRun.String() {
				t.Fatalf("headers %v", resp.Header)
			}
		default:
			t.Fatalf("status %d", resp.StatusCode)
		}
		time.Sleep(time.Millisecond)
	}
	t.Logf("%d served, %d refused in %v", len(served), refused, time.Since(started))
	if least := 0.9 * rate * (3 * window).Seconds(); float64(len(served)) < least || refused < len(served) {
		t.Errorf("%d requests served, want at least %.0f; %d refused", len(served), least, refused)
	}
	permitted := int((rate*window.Seconds()+burst)*1.1 + 20)
	for i := permitted; i < len(served); i++ {
		if served[i].Sub(served[i-permitted]) < window {
			t.Fatalf("more than %d requests in %v", permitted, window)
		}
	}
	for _, b := range f.backends {
		b.Close()
	}
	time.Sleep(window / 4)
	if resp := get(0); resp.StatusCode != http.StatusServiceUnavailable || f.nodes[0].Metrics()["rate_limit_returned"] == 0 {
		t.Errorf("without backend servers: status %d, %d tokens returned", resp.StatusCode, f.nodes[0].Metrics()["rate_limit_returned"])
	}
}
