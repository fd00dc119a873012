// Package backendtest provides a test backend server with injectable faults. It logs each run by request ID, so that a
// test can find duplicate runs, and generates response bodies that a caller can verify.
package backendtest

import (
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers that control how the server handles a request.
const (
	// RequestIDHeader identifies the request in the run log and determines the response body.
	RequestIDHeader = "Backendtest-Request-Id"
	// ReplyBytesHeader is the length of the response body in bytes; the default is 0.
	ReplyBytesHeader = "Backendtest-Reply-Bytes"
	// WorkHeader replaces the sampled service time with a fixed duration, such as "40ms".
	WorkHeader = "Backendtest-Work"
	// CallHeader is a comma-separated list of paths. The server calls the first one through its node's ingress and sends
	// the remaining ones in the CallHeader of that call.
	CallHeader = "Backendtest-Call"
	// CrashHeader makes the server crash when it starts to run the request.
	CrashHeader = "Backendtest-Crash"
	// TrailersHeader requests the digest of the response body in a trailer.
	TrailersHeader = "Backendtest-Trailers"
)

// Response headers and trailers.
const (
	// EndpointHeader is the ID of the server that ran the request.
	EndpointHeader = "Backendtest-Endpoint"
	// RequestDigestHeader is the digest of the request body.
	RequestDigestHeader = "Backendtest-Request-Digest"
	// ReplyDigestTrailer is the digest of the response body.
	ReplyDigestTrailer = "Backendtest-Reply-Digest"
)

// Paths of the server's health check, load report and run log.
const (
	HealthPath = "/backendtest/health"
	LoadPath   = "/backendtest/load"
	RunsPath   = "/backendtest/runs"
)

// MaxReplyBytes bounds the length of a response body.
const MaxReplyBytes = 64 << 20

// Distribution is a log-normal distribution of service times.
type Distribution struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 makes every sample equal to the median.
	Sigma float64
}

// Sample returns the service time that corresponds to u, a standard normal variate.
func (d Distribution) Sample(u float64) time.Duration {
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*u))
}

// Options configures a Server.
type Options struct {
	// ID is the endpoint ID that the server announces.
	ID      string
	Service string
	// Listen is an ip:port; port 0 picks a free one.
	Listen string
	// Slots is the number of requests that run concurrently; further requests wait.
	Slots int
	// MaxQueued is the number of waiting requests above which the server responds with status 503; 0 means no limit.
	MaxQueued int
	// Connections is the maximum number of open connections; the server closes further ones on accept. 0 means no limit.
	Connections int
	// ConnectDelay is the minimum time between the accept of a connection and the first read from it.
	ConnectDelay time.Duration
	ServiceTime  Distribution
	// ColdStart is the period after a start during which service times are multiplied by ColdFactor.
	ColdStart  time.Duration
	ColdFactor float64
	// LoadLag is the age of the values that the load endpoint reports.
	LoadLag time.Duration
	// HealthLag is the delay before the health endpoint reports a change.
	HealthLag time.Duration
	// Announce is the ip:port of the node's announce listener. If it is empty, the server does not announce itself.
	Announce string
	// Ingress is the ip:port of the node's ingress, for calls to other services. If it is empty, the server makes no calls.
	Ingress string
	// StateSlowStart makes the server state the remaining time of its slow start, which is ColdStart after its start.
	StateSlowStart bool
	// Arrivals receives a line of JSON, an Arrival, for each request that starts to run. If it is nil, none are written.
	Arrivals io.Writer
	// Log records the runs. Several servers may share one; if it is nil, the server creates its own.
	Log *RunLog
	// Seed seeds the random service times and injected failures.
	Seed uint64
	// OnCrash runs after a crash has closed all connections; a backend server in its own process exits in it.
	OnCrash func()
}

func (o *Options) validate() error {
	if o.ID == "" || o.Service == "" {
		return errors.New("ID and Service are required")
	}
	if o.Slots <= 0 {
		return errors.Newf("Slots is %d, must be positive", o.Slots)
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = 1
	}
	if o.Log == nil {
		o.Log = NewRunLog()
	}
	return nil
}

func newRand(seed uint64, id string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, DigestOf([]byte(id))))
}
