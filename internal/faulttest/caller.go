package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

// Operation describes a request. A caller that repeats it uses the same ID, also as the idempotency key.
type Operation struct {
	ID, Method, Path string
	ReplyBytes       int
	Work             time.Duration
	Keyed, Crash     bool
	// Trailers requests a response without a declared length that has its digest in a trailer.
	Trailers bool
}

// Outcome is what a caller can tell about one request.
type Outcome string

// Outcomes. A verdict in a response is an outcome under its own name.
const (
	Answered   Outcome = "answered" // a complete and correct response of the backend server
	WrongBody  Outcome = "wrong-body"
	Incomplete Outcome = "incomplete" // no response, or a truncated one
	// NotSent is a connection that could not be opened. The request may have run all the same, since net/http repeats
	// a GET on a new connection after an older one broke.
	NotSent        Outcome = "not-sent"
	BackendFailure Outcome = "backend-failure" // a response of the backend server with a status other than 200
	NotRun         Outcome = "not-run"
	Ran            Outcome = "ran"
	MayHaveRun     Outcome = "may-have-run"
)

// Result is the outcome of one request.
type Result struct {
	Operation Operation
	Through   string // ID of the node whose ingress received the request
	Outcome   Outcome
	Detail    string
	Sent      time.Time
	Took      time.Duration
	Endpoint  string // ID of the backend server that sent the response
}

// String describes the result in one line.
func (r Result) String() string {
	return fmt.Sprintf("%s %s id=%s keyed=%t through=%s outcome=%s detail=%q took=%v", r.Operation.Method,
		r.Operation.Path, r.Operation.ID, r.Operation.Keyed, r.Through, r.Outcome, r.Detail, r.Took)
}

// Callers sends requests and records their results. It is safe for concurrent use.
type Callers struct {
	client  *http.Client
	mu      sync.Mutex
	results []Result
}

// callerTimeout exceeds the timeout of each route, so that the ingress responds first.
const callerTimeout = 15 * time.Second

// NewCallers returns Callers without results.
func NewCallers() *Callers {
	return &Callers{client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes idle connections.
func (c *Callers) Close() { c.client.CloseIdleConnections() }

// Send sends the operation once through the member's ingress and records the result.
func (c *Callers) Send(ctx context.Context, m *Member, o Operation) Result {
	r := Result{Operation: o, Through: m.ID, Sent: time.Now()}
	c.exchange(ctx, m, o, &r)
	r.Took = time.Since(r.Sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	return r
}

func (c *Callers) exchange(ctx context.Context, m *Member, o Operation, r *Result) {
	body := backendtest.Body(o.ID+"/body", 200)
	if o.Method == http.MethodGet {
		body = nil
	}
	req, err := http.NewRequestWithContext(ctx, o.Method, "http://"+m.Ingress()+o.Path, bytes.NewReader(body))
	if err != nil {
		r.Outcome, r.Detail = Incomplete, err.Error()
		return
	}
	req.Header.Set(backendtest.RequestIDHeader, o.ID)
	req.Header.Set(backendtest.ReplyBytesHeader, strconv.Itoa(o.ReplyBytes))
	if o.Work > 0 {
		req.Header.Set(backendtest.WorkHeader, o.Work.String())
	}
	if o.Keyed {
		req.Header.Set("Idempotency-Key", o.ID)
	}
	if o.Trailers {
		req.Header.Set(backendtest.TrailersHeader, "1")
	}
	if o.Crash {
		req.Header.Set(backendtest.CrashHeader, "1")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.Outcome, r.Detail = Incomplete, err.Error()
		if op := new(net.OpError); errors.As(err, &op) && op.Op == "dial" {
			r.Outcome = NotSent
		}
		return
	}
	defer resp.Body.Close()
	r.Endpoint = resp.Header.Get(backendtest.EndpointHeader)
	r.Outcome, r.Detail = readResponse(resp, o, body)
}

// readResponse reads the whole response and compares it with the one expected for the operation and its request body.
func readResponse(resp *http.Response, o Operation, body []byte) (Outcome, string) {
	if text := resp.Header.Get(verdict.Header); text != "" {
		detail, _ := io.ReadAll(resp.Body)
		return Outcome(text), resp.Header.Get(verdict.ReasonHeader) + ": " + string(detail)
	}
	if resp.StatusCode != http.StatusOK {
		detail, err := io.ReadAll(resp.Body)
		if err != nil {
			return Incomplete, err.Error()
		}
		return BackendFailure, fmt.Sprint(resp.StatusCode, " ", string(detail))
	}
	err := backendtest.Verify(resp.Body, o.ID, int64(o.ReplyBytes))
	switch {
	case errors.Is(err, backendtest.ErrWrongBody):
		return WrongBody, err.Error()
	case err != nil:
		return Incomplete, err.Error()
	}
	want := backendtest.FormatDigest(backendtest.DigestOf(body))
	if got := resp.Header.Get(backendtest.RequestDigestHeader); got != want {
		return WrongBody, "the backend server received a different request body"
	}
	return Answered, ""
}

// Results returns a copy of all results so far.
func (c *Callers) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results)
}

// CountByOutcome counts the results by outcome.
func CountByOutcome(results []Result) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, r := range results {
		counts[r.Outcome]++
	}
	return counts
}

// Violations compares the results with the log of what the backend servers ran, and describes each violated
// guarantee. The fleet must be closed, so that no request can run any more.
func Violations(results []Result, runs *backendtest.RunLog) []string {
	var violations []string
	for _, id := range runs.Duplicates() {
		violations = append(violations, fmt.Sprintf("%s ran %d times", id, runs.Get(id).Started))
	}
	byID := map[string][]Result{}
	for _, r := range results {
		byID[r.Operation.ID] = append(byID[r.Operation.ID], r)
	}
	for id, sent := range byID {
		violations = append(violations, violationsOfOperation(sent, runs.Get(id).Started)...)
	}
	return violations
}

// violationsOfOperation checks the results of all requests with the same ID, which are repeats of one operation.
func violationsOfOperation(sent []Result, runs int) []string {
	var violations []string
	notRun := 0
	for _, r := range sent {
		switch r.Outcome {
		case WrongBody:
			violations = append(violations, "wrong body: "+r.String())
		case NotRun:
			notRun++
		case Answered, Ran, BackendFailure:
			if runs == 0 {
				violations = append(violations, "reported as run, but did not run: "+r.String())
			}
		}
	}
	if notRun == len(sent) && runs > 0 {
		violations = append(violations, fmt.Sprintf("reported as not-run, but ran %d times: %s", runs, sent[0]))
	}
	return violations
}
