package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against callers that go on sending and so hold a drain up to its end, where their newest requests are cut off.
func TestQuietWaitEndsBesideBusyCallers(t *testing.T) {
	l := &gracefulListener{busy: map[net.Conn]struct{}{}}
	caller, accepted := net.Pipe()
	defer caller.Close()
	defer accepted.Close()
	l.track(accepted, http.StateActive)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	started := time.Now()
	l.waitQuiet(ctx, quietLimit(ctx))
	if took := time.Since(started); took > time.Second {
		t.Errorf("waited %s of a drain of 2 s", took)
	}
}
