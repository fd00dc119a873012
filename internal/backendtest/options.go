// Package backendtest is a stand-in backend server with the faults that real ones have. It logs each run by request
// ID, so that a test can find duplicate runs, and answers with a body that a caller can verify.
package backendtest

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Request headers that steer one request.
const (
	// RequestIDHeader identifies the request in the run log and determines the answer's body.
	RequestIDHeader = "Backendtest-Request-Id"
	// ReplyBytesHeader is the length of the answer's body in bytes; it is 0 when absent.
	ReplyBytesHeader = "Backendtest-Reply-Bytes"
	// WorkHeader replaces the service time by a fixed duration, such as "40ms".
	WorkHeader = "Backendtest-Work"
	// CallHeader is a comma-separated chain of paths. The server calls the first one through its node's ingress and
	// passes the rest on.
	CallHeader = "Backendtest-Call"
	// CrashHeader makes the server crash while it runs the request.
	CrashHeader = "Backendtest-Crash"
	// TrailersHeader asks for the digest of the answer in a trailer.
	TrailersHeader = "Backendtest-Trailers"
)

// Answer headers.
const (
	// EndpointHeader is the ID of the server that ran the request.
	EndpointHeader = "Backendtest-Endpoint"
	// RequestDigestHeader is the Digest of the request body.
	RequestDigestHeader = "Backendtest-Request-Digest"
	// ReplyDigestTrailer is the Digest of the answer's body.
	ReplyDigestTrailer = "Backendtest-Reply-Digest"
)

// Paths that the server answers itself.
const (
	HealthPath = "/backendtest/health"
	LoadPath   = "/backendtest/load"
	RunsPath   = "/backendtest/runs"
)

// MaxReplyBytes bounds the length of an answer.
const MaxReplyBytes = 64 << 20

// Distribution is a log-normal distribution of service times.
type Distribution struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 gives a constant.
	Sigma float64
}

// Sample draws one service time. u is a standard normal variate.
func (d Distribution) Sample(u float64) time.Duration {
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*u))
}

// Options configure a Server.
type Options struct {
	// ID is the endpoint ID that the server announces.
	ID      string
	Service string
	// Listen is an ip:port; port 0 picks a free one.
	Listen string
	// Slots is the number of requests that run at once; further requests wait.
	Slots int
	// ShedAbove is the number of waiting requests above which the server answers 503; 0 means never.
	ShedAbove int
	// Connections caps open connections; the server closes further ones at once. 0 means no cap.
	Connections int
	// ConnectDelay is the time that a new connection takes to become usable.
	ConnectDelay time.Duration
	ServiceTime  Distribution
	// ColdStart is the time after a start during which service times are multiplied by ColdFactor.
	ColdStart  time.Duration
	ColdFactor float64
	// LoadLag is the age of the figures that the load endpoint reports.
	LoadLag time.Duration
	// HealthLag is the time for which the health endpoint keeps its previous answer after a change.
	HealthLag time.Duration
	// Announce is the ip:port of the node's announce listener; empty means that the server does not announce itself.
	Announce string
	// Ingress is the ip:port of the node's ingress for calls to other services; empty means no calls.
	Ingress string
	// Log receives the runs; it may be shared by several servers. Nil gives the server its own.
	Log *RunLog
	// Seed determines the service times.
	Seed uint64
	// OnCrash runs after a crash has closed all connections; a stand-in process exits in it.
	OnCrash func()
}

func (o *Options) check() error {
	if o.ID == "" || o.Service == "" {
		return errors.New("a backend server needs an ID and a service")
	}
	if o.Slots <= 0 {
		return errors.Newf("slots is %d, not positive", o.Slots)
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
