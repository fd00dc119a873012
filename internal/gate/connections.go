package gate

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"dandelionspoke/internal/netopt"
	"dandelionspoke/internal/verdict"
)

// connectionPool keeps connections to the backend server. Each connection has a transport of its own, so that it carries
// one request at a time and the gate decides whether it is used again: http.Transport makes a connection available to
// other requests before it returns a response without a body. It is safe for concurrent use.
type connectionPool struct {
	maxConnections int // 0 means no limit
	maxHeaderBytes int64
	inUse          chan struct{} // holds an element for each connection in use; nil without a limit

	mu     sync.Mutex
	idle   []*backendConnection // the last one was used last
	closed bool
}

// backendConnection is at most one connection to the backend server, which is opened when needed.
type backendConnection struct {
	pool      *connectionPool
	transport *http.Transport
	// refused holds the identifiers of the requests that have been refused on the connection.
	refused []string
}

// maxRefusedPerConnection is the number of refusals after which a connection is not used again.
const maxRefusedPerConnection = 64

// newConnectionPool returns a pool of at most maxConnections connections; 0 means no limit.
func newConnectionPool(maxConnections int, maxHeaderBytes int64) *connectionPool {
	p := &connectionPool{maxConnections: maxConnections, maxHeaderBytes: maxHeaderBytes}
	if maxConnections > 0 {
		p.inUse = make(chan struct{}, maxConnections)
	}
	return p
}

// acquire returns a connection for one request, on which a request with the same identifier has not been refused: a faulty
// backend server may send a second copy of the refusal, which can't be told from the answer. While all connections are in use
// it waits until ctx ends; the error then has the verdict NotRun.
func (p *connectionPool) acquire(ctx context.Context, requestID string) (*backendConnection, error) {
	if p.inUse != nil {
		select {
		case p.inUse <- struct{}{}:
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "ended before a connection to the backend server was ready")
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !slices.Contains(c.refused, requestID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil
		}
	}
	return &backendConnection{pool: p, transport: newTransport(p.maxHeaderBytes)}, nil
}

// recordRefusal records that a request has been refused on the connection, and reports whether the connection may be used
// again. Without an identifier, nothing tells a second copy of the refusal from the answer to any later request.
func (c *backendConnection) recordRefusal(requestID string) (reusable bool) {
	if requestID == "" || len(c.refused) >= maxRefusedPerConnection {
		return false
	}
	c.refused = append(c.refused, requestID)
	return true
}

// release ends the use of a connection. It is kept only if reusable is set, which requires that the response belonged to
// the request and has been read completely.
func (c *backendConnection) release(reusable bool) {
	p := c.pool
	p.mu.Lock()
	keep := reusable && !p.closed && len(p.idle) < maxIdleBackendConns
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.transport.CloseIdleConnections()
	}
	if p.inUse != nil {
		<-p.inUse
	}
}

// close closes the idle connections, and those in use when they are released.
func (p *connectionPool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.transport.CloseIdleConnections()
	}
}

// newTransport returns a transport for one connection.
func newTransport(maxHeaderBytes int64) *http.Transport {
	return &http.Transport{
		DialContext:        dialBackendConn(netopt.DialServer(backendDialTimeout)),
		DisableCompression: true,
		IdleConnTimeout:    backendIdleTimeout,

		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
