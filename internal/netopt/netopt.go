// Package netopt sets options of outgoing TCP connections that detect unreachable or unresponsive peers.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// userTimeout is the time after which a connection with unacknowledged data is closed. During a network
	// partition no error is received, and the system default is about 15 minutes. The value allows for several
	// retransmissions on a lossy link.
	userTimeout = 2 * time.Second
	// Keep-alive probes close an idle connection whose peer no longer responds. Their idle time and
	// interval have the minimum value of one second.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall does not define on all architectures
)

// Dialer returns a dialer with the given connect timeout. Its connections are closed within about three seconds after
// the peer has become unreachable or unresponsive, and also if the peer reads nothing for userTimeout while data waits for it.
func Dialer(timeout time.Duration) *net.Dialer {
	dialer := newDialer(timeout)
	dialer.ControlContext = func(_ context.Context, _, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) }
	return dialer
}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
}

func setUserTimeout(raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, setErr)
}

// DialServer returns a function that connects to servers, which may leave data unread for as long as they like. The kernel counts
// the time in which the receive window is full as unresponsive, so that connections to the same host have no such limit:
// there, the kernel reports the end of the peer at once. Connections to other hosts are those of Dialer.
func DialServer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := newDialer(timeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || isSameHost(conn) {
			return conn, err
		}
		if err := limitUnresponsiveTime(conn); err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
		return conn, nil
	}
}

func limitUnresponsiveTime(conn net.Conn) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return errors.Newf("netopt: %T has no socket", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw)
}

// isSameHost reports whether both ends of a connection are on this host.
func isSameHost(conn net.Conn) bool {
	local, ok := conn.LocalAddr().(*net.TCPAddr)
	remote, remoteOK := conn.RemoteAddr().(*net.TCPAddr)
	return ok && remoteOK && (remote.IP.IsLoopback() || remote.IP.Equal(local.IP))
}
