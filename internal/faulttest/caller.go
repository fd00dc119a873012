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

// Operation is one thing that a caller wants done.
type Operation struct {
	ID, Method, Path string
	ReplyBytes       int
	Work             time.Duration
	Keyed, Crash     bool
	// Trailers asks for an answer without a declared length, with its digest in a trailer.
	Trailers bool
}

// Outcome is what a caller learns from one request.
type Outcome string

// Outcomes. Verdicts of the system are outcomes under their own names.
const (
	Answered  Outcome = "answered"
	WrongBody Outcome = "wrong-body"
	CutOff    Outcome = "cut-off"
	// NotSent is a refused connection. It says nothing about runs, since net/http repeats a GET on a new
	// connection after an older one broke.
	NotSent Outcome = "not-sent"
	Failed  Outcome = "backend-failure" // an answer of the backend server itself that is no success
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	MayRun  Outcome = "may-have-run"
)

// Result is the outcome of one request.
type Result struct {
	Operation Operation
	Through   string
	Outcome   Outcome
	Detail    string
	Sent      time.Time
	Took      time.Duration
	Endpoint  string // backend server that answered
}

// String describes the result in one line.
func (r Result) String() string {
	return fmt.Sprintf("%s %s id=%s keyed=%t through=%s outcome=%s detail=%q took=%v", r.Operation.Method,
		r.Operation.Path, r.Operation.ID, r.Operation.Keyed, r.Through, r.Outcome, r.Detail, r.Took)
}

// Callers send requests and keep their results. They are safe for concurrent use.
type Callers struct {
	client  *http.Client
	mu      sync.Mutex
	results []Result
}

// callerTimeout exceeds the time limit of each route, so that the system answers first.
const callerTimeout = 15 * time.Second

// NewCallers returns callers without results.
func NewCallers() *Callers {
	return &Callers{client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close releases connections.
func (c *Callers) Close() { c.client.CloseIdleConnections() }

// Send sends the operation once through the member's ingress.
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
		r.Outcome, r.Detail = CutOff, err.Error()
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
		r.Outcome, r.Detail = CutOff, err.Error()
		if op := new(net.OpError); errors.As(err, &op) && op.Op == "dial" {
			r.Outcome = NotSent
		}
		return
	}
	defer resp.Body.Close()
	r.Endpoint = resp.Header.Get(backendtest.EndpointHeader)
	r.Outcome, r.Detail = read(resp, o, body)
}

// read reads the answer to its end and compares it with the one that belongs to the operation.
func read(resp *http.Response, o Operation, body []byte) (Outcome, string) {
	if text := resp.Header.Get(verdict.Header); text != "" {
		detail, _ := io.ReadAll(resp.Body)
		return Outcome(text), resp.Header.Get(verdict.ReasonHeader) + ": " + string(detail)
	}
	if resp.StatusCode != http.StatusOK {
		detail, err := io.ReadAll(resp.Body)
		if err != nil {
			return CutOff, err.Error()
		}
		return Failed, fmt.Sprint(resp.StatusCode, " ", string(detail))
	}
	err := backendtest.Verify(resp.Body, o.ID, int64(o.ReplyBytes))
	switch {
	case errors.Is(err, backendtest.ErrWrongBody):
		return WrongBody, err.Error()
	case err != nil:
		return CutOff, err.Error()
	}
	want := backendtest.FormatDigest(backendtest.DigestOf(body))
	if got := resp.Header.Get(backendtest.RequestDigestHeader); got != want {
		return WrongBody, "the backend server read another request body"
	}
	return Answered, ""
}

// Results returns all results so far.
func (c *Callers) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results)
}

// Tally counts the results by outcome.
func Tally(results []Result) map[Outcome]int {
	tally := map[Outcome]int{}
	for _, r := range results {
		tally[r.Outcome]++
	}
	return tally
}

// Violations compares what callers were told with what ran. It is called when nothing can run any more.
func Violations(results []Result, runs *backendtest.RunLog) []string {
	var found []string
	for _, id := range runs.Duplicates() {
		found = append(found, fmt.Sprintf("%s ran %d times", id, runs.Get(id).Started))
	}
	byID := map[string][]Result{}
	for _, r := range results {
		byID[r.Operation.ID] = append(byID[r.Operation.ID], r)
	}
	for id, sent := range byID {
		found = append(found, contradictions(sent, runs.Get(id).Started)...)
	}
	return found
}

// contradictions checks the results of all requests with one ID, which are repeats of each other.
func contradictions(sent []Result, runs int) []string {
	var found []string
	notRun := 0
	for _, r := range sent {
		switch r.Outcome {
		case WrongBody:
			found = append(found, "wrong body: "+r.String())
		case NotRun:
			notRun++
		case Answered, Ran, Failed:
			if runs == 0 {
				found = append(found, "told to have run, did not: "+r.String())
			}
		}
	}
	if notRun == len(sent) && runs > 0 {
		found = append(found, fmt.Sprintf("told not-run, ran %d times: %s", runs, sent[0]))
	}
	return found
}
