package gate

import (
	"io"
	"sync"

	"dandelionspoke/internal/wire"
)

// maxBufferedBody bounds the part of a request body that is buffered before the backend server reads it. The whole body
// of a request that is not streamed fits, so that the goroutine that reads the stream does not block and can detect a
// caller that disconnects while the request waits for a slot.
const maxBufferedBody = 64<<10 + wire.MaxChunkBytes

// requestBody is a buffered pipe that carries a request body from the stream of the ingress to the backend server.
// Write and CloseWithError are called by one goroutine, Read and Close by another.
type requestBody struct {
	mu       sync.Mutex
	changed  *sync.Cond
	buffered []byte
	endErr   error // set when no more bytes follow; io.EOF if the body is complete
	closed   bool  // the backend server reads no more
}

func newRequestBody() *requestBody {
	b := &requestBody{}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Write buffers data. It blocks while maxBufferedBody bytes or more are buffered, and returns io.ErrClosedPipe after
// Close.
func (b *requestBody) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.buffered) >= maxBufferedBody && !b.closed {
		b.changed.Wait()
	}
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	b.buffered = append(b.buffered, data...)
	b.changed.Broadcast()
	return len(data), nil
}

// CloseWithError ends the body. Read returns err after the buffered bytes, or io.EOF if err is nil.
func (b *requestBody) CloseWithError(err error) {
	if err == nil {
		err = io.EOF
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endErr == nil {
		b.endErr = err
	}
	b.changed.Broadcast()
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.buffered) == 0 && b.endErr == nil && !b.closed {
		b.changed.Wait()
	}
	switch {
	case b.closed:
		return 0, io.ErrClosedPipe
	case len(b.buffered) > 0:
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		b.changed.Broadcast()
		return n, nil
	}
	return 0, b.endErr
}

// Close implements io.Closer. It unblocks a waiting Write.
func (b *requestBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.buffered = nil
	b.changed.Broadcast()
	return nil
}
