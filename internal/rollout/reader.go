package rollout

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstore"
)

const (
	// pollInterval is the time between reads of bundle/current in addition to the watch. The reads bound the delay
	// when a watch is open but delivers late. With 30 readers they cost 7.5 calls/s in total.
	pollInterval = 4 * time.Second
)

// Member is a live node according to the local membership view.
type Member struct {
	NodeID        string
	FailureDomain string
	// BundleVersion is the version that the node has in force.
	BundleVersion uint64
	PeerAddr      string
}

// IsReader reports whether self is among the perDomain members of its failure domain with the highest
// rendezvous hashes. Nodes whose membership views differ may disagree for a short time, which is safe: the failure
// domain then has more or fewer readers.
func IsReader(self string, members []Member, perDomain int) bool {
	domain, found := failureDomainOf(self, members)
	if !found {
		return false
	}
	ownHash := rendezvousHash(domain, self)
	higher := 0
	for _, m := range members {
		if m.FailureDomain != domain || m.NodeID == self {
			continue
		}
		hash := rendezvousHash(domain, m.NodeID)
		if hash > ownHash || hash == ownHash && m.NodeID < self {
			higher++
		}
	}
	return higher < perDomain
}

func failureDomainOf(self string, members []Member) (string, bool) {
	for _, m := range members {
		if m.NodeID == self {
			return m.FailureDomain, true
		}
	}
	return "", false
}

func rendezvousHash(domain, node string) uint64 { return xxhash.Sum64String(domain + "\x00" + node) }

// Source describes the object of a store that holds the bundle in force, and its encoding. The zero value describes
// the Record at CurrentKey.
type Source struct {
	Key    string // empty: CurrentKey
	Decode func(objectstore.Object) (*bundle.Envelope, error)
	// NoPoll disables the reads that a Reader makes in addition to its watch. It is for stores that count each
	// call and that end each watch themselves within seconds.
	NoPoll bool
}

func (s Source) key() string {
	if s.Key == "" {
		return CurrentKey
	}
	return s.Key
}

func (s Source) decode(o objectstore.Object) (*bundle.Envelope, error) {
	if s.Decode == nil {
		return decodeRecordObject(o)
	}
	return s.Decode(o)
}

// ReadStale returns the envelope from a stale read of the store. It may be some seconds old and is not verified. An error
// is that of the store or reports a malformed object.
func (s Source) ReadStale(ctx context.Context, store objectstore.StaleReader) (*bundle.Envelope, error) {
	o, err := store.GetStale(ctx, s.key())
	if err != nil {
		return nil, err
	}
	return s.decode(o)
}

// Read returns the envelope from a read of the store that is not stale. It is not verified. An error is that of the store or
// reports a malformed object.
func (s Source) Read(ctx context.Context, store objectstore.Store) (*bundle.Envelope, error) {
	o, err := store.Get(ctx, s.key())
	if err != nil {
		return nil, err
	}
	return s.decode(o)
}

// Reader watches the bundle in a store and delivers each new version. Only nodes for which IsReader is true run one.
type Reader struct {
	Store  objectstore.Store
	Source Source
	// Deliver is called with each new envelope, one call at a time. The envelope is not verified.
	Deliver func(*bundle.Envelope)
	Log     *slog.Logger
	// OnConfirmed is called after each read of the object that succeeded, with the time at which the read was sent. The
	// bundle in force is then the latest valid one as of that time: an object that is newer and valid has been delivered.
	// If it is nil, ConfirmInterval does not apply.
	OnConfirmed func(sentAt time.Time)
	// ConfirmInterval is the time between the reads for OnConfirmed, which are made in addition to all others.
	ConfirmInterval time.Duration

	lastVersion int64 // version of the last object that was delivered or was malformed
}

// Run delivers envelopes until ctx is canceled. It watches the object, starts a new watch when one ends, and also
// reads the object every pollInterval unless Source.NoPoll is set.
func (r *Reader) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	if r.Source.NoPoll {
		ticker.Stop()
	}
	confirm := r.confirmTicks(ctx)
	for failures := 0; ctx.Err() == nil; failures++ {
		events, err := r.Store.Watch(ctx, r.Source.key(), r.lastVersion)
		if err != nil {
			r.Log.Warn("bundle watch failed", "error", err)
		} else if r.follow(ctx, events, ticker.C, confirm) {
			failures = 0
		}
		r.backOff(ctx, failures)
	}
}

// follow handles events and polls until the watch ends or ctx is canceled. It reports whether the watch delivered an
// event.
func (r *Reader) follow(ctx context.Context, events <-chan objectstore.Event, poll, confirm <-chan time.Time) (delivered bool) {
	for {
		select {
		case <-ctx.Done():
			return delivered
		case <-poll:
			r.poll(ctx)
		case <-confirm:
			r.confirm(ctx)
		case e, open := <-events:
			if !open {
				return delivered
			}
			delivered = true
			r.handleEvent(e)
		}
	}
}

// confirmTicks returns a channel that is ready at each ConfirmInterval until ctx is canceled, and at once for the first time;
// nil without OnConfirmed.
func (r *Reader) confirmTicks(ctx context.Context) <-chan time.Time {
	if r.OnConfirmed == nil {
		return nil
	}
	ticks := make(chan time.Time, 1)
	ticks <- time.Now()
	go func() {
		ticker := time.NewTicker(r.ConfirmInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case now := <-ticker.C:
				select {
				case ticks <- now:
				default: // the previous read has not ended
				}
			}
		}
	}()
	return ticks
}

// confirm reads the object within ConfirmInterval, so that a store that does not respond delays the events of the watch no
// longer.
func (r *Reader) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.ConfirmInterval)
	defer cancel()
	sentAt := time.Now()
	if r.poll(ctx) {
		r.OnConfirmed(sentAt)
	}
}

// poll reads the object and delivers it if it differs from the last one. It reports whether the read succeeded.
func (r *Reader) poll(ctx context.Context) bool {
	o, err := r.Store.Get(ctx, r.Source.key())
	switch {
	case err == nil && o.Version != r.lastVersion:
		r.deliver(o)
	case err == nil:
	case !errors.Is(err, objectstore.ErrNotFound) && ctx.Err() == nil:
		r.Log.Warn("bundle read failed", "error", err)
	}
	return err == nil
}

// handleEvent delivers the object of an event. It ignores versions that are not newer than the last one, because a
// delayed watch sends events for versions that the poll has already delivered.
func (r *Reader) handleEvent(e objectstore.Event) {
	if e.Object.Key == r.Source.key() && !e.Deleted && e.Object.Version > r.lastVersion {
		r.deliver(e.Object)
	}
}

func (r *Reader) deliver(o objectstore.Object) {
	r.lastVersion = o.Version
	envelope, err := r.Source.decode(o)
	if err != nil {
		r.Log.Error("bundle in the store is malformed", "object_version", o.Version, "error", err)
		return
	}
	r.Deliver(envelope)
}

// decodeRecordObject decodes the envelope of a sealed Record.
func decodeRecordObject(o objectstore.Object) (*bundle.Envelope, error) {
	sealed, err := objectstore.Unseal(o)
	if err != nil {
		return nil, err
	}
	record, err := decodeRecord(sealed)
	if err != nil {
		return nil, err
	}
	return record.Decode()
}

func (r *Reader) backOff(ctx context.Context, failures int) {
	timer := time.NewTimer(objectstore.Backoff(failures, rand.Float64))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
