package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// firstFrameTimeout limits the time between the opening of a stream and its first frame.
const firstFrameTimeout = 10 * time.Second

// Handler serves the streams that other nodes open. The server reads the first frame of a stream before it calls
// ServePeer and closes conn afterwards.
type Handler interface {
	ServePeer(ctx context.Context, conn *Conn, first *wire.Frame)
	// Generation returns the current generation of the gate's attempt history.
	Generation() uint64
}

// Server accepts sessions from other nodes.
type Server struct {
	nodeID   string
	instance uint64
	handler  Handler
	logger   *slog.Logger

	// Malformed counts streams dropped because their first frame was malformed or late.
	Malformed atomic.Int64

	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server that serves streams with handler once Serve is called.
func NewServer(nodeID string, instance uint64, handler Handler, logger *slog.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		nodeID: nodeID, instance: instance, handler: handler, logger: logger,
		ctx: ctx, cancel: cancel, sessions: make(map[*yamux.Session]struct{}),
	}
}

// Serve starts to accept sessions on listener in the background, until Close.
func (s *Server) Serve(listener net.Listener) {
	s.listener = listener
	s.wg.Add(1)
	go s.acceptSessions()
}

func (s *Server) acceptSessions() {
	defer s.wg.Done()
	for {
		tcpConn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(tcpConn, sessionConfig())
		if err != nil {
			_ = tcpConn.Close()
			continue
		}
		if !s.addSession(session) {
			_ = session.Close()
			return
		}
		s.wg.Add(1)
		go s.acceptStreams(session)
	}
}

func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) acceptStreams(session *yamux.Session) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
		_ = session.Close()
	}()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go s.serveStream(newConn(stream, session, wire.MaxFrameBytes))
	}
}

func (s *Server) serveStream(conn *Conn) {
	defer s.wg.Done()
	defer conn.Close()
	_ = conn.stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	first, err := conn.Read()
	if errors.Is(err, io.EOF) {
		return // canceled before its first frame
	}
	if err != nil {
		s.Malformed.Add(1)
		s.logger.Warn("peer stream dropped", "event", "peer_stream_malformed", "remote", conn.stream.RemoteAddr(), "error", err)
		return
	}
	_ = conn.stream.SetReadDeadline(time.Time{})
	if first.GetHello() != nil {
		hello := &wire.Hello{NodeId: s.nodeID, Instance: s.instance, Generation: s.handler.Generation()}
		_ = conn.Write(&wire.Frame{Kind: &wire.Frame_Hello{Hello: hello}})
		return
	}
	s.handler.ServePeer(s.ctx, conn, first)
}

// Close stops accepting sessions, closes all open ones and waits for the handlers to return.
func (s *Server) Close() {
	s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
