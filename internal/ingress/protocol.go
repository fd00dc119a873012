package ingress

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Protocol is how callers speak to an ingress beyond plain HTTP. Implementations are safe for concurrent use.
type Protocol interface {
	// Call returns what the caller states about its request. maxDepth bounds the length of a call chain. The
	// error carries the verdict NotRun.
	Call(r *http.Request, maxDepth int) (Call, error)
	// Forwarded returns the headers that go to the backend server.
	Forwarded(r *http.Request) []*wire.Header
	// Fail writes a failed answer. retryAfter is the time after which another try may find room; 0 when
	// trying again would not help.
	Fail(w http.ResponseWriter, r *http.Request, e *verdict.Error, retryAfter time.Duration)
}

// Call is what a caller states about its request.
type Call struct {
	// ID names the request in logs; empty when the caller gives none.
	ID string
	// Depth is the number of calls in the chain before this one.
	Depth int
	// Priority overrides that of the route; negative when the caller states none.
	Priority int
	// Remaining is the time that the caller waits; 0 when it states none.
	Remaining time.Duration
	// Key is the idempotency key, or empty.
	Key string
}

// Headers that carry a call's context from hop to hop. They are trusted only from this VM.
const (
	depthHeader    = "Dandelionspoke-Depth"
	priorityHeader = "Dandelionspoke-Priority"
	deadlineHeader = "Dandelionspoke-Deadline-Ms"
	keyHeader      = "Idempotency-Key"
)

const maxKeyBytes = 256

// nativeProtocol is the product's own interface to callers.
type nativeProtocol struct{}

// Call implements Protocol.
func (nativeProtocol) Call(r *http.Request, maxDepth int) (Call, error) {
	c := Call{Key: r.Header.Get(keyHeader), Priority: -1}
	if len(c.Key) > maxKeyBytes {
		return c, verdict.New(verdict.NotRun, verdict.BadRequest, "%s longer than %d bytes", keyHeader, maxKeyBytes)
	}
	if !fromThisVM(r.RemoteAddr) {
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
		// A deadline that has passed leaves the shortest time that is not "none stated".
		c.Remaining = max(time.Duration(ms)*time.Millisecond, 1)
	}
	return c, nil
}

func fromThisVM(remote string) bool {
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
		kept := headers[:0]
		for _, h := range headers {
			if h.Name != "X-Forwarded-For" {
				kept = append(kept, h)
			}
		}
		headers = append(kept, &wire.Header{Name: "X-Forwarded-For", Values: values})
	}
	return headers
}

// nativeRetryAfter is sent with each refusal for lack of room, in whole seconds as HTTP requires.
const nativeRetryAfter = "1"

// Fail implements Protocol.
func (nativeProtocol) Fail(w http.ResponseWriter, _ *http.Request, e *verdict.Error, _ time.Duration) {
	h := w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(verdict.ReasonHeader, string(e.Reason))
	if e.Verdict == verdict.NotRun && e.Reason.Status() == http.StatusServiceUnavailable {
		h.Set("Retry-After", nativeRetryAfter)
	}
	http.Error(w, e.Error(), e.Reason.Status())
}
