package demo

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
)

// callers send requests to the ingresses of the fleet, as clients outside the system do.
type callers struct {
	client *http.Client
	// ingresses returns the addresses that callers know at the moment.
	ingresses func() []string
}

// callerTimeout bounds one request; it exceeds the time limit of every route, so that the system answers first.
const callerTimeout = longTimeout + 10*time.Second

// idlePerIngress is the number of idle connections that callers keep to one ingress.
const idlePerIngress = 128

func newCallers(ingresses func() []string) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerIngress}
	return &callers{client: &http.Client{Transport: transport, Timeout: callerTimeout}, ingresses: ingresses}
}

func (c *callers) close() { c.client.CloseIdleConnections() }

// operation is one thing that a caller wants done; it may take several requests.
type operation struct {
	id   string
	kind Kind
	path string
	body []byte
}

func newOperation(id string, k Kind, rng *rand.Rand) operation {
	return operation{id: id, kind: k, path: numbered(k.Path, rng), body: backendtest.Body(id+"/body", k.BodyBytes)}
}

// itemCount is the number of distinct paths of one kind.
const itemCount = 10_000

func numbered(path string, rng *rand.Rand) string {
	return path + "/" + strconv.Itoa(rng.IntN(itemCount))
}

func numberedAll(paths []string, rng *rand.Rand) []string {
	all := make([]string, len(paths))
	for i, path := range paths {
		all[i] = numbered(path, rng)
	}
	return all
}

// request builds the operation's request to one address. work is its service time at the backend server.
func (o operation) request(ctx context.Context, address string, work time.Duration) (*http.Request, error) {
	// A reader of no bytes makes net/http send no body.
	req, err := http.NewRequestWithContext(ctx, o.kind.Method, "http://"+address+o.path, bytes.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(backendtest.RequestIDHeader, o.id)
	req.Header.Set(backendtest.ReplyBytesHeader, strconv.Itoa(o.kind.ReplyBytes))
	req.Header.Set(backendtest.WorkHeader, work.String())
	if o.kind.Keyed {
		req.Header.Set("Idempotency-Key", o.id)
	}
	if o.kind.Trailers {
		req.Header.Set(backendtest.TrailersHeader, "1")
	}
	if len(o.kind.Calls) > 0 {
		req.Header.Set(backendtest.CallHeader, strings.Join(o.kind.Calls, ","))
	}
	return req, nil
}

// send sends the operation once. When an ingress refuses the connection, nothing was sent, and the next one is tried.
func (c *callers) send(ctx context.Context, o operation, work time.Duration, rng *rand.Rand) result {
	addresses := c.ingresses()
	rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		r, sent := c.sendTo(ctx, address, o, work)
		if sent {
			return r
		}
	}
	return result{outcome: CutOff}
}

// sendTo reports what came of a request to one address, and whether anything was sent.
func (c *callers) sendTo(ctx context.Context, address string, o operation, work time.Duration) (result, bool) {
	req, err := o.request(ctx, address, work)
	if err != nil {
		return result{outcome: CutOff}, true
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return result{outcome: CutOff}, !isDialError(err)
	}
	defer resp.Body.Close()
	return readResult(resp, o.id, o.kind, backendtest.FormatDigest(backendtest.DigestOf(o.body))), true
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
