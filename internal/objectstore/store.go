// Package objectstore provides access to the platform's object API: versioned objects with conditional
// updates and watches. Store is the interface; Client implements it over HTTP.
package objectstore

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// MaxValueBytes is the size of the largest value that the object API accepts.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes is the length of the longest key that the object API accepts.
	MaxKeyBytes = 512
	// MustNotExist, passed to Put as ifVersion, creates the object. Put returns ErrConflict if it already exists.
	MustNotExist int64 = 0
)

// Errors returned by a Store. Compare them with errors.Is.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("objectstore: object not found")
	// ErrConflict reports that the object does not have the expected version. The write did not take effect.
	ErrConflict = errors.New("objectstore: version conflict")
	// ErrUnavailable reports that the store could not be reached, did not respond or refused the call. A write
	// returns it only if it did not take effect.
	ErrUnavailable = errors.New("objectstore: store unavailable")
	// ErrUnknownOutcome reports that a write may have taken effect or may still take effect.
	ErrUnknownOutcome = errors.New("objectstore: outcome of the write is unknown")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("objectstore: value exceeds 1 MiB")
	// ErrInvalidKey reports a key that the object API does not accept.
	ErrInvalidKey = errors.New("objectstore: invalid key")
)

// Object is a stored value. Versions come from one counter for the whole store, so each write of a key gets a
// higher version than the previous one, even if the object has been deleted and created again in between.
type Object struct {
	Key     string
	Value   []byte
	Version int64
	// Generation is the generation of the store that the object was read from. It rises when the store is restored from a
	// copy, after which versions are given out again. It is 0 if the store does not state it.
	Generation uint64
}

// Event is a change to one object.
type Event struct {
	// Deleted is true if the object was deleted. Object then holds only the key and the version of the deletion.
	Deleted bool
	Object  Object
}

// Store is the object API. All methods are safe for concurrent use.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the value if the object has version ifVersion, and returns the object with its new version.
	// MustNotExist creates the object. Put returns ErrConflict if the object has another version.
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error)
	// Delete deletes the object if it has version ifVersion. It returns ErrNotFound if the object does not exist
	// and ErrConflict if it has another version.
	Delete(ctx context.Context, key string, ifVersion int64) error
	// Watch sends the changes after fromVersion to the objects whose key starts with prefix. If fromVersion
	// is zero, it first sends all existing objects. Successive changes to one key may be merged into the newest
	// one. The channel closes when ctx ends or when the watch is interrupted; the caller must then watch again.
	Watch(ctx context.Context, prefix string, fromVersion int64) (<-chan Event, error)
}

// SkipCounter is implemented by stores that skip malformed entries of other writers in lists and watches.
type SkipCounter interface {
	// SkippedEntries returns the number of entries skipped since the start of the process.
	SkippedEntries() int64
}

// Position is a point in the history of a store. Positions are ordered by Generation, then Revision.
type Position struct {
	Generation uint64 // as in Object
	Revision   int64  // value of the store's version counter
}

// PositionLister is implemented by stores that state the position at which a list was taken.
type PositionLister interface {
	// ListAt is like Store.List and also returns the position of the list.
	ListAt(ctx context.Context, prefix string) ([]Object, Position, error)
}

// StaleReader is implemented by stores that can also read from a replica, which costs the store less than Get.
type StaleReader interface {
	// GetStale returns the object, which may be several seconds out of date, or ErrNotFound.
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

// CheckPut returns an error for a key or value that every store rejects, regardless of the stored objects.
func CheckPut(key string, value []byte) error {
	if len(value) > MaxValueBytes {
		return errors.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	return CheckKey(key)
}
