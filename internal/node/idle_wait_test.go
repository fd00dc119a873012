package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"dandelionspoke/internal/httpconn"
)

// Guards against callers that keep sending and so delay a drain until its deadline, at which their newest requests are
// aborted.
func TestIdleWaitEndsWhileCallersAreActive(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := httpconn.NewListener(tcp.(*net.TCPListener), slog.New(slog.DiscardHandler))
	defer l.Close()
	caller, accepted := net.Pipe()
	defer caller.Close()
	defer accepted.Close()
	l.TrackState(accepted, http.StateActive)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	started := time.Now()
	l.WaitIdle(ctx, maxIdleWait(ctx))
	if took := time.Since(started); took > time.Second {
		t.Errorf("waited %s in a drain of 2 s", took)
	}
}
