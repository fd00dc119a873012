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

// maxSpuriousConflicts bounds the retries after conflicts that leave bundle/current as it was.
const maxSpuriousConflicts = 5

// ErrNoVersion reports a version that was never rolled out or has left the history.
var ErrNoVersion = errors.New("rollout: no such version")

// ConflictError reports that another version is in force than the operator expected. The rollout had no effect.
type ConflictError struct {
	// Winner is the record in force; its version is zero when there is none.
	Current Record
	// Wanted says what the rollout required.
	Wanted string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return "rollout: no version is in force; wanted " + e.Wanted
	}
	return fmt.Sprintf("rollout: version %d by %s (approved by %s) is in force since %s; wanted %s",
		e.Current.Version, e.Current.Author, e.Current.Approver, e.Current.At.Format(time.RFC3339), e.Wanted)
}

// Operator rolls out bundles. It is safe for concurrent use.
type Operator struct {
	store   objectstore.Store
	trusted bundle.TrustedKeys
	now     func() time.Time
}

// NewOperator returns an Operator that refuses envelopes without signatures by trusted keys.
func NewOperator(store objectstore.Store, trusted bundle.TrustedKeys) *Operator {
	return &Operator{store: store, trusted: trusted, now: time.Now}
}

// Result is a rollout that took effect.
type Result struct {
	Record Record
	// HistoryError says why the history lacks the record; the next rollout adds it. Nil when it does not.
	HistoryError error
}

// Rollout makes e the current bundle with one conditional update. expect, when not nil, is the version
// that must be in force (zero: none). A *ConflictError names the winner. Rolling out the content in force
// again succeeds, so that an operator can repeat a rollout that ended with objectstore.ErrUnknownOutcome.
func (o *Operator) Rollout(ctx context.Context, e *bundle.Envelope, expect *uint64) (Result, error) {
	if err := e.Verify(o.trusted); err != nil {
		return Result{}, err
	}
	if _, err := e.Bundle(); err != nil {
		return Result{}, err
	}
	for range maxSpuriousConflicts {
		record, done, err := o.try(ctx, e, expect)
		if err != nil {
			return Result{}, err
		}
		if done {
			return Result{Record: record, HistoryError: o.archive(ctx, record)}, nil
		}
	}
	return Result{}, errors.Wrap(objectstore.ErrConflict, "rollout: the store refuses the update")
}

// try makes one conditional update. done is false after a conflict, which a new read explains.
func (o *Operator) try(ctx context.Context, e *bundle.Envelope, expect *uint64) (r Record, done bool, err error) {
	current, sealed, err := readRecord(ctx, o.store, CurrentKey)
	if err != nil {
		return Record{}, false, err
	}
	if holds(current, e) {
		return current, true, nil
	}
	if err := permitted(current, e, expect); err != nil {
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

// holds reports whether the record in force has e's version and content.
func holds(current Record, e *bundle.Envelope) bool {
	if current.Version != e.Version {
		return false
	}
	stored, err := current.Decode()
	return err == nil && stored.Root() == e.Root()
}

func permitted(current Record, e *bundle.Envelope, expect *uint64) error {
	if expect != nil && *expect != current.Version {
		return &ConflictError{Current: current, Wanted: fmt.Sprintf("version %d in force", *expect)}
	}
	if e.Version <= current.Version {
		return &ConflictError{Current: current, Wanted: fmt.Sprintf("a version below %d in force", e.Version)}
	}
	return nil
}

// archive writes the record into the history unless it is there, and removes the one that leaves it.
// Only records that have been current are archived, so that a version in the history has one content.
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
	if err != nil || r.Version <= HistoryKeep {
		return err
	}
	return o.prune(ctx, historyKey(r.Version-HistoryKeep))
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

// Current returns the record in force; its version is zero when there is none.
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

// Restore returns an unsigned envelope with the content of an earlier version and the next version
// number. Going back is a rollout like any other: it is signed, approved and rolled out.
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
		return nil, errors.Wrapf(ErrNoVersion, "version %d", version)
	}
	e, err := old.Decode()
	if err != nil {
		return nil, err
	}
	return &bundle.Envelope{Version: current.Version + 1, Sections: e.Sections}, nil
}
