package engine

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
)

const (
	// readBufferBytes holds the largest datagram and makes a larger one recognisable as oversized.
	readBufferBytes = 2048
	// socketBufferBytes holds about a hundred datagrams; a node gets a few tens in a second.
	socketBufferBytes = 256 << 10
)

// server is the UDP socket of an engine, read by one gnet event loop.
type server struct {
	gnet.BuiltinEventEngine
	owner  *Engine
	handle gnet.Engine
	fd     int // a duplicate of the socket, for sending
	v6     bool
	booted chan error
	ended  chan struct{}
	once   sync.Once
}

// bind checks that the address is free and resolves port 0. gnet always sets SO_REUSEPORT on UDP
// sockets, so that a second process would share the address unnoticed; the check opens the address
// without that option. Two processes that start within the same moment are not told apart.
func (s *server) bind(listen string) (netip.AddrPort, error) {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return netip.AddrPort{}, errors.Mark(errors.Wrapf(err, "engine: UDP address %q", listen), ErrBadAddress)
	}
	network := "udp"
	if host == "" {
		network = "udp4"
	}
	conn, err := net.ListenPacket(network, listen)
	if errors.Is(err, syscall.EADDRINUSE) {
		return netip.AddrPort{}, errors.Wrapf(ErrAddressInUse, "%s", listen)
	}
	if err != nil {
		return netip.AddrPort{}, errors.Mark(errors.Wrapf(err, "engine: UDP address %q", listen), ErrBadAddress)
	}
	bound := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	bound = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	return bound, conn.Close()
}

// advertise returns the address for other nodes.
func advertise(wanted string, bound netip.AddrPort) (string, error) {
	if wanted == "" {
		if bound.Addr().IsUnspecified() {
			return "", errors.Wrapf(ErrBadAddress, "%s needs an address to advertise", bound)
		}
		return bound.String(), nil
	}
	addr, err := netip.ParseAddrPort(wanted)
	if err != nil {
		return "", errors.Mark(errors.Wrapf(err, "engine: address to advertise %q", wanted), ErrBadAddress)
	}
	if addr.Port() == 0 {
		addr = netip.AddrPortFrom(addr.Addr(), bound.Port())
	}
	return addr.String(), nil
}

// run starts the event loop and returns when it is ready.
func (s *server) run(owner *Engine, bound netip.AddrPort, log *slog.Logger) error {
	s.owner = owner
	s.v6 = bound.Addr().Is6()
	s.booted = make(chan error, 1)
	s.ended = make(chan struct{})
	go func() {
		defer close(s.ended)
		err := gnet.Run(s, "udp://"+bound.String(),
			gnet.WithNumEventLoop(1),
			gnet.WithTicker(true),
			gnet.WithReadBufferCap(readBufferBytes),
			gnet.WithSocketRecvBuffer(socketBufferBytes),
			gnet.WithLogger(gnetLogger{log}),
		)
		if err == nil {
			err = errNoBoot
		}
		s.boot(err)
	}()
	return <-s.booted
}

func (s *server) boot(err error) { s.once.Do(func() { s.booted <- err }) }

// stop ends the event loop and waits for it.
func (s *server) stop() {
	done, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.handle.Stop(done) // a finished context: Stop signals and the wait is on ended
	<-s.ended
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	_ = syscall.Close(s.fd)
	s.fd = 0
}

// OnBoot implements gnet.EventHandler.
func (s *server) OnBoot(handle gnet.Engine) gnet.Action {
	fd, err := handle.Dup()
	if err != nil {
		s.boot(errors.Wrap(err, "engine: duplicate UDP socket"))
		return gnet.Shutdown
	}
	s.owner.mu.Lock()
	s.handle, s.fd = handle, fd
	s.owner.mu.Unlock()
	s.boot(nil)
	return gnet.None
}

// OnTick implements gnet.EventHandler.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	s.owner.tick()
	return s.owner.cfg.Tick, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err == nil {
		s.owner.receive(data)
	}
	return gnet.None
}

// send writes one datagram without waiting.
func (s *server) send(udpAddr string, data []byte) error {
	if s.fd == 0 {
		return errNotReady
	}
	addr, err := netip.ParseAddrPort(udpAddr)
	if err != nil {
		return err
	}
	return syscall.Sendto(s.fd, data, syscall.MSG_DONTWAIT, s.sockaddr(addr))
}

var errNotReady = errors.New("engine: socket is not ready")

func (s *server) sockaddr(addr netip.AddrPort) syscall.Sockaddr {
	if s.v6 || !addr.Addr().Unmap().Is4() {
		return &syscall.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
	}
	return &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().Unmap().As4()}
}

// gnetLogger passes warnings and errors of gnet on.
type gnetLogger struct{ log *slog.Logger }

func (l gnetLogger) Debugf(string, ...any) {}
func (l gnetLogger) Infof(string, ...any)  {}
func (l gnetLogger) Warnf(format string, args ...any) {
	l.log.Warn("gnet", "detail", fmt.Sprintf(format, args...))
}
func (l gnetLogger) Errorf(format string, args ...any) {
	l.log.Error("gnet", "detail", fmt.Sprintf(format, args...))
}
func (l gnetLogger) Fatalf(format string, args ...any) {
	l.log.Error("gnet", "detail", fmt.Sprintf(format, args...))
}
