package gate

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// Guards against a body that blocks the reader of the stream while its request waits for a slot: the reader would not
// notice that the caller has left.
func TestSmallBodyDoesNotWaitForTheBackend(t *testing.T) {
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
		t.Fatal("a body of 64 KiB waits to be read")
	}
	got, err := io.ReadAll(b)
	if err != nil || len(got) != 64<<10 {
		t.Fatalf("%d bytes, error %v", len(got), err)
	}
}

// Guards against a large body that is held whole, one that loses bytes, and a writer that waits for ever.
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
	held := len(b.held)
	b.mu.Unlock()
	if held > maxBodyAhead+32<<10 {
		t.Errorf("%d bytes held", held)
	}
	if got, err := io.ReadAll(b); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("%d bytes of %d, error %v", len(got), len(want), err)
	}
	closed := newRequestBody()
	_ = closed.Close()
	if _, err := closed.Write(want); err == nil {
		t.Error("a closed body takes bytes")
	}
}
