package ingress

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Protocol defines the headers and failure responses that callers and the ingress use on top of HTTP. Implementations
// are safe for concurrent use.
type Protocol interface {
	// Call returns the parameters that the caller sets for its request. maxDepth bounds the length of a call chain.
	// Errors carry the verdict NotRun.
	Call(r *http.Request, maxDepth int) (Call, error)
	// Forwarded returns the headers to forward to the backend server.
	Forwarded(r *http.Request) []*wire.Header
	// AccountHeader returns the canonical name of the header in which the gate tells the backend server the account.
	AccountHeader() string
	// Fail writes the response to a failed request. retryAfter is the delay after which a retry may be accepted; 0
	// when a retry would not help.
	Fail(w http.ResponseWriter, r *http.Request, e *verdict.Error, retryAfter time.Duration)
}

// Call holds the parameters that a caller sets for its request.
type Call struct {
	// ID identifies the request in logs; empty when the caller sets none.
	ID string
	// Depth is the number of calls in the chain before this one.
	Depth int
	// Priority overrides the priority of the route; negative when the caller sets none.
	Priority int
	// Remaining is the time that the caller waits; 0 when it sets none.
	Remaining time.Duration
	// Key is the idempotency key; empty when the caller sets none.
	Key string
	// Caller identifies the caller for the quarantine of crashing requests; empty when it is not known.
	Caller string
	// Credential is the key that selects the client account, as the caller presented it; empty when it presents none. It is
	// secret: it must not be logged, stored or forwarded.
	Credential string
}

// Headers of a call. Depth, priority and deadline pass a call's context from hop to hop and are trusted only from
// this VM.
const (
	depthHeader    = "Dandelionspoke-Depth"
	priorityHeader = "Dandelionspoke-Priority"
	deadlineHeader = "Dandelionspoke-Deadline-Ms"
	keyHeader      = "Idempotency-Key"
)

const maxKeyBytes = 256

// nativeProtocol is the default protocol.
type nativeProtocol struct{}

// Call implements Protocol.
func (nativeProtocol) Call(r *http.Request, maxDepth int) (Call, error) {
	c := Call{Key: r.Header.Get(keyHeader), Priority: -1, Credential: account.Credential(r.Header)}
	if len(c.Key) > maxKeyBytes {
		return c, verdict.New(verdict.NotRun, verdict.BadRequest, "%s longer than %d bytes", keyHeader, maxKeyBytes)
	}
	if !isLoopbackAddr(r.RemoteAddr) {
		return c, nil
	}
	if depth, err := strconv.Atoi(r.Header.Get(depthHeader)); err == nil && depth > 0 {
		c.Depth = depth
	}
	if c.Depth >= maxDepth {
		return c, verdict.New(verdict.NotRun, verdict.TooDeep, "call chain of more than %d calls", maxDepth)
	}
	if priority, err := strconv.Atoi(r.Header.Get(priorityHeader)); err == nil && priority >= 0 && priority <= bundle.MaxPriority {
		c.Priority = priority
	}
	if ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64); err == nil {
		// A deadline that has passed leaves 1 ns, since 0 means that the caller set none.
		c.Remaining = max(time.Duration(ms)*time.Millisecond, 1)
	}
	return c, nil
}

func isLoopbackAddr(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Forwarded implements Protocol.
func (nativeProtocol) Forwarded(r *http.Request) []*wire.Header {
	headers := gate.HeadersToWire(r.Header)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		values := append(append([]string(nil), r.Header.Values("X-Forwarded-For")...), host)
		filtered := headers[:0]
		for _, h := range headers {
			if h.Name != "X-Forwarded-For" {
				filtered = append(filtered, h)
			}
		}
		headers = append(filtered, wire.NewHeader("X-Forwarded-For", values))
	}
	return headers
}

// AccountHeader implements Protocol.
func (nativeProtocol) AccountHeader() string { return gate.AccountHeader }

// nativeRetryAfterSeconds is sent with each refusal for lack of capacity. HTTP requires whole seconds.
const nativeRetryAfterSeconds = "1"

// Fail implements Protocol.
func (nativeProtocol) Fail(w http.ResponseWriter, _ *http.Request, e *verdict.Error, retryAfter time.Duration) {
	h := w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(verdict.ReasonHeader, string(e.Reason))
	if e.Verdict == verdict.NotRun && e.Reason.Status() == http.StatusServiceUnavailable {
		h.Set("Retry-After", nativeRetryAfterSeconds)
	}
	if e.Reason.Status() == http.StatusTooManyRequests && retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	http.Error(w, e.Error(), e.Reason.Status())
}
