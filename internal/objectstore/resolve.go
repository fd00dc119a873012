package objectstore

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxWriters is the number of write tokens kept in a sealed value. The outcome of a write whose response
// was lost can be determined as long as fewer than maxWriters writes have followed it.
const maxWriters = 32

// Sealed is a value stored together with the tokens of its latest writes. A writer that lost the response
// to its write looks for its token to learn whether the write took effect, even after later writes have
// replaced the value.
type Sealed struct {
	// Version is the version of the object, or MustNotExist if the object does not exist.
	Version int64
	// Writers holds the tokens of the latest writes, oldest first. Each token is unique to one write.
	Writers []string
	Payload []byte
}

type sealHeader struct {
	Writers []string `json:"writers"`
}

// seal encodes a sealed value for storage: one line of JSON with the write tokens, then the payload.
func seal(writers []string, payload []byte) ([]byte, error) {
	header, err := json.Marshal(sealHeader{Writers: writers})
	if err != nil {
		return nil, errors.Wrap(err, "objectstore: encode sealed value")
	}
	value := make([]byte, 0, len(header)+1+len(payload))
	value = append(value, header...)
	value = append(value, '\n')
	return append(value, payload...), nil
}

// Unseal decodes a value written by PutResolved.
func Unseal(o Object) (Sealed, error) {
	line, payload, found := bytes.Cut(o.Value, []byte{'\n'})
	if !found {
		return Sealed{}, errors.Newf("objectstore: %s is not a sealed value", o.Key)
	}
	var header sealHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return Sealed{}, errors.Wrapf(err, "objectstore: %s is not a sealed value", o.Key)
	}
	return Sealed{Version: o.Version, Writers: header.Writers, Payload: payload}, nil
}

// GetSealed reads a sealed value. It returns the zero Sealed and no error if the object does not exist.
func GetSealed(ctx context.Context, s Store, key string) (Sealed, error) {
	o, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Sealed{}, nil
	}
	if err != nil {
		return Sealed{}, err
	}
	return Unseal(o)
}

// PutResolved replaces the sealed value that the caller has read as base. If the outcome of the write is
// unknown, it reads the object back. If the stored value holds the token of this write, the write took
// effect; if another write followed base, PutResolved returns ErrConflict. If the object is still at base,
// the write may still arrive, so PutResolved sends the same write again; the precondition lets at most one
// copy take effect. The result is the newest value read, which may be that of a later writer with another
// payload. PutResolved returns ErrUnknownOutcome if ctx ends first or if maxWriters or more writes have followed.
func PutResolved(ctx context.Context, s Store, key string, base Sealed, payload []byte) (Sealed, error) {
	token := rand.Text()
	writers := append(slices.Clone(base.Writers), token)
	writers = writers[max(0, len(writers)-maxWriters):]
	value, err := seal(writers, payload)
	if err != nil {
		return Sealed{}, err
	}
	outcomeUnknown := false // whether an earlier copy of the write may have taken effect
	for attempt := 0; ; attempt++ {
		o, err := s.Put(ctx, key, value, base.Version)
		if err == nil {
			return Sealed{Version: o.Version, Writers: writers, Payload: payload}, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, ErrUnknownOutcome)
		if !outcomeUnknown {
			return Sealed{}, err
		}
		found, err := readBack(ctx, s, key, base, token)
		if !errors.Is(err, errUnchanged) {
			return found, err
		}
		if sleepBackoff(ctx, attempt) != nil {
			return Sealed{}, errors.Wrapf(ErrUnknownOutcome, "put %s", key)
		}
	}
}

var errUnchanged = errors.New("objectstore: object is unchanged")

// readBack reads the object to resolve a write of unknown outcome. It retries while the store is unavailable,
// until ctx ends.
func readBack(ctx context.Context, s Store, key string, base Sealed, token string) (Sealed, error) {
	for attempt := 0; ; attempt++ {
		found, err := GetSealed(ctx, s, key)
		if err == nil {
			return resolveOutcome(key, base, found, token)
		}
		if !errors.Is(err, ErrUnavailable) || sleepBackoff(ctx, attempt) != nil {
			return Sealed{}, errors.Wrapf(ErrUnknownOutcome, "put %s: read back: %v", key, err)
		}
	}
}

// resolveOutcome compares found, the value read back, with base. It returns found if the write with this token
// took effect, errUnchanged if the object is still at base, ErrConflict if another write followed base, and
// ErrUnknownOutcome if found no longer names the write that followed base.
func resolveOutcome(key string, base, found Sealed, token string) (Sealed, error) {
	if found.Version == base.Version {
		return Sealed{}, errUnchanged
	}
	if !SameGeneration(found.Version, base.Version) {
		// The store was restored: a write that took effect may have replaced another content than base.
		return Sealed{}, errors.Wrapf(ErrUnknownOutcome, "put %s: the store was restored", key)
	}
	if slices.Contains(found.Writers, token) {
		return found, nil
	}
	if historyReachesBase(base, found) {
		return Sealed{}, errors.Wrapf(ErrConflict, "put %s: read back found version %d", key, found.Version)
	}
	return Sealed{}, errors.Wrapf(ErrUnknownOutcome, "put %s: %d or more writes followed", key, maxWriters)
}

// historyReachesBase reports whether found.Writers still includes the write that directly followed base.
func historyReachesBase(base, found Sealed) bool {
	if len(base.Writers) == 0 {
		return len(found.Writers) < maxWriters
	}
	return slices.Contains(found.Writers, base.Writers[len(base.Writers)-1])
}
