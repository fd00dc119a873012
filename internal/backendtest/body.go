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

// BodyReader returns a reader of the response body of n bytes for the request with the given ID.
func BodyReader(id string, n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(id))), n)
}

// Body returns the response body of n bytes for the request with the given ID.
func Body(id string, n int) []byte {
	body := make([]byte, n)
	rand.NewChaCha8(sha256.Sum256([]byte(id))).Read(body)
	return body
}

// DigestOf returns the 64-bit xxHash of data.
func DigestOf(data []byte) uint64 { return xxhash.Sum64(data) }

// FormatDigest formats a digest for a header or trailer.
func FormatDigest(d uint64) string { return strconv.FormatUint(d, 16) }

// ErrWrongBody is the error for a body that differs from the expected one in content or length.
var ErrWrongBody = errors.New("wrong body")

// Verify reads r to its end and compares it with the response body of n bytes for the request with the given ID. It
// returns ErrWrongBody if the body differs, or the read error if r fails before its end.
func Verify(r io.Reader, id string, n int64) error {
	want := BodyReader(id, n)
	got := make([]byte, verifyChunkBytes)
	expected := make([]byte, verifyChunkBytes)
	var total int64
	for {
		k, err := r.Read(got)
		if _, short := io.ReadFull(want, expected[:k]); short != nil {
			return errors.Wrapf(ErrWrongBody, "body is longer than %d bytes", n)
		}
		if !bytes.Equal(got[:k], expected[:k]) {
			return errors.Wrapf(ErrWrongBody, "body differs after byte %d", total)
		}
		total += int64(k)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrapf(err, "response body failed after %d of %d bytes", total, n)
		}
	}
	if total != n {
		return errors.Wrapf(ErrWrongBody, "body has %d bytes, want %d", total, n)
	}
	return nil
}

// verifyChunkBytes is the buffer size of Verify.
const verifyChunkBytes = 32 << 10
