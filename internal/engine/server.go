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
	// readBufferBytes is larger than wire.MaxDatagramBytes, so that an oversized datagram is not truncated to a
	// valid size.
	readBufferBytes = 2048
	// socketBufferBytes holds about 100 datagrams; a node receives a few tens per second.
	socketBufferBytes = 256 << 10
)

// server is the UDP server of an engine: one socket that one gnet event loop reads.
type server struct {
	gnet.BuiltinEventEngine
	engine     *Engine
	gnetEngine gnet.Engine
	sendFD     int // duplicate of the socket's descriptor, for sending; 0 before start and after stop
	ipv6       bool
	ready      chan error
	done       chan struct{}
	readyOnce  sync.Once
}

// resolveListenAddr checks that the address is free and selects a port if the port is 0. gnet always sets
// SO_REUSEPORT on UDP sockets, which lets a second process share the address without an error. The check
// therefore opens the address without that option. It doesn't detect two processes that start at the same
// moment.
func (s *server) resolveListenAddr(listen string) (netip.AddrPort, error) {
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

// advertisedAddr returns the address to announce to other nodes.
func advertisedAddr(configured string, bound netip.AddrPort) (string, error) {
	if configured == "" {
		if bound.Addr().IsUnspecified() {
			return "", errors.Wrapf(ErrBadAddress, "%s needs an address to advertise", bound)
		}
		return bound.String(), nil
	}
	addr, err := netip.ParseAddrPort(configured)
	if err != nil {
		return "", errors.Mark(errors.Wrapf(err, "engine: address to advertise %q", configured), ErrBadAddress)
	}
	if addr.Port() == 0 {
		addr = netip.AddrPortFrom(addr.Addr(), bound.Port())
	}
	return addr.String(), nil
}

// run starts the event loop and returns when it is ready or has failed.
func (s *server) run(engine *Engine, bound netip.AddrPort, log *slog.Logger) error {
	s.engine = engine
	s.ipv6 = bound.Addr().Is6()
	s.ready = make(chan error, 1)
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		err := gnet.Run(s, "udp://"+bound.String(),
			gnet.WithNumEventLoop(1),
			gnet.WithTicker(true),
			gnet.WithReadBufferCap(readBufferBytes),
			gnet.WithSocketRecvBuffer(socketBufferBytes),
			gnet.WithLogger(gnetLogger{log}),
		)
		if err == nil {
			err = errServerExited
		}
		s.signalReady(err)
	}()
	return <-s.ready
}

func (s *server) signalReady(err error) { s.readyOnce.Do(func() { s.ready <- err }) }

// stop stops the event loop, waits for it to exit and closes the sending descriptor.
func (s *server) stop() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.gnetEngine.Stop(canceled) // a canceled context makes Stop return after the signal; s.done reports the exit
	<-s.done
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	_ = syscall.Close(s.sendFD)
	s.sendFD = 0
}

// OnBoot implements gnet.EventHandler.
func (s *server) OnBoot(handle gnet.Engine) gnet.Action {
	fd, err := handle.Dup()
	if err != nil {
		s.signalReady(errors.Wrap(err, "engine: duplicate UDP socket"))
		return gnet.Shutdown
	}
	s.engine.mu.Lock()
	s.gnetEngine, s.sendFD = handle, fd
	s.engine.mu.Unlock()
	s.signalReady(nil)
	return gnet.None
}

// OnTick implements gnet.EventHandler.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	s.engine.tick()
	return s.engine.cfg.TickInterval, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err == nil {
		s.engine.receive(data)
	}
	return gnet.None
}

// send sends one datagram without blocking.
func (s *server) send(udpAddr string, data []byte) error {
	if s.sendFD == 0 {
		return errNotReady
	}
	addr, err := netip.ParseAddrPort(udpAddr)
	if err != nil {
		return err
	}
	return syscall.Sendto(s.sendFD, data, syscall.MSG_DONTWAIT, s.sockaddr(addr))
}

var errNotReady = errors.New("engine: socket is not ready")

func (s *server) sockaddr(addr netip.AddrPort) syscall.Sockaddr {
	if s.ipv6 || !addr.Addr().Unmap().Is4() {
		return &syscall.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
	}
	return &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().Unmap().As4()}
}

// gnetLogger forwards warnings and errors of gnet to slog and discards the rest.
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
