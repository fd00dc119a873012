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

// callers sends requests to the ingresses of the fleet, as external clients do.
type callers struct {
	client *http.Client
	// ingresses returns the addresses of the ingresses that are currently available to callers.
	ingresses func() []string
}

// callerTimeout bounds one request. It exceeds the timeout of every route, so that the system responds first.
const callerTimeout = longTimeout + 10*time.Second

// maxIdleConnsPerIngress bounds the idle connections to one ingress.
const maxIdleConnsPerIngress = 128

func newCallers(ingresses func() []string) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerIngress}
	return &callers{client: &http.Client{Transport: transport, Timeout: callerTimeout}, ingresses: ingresses}
}

func (c *callers) close() { c.client.CloseIdleConnections() }

// operation is one unit of work for a caller. A caller may send its request several times.
type operation struct {
	id   string
	kind RequestKind
	path string
	body []byte
}

func newOperation(id string, k RequestKind, rng *rand.Rand) operation {
	return operation{id: id, kind: k, path: withRandomItem(k.Path, rng), body: backendtest.Body(id+"/body", k.BodyBytes)}
}

// itemsPerPath is the number of distinct item numbers that are appended to a path.
const itemsPerPath = 10_000

func withRandomItem(path string, rng *rand.Rand) string {
	return path + "/" + strconv.Itoa(rng.IntN(itemsPerPath))
}

func withRandomItems(paths []string, rng *rand.Rand) []string {
	all := make([]string, len(paths))
	for i, path := range paths {
		all[i] = withRandomItem(path, rng)
	}
	return all
}

// request builds the operation's request to one address. work is the service time that the backend server simulates.
func (o operation) request(ctx context.Context, address string, work time.Duration) (*http.Request, error) {
	// net/http sends no body for an empty bytes.Reader.
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

// send sends the operation to one ingress. If connecting to an ingress fails, nothing was sent, and it tries the next.
func (c *callers) send(ctx context.Context, o operation, work time.Duration, rng *rand.Rand) result {
	addresses := c.ingresses()
	rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		r, sent := c.sendTo(ctx, address, o, work)
		if sent {
			return r
		}
	}
	return result{outcome: Truncated}
}

// sendTo sends the operation to one address. It returns the result and whether the request may have been sent.
func (c *callers) sendTo(ctx context.Context, address string, o operation, work time.Duration) (result, bool) {
	req, err := o.request(ctx, address, work)
	if err != nil {
		return result{outcome: Truncated}, true
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return result{outcome: Truncated}, !isDialError(err)
	}
	defer resp.Body.Close()
	return readResult(resp, o.id, o.kind, backendtest.FormatDigest(backendtest.DigestOf(o.body))), true
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
