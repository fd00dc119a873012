package backendtest

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/sleep"
)

// Server is a stand-in backend server. Its methods are safe for concurrent use.
type Server struct {
	opts   Options
	client *http.Client
	faults faults
	load   loadHistory

	connections gauge
	running     gauge
	waiting     atomic.Int64

	rngMu sync.Mutex
	rng   *rand.Rand

	// announceMu orders announcements and their end.
	announceMu sync.Mutex

	mu   sync.Mutex
	life *life // nil while the server is down
	addr string
}

// life is the time from a start to a crash or close.
type life struct {
	http    *http.Server
	slots   chan struct{}
	started time.Time
	// leaving ends the announcements; draining refuses new work.
	leaving  atomic.Bool
	draining atomic.Bool
	// dead is closed when the server crashes or closes.
	dead     chan struct{}
	stop     context.CancelFunc
	finished sync.WaitGroup
}

// Start returns a server that listens and, when Options.Announce is set, announces itself.
func Start(o Options) (*Server, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	s := &Server{
		opts:   o,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots}},
		rng:    newRand(o.Seed, o.ID),
		addr:   o.Listen,
	}
	if s.addr == "" {
		s.addr = "127.0.0.1:0"
	}
	s.faults.init()
	return s, s.Restart()
}

// Addr returns the ip:port of the server. It stays the same over restarts.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// ID returns the endpoint ID.
func (s *Server) ID() string { return s.opts.ID }

// Service returns the name of the server's service.
func (s *Server) Service() string { return s.opts.Service }

// Log returns the run log.
func (s *Server) Log() *RunLog { return s.opts.Log }

// PeakConnections returns the largest number of connections that were open at once.
func (s *Server) PeakConnections() int { return int(s.connections.peak.Load()) }

// PeakRunning returns the largest number of requests that ran at once.
func (s *Server) PeakRunning() int { return int(s.running.peak.Load()) }

// Restart starts a server that is down, on the same address. It does nothing on a running one.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{slots: make(chan struct{}, s.opts.Slots), started: time.Now(), dead: make(chan struct{}), stop: cancel}
	l.http = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(l, w, r) }),
		ReadHeaderTimeout: headerTimeout,
	}
	s.life = l
	wrapped := &listener{Listener: ln, limit: s.opts.Connections, delay: s.opts.ConnectDelay, open: &s.connections}
	l.finished.Go(func() { _ = l.http.Serve(wrapped) })
	if s.opts.Announce != "" {
		l.finished.Go(func() { s.announce(ctx, l) })
	}
	return nil
}

// headerTimeout bounds the time in which a request header arrives.
const headerTimeout = 10 * time.Second

// takeLife marks the server as down and returns the life that ended, or nil.
func (s *Server) takeLife() *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.life
	s.life = nil
	return l
}

func (l *life) end() {
	close(l.dead)
	l.stop()
	_ = l.http.Close()
}

// Crash drops all connections at once, as the death of the process does. The server neither finishes requests nor
// takes back its announcement.
func (s *Server) Crash() {
	l := s.takeLife()
	if l == nil {
		return
	}
	l.end()
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
}

// Close stops the server at once and takes back its announcement.
func (s *Server) Close() {
	l := s.takeLife()
	if l == nil {
		return
	}
	l.end()
	l.finished.Wait()
	s.withdraw()
	s.client.CloseIdleConnections()
}

// Drain tells the node that the server is leaving, refuses new work, finishes the work in flight and closes. It
// returns an error when ctx ends first; the server is closed in that case too.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	l := s.life
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	l.leaving.Store(true)
	s.announceDrain(ctx)
	sleep.For(ctx, drainGrace)
	return s.finish(ctx, l)
}

// drainGrace is the time between the announcement of a drain and the refusal of new work, for requests that the node
// has already admitted.
const drainGrace = 300 * time.Millisecond

// DrainWithoutNotice is Drain without telling the node.
func (s *Server) DrainWithoutNotice(ctx context.Context) error {
	s.mu.Lock()
	l := s.life
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	return s.finish(ctx, l)
}

func (s *Server) finish(ctx context.Context, l *life) error {
	l.leaving.Store(true)
	l.draining.Store(true)
	s.faults.healthChanged.Store(time.Now().UnixNano())
	err := l.http.Shutdown(ctx)
	s.Close()
	return errors.Wrap(err, "drain")
}
