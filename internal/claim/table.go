package claim

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/verdict"
)

const (
	// maxTableBytes leaves room for the header of a sealed value within the store's size limit.
	maxTableBytes = objectstore.MaxValueBytes - 16<<10
	// maxAcquireBytes is the table size above which new claims are refused. The remaining space is enough
	// to store the outcomes of all claims without their responses, which adds less than a quarter to the
	// size of each claim.
	maxAcquireBytes = maxTableBytes * 3 / 4
	// trimTargetBytes is the size to which trim reduces a full table.
	trimTargetBytes = maxTableBytes / 2
)

type state string

const (
	claimed state = "claimed"
	done    state = "done"
	unknown state = "unknown" // the attempt has ended and may have run
)

// record is the stored form of one claimed key.
type record struct {
	Key     string   `json:"k"`
	Digest  string   `json:"d"`
	Attempt string   `json:"a"`
	State   state    `json:"s"`
	Expires int64    `json:"x"` // Unix milliseconds
	Outcome *Outcome `json:"o,omitempty"`

	line []byte // JSON encoding with a trailing newline
}

// table holds the claims of one shard, encoded as one JSON record per line. Its methods use neither a
// clock nor I/O.
type table struct {
	records map[string]record
	size    int // encoded bytes
}

func decodeTable(payload []byte) (*table, error) {
	t := &table{records: map[string]record{}}
	for line := range bytes.Lines(payload) {
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, errors.Wrap(err, "claim: decode shard")
		}
		if r.State != claimed && r.Outcome == nil {
			return nil, errors.Newf("claim: record of state %q without an outcome", r.State)
		}
		r.line = line
		t.records[r.Key] = r
		t.size += len(line)
	}
	return t, nil
}

func (t *table) encode() []byte {
	payload := make([]byte, 0, t.size)
	for _, r := range t.records {
		payload = append(payload, r.line...)
	}
	return payload
}

func (t *table) clone() *table { return &table{records: maps.Clone(t.records), size: t.size} }

func (t *table) set(r record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "claim: encode record")
	}
	t.size -= len(t.records[r.Key].line)
	r.line = append(line, '\n')
	t.records[r.Key] = r
	t.size += len(r.line)
	return nil
}

func (t *table) remove(key string) {
	t.size -= len(t.records[key].line)
	delete(t.records, key)
}

// expire removes the records that have expired according to every clock within MaxClockSkew of now.
func (t *table) expire(now time.Time) {
	limit := now.Add(-MaxClockSkew).UnixMilli()
	for key, r := range t.records {
		if r.Expires < limit {
			t.remove(key)
		}
	}
}

// trim drops stored responses from a table larger than limit, in the order in which they expire, until the
// table has at most trimTargetBytes. The claims themselves remain, because the request of a key whose claim is
// removed early could run twice.
func (t *table) trim(limit int) error {
	if t.size <= limit {
		return nil
	}
	var withContent []record
	for _, r := range t.records {
		if r.State == done && !r.Outcome.Partial {
			withContent = append(withContent, r)
		}
	}
	slices.SortFunc(withContent, func(a, b record) int { return cmp.Compare(a.Expires, b.Expires) })
	for _, r := range withContent {
		if t.size <= trimTargetBytes {
			return nil
		}
		partial := r.Outcome.stripped()
		r.Outcome = &partial
		if err := t.set(r); err != nil {
			return err
		}
	}
	return nil
}

// identity identifies a request and one attempt of it.
type identity struct{ key, digest, attempt string }

// acquire claims the key for the attempt unless the key has a record. changed reports whether the table
// must be written.
func (t *table) acquire(id identity, now time.Time, retention time.Duration) (r Result, changed bool, err error) {
	existing, found := t.records[id.key]
	if found {
		r, err := existing.repeatResult(id)
		return r, false, err
	}
	if err := t.trim(maxAcquireBytes); err != nil {
		return Result{}, false, err
	}
	if t.size > maxAcquireBytes {
		return Result{}, false, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the shard of the key is full (%d bytes)", t.size)
	}
	expires := now.Add(retention).UnixMilli()
	next := record{Key: id.key, Digest: id.digest, Attempt: id.attempt, State: claimed, Expires: expires}
	return Result{Kind: Run}, true, t.set(next)
}

// repeatResult returns the result of an Acquire for a key that has this record.
func (r record) repeatResult(id identity) (Result, error) {
	switch {
	case r.Digest != id.digest:
		return Result{}, verdict.New(verdict.NotRun, verdict.ClaimMismatch, "the idempotency key was used for another request")
	case r.State == done && !r.Outcome.Partial:
		return Result{Kind: Replay, Outcome: *r.Outcome}, nil
	case r.State == done:
		return Result{Kind: Held, Verdict: verdict.Ran}, nil
	default:
		return Result{Kind: Held, Verdict: verdict.MayHaveRun}, nil
	}
}

// isFinal reports whether the attempt has ended, so that the record can be used without reading the store
// again.
func (r record) isFinal() bool { return r.State != claimed }

// complete stores the outcome of the attempt if it holds the claim, else returns ErrFenced. It is
// idempotent, because an earlier write with an unknown outcome may have stored it already.
func (t *table) complete(id identity, o Outcome, now time.Time, retention time.Duration) (changed bool, err error) {
	r, found := t.records[id.key]
	if !found || r.Attempt != id.attempt {
		return false, errors.Wrap(ErrFenced, "complete")
	}
	if r.State != claimed {
		return false, nil
	}
	r.State = done
	if o.Verdict != verdict.Ran {
		r.State = unknown
	}
	r.Outcome = &o
	r.Expires = now.Add(retention).UnixMilli()
	if err := t.set(r); err != nil {
		return false, err
	}
	return true, t.trim(maxTableBytes)
}

// release removes the claim if the attempt holds it, and reports whether it removed one.
func (t *table) release(id identity) bool {
	r, found := t.records[id.key]
	if !found || r.Attempt != id.attempt || r.State != claimed {
		return false
	}
	t.remove(id.key)
	return true
}
