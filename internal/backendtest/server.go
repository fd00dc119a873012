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

// Server is a test backend server. Its methods are safe for concurrent use.
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

	// announceMu serializes announcements with the drain notice, so that no announcement follows the notice.
	announceMu sync.Mutex

	mu       sync.Mutex
	instance *instance // nil while the server is down
	addr     string
}

// instance is the state of one run of the server, from a start to the next crash or close.
type instance struct {
	http    *http.Server
	slots   chan struct{}
	started time.Time
	// announceStopped stops the announcements; draining makes the server refuse new work.
	announceStopped atomic.Bool
	draining        atomic.Bool
	// ended is closed when the server crashes or closes.
	ended          chan struct{}
	cancelAnnounce context.CancelFunc
	goroutines     sync.WaitGroup
}

// Start returns a server that is listening. It announces itself if Options.Announce is set.
func Start(o Options) (*Server, error) {
	if err := o.validate(); err != nil {
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

// Addr returns the ip:port of the server, which restarts do not change.
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

// PeakConnections returns the largest number of connections that were open at the same time.
func (s *Server) PeakConnections() int { return int(s.connections.peak.Load()) }

// PeakRunning returns the largest number of requests that ran at the same time.
func (s *Server) PeakRunning() int { return int(s.running.peak.Load()) }

// Restart starts a stopped server again on the same address. It does nothing if the server is running.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{
		slots:          make(chan struct{}, s.opts.Slots),
		started:        time.Now(),
		ended:          make(chan struct{}),
		cancelAnnounce: cancel,
	}
	inst.http = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(inst, w, r) }),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s.instance = inst
	wrapped := &listener{Listener: ln, limit: s.opts.Connections, delay: s.opts.ConnectDelay, open: &s.connections}
	inst.goroutines.Go(func() { _ = inst.http.Serve(wrapped) })
	if s.opts.Announce != "" {
		inst.goroutines.Go(func() { s.announce(ctx, inst) })
	}
	return nil
}

// readHeaderTimeout bounds the time to read a request header.
const readHeaderTimeout = 10 * time.Second

// takeInstance marks the server as down and returns its last instance, or nil if it was down already.
func (s *Server) takeInstance() *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	inst := s.instance
	s.instance = nil
	return inst
}

func (inst *instance) terminate() {
	close(inst.ended)
	inst.cancelAnnounce()
	_ = inst.http.Close()
}

// Crash closes all connections immediately, as a crash of the process does. The server neither finishes requests nor
// withdraws its announcement.
func (s *Server) Crash() {
	inst := s.takeInstance()
	if inst == nil {
		return
	}
	inst.terminate()
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
}

// Close stops the server immediately and withdraws its announcement.
func (s *Server) Close() {
	inst := s.takeInstance()
	if inst == nil {
		return
	}
	inst.terminate()
	inst.goroutines.Wait()
	s.withdraw()
	s.client.CloseIdleConnections()
}

// Drain notifies the node, refuses new work after drainGracePeriod, waits for the requests in flight and closes the
// server. It returns an error if ctx ends first; the server is closed in that case too.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	inst := s.instance
	s.mu.Unlock()
	if inst == nil {
		return nil
	}
	inst.announceStopped.Store(true)
	s.announceDrain(ctx)
	sleep.For(ctx, drainGracePeriod)
	return s.shutdown(ctx, inst)
}

// drainGracePeriod is the time between the drain notice and the refusal of new work, so that requests that the node has
// already admitted still run.
const drainGracePeriod = 300 * time.Millisecond

// DrainWithoutNotice is Drain without the notice to the node and without the grace period.
func (s *Server) DrainWithoutNotice(ctx context.Context) error {
	s.mu.Lock()
	inst := s.instance
	s.mu.Unlock()
	if inst == nil {
		return nil
	}
	return s.shutdown(ctx, inst)
}

func (s *Server) shutdown(ctx context.Context, inst *instance) error {
	inst.announceStopped.Store(true)
	inst.draining.Store(true)
	s.faults.healthChanged.Store(time.Now().UnixNano())
	err := inst.http.Shutdown(ctx)
	s.Close()
	return errors.Wrap(err, "drain")
}
