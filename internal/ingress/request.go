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
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

const (
	// prefixBytes of a body are read before the request is sent, so that small requests can be
	// sent again after a refusal, and so that a slow caller holds no slot.
	prefixBytes = 64 << 10
)

// request is one call that the ingress is serving.
type request struct {
	http    *http.Request
	id      string // from the caller, for logs
	started time.Time
	to      string // name of the service
	// sent, moved and last describe the attempts for logs; the goroutine of the request owns them.
	sent, moved int
	last        *table.Endpoint
	status      int // of the answer that was relayed; 0 for none
	route       *bundle.Route
	service     *table.Service
	snapshot    *table.Snapshot
	idempotent  bool
	long        bool // class of the route, corrected by measured time
	key         string
	permit      *claim.Permit // of a keyed request's run; nil without a claim
	depth       int
	priority    int
	deadline    time.Time
	// prefix holds the start of the body; rest holds what follows, or nil when prefix is the whole body.
	prefix      []byte
	rest        io.Reader
	restUsed    bool // the rest of the body has been handed to an attempt
	fingerprint []byte
	headers     []*wire.Header
}

// parse matches the route and reads what the caller states about the request.
func (in *Ingress) parse(r *http.Request, snapshot *table.Snapshot) (*request, error) {
	if snapshot == nil || snapshot.Bundle == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NoBundle, "no bundle is in force at this node")
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		host = h
	}
	route := snapshot.Match(r.Method, host, r.URL.Path)
	if route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NoRoute, "no route for %s %s", r.Method, r.URL.Path)
	}
	call, err := in.Protocol.Call(r, snapshot.Bundle.Policy.MaxDepth)
	if err != nil {
		return nil, err
	}
	service := in.destination(route)
	q := &request{
		http: r, route: route, snapshot: snapshot, service: snapshot.Service(service), to: service, id: call.ID,
		idempotent: route.IsIdempotent(r.Method), key: call.Key, depth: call.Depth,
		long:     in.classes.Long(service, route.Name, route.Class == bundle.Long),
		priority: route.Priority, started: time.Now(),
	}
	q.deadline = q.started.Add(route.Timeout.D())
	if call.Priority >= 0 {
		q.priority = call.Priority
	}
	if call.Remaining > 0 && call.Remaining < route.Timeout.D() {
		q.deadline = q.started.Add(call.Remaining)
	}
	q.headers = in.Protocol.Forwarded(r)
	return q, nil
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
