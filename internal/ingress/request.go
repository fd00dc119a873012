package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// Headers that carry a call's context from hop to hop. They are trusted only from this VM.
const (
	depthHeader    = "Dandelionspoke-Depth"
	priorityHeader = "Dandelionspoke-Priority"
	deadlineHeader = "Dandelionspoke-Deadline-Ms"
	keyHeader      = "Idempotency-Key"
)

const (
	// prefixBytes of a body are read before the request is sent, so that small requests can be
	// sent again after a refusal, and so that a slow caller holds no slot.
	prefixBytes = 64 << 10
	maxKeyBytes = 256
)

// request is one call that the ingress is serving.
type request struct {
	http       *http.Request
	route      *bundle.Route
	service    *table.Service
	snapshot   *table.Snapshot
	idempotent bool
	long       bool // class of the route, corrected by measured time
	key        string
	permit     *claim.Permit // of a keyed request's run; nil without a claim
	depth      int
	priority   int
	deadline   time.Time
	// prefix holds the start of the body; rest holds what follows, or nil when prefix is the whole body.
	prefix      []byte
	rest        io.Reader
	restUsed    bool // the rest of the body has been handed to an attempt
	fingerprint []byte
	headers     []*wire.Header
}

// parse matches the route and reads the context headers and the start of the body.
func (in *Ingress) parse(r *http.Request, snapshot *table.Snapshot) (*request, error) {
	if snapshot == nil || snapshot.Bundle == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NoBundle, "no bundle is in force at this node")
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		host = h
	}
	route := snapshot.Bundle.Match(r.Method, host, r.URL.Path)
	if route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NoRoute, "no route for %s %s", r.Method, r.URL.Path)
	}
	q := &request{
		http: r, route: route, snapshot: snapshot, service: snapshot.Service(route.Service),
		idempotent: route.IsIdempotent(r.Method), key: r.Header.Get(keyHeader),
		long:     in.classes.Long(route.Service, route.Name, route.Class == bundle.Long),
		priority: route.Priority, deadline: time.Now().Add(route.Timeout.D()),
	}
	if len(q.key) > maxKeyBytes {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%s longer than %d bytes", keyHeader, maxKeyBytes)
	}
	if err := q.readContext(r, snapshot.Bundle.Policy.MaxDepth); err != nil {
		return nil, err
	}
	q.headers = forwardedHeaders(r)
	return q, nil
}

func (q *request) readContext(r *http.Request, maxDepth int) error {
	if !fromThisVM(r.RemoteAddr) {
		return nil
	}
	if depth, err := strconv.Atoi(r.Header.Get(depthHeader)); err == nil && depth > 0 {
		q.depth = depth
	}
	if q.depth >= maxDepth {
		return verdict.New(verdict.NotRun, verdict.TooDeep, "call chain of more than %d calls", maxDepth)
	}
	if priority, err := strconv.Atoi(r.Header.Get(priorityHeader)); err == nil && priority >= 0 && priority <= bundle.MaxPriority {
		q.priority = priority
	}
	if ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64); err == nil {
		inherited := time.Now().Add(time.Duration(ms) * time.Millisecond)
		if inherited.Before(q.deadline) {
			q.deadline = inherited
		}
	}
	return nil
}

func fromThisVM(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func forwardedHeaders(r *http.Request) []*wire.Header {
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

// readPrefix reads the start of a body of at most limit bytes and computes the fingerprint.
func (q *request) readPrefix(ctx context.Context, w http.ResponseWriter, limit int64) error {
	if q.http.ContentLength > limit {
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body of %d bytes, limit %d", q.http.ContentLength, limit)
	}
	// The host is left out: a repeat through another node may name that node's address.
	digest := retry.NewDigest(q.http.Method, q.route.Service+" "+q.http.URL.RequestURI())
	if q.http.Body != nil && q.http.Body != http.NoBody {
		body := http.MaxBytesReader(w, q.http.Body, limit)
		_ = http.NewResponseController(w).SetReadDeadline(q.deadline)
		prefix, err := io.ReadAll(io.LimitReader(body, prefixBytes))
		if err != nil {
			return bodyError(ctx, err)
		}
		q.prefix = prefix
		if len(prefix) == prefixBytes {
			q.rest = body
		}
	}
	_, _ = digest.Write(q.prefix)
	if q.rest != nil {
		// Only the length stands for the part of a large body that has not arrived yet.
		_, _ = digest.Write(strconv.AppendInt(nil, q.http.ContentLength, 10))
	}
	q.fingerprint = digest.Sum().Bytes()
	return nil
}

func bodyError(ctx context.Context, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body exceeds %d bytes", tooLarge.Limit)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.Canceled, "the caller went away")
	}
	return verdict.New(verdict.NotRun, verdict.BadRequest, "read body: %v", err)
}

// contentLength is the length that the backend server is told; -1 when unknown.
func (q *request) contentLength() int64 {
	if q.rest == nil {
		return int64(len(q.prefix))
	}
	return q.http.ContentLength
}
