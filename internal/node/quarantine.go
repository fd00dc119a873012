package node

import (
	"context"
	"encoding/json"
	"hash/maphash"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/wire"
)

const (
	// quarantineKey is the object that holds the requests in quarantine and counts their trials.
	quarantineKey = "quarantine/requests"
	// quarantineWriteDelay is the time from a crash to the write of the record. By then, crashes that other nodes saw at the same
	// moment are known.
	quarantineWriteDelay = 300 * time.Millisecond
	// quarantineWriteRetry is the time after which a failed write of the record is tried again, quarantineWriteTime the time for
	// which it is.
	quarantineWriteRetry = time.Second
	quarantineWriteTime  = time.Minute
	// trialClaimTimeout bounds the wait of a request for the claim of its trial, trialClaimInterval the time between two claims.
	trialClaimTimeout  = 500 * time.Millisecond
	trialClaimInterval = time.Second
	// unusedTrialTime is the time for which a node keeps a trial that no backend server has run.
	unusedTrialTime = time.Minute
	// trialSpreadPerMember, times the number of members, is the time over which the nodes of a fleet ask for a trial that is due,
	// at most maxTrialSpread. Most of them learn of a claim by gossip before they ask.
	trialSpreadPerMember = 20 * time.Millisecond
	maxTrialSpread       = 4 * time.Second
)

// trialState holds the trials that this node has claimed and that no backend server has run.
type trialState struct {
	mu        sync.Mutex
	unused    map[retry.Fingerprint]time.Time // end of the time for which they are kept
	nextClaim time.Time                       // of the next claim
	claimed   atomic.Int64                    // since the start of the process
}

// takeUnused removes the unused trials of these fingerprints and reports whether there was one for each.
func (s *trialState) takeUnused(fingerprints []retry.Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.unused, func(_ retry.Fingerprint, end time.Time) bool { return now.After(end) })
	for _, f := range fingerprints {
		if _, ok := s.unused[f]; !ok {
			return false
		}
	}
	for _, f := range fingerprints {
		delete(s.unused, f)
	}
	return true
}

func (s *trialState) addUnused(fingerprints []retry.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unused == nil {
		s.unused = map[retry.Fingerprint]time.Time{}
	}
	for _, f := range fingerprints {
		s.unused[f] = now.Add(unusedTrialTime)
	}
}

// mayClaim reports whether the caller may write a claim. It permits one per trialClaimInterval, so that requests that many
// callers repeat don't use up the calls to the store.
func (s *trialState) mayClaim(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextClaim) {
		return false
	}
	s.nextClaim = now.Add(trialClaimInterval)
	return true
}

func parseFingerprints(encoded [][]byte) []retry.Fingerprint {
	var parsed []retry.Fingerprint
	for _, b := range encoded {
		if f, ok := retry.ParseFingerprint(b); ok {
			parsed = append(parsed, f)
		}
	}
	return parsed
}

func (n *Node) isQuarantined(fingerprint []byte) bool {
	f, ok := retry.ParseFingerprint(fingerprint)
	return ok && n.quarantine.Refuses(f, time.Now())
}

// refusedOf returns the fingerprints of a request that are in quarantine.
func (n *Node) refusedOf(encoded [][]byte) []retry.Fingerprint {
	var refused []retry.Fingerprint
	now := time.Now()
	for _, f := range parseFingerprints(encoded) {
		if n.quarantine.Refuses(f, now) {
			refused = append(refused, f)
		}
	}
	return refused
}

// onBackendCrash records the crash of a backend server for a request that it ran.
func (n *Node) onBackendCrash(backend gate.Backend, encoded [][]byte) {
	now := time.Now()
	victim := backend.ID + "@" + strconv.FormatInt(backend.Incarnation, 10)
	fingerprints := parseFingerprints(encoded)
	for _, f := range fingerprints {
		quarantined := n.quarantine.RecordCrash(f, victim, now)
		n.logger.Warn("backend server crashed while running a request", "event", "backend_died", "endpoint", backend.ID,
			"incarnation", backend.Incarnation, "fingerprint", f, "quarantined", quarantined)
	}
	n.engine.AddQuarantine(n.quarantine.EntriesOf(fingerprints, now)...)
	n.scheduleQuarantineWrite()
}

