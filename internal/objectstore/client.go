package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	defaultCallTimeout      = 2 * time.Second
	defaultCallsPerSecond   = 20
	defaultReadAttempts     = 4
	defaultWatchIdleTimeout = 3 * HeartbeatInterval
	// maxListBytes bounds the body of a list response, so that a faulty server cannot exhaust the client's memory.
	maxListBytes = 64 << 20
)

// Options configures a Client. Zero fields are set to their defaults.
type Options struct {
	// BaseURL is the root of the object API, such as "http://192.0.2.7:8080".
	BaseURL string
	// Token is sent as a bearer token with each call. If it is empty, none is sent.
	Token string
	// CallTimeout is the timeout of each call except a watch. It includes the wait for the rate limiter. Default 2 s.
	CallTimeout time.Duration
	// CallsPerSecond is the rate limit of this client, shared by all kinds of calls. Default 20.
	CallsPerSecond float64
	// Burst is the number of calls that the rate limit allows at once. Default CallsPerSecond, at least 1.
	Burst int
	// ReadAttempts is the maximum number of attempts of a read while the store is unavailable. Default 4.
	ReadAttempts int
	// WatchIdleTimeout is the time without a line after which a watch is closed and opened again. Default 15 s.
	WatchIdleTimeout time.Duration
	// Transport sends the requests. Default: a clone of http.DefaultTransport without a proxy.
	Transport http.RoundTripper
}

// Client implements Store over the HTTP object API. Reads are retried with backoff. Writes are sent only once,
// because only the caller can resolve a write whose outcome is unknown (see PutResolved).
type Client struct {
	options Options
	base    *url.URL
	http    *http.Client
	limiter *rate.Limiter
	Generations
}

var (
	_ Store            = (*Client)(nil)
	_ GenerationStater = (*Client)(nil)
)

// NewClient returns a client for the object API at options.BaseURL.
func NewClient(options Options) (*Client, error) {
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "objectstore: base URL")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Newf("objectstore: base URL %q: must be http://HOST[:PORT] or https://HOST[:PORT]", options.BaseURL)
	}
	options.setDefaults()
	return &Client{
		options: options,
		base:    base,
		http:    &http.Client{Transport: options.Transport, CheckRedirect: refuseRedirect},
		limiter: rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.Burst),
	}, nil
}

func (o *Options) setDefaults() {
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.CallsPerSecond <= 0 {
		o.CallsPerSecond = defaultCallsPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = max(1, int(o.CallsPerSecond))
	}
	if o.ReadAttempts <= 0 {
		o.ReadAttempts = defaultReadAttempts
	}
	if o.WatchIdleTimeout <= 0 {
		o.WatchIdleTimeout = defaultWatchIdleTimeout
	}
	if o.Transport == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.Proxy = nil
		o.Transport = transport
	}
}

// refuseRedirect returns redirect responses to the caller, so that no write is sent to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *Client) authorize(r *http.Request) {
	if c.options.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
}

// Close closes idle connections. It does not end watches, which end with their contexts.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	response, err := c.read(ctx, c.objectURL(key), MaxValueBytes)
	if err != nil {
		return Object{}, errors.Wrapf(err, "get %s", key)
	}
	revision, err := ParseETag(response.header.Get("ETag"))
	return Object{Key: key, Value: response.body, Version: VersionOf(response.generation, revision), Generation: response.generation}, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	objects, _, err := c.listAt(ctx, prefix)
	return objects, err
}

// ListAt implements PositionLister.
func (c *Client) ListAt(ctx context.Context, prefix string) ([]Object, Position, error) {
	objects, version, err := c.listAt(ctx, prefix)
	return objects, PositionOf(version), err
}

// listAt is like List, and also returns the value of the store's version counter at the time of the list.
func (c *Client) listAt(ctx context.Context, prefix string) ([]Object, int64, error) {
	target := c.base.JoinPath(ObjectsPath)
	target.RawQuery = url.Values{"prefix": {prefix}}.Encode()
	response, err := c.read(ctx, target, maxListBytes)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "list %s", prefix)
	}
	var list ListResponse
	if err := json.Unmarshal(response.body, &list); err != nil {
		return nil, 0, errors.Wrapf(err, "list %s", prefix)
	}
	objects := make([]Object, len(list.Objects))
	for i, o := range list.Objects {
		objects[i] = Object{Key: o.Key, Value: o.Value, Version: VersionOf(response.generation, o.Version), Generation: response.generation}
	}
	return objects, VersionOf(response.generation, list.Revision), nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error) {
	if err := CheckPut(key, value); err != nil {
		return Object{}, err
	}
	response, err := c.write(ctx, http.MethodPut, key, value, ifVersion)
	if err != nil {
		return Object{}, err
	}
	revision, err := ParseETag(response.header.Get("ETag"))
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnknownOutcome)
	}
	return Object{Key: key, Value: value, Version: VersionOf(response.generation, revision), Generation: response.generation}, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion int64) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	_, err := c.write(ctx, http.MethodDelete, key, nil, ifVersion)
	return err
}

