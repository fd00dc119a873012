package httpconn

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Offset of the flags in a TCP header, and the flag of a connection request.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
)

// dropConnectionRequests makes the kernel drop new connection requests to the listener, while handshakes in progress still
// end in its accept queue. A caller whose request is dropped repeats it after about a second.
func dropConnectionRequests(l *net.TCPListener) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},          // drop
		{Code: unix.BPF_RET | unix.BPF_K, K: ^uint32(0)}, // keep all bytes
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// hasQueuedConnections reports whether the accept queue of the listener holds connections.
func hasQueuedConnections(l *net.TCPListener) (queued bool, err error) {
	err = control(l, func(fd int) error {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		queued = n > 0
		return err
	})
	return queued, err
}

func control(l *net.TCPListener, call func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = call(int(fd)) })
	return errors.CombineErrors(err, callErr)
}
