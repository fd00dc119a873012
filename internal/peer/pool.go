package peer

import (
	"context"
	"sync"
	"time"

	"dandelionspoke/internal/netopt"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

const (
	dialTimeout = time.Second
	// idleSessionTimeout limits the sessions that a node keeps open to peers that it no longer uses.
	idleSessionTimeout = 2 * time.Minute
)

// Pool dials other nodes and reuses the sessions. It is safe for concurrent use.
type Pool struct {
	nodeID   string
	instance uint64

	mu       sync.Mutex
	closed   bool
	sessions map[sessionKey]*clientSession
}

type sessionKey struct {
	addr  string
	class SessionClass
}

type clientSession struct {
	ready    chan struct{} // closed once session, remote and err are set
	session  *yamux.Session
	remote   *Remote
	err      error
	lastUsed time.Time
}

// NewPool returns a pool that identifies this node by nodeID and its process by instance.
func NewPool(nodeID string, instance uint64) *Pool {
	return &Pool{nodeID: nodeID, instance: instance, sessions: make(map[sessionKey]*clientSession)}
}

// Open returns a new stream to the node at addr and dials if there is no session. Open sends no request data, so
// an error means that the request was not sent.
func (p *Pool) Open(ctx context.Context, addr string, class SessionClass) (*Conn, error) {
	s, err := p.getSession(ctx, sessionKey{addr, class})
	if err != nil {
		return nil, err
	}
	stream, err := s.session.OpenStream()
	if err != nil {
		p.removeSession(sessionKey{addr, class}, s)
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	conn := newConn(stream, s.session, wire.MaxFrameBytes)
	conn.remote = s.remote
	return conn, nil
}

func (p *Pool) getSession(ctx context.Context, key sessionKey) (*clientSession, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("peer pool is closed")
	}
	s := p.sessions[key]
	if s == nil || s.unusable() {
		s = &clientSession{ready: make(chan struct{})}
		p.sessions[key] = s
		go p.connect(key, s)
	}
	s.lastUsed = time.Now()
	p.mu.Unlock()

	select {
	case <-s.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.err != nil {
		return nil, s.err
	}
	return s, nil
}

func (s *clientSession) unusable() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.session.IsClosed()
	default:
		return false
	}
}

func (p *Pool) connect(key sessionKey, s *clientSession) {
	s.session, s.remote, s.err = p.dial(key.addr)
	close(s.ready)
	if s.err != nil {
		p.removeSession(key, s)
		return
	}
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		_ = s.session.Close()
	}
}

func (p *Pool) dial(addr string) (*yamux.Session, *Remote, error) {
	tcpConn, err := netopt.Dialer(dialTimeout).Dial("tcp", addr)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial peer %s", addr)
	}
	session, err := yamux.Client(tcpConn, sessionConfig())
	if err != nil {
		_ = tcpConn.Close()
		return nil, nil, errors.Wrapf(err, "session to peer %s", addr)
	}
	remote, err := p.exchangeHello(session)
	if err != nil {
		_ = session.Close()
		return nil, nil, errors.Wrapf(err, "hello to peer %s", addr)
	}
	return session, remote, nil
}

func (p *Pool) exchangeHello(session *yamux.Session) (*Remote, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	conn := newConn(stream, session, wire.MaxFrameBytes)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	hello := &wire.Hello{NodeId: p.nodeID, Instance: p.instance}
	reply, err := conn.Exchange(ctx, &wire.Frame{Kind: &wire.Frame_Hello{Hello: hello}})
	if err != nil {
		return nil, err
	}
	if reply.GetHello() == nil {
		return nil, errors.New("peer did not answer with a hello")
	}
	remote := &Remote{Instance: reply.GetHello().Instance}
	remote.RecordGeneration(reply.GetHello().Generation)
	return remote, nil
}

func (p *Pool) removeSession(key sessionKey, s *clientSession) {
	p.mu.Lock()
	if p.sessions[key] == s {
		delete(p.sessions, key)
	}
	p.mu.Unlock()
	if s.session != nil {
		// Open streams keep the session until they finish; new streams use another session.
		if s.session.NumStreams() == 0 {
			_ = s.session.Close()
		}
	}
}

// CloseIdle closes the sessions that have no open stream and have opened none for idleSessionTimeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, s := range p.sessions {
		select {
		case <-s.ready:
		default:
			continue
		}
		if s.unusable() {
			delete(p.sessions, key)
			continue
		}
		if now.Sub(s.lastUsed) > idleSessionTimeout && s.session.NumStreams() == 0 {
			delete(p.sessions, key)
			_ = s.session.Close()
		}
	}
}

// Len returns the number of sessions, including those being dialed.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// Close closes all sessions, which breaks their open streams.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	sessions := p.sessions
	p.sessions = make(map[sessionKey]*clientSession)
	p.mu.Unlock()
	for _, s := range sessions {
		select {
		case <-s.ready:
			if s.session != nil {
				_ = s.session.Close()
			}
		default:
		}
	}
}
