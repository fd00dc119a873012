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

// lightLoad compares three ways to the same backend servers at one request at a time, interleaved: directly, through
// the system, and through a bare net/http reverse hop.
type lightLoad struct {
	direct, system, bareHop *latencies
}

// maxLightRounds bounds the rounds of the light load; a p99 of 4,000 samples rests on 40 values.
const maxLightRounds = 4000

// warmUpRounds open the connections and are not recorded.
const warmUpRounds = 50

// lightKindName names the requests of the light load in the tally.
const lightKindName = "light"

// lightKind is the request of the light load. It has no service time, so that the difference is that of the path.
func lightKind(w Workload) Kind {
	first := w.Kinds[0]
	return Kind{Name: lightKindName, Class: bundle.Short, Method: first.Method, Path: first.Path, ReplyBytes: pageBytes}
}

// way is one of the compared paths.
type way struct {
	latency *latencies
	address func(rng *rand.Rand) string
}

// measureLight runs rounds until d has passed. backends are those of the workload's first service. The answers through the system count in the tally.
func measureLight(ctx context.Context, w Workload, backends []string, c *callers, t *tally, d time.Duration, seed uint64) *lightLoad {
	l := &lightLoad{direct: newLatencies(), system: newLatencies(), bareHop: newLatencies()}
	rng := rand.New(rand.NewPCG(seed, 0))
	hops, stop := bareHops(backends)
	defer stop()
	ways := []way{
		{l.direct, func(r *rand.Rand) string { return backends[r.IntN(len(backends))] }},
		{l.system, func(r *rand.Rand) string { return oneOf(c.ingresses(), r) }},
		{l.bareHop, func(r *rand.Rand) string { return hops[r.IntN(len(hops))] }},
	}
	kind := lightKind(w)
	t.watch(kind)
	end := time.Now().Add(d)
	for n := 0; n < maxLightRounds+warmUpRounds && time.Now().Before(end) && ctx.Err() == nil; n++ {
		rng.Shuffle(len(ways), func(i, j int) { ways[i], ways[j] = ways[j], ways[i] })
		for i, way := range ways {
			o := newOperation(fmt.Sprintf("light-%d-%d-%d", seed, n, i), kind, rng)
			started := time.Now()
			r, _ := c.sendTo(ctx, way.address(rng), o, 0)
			took := time.Since(started)
			if n >= warmUpRounds && r.outcome == OK {
				way.latency.record(took)
			}
			if way.latency == l.system {
				t.finish(o, r, took)
			}
		}
	}
	return l
}

func oneOf(addresses []string, rng *rand.Rand) string { return addresses[rng.IntN(len(addresses))] }

// bareHops starts a plain reverse hop in front of each backend server. It is a baseline for the measurement only.
func bareHops(backends []string) (addresses []string, stop func()) {
	var servers []*httptest.Server
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerIngress}
	for _, backend := range backends {
		hop := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
		hop.Transport = transport
		server := httptest.NewServer(hop)
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
