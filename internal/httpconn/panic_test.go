package httpconn

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
)

// panickingSocket panics when it is read.
type panickingSocket struct{ net.Conn }

func (panickingSocket) Read([]byte) (int, error) { panic("injected panic") }

// Guards against a panic in the goroutine that reads a connection, which would end the process or leave the HTTP server waiting.
func TestPanicWhileReadingClosesTheConnection(t *testing.T) {
	socket, caller := net.Pipe()
	defer caller.Close()
	c := newConn(panickingSocket{socket}, &Listener{logger: slog.New(slog.DiscardHandler)})
	if _, err := c.primary.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read by the server: %v", err)
	}
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read by the caller: %v", err)
	}
}
