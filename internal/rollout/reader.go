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
	// pollInterval is the time between reads of bundle/current beside the watch. It bounds the delay by
	// a watch that stands but lags, and costs 30 readers 7.5 calls/s in total.
	pollInterval = 4 * time.Second
)

// Member is a live node as membership sees it.
type Member struct {
	NodeID        string
	FailureDomain string
	// BundleVersion is the version that the node has in force.
	BundleVersion uint64
}

// IsReader reports whether self is among the perDomain members of its failure domain with the highest
// rendezvous hash. Nodes with different views may disagree for a moment: more or fewer readers are safe.
func IsReader(self string, members []Member, perDomain int) bool {
	domain, found := domainOf(self, members)
	if !found {
		return false
	}
	own := rendezvous(domain, self)
	ahead := 0
	for _, m := range members {
		if m.FailureDomain != domain || m.NodeID == self {
			continue
		}
		score := rendezvous(domain, m.NodeID)
		if score > own || score == own && m.NodeID < self {
			ahead++
		}
	}
	return ahead < perDomain
}

func domainOf(self string, members []Member) (string, bool) {
	for _, m := range members {
		if m.NodeID == self {
			return m.FailureDomain, true
		}
	}
	return "", false
}

func rendezvous(domain, node string) uint64 { return xxhash.Sum64String(domain + "\x00" + node) }

// Source says where a store holds the bundle in force and how it is decoded. The zero value is the product's own
// record at CurrentKey.
type Source struct {
	Key    string
	Decode func(objectstore.Object) (*bundle.Envelope, error)
	// NoPoll leaves out the reads beside the watch, for stores that count each call and end each watch by
	// themselves within seconds.
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
		return decodeCurrent(o)
	}
	return s.Decode(o)
}

// ReadStale returns the envelope that the store's copies hold; it may be some seconds old and is not verified. Errors
// are those of the store, or of a malformed object.
func (s Source) ReadStale(ctx context.Context, store objectstore.StaleReader) (*bundle.Envelope, error) {
	o, err := store.GetStale(ctx, s.key())
	if err != nil {
		return nil, err
	}
	return s.decode(o)
}

// Reader follows the bundle in a store. Only nodes for which IsReader holds run one.
type Reader struct {
	Store  objectstore.Store
	Source Source
	// Deliver gets each envelope that is new to the reader, one at a time. The envelope is not verified.
	Deliver func(*bundle.Envelope)
	Log     *slog.Logger

	seen int64 // object version that was delivered last
}

// Run follows the bundle until ctx ends. It watches, watches again when the watch is lost, and reads
// the object at an interval.
func (r *Reader) Run(ctx context.Context) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	if r.Source.NoPoll {
		poll.Stop()
	}
	for losses := 0; ctx.Err() == nil; losses++ {
		events, err := r.Store.Watch(ctx, r.Source.key(), r.seen)
		if err != nil {
			r.Log.Warn("bundle watch failed", "error", err)
		} else if r.follow(ctx, events, poll.C) {
			losses = 0
		}
		r.pause(ctx, losses)
	}
}

// follow handles events and polls until the watch is lost. It reports whether the watch delivered anything.
func (r *Reader) follow(ctx context.Context, events <-chan objectstore.Event, poll <-chan time.Time) (delivered bool) {
	for {
		select {
		case <-ctx.Done():
			return delivered
		case <-poll:
			r.poll(ctx)
		case e, open := <-events:
			if !open {
				return delivered
			}
			delivered = true
			r.handle(e)
		}
	}
}

func (r *Reader) poll(ctx context.Context) {
	o, err := r.Store.Get(ctx, r.Source.key())
	switch {
	case err == nil && o.Version != r.seen:
		r.deliver(o)
	case err == nil:
	case !errors.Is(err, objectstore.ErrNotFound) && ctx.Err() == nil:
		r.Log.Warn("bundle read failed", "error", err)
	}
}

// handle drops events that a lagging watch sends after the poll has seen a later version.
func (r *Reader) handle(e objectstore.Event) {
	if e.Object.Key == r.Source.key() && !e.Deleted && e.Object.Version > r.seen {
		r.deliver(e.Object)
	}
}

func (r *Reader) deliver(o objectstore.Object) {
	r.seen = o.Version
	envelope, err := r.Source.decode(o)
	if err != nil {
		r.Log.Error("bundle in the store is malformed", "object_version", o.Version, "error", err)
		return
	}
	r.Deliver(envelope)
}

func decodeCurrent(o objectstore.Object) (*bundle.Envelope, error) {
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

func (r *Reader) pause(ctx context.Context, losses int) {
	timer := time.NewTimer(objectstore.Backoff(losses, rand.Float64))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