func (n *Node) quarantineEntries(encoded [][]byte) []*wire.QuarantineEntry {
	return n.quarantine.EntriesOf(parseFingerprints(encoded), time.Now())
}

func (n *Node) mergeQuarantine(entries []*wire.QuarantineEntry) {
	n.quarantine.Merge(entries, time.Now())
}

// onRequestSuccess clears a request that was suspected of crashing backend servers.
func (n *Node) onRequestSuccess(encoded ...[]byte) {
	if n.quarantine.IsEmpty() {
		return
	}
	refused := n.refusedOf(encoded)
	var cleared []retry.Fingerprint
	for _, f := range parseFingerprints(encoded) {
		if n.quarantine.RecordSuccess(f) {
			cleared = append(cleared, f)
		}
	}
	if len(cleared) > 0 {
		n.engine.AddQuarantine(n.quarantine.EntriesOf(cleared, time.Now())...)
	}
	if len(refused) > 0 {
		n.logger.Info("quarantine ended by a response", "event", "quarantine_ended", "fingerprints", refused)
		n.quarantineEnded.Store(true)
		n.scheduleQuarantineWrite()
	}
}

// claimTrial reports whether a request in quarantine may run as a trial, and otherwise the time until a trial is due, or 0 if
// none is. It waits for the store if a trial is due.
func (n *Node) claimTrial(ctx context.Context, encoded ...[]byte) (bool, time.Duration) {
	refused, now := n.refusedOf(encoded), time.Now()
	if len(refused) == 0 || n.trials.takeUnused(refused, now) {
		return true, 0 // the quarantine has just ended, or this node has a trial left
	}
	wait, ok := n.quarantine.TrialWait(refused, now)
	if !ok {
		return false, 0
	}
	if wait += n.trialDelay(refused[0]); wait > 0 || !n.trials.mayClaim(now) {
		return false, max(wait, time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	err := n.writeTrial(ctx, refused, now)
	if err != nil && !errors.Is(err, errNoTrial) && !errors.Is(err, objectstore.ErrConflict) {
		n.logger.Info("failed to claim a trial", "event", "store_write_failed", "error", err)
	}
	if err != nil {
		wait, _ := n.quarantine.TrialWait(refused, time.Now())
		return false, max(wait, 0)
	}
	n.trials.claimed.Add(1)
	n.logger.Info("request in quarantine runs as a trial", "event", "quarantine_trial", "fingerprints", refused)
	n.engine.AddQuarantine(n.quarantine.EntriesOf(refused, now)...)
	return true, 0
}

// trialDelay returns the time after which this node asks for a trial that is due. It differs by node.
func (n *Node) trialDelay(f retry.Fingerprint) time.Duration {
	spread := min(time.Duration(len(n.engine.Records()))*trialSpreadPerMember, maxTrialSpread)
	position := maphash.Bytes(n.trialSeed, f.Bytes()) % uint64(max(spread, 1))
	return time.Duration(position)
}

// returnTrial keeps a trial that no backend server has run, for the next request of this node.
func (n *Node) returnTrial(encoded ...[]byte) { n.trials.addUnused(n.refusedOf(encoded), time.Now()) }

var errNoTrial = errors.New("node: no trial is due")

// writeTrial claims a trial in the store. It fails with objectstore.ErrConflict if another node has written the record.
func (n *Node) writeTrial(ctx context.Context, refused []retry.Fingerprint, now time.Time) error {
	change := func(record []*wire.QuarantineEntry) ([]*wire.QuarantineEntry, error) {
		planned, ok := n.quarantine.PlanTrial(record, refused, now)
		if !ok {
			return nil, errNoTrial
		}
		return planned, nil
	}
	if n.store == nil {
		planned, err := change(nil)
		n.quarantine.Merge(planned, now)
		return err
	}
	return n.updateQuarantineRecord(ctx, change)
}

// quarantineRecord is the content of the object quarantineKey.
type quarantineRecord struct {
	Entries [][]byte `json:"entries"` // encoded wire.QuarantineEntry messages
}

// updateQuarantineRecord reads, changes and writes the record in the store, and merges the result. A malformed record is
// replaced.
func (n *Node) updateQuarantineRecord(ctx context.Context, change func([]*wire.QuarantineEntry) ([]*wire.QuarantineEntry, error)) error {
	old, err := n.store.Get(ctx, quarantineKey)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	entries, err := change(n.decodeQuarantineRecord(old.Value))
	if err != nil || len(entries) == 0 && len(old.Value) == 0 {
		return err
	}
	var record quarantineRecord
	for _, e := range entries {
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
		if err != nil {
			return err
		}
		record.Entries = append(record.Entries, encoded)
	}
	value, err := json.Marshal(record)
	if err != nil || string(value) == string(old.Value) {
		return err
	}
	if _, err = n.store.Put(ctx, quarantineKey, value, old.Version); err != nil {
		return err
	}
	n.quarantine.Merge(entries, time.Now())
	return nil
}

// decodeQuarantineRecord decodes the record, which may come from another writer, without malformed entries.
func (n *Node) decodeQuarantineRecord(value []byte) []*wire.QuarantineEntry {
	if len(value) == 0 {
		return nil
	}
	var record quarantineRecord
	err := json.Unmarshal(value, &record)
	var entries []*wire.QuarantineEntry
	for _, encoded := range record.Entries {
		e := &wire.QuarantineEntry{}
		if decodeErr := proto.Unmarshal(encoded, e); decodeErr != nil {
			err = errors.CombineErrors(err, decodeErr)
			continue
		}
		entries = append(entries, e)
	}
	if err != nil {
		n.logger.Warn("malformed quarantine record", "event", "quarantine_malformed", "key", quarantineKey, "error", err)
	}
	return entries
}

// scheduleQuarantineWrite writes the record after quarantineWriteDelay, if this node has changed what belongs there.
func (n *Node) scheduleQuarantineWrite() {
	if n.store == nil || !n.quarantineWritePending.CompareAndSwap(false, true) {
		return
	}
	n.background(func() {
		waited := sleep.For(n.ctx, quarantineWriteDelay)
		n.quarantineWritePending.Store(false)
		if waited && (n.quarantineEnded.Swap(false) || len(n.quarantine.RefusedEntries(time.Now())) > 0) {
			n.storeQuarantine()
		}
	})
}

// storeQuarantine writes the requests in quarantine to the store, so that a restart of all nodes does not lose them. It
// retries for quarantineWriteTime.
func (n *Node) storeQuarantine() {
	for start := time.Now(); time.Since(start) < quarantineWriteTime; {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		err := n.updateQuarantineRecord(ctx, func(record []*wire.QuarantineEntry) ([]*wire.QuarantineEntry, error) {
			now := time.Now()
			n.quarantine.Merge(record, now)
			return n.quarantine.RefusedEntries(now), nil
		})
		cancel()
		if err == nil {
			return
		}
		wait := conflictRetryInterval
		if !errors.Is(err, objectstore.ErrConflict) {
			n.logger.Info("failed to write the quarantine", "event", "store_write_failed", "error", err)
			wait = quarantineWriteRetry
		}
		if !sleep.For(n.ctx, wait) {
			return
		}
	}
}

// readQuarantine reads the requests in quarantine from the store when this node becomes a store reader, and passes them on to the
// other nodes. It retries until that succeeds or ctx ends.
func (n *Node) readQuarantine(ctx context.Context) {
	for wait := firstReadRetryInterval; ; wait = min(2*wait, quarantineWriteRetry) {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		o, err := n.store.Get(readCtx, quarantineKey)
		cancel()
		if err == nil || errors.Is(err, objectstore.ErrNotFound) {
			entries := n.decodeQuarantineRecord(o.Value)
			n.mergeQuarantine(entries)
			n.engine.AddQuarantine(entries...)
			return
		}
		n.logger.Info("failed to read the quarantine", "event", "store_read_failed", "error", err)
		if !sleep.For(ctx, wait) {
			return
		}
	}
}
