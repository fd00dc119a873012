package httpconn

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Guards against connections that are reset without an answer because they are in the kernel's accept queue at the moment
// in which the listener closes. A caller whose connect fails, also late, knows that nothing of its request was read.
func TestCloseResetsNoConnection(t *testing.T) {
	const (
		closes  = 5
		callers = 8
		runTime = 20 * time.Millisecond
	)
	var answered, reset atomic.Int64
	for range closes {
		tcp, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := NewListener(tcp.(*net.TCPListener), slog.New(slog.DiscardHandler))
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: l.TrackState, ConnContext: Context}
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve(l) })
		for range callers {
			running.Go(func() {
				for {
					conn, err := net.DialTimeout("tcp", l.Addr().String(), 500*time.Millisecond)
					if err != nil {
						return
					}
					fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
					response, err := io.ReadAll(conn)
					conn.Close()
					if err != nil || len(response) == 0 {
						reset.Add(1)
						return
					}
					answered.Add(1)
				}
			})
		}
		time.Sleep(runTime)
		l.Close()
		running.Wait()
		server.Close()
	}
	if reset.Load() > 0 || answered.Load() == 0 {
		t.Errorf("%d connections were reset, %d requests answered", reset.Load(), answered.Load())
	}
}

// Guards against a stop that is delayed, without a limit while callers keep connecting, where the kernel refuses the socket
// filter or does not state whether connections are queued.
func TestCloseWithoutSocketFilter(t *testing.T) {
	// The kernel refuses filters on a socket whose filter is locked, with the same error as under a seccomp policy.
	refused := func(l *net.TCPListener) error {
		lock := func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_LOCK_FILTER, 1) }
		if err := control(l, lock); err != nil {
			t.Error(err)
		}
		err := dropConnectionRequests(l)
		if !errors.Is(err, unix.EPERM) {
			t.Errorf("error %v, want EPERM", err)
		}
		return err
	}
	const margin = 150 * time.Millisecond
	for name, queue := range map[string]acceptQueue{
		"filter refused":                    {refused, hasQueuedConnections},
		"filter refused, always queued":     {refused, func(*net.TCPListener) (bool, error) { return true, nil }},
		"filter refused, queue not stated":  {refused, func(*net.TCPListener) (bool, error) { return false, unix.ENOSYS }},
		"filter attached, queue not stated": {dropConnectionRequests, func(*net.TCPListener) (bool, error) { return false, unix.ENOSYS }},
	} {
		t.Run(name, func(t *testing.T) {
			tcp, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := newListener(tcp.(*net.TCPListener), slog.New(slog.DiscardHandler), queue)
			started := time.Now()
			l.Close()
			select {
			case <-l.acceptDone:
				t.Logf("closed after %v", time.Since(started))
			case <-time.After(acceptGracePeriod + maxSettlePeriod + margin):
				t.Fatalf("not closed after %v", time.Since(started))
			}
		})
	}
}
