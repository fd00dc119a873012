// Package rollout distributes bundles. An Operator writes a bundle to the store with a conditional update of
// bundle/current, the Readers on some nodes watch that object, the other nodes request the bundle from their peers,
// and a StatusWriter publishes the progress.
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

// Keys and key prefixes of the objects in the store.
const (
	// CurrentKey holds the Record in force.
	CurrentKey = "bundle/current"
	// HistoryPrefix is followed by the version of a Record that is or was in force.
	HistoryPrefix = "bundle/history/"
	// StatusPrefix is followed by the failure domain of a Status.
	StatusPrefix = "status/bundle/"
)

// HistoryLimit is the number of versions kept in the history: adding version v prunes version v-HistoryLimit.
const HistoryLimit = 1000

// Record is the stored form of a version that was rolled out.
type Record struct {
	Version uint64 `json:"version"`
	// Previous is the version that this one replaced, or zero if there was none.
	Previous uint64    `json:"previous"`
	Author   string    `json:"author"`
	Approver string    `json:"approver"`
	At       time.Time `json:"at"` // by the operator's clock
	// Envelope is the encoded bundle.Envelope.
	Envelope []byte `json:"envelope"`
}

// Decode returns the envelope. It does not verify signatures.
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

// readRecord returns the record at key and its sealed form. Both are zero if the object does not exist.
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
