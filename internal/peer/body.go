package peer

import (
	"io"

	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// ErrTruncated reports a body that ended before its End frame.
var ErrTruncated = errors.New("peer: the answer ended early")

// Body is a reader of a request or response body that is sent as Chunk frames. Read returns io.EOF only after the
// End frame.
type Body struct {
	conn   *Conn
	unread []byte
	end    *wire.End
	err    error
}

// NewBody returns a reader of the Chunk frames that follow on conn.
func NewBody(conn *Conn) *Body { return &Body{conn: conn} }

// Read implements io.Reader. If the stream ends without an End frame or another frame arrives, the error wraps
// ErrTruncated.
func (b *Body) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.readFrame()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *Body) readFrame() {
	f, err := b.conn.Read()
	if err != nil {
		b.err = errors.Mark(errors.Wrap(err, "read answer"), ErrTruncated)
		return
	}
	switch k := f.Kind.(type) {
	case *wire.Frame_Chunk:
		b.unread = k.Chunk.Data
	case *wire.Frame_End:
		b.end = k.End
		b.err = io.EOF
	default:
		b.err = errors.Mark(errors.Newf("unexpected frame %T in an answer", k), ErrTruncated)
	}
}

// End returns the End frame. It is nil until Read has reached the end of the body.
func (b *Body) End() *wire.End { return b.end }
