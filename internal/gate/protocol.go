package gate

import (
	"net/http"
	"strconv"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Protocol defines the headers that a gate and its backend server exchange on top of plain HTTP. Implementations must
// be safe for concurrent use.
type Protocol interface {
	// RequestID returns the identifier of a request for logs, or an empty string if it has none.
	RequestID(headers []*wire.Header) string
	// Prepare adds the headers that tell the backend server the context of a request.
	Prepare(h http.Header, r RequestContext)
	// Read interprets the head of the response to a request; sent holds the headers of that request.
	Read(sent http.Header, resp *http.Response) ResponseInfo
}

// RequestContext is what the gate tells the backend server about a request.
type RequestContext struct {
	// Endpoint is the ID of the backend server that the request is addressed to.
	Endpoint string
	// Remaining is the time until the caller's deadline; 0 if there is none.
	Remaining time.Duration
	// Depth is the call depth of the requests that the backend server makes on behalf of this one.
	Depth    int
	Priority int
	// Account is the name of the client account; empty for a request without one.
	Account string
	// AttemptID identifies the attempt; no other attempt has the same.
	AttemptID string
}

// ResponseInfo is the information that the gate takes from the head of a response.
type ResponseInfo struct {
	// Identified means that the response names the request.
	Identified bool
	// NotRun means that the backend server states that it has not run the request.
	NotRun bool
	// OtherInstance means that another backend server now has the address. The request has not run.
	OtherInstance bool
	// MismatchReason says why the response does not belong to the request; it is empty if it does. The gate closes the
	// connection of a response that does not.
	MismatchReason string
	// Slowness is the ratio of the backend server's current service time to its normal one; 0 if it reports none.
	Slowness float64
	// SlowStart is the remaining slow start that a response of the health path states; 0 means that the backend server is
	// warm, nil that the response does not state it.
	SlowStart *time.Duration
}

// AccountHeader is the header in which the built-in protocol tells the backend server the name of the client account.
const AccountHeader = "Dandelionspoke-Account"

// nativeProtocol is the built-in protocol.
type nativeProtocol struct{}

// RequestID implements Protocol.
func (nativeProtocol) RequestID([]*wire.Header) string { return "" }

// Prepare implements Protocol.
func (nativeProtocol) Prepare(h http.Header, r RequestContext) {
	if r.Remaining > 0 {
		h.Set("Dandelionspoke-Deadline-Ms", strconv.FormatInt(r.Remaining.Milliseconds(), 10))
	}
	h.Set("Dandelionspoke-Depth", strconv.Itoa(r.Depth))
	h.Set("Dandelionspoke-Priority", strconv.Itoa(r.Priority))
	if r.Account != "" {
		h.Set(AccountHeader, r.Account)
	}
	h.Set(attemptIDHeader, r.AttemptID)
}

// attemptIDHeader identifies an attempt. A backend server may repeat it in its response. A second copy of a response, sent on
// a connection that is in use again, can be told from the response to the next request only by it.
const attemptIDHeader = "Dandelionspoke-Attempt-Id"

// backendRefusalHeader marks a 503 response in which the backend server itself states that it has not run the request.
const backendRefusalHeader = "Dandelionspoke-Backend-Refused"

// slowStartHeader holds the remaining slow start of the backend server in milliseconds, in responses of the load path.
const slowStartHeader = "Dandelionspoke-Slow-Start-Ms"

// maxSlowStart limits the slow start that a backend server may state.
const maxSlowStart = 10 * time.Minute

// ParseSlowStart returns the remaining slow start that a header states in milliseconds, at most maxSlowStart, or nil if the
// header is missing or malformed.
func ParseSlowStart(text string) *time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return nil
	}
	remaining := time.Duration(min(ms, maxSlowStart.Milliseconds())) * time.Millisecond
	return &remaining
}

// Read implements Protocol. It removes the identifier of the attempt from the response: a caller that is itself a backend
// server might pass it on in its own response, in which it would be that of another attempt.
func (nativeProtocol) Read(sent http.Header, resp *http.Response) ResponseInfo {
	ids := resp.Header.Values(attemptIDHeader)
	resp.Header.Del(attemptIDHeader)
	for _, id := range ids {
		if id != sent.Get(attemptIDHeader) {
			return ResponseInfo{MismatchReason: "it names another attempt"}
		}
	}
	return ResponseInfo{
		SlowStart: ParseSlowStart(resp.Header.Get(slowStartHeader)),
		NotRun: resp.StatusCode == http.StatusServiceUnavailable &&
			verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun && resp.Header.Get(backendRefusalHeader) != "",
	}
}
