// Package wire defines the protobuf messages between nodes and the framing of messages on streams.
package wire

import (
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

//go:generate protoc -I . --go_out=paths=source_relative:. wire.proto

const (
	// MaxFrameBytes is the largest encoded size of one frame on a stream.
	MaxFrameBytes = 256 << 10
	// MaxChunkBytes is the largest part of a body that a sender puts into one Chunk frame.
	MaxChunkBytes = 32 << 10
	// MaxDatagramBytes is the largest size of one UDP message. It avoids IP fragmentation at an MTU of 1,500 bytes.
	MaxDatagramBytes = 1200
	// MaxBulkFrameBytes is the largest encoded size of one frame on a control stream that carries member lists or
	// bundles.
	MaxBulkFrameBytes = 8 << 20
)

// ErrFrameTooLarge reports a frame or datagram whose size exceeds the limit of the reader or writer.
var ErrFrameTooLarge = errors.New("wire: frame exceeds the size limit")

const lengthPrefixBytes = 4

// AppendFrame appends one length-prefixed frame to buf. It returns ErrFrameTooLarge when the encoded frame exceeds limit
// bytes.
func AppendFrame(buf []byte, f *Frame, limit int) ([]byte, error) {
	size := proto.Size(f)
	if size > limit {
		return buf, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	buf = slices.Grow(buf, lengthPrefixBytes+size)
	buf = binary.BigEndian.AppendUint32(buf, uint32(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, f)
	return buf, errors.Wrap(err, "wire: encode frame")
}

// WriteFrame writes one length-prefixed frame with a single call to w.Write.
// It returns ErrFrameTooLarge when the encoded frame exceeds limit bytes.
func WriteFrame(w io.Writer, f *Frame, limit int) error {
	buf, err := AppendFrame(nil, f, limit)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// ReadFrame reads one frame. It returns io.EOF only at a frame boundary,
// io.ErrUnexpectedEOF inside a frame, and ErrFrameTooLarge before it allocates an oversized frame.
func ReadFrame(r io.Reader, limit int) (*Frame, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(limit) {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	// The decoded frame holds copies, so the buffer can be used again.
	buf := GetBuffer(int(size))
	defer PutBuffer(buf)
	encoded := (*buf)[:size]
	if _, err := io.ReadFull(r, encoded); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	f := &Frame{}
	if err := proto.Unmarshal(encoded, f); err != nil {
		return nil, errors.Wrap(err, "wire: decode frame")
	}
	return f, nil
}

// maxPooledBufferBytes is the largest buffer that is kept for further frames: a few chunks of a body.
const maxPooledBufferBytes = 2 * MaxChunkBytes

var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

// GetBuffer returns an empty buffer with at least the given capacity. PutBuffer takes it back.
func GetBuffer(capacity int) *[]byte {
	buf := bufferPool.Get().(*[]byte)
	*buf = slices.Grow((*buf)[:0], capacity)
	return buf
}

// PutBuffer makes a buffer available to later calls of GetBuffer. The caller must not use it any more.
func PutBuffer(buf *[]byte) {
	if cap(*buf) <= maxPooledBufferBytes {
		bufferPool.Put(buf)
	}
}

// DecodeDatagram decodes one UDP message. It returns an error if the message is oversized or malformed or names no
// sender.
func DecodeDatagram(data []byte) (*Datagram, error) {
	if len(data) > MaxDatagramBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "datagram of %d bytes, limit %d", len(data), MaxDatagramBytes)
	}
	d := &Datagram{}
	if err := proto.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(err, "wire: decode datagram")
	}
	if d.From == "" {
		return nil, errors.New("wire: datagram without a sender")
	}
	return d, nil
}
