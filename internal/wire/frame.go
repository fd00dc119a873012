// Package wire defines the protobuf messages between nodes and the framing of messages on streams.
package wire

import (
	"encoding/binary"
	"io"

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

// WriteFrame writes one length-prefixed frame with a single call to w.Write.
// It returns ErrFrameTooLarge when the encoded frame exceeds limit bytes.
func WriteFrame(w io.Writer, f *Frame, limit int) error {
	size := proto.Size(f)
	if size > limit {
		return errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	buf := make([]byte, lengthPrefixBytes, lengthPrefixBytes+size)
	binary.BigEndian.PutUint32(buf, uint32(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, f)
	if err != nil {
		return errors.Wrap(err, "wire: encode frame")
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
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	f := &Frame{}
	if err := proto.Unmarshal(buf, f); err != nil {
		return nil, errors.Wrap(err, "wire: decode frame")
	}
	return f, nil
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
