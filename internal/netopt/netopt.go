// Package netopt sets the options of outgoing TCP connections that let a node notice peers which have gone silent.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout ends a connection whose data has not been acknowledged: a partition answers nothing, and the
	// system's default is a quarter of an hour. It leaves room for several retransmissions on a lossy link.
	userTimeout = 2 * time.Second
	// Keep-alive probes end a silent connection on which nothing is sent. One second is the least unit.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall does not name on all architectures
)

// Dialer returns a dialer with the given time limit for connecting. Its connections break within about three
// seconds after the other end has become unreachable or silent.
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
