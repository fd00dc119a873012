package gate

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// Guards against a small body that blocks the goroutine that reads the stream while the request waits for a slot. That
// goroutine would then not detect that the caller has disconnected.
func TestSmallBodyDoesNotBlockTheReader(t *testing.T) {
	b := newRequestBody()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 {
			if _, err := b.Write(make([]byte, 32<<10)); err != nil {
				t.Error(err)
			}
		}
		b.CloseWithError(nil)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing a body of 64 KiB blocks until it is read")
	}
	got, err := io.ReadAll(b)
	if err != nil || len(got) != 64<<10 {
		t.Fatalf("read %d bytes, error %v", len(got), err)
	}
}

// Guards against a large body that is buffered whole or loses bytes, and against a Write that blocks forever.
func TestLargeBodyIsBounded(t *testing.T) {
	b := newRequestBody()
	want := bytes.Repeat([]byte("0123456789"), 100_000)
	go func() {
		for rest := want; len(rest) > 0; {
			n := min(len(rest), 32<<10)
			if _, err := b.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
		b.CloseWithError(nil)
	}()
	time.Sleep(50 * time.Millisecond)
	b.mu.Lock()
	buffered := len(b.buffered)
	b.mu.Unlock()
	if buffered > maxBufferedBody+32<<10 {
		t.Errorf("%d bytes buffered", buffered)
	}
	if got, err := io.ReadAll(b); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("read %d bytes of %d, error %v", len(got), len(want), err)
	}
	closed := newRequestBody()
	_ = closed.Close()
	if _, err := closed.Write(want); err == nil {
		t.Error("Write to a closed body succeeded")
	}
}
