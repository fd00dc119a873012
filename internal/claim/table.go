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
	// maxTableBytes leaves room for the header of a sealed value below the store's limit.
	maxTableBytes = objectstore.MaxValueBytes - 16<<10
	// maxClaimBytes is the size above which no new claim is taken. The rest is room to complete all
	// claims without their answers, which adds less than a quarter to each.
	maxClaimBytes = maxTableBytes * 3 / 4
	// trimBytes is the size to which stored answers are dropped when a table is full.
	trimBytes = maxTableBytes / 2
)

type state string

const (
	claimed state = "claimed"
	done    state = "done"
	unknown state = "unknown" // the attempt ended and may have run
)

// record is one claimed key as it is stored.
type record struct {
	Key     string   `json:"k"`
	Digest  string   `json:"d"`
	Attempt string   `json:"a"`
	State   state    `json:"s"`
	Expires int64    `json:"x"` // Unix milliseconds
	Outcome *Outcome `json:"o,omitempty"`

	line []byte // encoded form with a line break
}

// table holds the claims of one shard: one JSON record a line. Its methods are pure: they use no clock and no I/O.
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

// expire removes the records whose retention is over by every clock within MaxClockSkew of now.
func (t *table) expire(now time.Time) {
	limit := now.Add(-MaxClockSkew).UnixMilli()
	for key, r := range t.records {
		if r.Expires < limit {
			t.remove(key)
		}
	}
}

// trim drops stored answers, oldest first, once the table is larger than limit. The claims themselves
// stay, because a key that is forgotten early could run twice.
func (t *table) trim(limit int) error {
	if t.size <= limit {
		return nil
	}
	var full []record
	for _, r := range t.records {
		if r.State == done && !r.Outcome.Partial {
			full = append(full, r)
		}
	}
	slices.SortFunc(full, func(a, b record) int { return cmp.Compare(a.Expires, b.Expires) })
	for _, r := range full {
		if t.size <= trimBytes {
			return nil
		}
		short := r.Outcome.stripped()
		r.Outcome = &short
		if err := t.set(r); err != nil {
			return err
		}
	}
	return nil
}

// identity names a request and one attempt at it.
type identity struct{ key, digest, attempt string }

// acquire claims the key for the attempt unless the key has a record. changed says that the table must be stored.
func (t *table) acquire(id identity, now time.Time, retention time.Duration) (r Result, changed bool, err error) {
	old, found := t.records[id.key]
	if found {
		r, err := old.answer(id)
		return r, false, err
	}
	if err := t.trim(maxClaimBytes); err != nil {
		return Result{}, false, err
	}
	if t.size > maxClaimBytes {
		return Result{}, false, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the shard of the key is full (%d bytes)", t.size)
	}
	expires := now.Add(retention).UnixMilli()
	next := record{Key: id.key, Digest: id.digest, Attempt: id.attempt, State: claimed, Expires: expires}
	return Result{Kind: Run}, true, t.set(next)
}

// answer returns what a repeat of the request gets.
func (r record) answer(id identity) (Result, error) {
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

// isFinal reports whether no later state of the record gives a repeat another answer.
func (r record) isFinal() bool { return r.State != claimed }

// complete stores the outcome of the attempt that holds the claim, else returns ErrFenced. Repeating it
// changes nothing, because an earlier write of unknown outcome may have stored the outcome.
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

// release removes the claim if the attempt holds it and reports whether it did.
func (t *table) release(id identity) bool {
	r, found := t.records[id.key]
	if !found || r.Attempt != id.attempt || r.State != claimed {
		return false
	}
	t.remove(id.key)
	return true
}
