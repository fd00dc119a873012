package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstore"
)

// maxUpdateAttempts is the maximum number of conditional updates in one rollout. It bounds the retries against a store
// that reports conflicts although bundle/current has not changed.
const maxUpdateAttempts = 5

// ErrVersionNotFound reports a version that was never rolled out or was pruned from the history.
var ErrVersionNotFound = errors.New("rollout: no such version")

// ConflictError reports that the version in force does not permit the rollout. The rollout had no effect.
type ConflictError struct {
	// Current is the record in force, which another rollout may have written; its version is zero if there is none.
	Current Record
	// Required describes the version that the rollout needs to be in force.
	Required string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return "rollout: no version is in force; wanted " + e.Required
	}
	return fmt.Sprintf("rollout: version %d by %s (approved by %s) is in force since %s; wanted %s",
		e.Current.Version, e.Current.Author, e.Current.Approver, e.Current.At.Format(time.RFC3339), e.Required)
}

// Operator rolls out bundles and reads their history. It is safe for concurrent use.
type Operator struct {
	store   objectstore.Store
	trusted bundle.TrustedKeys
	now     func() time.Time
}

// NewOperator returns an Operator that rolls out only envelopes signed by two of the trusted keys.
func NewOperator(store objectstore.Store, trusted bundle.TrustedKeys) *Operator {
	return &Operator{store: store, trusted: trusted, now: time.Now}
}

// Result describes a rollout that took effect.
type Result struct {
	Record Record
	// HistoryError is the error of adding the record to the history, or nil. The next rollout adds a missing record.
	HistoryError error
}

// Rollout puts e in force with one conditional update of bundle/current. When expect is not nil, it is the version
// that must be in force (zero: none). If the version in force does not permit the rollout, the error is a
// *ConflictError. Rolling out the version and content in force succeeds without an update, so that an operator can
// repeat a rollout that ended with objectstore.ErrUnknownOutcome.
func (o *Operator) Rollout(ctx context.Context, e *bundle.Envelope, expect *uint64) (Result, error) {
	if err := e.Verify(o.trusted); err != nil {
		return Result{}, err
	}
	if _, err := e.Bundle(); err != nil {
		return Result{}, err
	}
	for range maxUpdateAttempts {
		record, done, err := o.tryUpdate(ctx, e, expect)
		if err != nil {
			return Result{}, err
		}
		if done {
			return Result{Record: record, HistoryError: o.archive(ctx, record)}, nil
		}
	}
	return Result{}, errors.Wrap(objectstore.ErrConflict, "rollout: update failed after repeated conflicts")
}

// tryUpdate makes one conditional update. done is false after a conflict; the caller then tries again, and the new
// read of bundle/current shows what it conflicted with.
func (o *Operator) tryUpdate(ctx context.Context, e *bundle.Envelope, expect *uint64) (r Record, done bool, err error) {
	current, sealed, err := readRecord(ctx, o.store, CurrentKey)
	if err != nil {
		return Record{}, false, err
	}
	if isInForce(current, e) {
		return current, true, nil
	}
	if err := checkVersion(current, e, expect); err != nil {
		return Record{}, false, err
	}
	if err := o.archive(ctx, current); err != nil {
		return Record{}, false, err
	}
	next, err := newRecord(e, current.Version, o.now())
	if err != nil {
		return Record{}, false, err
	}
	payload, err := json.Marshal(next)
	if err != nil {
		return Record{}, false, errors.Wrap(err, "rollout: encode record")
	}
	_, err = objectstore.PutResolved(ctx, o.store, CurrentKey, sealed, payload)
	if errors.Is(err, objectstore.ErrConflict) {
		return Record{}, false, nil
	}
	return next, err == nil, err
}

// isInForce reports whether current, the record in force, has e's version and content.
func isInForce(current Record, e *bundle.Envelope) bool {
	if current.Version != e.Version {
		return false
	}
	stored, err := current.Decode()
	return err == nil && stored.Root() == e.Root()
}

// checkVersion returns a *ConflictError unless e may replace current, the record in force.
func checkVersion(current Record, e *bundle.Envelope, expect *uint64) error {
	if expect != nil && *expect != current.Version {
		return &ConflictError{Current: current, Required: fmt.Sprintf("version %d in force", *expect)}
	}
	if e.Version <= current.Version {
		return &ConflictError{Current: current, Required: fmt.Sprintf("a version below %d in force", e.Version)}
	}
	return nil
}

// archive adds the record to the history, unless it is there already, and prunes the record that exceeds
// HistoryLimit. It is called only with records that have been in force, so that a version in the history never has
// two contents.
func (o *Operator) archive(ctx context.Context, r Record) error {
	if r.Version == 0 {
		return nil
	}
	payload, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "rollout: encode record")
	}
	_, err = objectstore.PutResolved(ctx, o.store, historyKey(r.Version), objectstore.Sealed{}, payload)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	if err != nil || r.Version <= HistoryLimit {
		return err
	}
	return o.prune(ctx, historyKey(r.Version-HistoryLimit))
}

func (o *Operator) prune(ctx context.Context, key string) error {
	old, err := o.store.Get(ctx, key)
	if err == nil {
		err = o.store.Delete(ctx, key, old.Version)
	}
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	return err
}

// Current returns the record in force; its version is zero if there is none.
func (o *Operator) Current(ctx context.Context) (Record, error) {
	r, _, err := readRecord(ctx, o.store, CurrentKey)
	return r, err
}

// History returns up to limit records, newest first, starting with the one in force.
func (o *Operator) History(ctx context.Context, limit int) ([]Record, error) {
	r, err := o.Current(ctx)
	var records []Record
	for err == nil && r.Version != 0 && len(records) < limit {
		records = append(records, r)
		if r.Previous == 0 || len(records) == limit {
			break
		}
		r, _, err = readRecord(ctx, o.store, historyKey(r.Previous))
	}
	return records, err
}

// Restore returns an unsigned envelope with the content of the given version and the version number after the one in
// force. Nodes refuse lower versions, so a rollback is a normal rollout: it is signed, approved and rolled out.
func (o *Operator) Restore(ctx context.Context, version uint64) (*bundle.Envelope, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	old := current
	if version != current.Version {
		old, _, err = readRecord(ctx, o.store, historyKey(version))
	}
	if err != nil {
		return nil, err
	}
	if old.Version == 0 {
		return nil, errors.Wrapf(ErrVersionNotFound, "version %d", version)
	}
	e, err := old.Decode()
	if err != nil {
		return nil, err
	}
	return &bundle.Envelope{Version: current.Version + 1, Sections: e.Sections}, nil
}
