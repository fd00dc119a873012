package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstore"
)

// RestoreRecord stores the envelope in force at a node if the record in the store has a lower version, as after a restore of
// the store from a copy. It reports whether it has written. A conflict means that another node or an operator has written at
// the same time.
func RestoreRecord(ctx context.Context, store objectstore.Store, inForce *bundle.Envelope, now time.Time) (written bool, err error) {
	current, sealed, err := readRecord(ctx, store, CurrentKey)
	if err != nil || current.Version >= inForce.Version {
		return false, err
	}
	next, err := newRecord(inForce, current.Version, now)
	if err != nil {
		return false, err
	}
	payload, err := json.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "rollout: encode record")
	}
	if _, err := objectstore.PutResolved(ctx, store, CurrentKey, sealed, payload); err != nil {
		return false, err
	}
	return true, nil
}
