// Package netopt sets options of outgoing TCP connections that detect unreachable or unresponsive peers.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"
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
// the peer has become unreachable or unresponsive.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
}
