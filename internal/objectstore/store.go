// Package objectstore is the access to the platform's object API: versioned objects with conditional
// updates and watches. Store is the interface; Client implements it over HTTP.
package objectstore

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// MaxValueBytes is the largest value that the object API accepts.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes is the largest key that the object API accepts.
	MaxKeyBytes = 512
	// MustNotExist as ifVersion of a Put creates the object and conflicts with an existing one.
	MustNotExist int64 = 0
)

// Errors of a Store. Compare with errors.Is.
var (
	// ErrNotFound reports that no object has the key.
	ErrNotFound = errors.New("objectstore: object not found")
	// ErrConflict reports that the object does not have the expected version. The write did not take effect.
	ErrConflict = errors.New("objectstore: version conflict")
	// ErrUnavailable reports that the store did not answer. A write that returns it did not take effect.
	ErrUnavailable = errors.New("objectstore: store unavailable")
	// ErrUnknownOutcome reports that a write may have taken effect or may still take effect.
	ErrUnknownOutcome = errors.New("objectstore: outcome of the write is unknown")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("objectstore: value exceeds 1 MiB")
	// ErrInvalidKey reports a key that the object API does not accept.
	ErrInvalidKey = errors.New("objectstore: invalid key")
)

// Object is one stored value. Versions come from one counter for the whole store, so that they rise
// strictly with each write of a key, also after the object has been deleted and created again.
type Object struct {
	Key     string
	Value   []byte
	Version int64
}

// Event is a change of one object.
type Event struct {
	// Deleted says that the object no longer exists. Object then carries the key and the version of the deletion.
	Deleted bool
	Object  Object
}

// Store is the object API. All methods are safe for concurrent use.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the value if the object has version ifVersion, and returns the new version.
	// MustNotExist creates the object. Any other version conflicts.
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error)
	// Delete removes the object if it has version ifVersion.
	Delete(ctx context.Context, key string, ifVersion int64) error
	// Watch sends each change after fromVersion of the objects whose key starts with prefix; zero
	// starts with all existing objects. Changes of one key may be merged into the newest one. The
	// channel closes when ctx ends or when the watch is lost; the caller then watches again.
	Watch(ctx context.Context, prefix string, fromVersion int64) (<-chan Event, error)
}

// StaleReader is implemented by stores that also answer from copies, which cost the store less than Get.
type StaleReader interface {
	// GetStale returns the object as it is or was some seconds ago, or ErrNotFound.
	GetStale(ctx context.Context, key string) (Object, error)
}

// CheckKey returns ErrInvalidKey unless key is a relative path of non-empty segments.
func CheckKey(key string) error {
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return errors.Wrapf(ErrInvalidKey, "%d bytes, allowed 1 to %d", len(key), MaxKeyBytes)
	}
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return errors.Wrapf(ErrInvalidKey, "%q has the segment %q", key, segment)
		}
	}
	return nil
}

// CheckPut returns the error of a Put that no store accepts, whatever its state.
func CheckPut(key string, value []byte) error {
	if len(value) > MaxValueBytes {
		return errors.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	return CheckKey(key)
}
