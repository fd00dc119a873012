package peer

import (
	"io"

	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// ErrBroken reports an answer that ended before its End frame.
var ErrBroken = errors.New("peer: the answer ended early")

// Body reads the chunks of an answer or a request. Read returns io.EOF only after the End frame.
type Body struct {
	conn *Conn
	rest []byte
	end  *wire.End
	err  error
}

// NewBody returns a reader of the chunks that follow on conn.
func NewBody(conn *Conn) *Body { return &Body{conn: conn} }

// Read implements io.Reader. Any end other than an End frame returns an error that wraps ErrBroken.
func (b *Body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.next()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *Body) next() {
	f, err := b.conn.Read()
	if err != nil {
		b.err = errors.Mark(errors.Wrap(err, "read answer"), ErrBroken)
		return
	}
	switch k := f.Kind.(type) {
	case *wire.Frame_Chunk:
		b.rest = k.Chunk.Data
	case *wire.Frame_End:
		b.end = k.End
		b.err = io.EOF
	default:
		b.err = errors.Mark(errors.Newf("unexpected frame %T in an answer", k), ErrBroken)
	}
}

// End returns the End frame, or nil before Read has returned io.EOF.
func (b *Body) End() *wire.End { return b.end }