func (c *Client) objectURL(key string) *url.URL {
	return c.base.JoinPath(ObjectsPath, key)
}

// fullResponse holds the header and the whole body of a response.
type fullResponse struct {
	header     http.Header
	body       []byte
	generation uint64 // of the store
}

// read sends a GET request. It retries with backoff while the store is unavailable, up to ReadAttempts in total.
func (c *Client) read(ctx context.Context, target *url.URL, limit int64) (fullResponse, error) {
	for attempt := 0; ; attempt++ {
		r, _, err := c.call(ctx, http.MethodGet, target, nil, nil, limit)
		if !errors.Is(err, ErrUnavailable) || attempt+1 >= c.options.ReadAttempts {
			return r, err
		}
		if sleepBackoff(ctx, attempt) != nil {
			return r, err
		}
	}
}

// write sends a PUT or DELETE request once, unless ifVersion is of an earlier generation of the store. net/http does not
// retry such a request if it may have reached the server.
func (c *Client) write(ctx context.Context, method, key string, value []byte, ifVersion int64) (fullResponse, error) {
	var condition Condition
	setCondition := func(h http.Header) (err error) {
		if condition, err = c.Condition(ifVersion); err == nil {
			SetPrecondition(h, condition.Revision)
		}
		return err
	}
	r, outcomeUnknown, err := c.call(ctx, method, c.objectURL(key), setCondition, value, MaxValueBytes)
	switch {
	case outcomeUnknown && errors.Is(err, ErrUnavailable):
		err = errors.Mark(errors.Newf("%v", err), ErrUnknownOutcome)
	case err == nil:
		err = condition.Check(r.generation)
	}
	return r, errors.Wrapf(err, "%s %s", strings.ToLower(method), key)
}

// call makes one call, subject to the call timeout and the rate limit. outcomeUnknown means that the server may
// have received the request, but no response shows whether it took effect. setHeader, unless nil, sets the header just
// before the call; the call is not made if it returns an error.
func (c *Client) call(ctx context.Context, method string, target *url.URL, setHeader func(http.Header) error, body []byte, limit int64) (r fullResponse, outcomeUnknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return r, false, unavailableError(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return r, false, errors.Wrap(err, "objectstore: build request")
	}
	c.authorize(request)
	if setHeader != nil {
		if err := setHeader(request.Header); err != nil {
			return r, false, err
		}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return r, !isDialError(err), unavailableError(err)
	}
	defer response.Body.Close()
	r.header = response.Header
	r.body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil && response.StatusCode/100 == 2 {
		return r, true, unavailableError(err)
	}
	if int64(len(r.body)) > limit {
		return r, true, unavailableError(errors.Newf("answer exceeds %d bytes", limit))
	}
	r.generation, err = c.Observe(response.Header, GenerationHeader)
	statusErr, outcomeUnknown := statusError(response.StatusCode)
	if statusErr != nil && (err == nil || method != http.MethodGet) {
		return r, outcomeUnknown, statusErr
	}
	return r, true, err
}

func unavailableError(cause error) error {
	return errors.Mark(errors.Wrap(cause, "object store"), ErrUnavailable)
}

// isDialError reports whether dialing failed, in which case the server cannot have received the request.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError returns the error for an HTTP status, and whether the status leaves the outcome of a write unknown.
func statusError(status int) (err error, outcomeUnknown bool) {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil, false
	case http.StatusNotFound:
		return ErrNotFound, false
	case http.StatusPreconditionFailed:
		return ErrConflict, false
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge, false
	case http.StatusBadRequest:
		return ErrInvalidKey, false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return unavailableError(errors.Newf("status %d", status)), false
	default:
		return unavailableError(errors.Newf("status %d", status)), true
	}
}
