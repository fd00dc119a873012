package backendtest

import (
	"bytes"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// BodyReader returns the n bytes that answer the request with this ID.
func BodyReader(id string, n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(id))), n)
}

// Body returns the n bytes that answer the request with this ID.
func Body(id string, n int) []byte {
	body := make([]byte, n)
	rand.NewChaCha8(sha256.Sum256([]byte(id))).Read(body)
	return body
}

// DigestOf returns the 64-bit xxHash of data.
func DigestOf(data []byte) uint64 { return xxhash.Sum64(data) }

// FormatDigest returns the text of a digest in headers and trailers.
func FormatDigest(d uint64) string { return strconv.FormatUint(d, 16) }

// ErrWrongBody says that an answer is not the one to the request: wrong bytes, too many or too few.
var ErrWrongBody = errors.New("wrong body")

// Verify reads r to its end and compares it with the answer of n bytes to the request with this ID. The error is
// ErrWrongBody for a body that differs, or the read error when r fails before its end.
func Verify(r io.Reader, id string, n int64) error {
	want := BodyReader(id, n)
	got := make([]byte, verifyChunk)
	expected := make([]byte, verifyChunk)
	var total int64
	for {
		k, err := r.Read(got)
		if _, short := io.ReadFull(want, expected[:k]); short != nil {
			return errors.Wrapf(ErrWrongBody, "more than %d bytes", n)
		}
		if !bytes.Equal(got[:k], expected[:k]) {
			return errors.Wrapf(ErrWrongBody, "difference after byte %d", total)
		}
		total += int64(k)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrapf(err, "answer broken after %d of %d bytes", total, n)
		}
	}
	if total != n {
		return errors.Wrapf(ErrWrongBody, "%d bytes, want %d", total, n)
	}
	return nil
}

// verifyChunk is the size of one read in bytes.
const verifyChunk = 32 << 10
