package gate

import (
	"net/http"
	"strconv"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// Protocol is how a gate speaks to its backend server beyond plain HTTP. Implementations are safe for
// concurrent use.
type Protocol interface {
	// RequestID returns the identifier of a request for logs; empty when it has none.
	RequestID(headers []*wire.Header) string
	// Prepare adds the headers that state the context of a request.
	Prepare(h http.Header, r RequestContext)
	// Read interprets the head of the answer to a request with the headers sent.
	Read(sent http.Header, resp *http.Response) ResponseInfo
}

// RequestContext is what a backend server is told about a request.
type RequestContext struct {
	// Endpoint is the ID of the backend server that the request is meant for.
	Endpoint string
	// Remaining is the time until the caller gives up; 0 when it states none.
	Remaining time.Duration
	// Depth is that of the calls which the backend server makes for the request.
	Depth    int
	Priority int
}

// Answer is what the head of an answer says about the request.
type ResponseInfo struct {
	// NotRun means that the backend server states that it did no work.
	NotRun bool
	// OtherInstance means that another backend server has the address. The request has not run.
	OtherInstance bool
	// Foreign says why the answer is not the answer to the request; empty when it is. Its connection is not
	// used again.
	MismatchReason string
	// Slowness is the time that work takes at the backend server at this moment, in multiples of the usual
	// time; 0 when it states none.
	Slowness float64
}

// nativeProtocol is the product's own interface to backend servers.
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
}

// backendRefusalHeader marks a 503 by which the backend server itself states that it did no work.
const backendRefusalHeader = "Dandelionspoke-Backend-Refused"

// Read implements Protocol.
func (nativeProtocol) Read(_ http.Header, resp *http.Response) ResponseInfo {
	return ResponseInfo{
		NotRun: resp.StatusCode == http.StatusServiceUnavailable &&
			verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun && resp.Header.Get(backendRefusalHeader) != "",
	}
}
