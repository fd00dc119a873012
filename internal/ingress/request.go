package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

const (
	// maxPrefixBytes bounds the part of a body that is read before the request is sent, so that small requests
	// can be sent again after a refusal, and so that a slow caller does not occupy a slot.
	maxPrefixBytes = 64 << 10
)

// request is the state of one request in the ingress.
type request struct {
	httpRequest *http.Request
	id          string // from the caller, for logs
	startedAt   time.Time
	serviceName string
	// attemptsSent, moves and lastEndpoint describe the attempts for logs. Only the request's goroutine accesses them.
	attemptsSent, moves int
	lastEndpoint        *table.Endpoint
	status              int // of the response that was relayed; 0 for none
	hedgeWon            bool
	responseStarted     bool // the head of the response may have been sent
	route               *bundle.Route
	service             *table.Service
	snapshot            *table.Snapshot
	// regions are the regions that may run the request; nil allows all. service then holds only endpoints there.
	regions        []string
	idempotent     bool
	long           bool // the route's class, corrected by measured service times
	idempotencyKey string
	claimPermit    *claim.Permit // nil for a request without a claim
	depth          int
	priority       int
	deadline       time.Time
	// bodyPrefix holds the start of the body and bodyRest the remainder, or nil when bodyPrefix is the complete body.
	bodyPrefix   []byte
	bodyRest     io.Reader
	bodyRestUsed bool // an attempt has started to read bodyRest
	bodyRestRead atomic.Bool
	fingerprint  []byte
	// callerFingerprint is the fingerprint of the caller's requests; nil when the caller is not known.
	callerFingerprint []byte
	// trial is set if the request is in quarantine and has claimed a trial.
	trial   bool
	caller  string
	headers []*wire.Header
	// credential is the caller's key until selectAccount has used it. It must not be logged.
	credential string
	// account and accountName are those of the client account; zero without one.
	account     *bundle.Account
	accountName string
	// token is what the request took from the account's rate limit.
	token ratelimit.Token
	// callerSetsPriority is set if the caller overrides the priority of the route and the account.
	callerSetsPriority bool
	returning          bool          // the caller sends again what was refused before
	roomWait           time.Duration // until a gate that refused the request expects room; 0 if none has stated it
}

// parse matches the route and reads the caller's parameters.
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
	service := in.destinationService(route)
	q := &request{
		httpRequest: r, route: route, snapshot: snapshot, service: snapshot.Service(service), serviceName: service, id: call.ID, caller: call.Caller,
		idempotent: route.IsIdempotent(r.Method), idempotencyKey: call.Key, depth: call.Depth,
		long:     in.classes.Long(service, route.Name, route.Class == bundle.Long),
		priority: route.Priority, startedAt: time.Now(), credential: call.Credential,
	}
	q.deadline = q.startedAt.Add(route.Timeout.D())
	if call.Priority >= 0 {
		q.priority, q.callerSetsPriority = call.Priority, true
	}
	if call.Remaining > 0 && call.Remaining < route.Timeout.D() {
		q.deadline = q.startedAt.Add(call.Remaining)
	}
	q.headers = in.Protocol.Forwarded(r)
	return q, nil
}

// requestTarget returns the path and query of a request as the caller sent them. Those of an absolute URL, and those that are
// not UTF-8, are encoded anew.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") && utf8.ValidString(r.RequestURI) {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBodyPrefix reads the start of the body and computes the fingerprint. It refuses bodies above limit bytes.
func (q *request) readBodyPrefix(ctx context.Context, w http.ResponseWriter, limit int64) error {
	if q.httpRequest.ContentLength > limit {
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "body of %d bytes, limit %d", q.httpRequest.ContentLength, limit)
	}
	if q.httpRequest.Body != nil && q.httpRequest.Body != http.NoBody {
		body := http.MaxBytesReader(w, q.httpRequest.Body, limit)
		_ = http.NewResponseController(w).SetReadDeadline(q.deadline)
		prefix, err := io.ReadAll(io.LimitReader(body, maxPrefixBytes))
		if err != nil {
			return bodyError(ctx, err)
		}
		q.bodyPrefix = prefix
		if len(prefix) == maxPrefixBytes {
			q.bodyRest = body
		}
	}
	fingerprint := q.digest(q.identifyingHost())
	q.fingerprint = fingerprint.Bytes()
	if q.caller != "" {
		q.callerFingerprint = retry.CallerFingerprint(fingerprint, q.caller).Bytes()
	}
	return nil
}

// identifyingHost returns the host of the request, without port, if its route is one of that host. On other routes, a repeat
// through another node may have that node's address as host.
func (q *request) identifyingHost() string { return strings.ToLower(q.route.Host) }

// claimFingerprint returns the fingerprint that a claim stores. It includes the service, to which the claim belongs.
func (q *request) claimFingerprint() []byte { return q.digest(q.route.Service).Bytes() }

// digest returns the fingerprint of the request within a scope.
func (q *request) digest(scope string) retry.Fingerprint {
	digest := retry.NewDigest(q.httpRequest.Method, q.scopedToAccount(scope+" "+q.httpRequest.URL.RequestURI()))
	_, _ = digest.Write(q.bodyPrefix)
	if q.bodyRest != nil {
		// The remainder of a large body has not arrived yet; only the total length enters the fingerprint.
		_, _ = digest.Write(strconv.AppendInt(nil, q.httpRequest.ContentLength, 10))
	}
	return digest.Sum()
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

// contentLength returns the Content-Length for the backend server; -1 when unknown.
func (q *request) contentLength() int64 {
	if q.bodyRest == nil {
		return int64(len(q.bodyPrefix))
	}
	return q.httpRequest.ContentLength
}
