package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"time"

	"dandelionspoke/internal/bundle"
)

// lightLoad holds the latencies of single requests over three paths to the same backend servers: directly, through the
// system, and through a plain net/http reverse proxy. Only one request is in flight at a time.
type lightLoad struct {
	direct, system, reverseProxy *latencies
}

// maxLightLoadRounds bounds the rounds of the light load phase. Of 4,000 samples, 40 are above the p99.
const maxLightLoadRounds = 4000

// warmUpRounds is the number of initial rounds, which open the connections and are not recorded.
const warmUpRounds = 50

// lightLoadKindName is the name of the request kind of the light load phase.
const lightLoadKindName = "light"

// lightLoadKind returns the request kind of the light load phase. It has no service time, so that latencies differ only
// by the path.
func lightLoadKind(w Workload) RequestKind {
	first := w.Kinds[0]
	return RequestKind{Name: lightLoadKindName, Class: bundle.Short, Method: first.Method, Path: first.Path, ReplyBytes: pageBytes}
}

// measuredPath is one of the compared paths.
type measuredPath struct {
	latency     *latencies
	pickAddress func(rng *rand.Rand) string
}

// measureLightLoad sends one request over each path per round, in random order, until d has passed or the rounds are
// complete. backends are the addresses of the backend servers of the workload's first service. The tally counts only the
// results of requests through the system.
func measureLightLoad(ctx context.Context, w Workload, backends []string, c *callers, t *tally, d time.Duration, seed uint64) *lightLoad {
	l := &lightLoad{direct: newLatencies(), system: newLatencies(), reverseProxy: newLatencies()}
	rng := rand.New(rand.NewPCG(seed, 0))
	proxies, stopProxies := startReverseProxies(backends)
	defer stopProxies()
	paths := []measuredPath{
		{l.direct, func(r *rand.Rand) string { return backends[r.IntN(len(backends))] }},
		{l.system, func(r *rand.Rand) string { return randomAddress(c.ingresses(), r) }},
		{l.reverseProxy, func(r *rand.Rand) string { return proxies[r.IntN(len(proxies))] }},
	}
	kind := lightLoadKind(w)
	t.addKind(kind)
	end := time.Now().Add(d)
	for n := 0; n < maxLightLoadRounds+warmUpRounds && time.Now().Before(end) && ctx.Err() == nil; n++ {
		rng.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
		for i, path := range paths {
			o := newOperation(fmt.Sprintf("light-%d-%d-%d", seed, n, i), kind, rng)
			started := time.Now()
			r, _ := c.sendTo(ctx, path.pickAddress(rng), o, 0)
			elapsed := time.Since(started)
			if n >= warmUpRounds && r.outcome == OK {
				path.latency.record(elapsed)
			}
			if path.latency == l.system {
				t.addWithLatency(o, r, elapsed)
			}
		}
	}
	return l
}

func randomAddress(addresses []string, rng *rand.Rand) string {
	return addresses[rng.IntN(len(addresses))]
}

// startReverseProxies starts a plain reverse proxy in front of each backend server, as a baseline for the latency that
// the system adds.
func startReverseProxies(backends []string) (addresses []string, stop func()) {
	var servers []*httptest.Server
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerIngress}
	for _, backend := range backends {
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
		proxy.Transport = transport
		server := httptest.NewServer(proxy)
		servers = append(servers, server)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses, func() {
		for _, s := range servers {
			s.Close()
		}
		transport.CloseIdleConnections()
	}
}
