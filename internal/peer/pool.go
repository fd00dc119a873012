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
	// idleSessionTimeout bounds the sessions that a node keeps to peers it no longer uses.
	idleSessionTimeout = 2 * time.Minute
)

// Pool dials and reuses sessions to other nodes. It is safe for concurrent use.
type Pool struct {
	nodeID   string
	instance uint64

	mu       sync.Mutex
	closed   bool
	sessions map[sessionKey]*clientSession
}

type sessionKey struct {
	addr string
	lane SessionClass
}

type clientSession struct {
	ready   chan struct{} // closed once session, remote and err are set
	session *yamux.Session
	remote  *Remote
	err     error
	lastUse time.Time
}

// NewPool returns a pool that introduces itself with nodeID and instance.
func NewPool(nodeID string, instance uint64) *Pool {
	return &Pool{nodeID: nodeID, instance: instance, sessions: make(map[sessionKey]*clientSession)}
}

// Open returns a new stream to the node at addr. Nothing has been sent on it yet, so an error
// means that the request has not left this node.
func (p *Pool) Open(ctx context.Context, addr string, lane SessionClass) (*Conn, error) {
	s, err := p.session(ctx, sessionKey{addr, lane})
	if err != nil {
		return nil, err
	}
	stream, err := s.session.OpenStream()
	if err != nil {
		p.discard(sessionKey{addr, lane}, s)
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	conn := newConn(stream, s.session, wire.MaxFrameBytes)
	conn.remote = s.remote
	return conn, nil
}

func (p *Pool) session(ctx context.Context, key sessionKey) (*clientSession, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("peer pool is closed")
	}
	s := p.sessions[key]
	if s == nil || s.usedUp() {
		s = &clientSession{ready: make(chan struct{})}
		p.sessions[key] = s
		go p.connect(key, s)
	}
	s.lastUse = time.Now()
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

func (s *clientSession) usedUp() bool {
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
		p.discard(key, s)
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
	raw, err := netopt.Dialer(dialTimeout).Dial("tcp", addr)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial peer %s", addr)
	}
	session, err := yamux.Client(raw, sessionConfig())
	if err != nil {
		_ = raw.Close()
		return nil, nil, errors.Wrapf(err, "session to peer %s", addr)
	}
	remote, err := p.hello(session)
	if err != nil {
		_ = session.Close()
		return nil, nil, errors.Wrapf(err, "hello to peer %s", addr)
	}
	return session, remote, nil
}

func (p *Pool) hello(session *yamux.Session) (*Remote, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	conn := newConn(stream, session, wire.MaxFrameBytes)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	hello := &wire.Hello{NodeId: p.nodeID, Instance: p.instance}
	answer, err := conn.Exchange(ctx, &wire.Frame{Kind: &wire.Frame_Hello{Hello: hello}})
	if err != nil {
		return nil, err
	}
	if answer.GetHello() == nil {
		return nil, errors.New("peer did not answer with a hello")
	}
	remote := &Remote{Instance: answer.GetHello().Instance}
	remote.RecordGeneration(answer.GetHello().Generation)
	return remote, nil
}

func (p *Pool) discard(key sessionKey, s *clientSession) {
	p.mu.Lock()
	if p.sessions[key] == s {
		delete(p.sessions, key)
	}
	p.mu.Unlock()
	if s.session != nil {
		// Streams that are still open on the session finish first; new ones use another session.
		if s.session.NumStreams() == 0 {
			_ = s.session.Close()
		}
	}
}

// CloseIdle closes sessions without streams that have not been used for idleSessionTimeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, s := range p.sessions {
		select {
		case <-s.ready:
		default:
			continue
		}
		if s.usedUp() {
			delete(p.sessions, key)
			continue
		}
		if now.Sub(s.lastUse) > idleSessionTimeout && s.session.NumStreams() == 0 {
			delete(p.sessions, key)
			_ = s.session.Close()
		}
	}
}

// Len returns the number of sessions.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// Close closes all sessions; streams in use break.
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
