// Package rollout brings bundles into the store and from there to the nodes: the operator's conditional
// update of bundle/current, the watch of the reader nodes, transfer between nodes, and status.
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

// Keys of the object API.
const (
	// CurrentKey holds the Record in force.
	CurrentKey = "bundle/current"
	// HistoryPrefix precedes the version of each earlier Record.
	HistoryPrefix = "bundle/history/"
	// StatusPrefix precedes the failure domain of each Status.
	StatusPrefix = "status/bundle/"
)

// HistoryKeep is the number of versions below the current one that stay in the history.
const HistoryKeep = 1000

// Record is one rolled out version as the store holds it.
type Record struct {
	Version uint64 `json:"version"`
	// Previous is the version that this one replaced, or zero.
	Previous uint64    `json:"previous"`
	Author   string    `json:"author"`
	Approver string    `json:"approver"`
	At       time.Time `json:"at"` // by the operator's clock
	// Envelope is the encoded bundle.Envelope.
	Envelope []byte `json:"envelope"`
}

// Decode returns the envelope. It verifies nothing.
func (r Record) Decode() (*bundle.Envelope, error) { return bundle.DecodeEnvelope(r.Envelope) }

func historyKey(version uint64) string { return fmt.Sprintf("%s%d", HistoryPrefix, version) }

func newRecord(e *bundle.Envelope, previous uint64, at time.Time) (Record, error) {
	data, err := e.Encode()
	if err != nil {
		return Record{}, err
	}
	return Record{
		Version:  e.Version,
		Previous: previous,
		Author:   e.Author.Name,
		Approver: e.Approver.Name,
		At:       at.UTC(),
		Envelope: data,
	}, nil
}

// readRecord returns the record and its sealed form; both are zero when the object does not exist.
func readRecord(ctx context.Context, s objectstore.Store, key string) (Record, objectstore.Sealed, error) {
	sealed, err := objectstore.GetSealed(ctx, s, key)
	if err != nil || sealed.Version == 0 {
		return Record{}, sealed, err
	}
	r, err := decodeRecord(sealed)
	return r, sealed, errors.Wrap(err, key)
}

func decodeRecord(sealed objectstore.Sealed) (Record, error) {
	var r Record
	err := json.Unmarshal(sealed.Payload, &r)
	return r, errors.Wrap(err, "rollout: decode record")
}
