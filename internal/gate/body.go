package gate

import (
	"io"
	"sync"

	"dandelionspoke/internal/wire"
)

// maxBodyAhead bounds the part of a request body that is held before the backend server reads it. It holds the whole
// body of a request that is not streamed, so that the reader of the stream stays free to notice a caller that leaves
// while the request waits for a slot.
const maxBodyAhead = 64<<10 + wire.MaxChunkBytes

// requestBody passes a request body from the reader of the stream to the backend server. Write and CloseWithError
// are called by one goroutine, Read and Close by another.
type requestBody struct {
	mu      sync.Mutex
	changed *sync.Cond
	held    []byte
	end     error // set once no more bytes follow; io.EOF at the regular end
	closed  bool  // the backend server wants no more
}

func newRequestBody() *requestBody {
	b := &requestBody{}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Write holds data, and waits while more than maxBodyAhead bytes are held. It returns io.ErrClosedPipe after Close.
func (b *requestBody) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.held) >= maxBodyAhead && !b.closed {
		b.changed.Wait()
	}
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	b.held = append(b.held, data...)
	b.changed.Broadcast()
	return len(data), nil
}

// CloseWithError ends the body; Read returns err after the bytes held. A nil err is the regular end.
func (b *requestBody) CloseWithError(err error) {
	if err == nil {
		err = io.EOF
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		b.end = err
	}
	b.changed.Broadcast()
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.held) == 0 && b.end == nil && !b.closed {
		b.changed.Wait()
	}
	switch {
	case b.closed:
		return 0, io.ErrClosedPipe
	case len(b.held) > 0:
		n := copy(p, b.held)
		b.held = b.held[n:]
		b.changed.Broadcast()
		return n, nil
	}
	return 0, b.end
}

// Close implements io.Closer. It frees a writer that waits.
func (b *requestBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.held = nil
	b.changed.Broadcast()
	return nil
}
