package netopt

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against connections to other hosts that do not notice a partition, and against a limit on the time for which a server on this
// host may leave data unread.
func TestUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	address := listener.Addr().String()
	check := func(name string, conn net.Conn, err error, want time.Duration) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var ms int
		var optionErr error
		err = raw.Control(func(fd uintptr) { ms, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) })
		if err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		if got := time.Duration(ms) * time.Millisecond; got != want {
			t.Errorf("%s: user timeout %v, want %v", name, got, want)
		}
	}
	conn, err := Dialer(time.Second).Dial("tcp", address)
	check("Dialer", conn, err, userTimeout)
	conn, err = DialServer(time.Second)(t.Context(), "tcp", address)
	check("DialServer on this host", conn, err, 0)
	conn, err = newDialer(time.Second).Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	check("DialServer on another host", conn, limitUnresponsiveTime(conn), userTimeout)
}

func TestIsSameHost(t *testing.T) {
	tests := []struct {
		local, remote string
		want          bool
	}{
		{"127.0.0.1", "127.4.5.6", true},
		{"10.1.0.8", "10.1.0.8", true},
		{"10.1.0.8", "10.1.0.9", false},
		{"::1", "::1", true},
	}
	for _, test := range tests {
		conn := addressedConn{local: net.ParseIP(test.local), remote: net.ParseIP(test.remote)}
		if got := isSameHost(conn); got != test.want {
			t.Errorf("%s to %s: same host %t", test.local, test.remote, got)
		}
	}
}

// addressedConn is a connection between two addresses.
type addressedConn struct {
	net.Conn
	local, remote net.IP
}

func (c addressedConn) LocalAddr() net.Addr  { return &net.TCPAddr{IP: c.local} }
func (c addressedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: c.remote} }
