package objectstore

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxWriters is the number of successive writers that a sealed value names. A write whose answer was
// lost is resolved as long as fewer writes than this have followed it.
const maxWriters = 32

// Sealed is a value that names its latest writers, so that a writer whose answer was lost can tell
// whether its write took effect, also after others have overwritten it.
type Sealed struct {
	// Version of the object; MustNotExist when it does not exist.
	Version int64
	// Writers holds the tokens of the latest writes, newest last. Each token is unique to one write.
	Writers []string
	Payload []byte
}

type sealHeader struct {
	Writers []string `json:"writers"`
}

// seal returns the stored form: one line of JSON, then the payload.
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

// Unseal decodes a value that PutResolved wrote.
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

// GetSealed reads a sealed value. A missing object yields the zero Sealed and no error.
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

// PutResolved replaces the sealed value that the caller has read as base. When the outcome of the
// write is unknown, it reads the object back: the token of this write among the writers means that it
// took effect; another successor of base means ErrConflict. While the object is still at base, the
// write may yet arrive, so the same write is sent again: the condition lets at most one copy take
// effect. The result is the newest value that was seen: after a read-back it may be that of a later
// writer, with another payload. ErrUnknownOutcome remains when ctx ends first or maxWriters writes have followed.
func PutResolved(ctx context.Context, s Store, key string, base Sealed, payload []byte) (Sealed, error) {
	token := rand.Text()
	writers := append(slices.Clone(base.Writers), token)
	writers = writers[max(0, len(writers)-maxWriters):]
	value, err := seal(writers, payload)
	if err != nil {
		return Sealed{}, err
	}
	unresolved := false // an earlier copy of the write may have taken effect
	for attempt := 0; ; attempt++ {
		o, err := s.Put(ctx, key, value, base.Version)
		if err == nil {
			return Sealed{Version: o.Version, Writers: writers, Payload: payload}, nil
		}
		unresolved = unresolved || errors.Is(err, ErrUnknownOutcome)
		if !unresolved {
			return Sealed{}, err
		}
		found, err := readBack(ctx, s, key, base, token)
		if !errors.Is(err, errStillAtBase) {
			return found, err
		}
		if sleepBackoff(ctx, attempt) != nil {
			return Sealed{}, errors.Wrapf(ErrUnknownOutcome, "put %s", key)
		}
	}
}

var errStillAtBase = errors.New("objectstore: object is unchanged")

// readBack decides a write of unknown outcome. It retries while the store is unavailable until ctx ends.
func readBack(ctx context.Context, s Store, key string, base Sealed, token string) (Sealed, error) {
	for attempt := 0; ; attempt++ {
		found, err := GetSealed(ctx, s, key)
		if err == nil {
			return decide(key, base, found, token)
		}
		if !errors.Is(err, ErrUnavailable) || sleepBackoff(ctx, attempt) != nil {
			return Sealed{}, errors.Wrapf(ErrUnknownOutcome, "put %s: read back: %v", key, err)
		}
	}
}

func decide(key string, base, found Sealed, token string) (Sealed, error) {
	if found.Version == base.Version {
		return Sealed{}, errStillAtBase
	}
	if slices.Contains(found.Writers, token) {
		return found, nil
	}
	if namesSuccessor(base, found) {
		return Sealed{}, errors.Wrapf(ErrConflict, "put %s: read back found version %d", key, found.Version)
	}
	return Sealed{}, errors.Wrapf(ErrUnknownOutcome, "put %s: %d or more writes followed", key, maxWriters)
}

// namesSuccessor reports whether found's writers reach back to the write that directly followed base.
func namesSuccessor(base, found Sealed) bool {
	if len(base.Writers) == 0 {
		return len(found.Writers) < maxWriters
	}
	return slices.Contains(found.Writers, base.Writers[len(base.Writers)-1])
}
