package evacuation

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

const (
	// Prefix is the prefix of the store's keys. A domain is evacuated while the key Prefix + domain exists; the value of the
	// object does not matter.
	Prefix = "evacuations/"
	// callTimeout limits one call to the store.
	callTimeout = 3 * time.Second
)

// Reader keeps the set of a node up to date with the store. It reads the whole list at each change and at a regular interval,
// so that a watch that misses a change delays it but does not lose it.
type Reader struct {
	Store objectstore.Store
	// Interval is the time between two lists without a change.
	Interval time.Duration
	// Known returns the newest set that the node knows, from the store or other nodes.
	Known func() Set
	// Adopt merges a listing into the set that the node knows, in one step with the check that the listing lacks nothing after a
	// restore of the store. It returns the domains that it lacks; the set does not change then. Calls do not overlap.
	Adopt func(Listing) (lost []string)
	// Preferred reports whether a node of the domain is known. If too many evacuations are listed, these are kept first.
	Preferred func(domain string) bool
	Log       *slog.Logger

	before  Set // newest set known at the end of the last run of refresh
	dropped []string
	failing bool
}

// Run reads the store until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	r.before = r.Known()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events <-chan objectstore.Event
	for {
		select {
		case <-ctx.Done():
			return
		case _, open := <-events:
			if !open {
				events = nil // watched again after Interval
			}
		case <-timer.C:
			timer.Reset(r.Interval)
		}
		if events == nil {
			events = r.watch(ctx)
		}
		drainEvents(events)
		if err := r.refresh(ctx); ctx.Err() == nil {
			r.logFailure(err)
		}
	}
}

func (r *Reader) watch(ctx context.Context) <-chan objectstore.Event {
	events, err := r.Store.Watch(ctx, Prefix, 0)
	if err != nil {
		return nil
	}
	return events
}

// drainEvents discards the events that are ready, since one list covers all of them.
func drainEvents(events <-chan objectstore.Event) {
	for {
		select {
		case _, open := <-events:
			if open {
				continue
			}
		default:
		}
		return
	}
}

// logFailure logs the first of several failures in a row, and the end of the failures.
func (r *Reader) logFailure(err error) {
	if (err != nil) == r.failing {
		return
	}
	r.failing = err != nil
	if r.failing {
		r.Log.Warn("failed to read evacuations", "event", "evacuations_unread", "error", err)
		return
	}
	r.Log.Info("evacuations are read again", "event", "evacuations_read")
}

// maxRestoreRounds limits the lists of one refresh. The first one shows what a restored store has lost, and another one what has
// been written again; a message of another node may meanwhile name one more.
const maxRestoreRounds = 3

// errStillLost is the error of a refresh after which a restored store still lacks evacuations.
var errStillLost = errors.New("evacuation: the restored store lacks evacuations that were written again")

// refresh lists the store and adopts the listing. Evacuations that a restored store has lost are written again first; until that
// has succeeded, the set does not change.
func (r *Reader) refresh(ctx context.Context) error {
	err := r.readAndRestore(ctx)
	r.before = r.Known()
	return err
}

func (r *Reader) readAndRestore(ctx context.Context) error {
	for range maxRestoreRounds {
		listing, err := r.list(ctx)
		if err != nil {
			return err
		}
		before := r.before
		if known := r.Known(); known.Generation < listing.Generation {
			before = Merge(before, known)
		}
		lost := Lost(before, listing)
		if len(lost) == 0 {
			lost = r.Adopt(listing)
		}
		if len(lost) == 0 {
			return nil
		}
		if err := r.restore(ctx, lost); err != nil {
			return err
		}
	}
	return errStillLost
}

// restore writes the evacuations of domains again.
func (r *Reader) restore(ctx context.Context, domains []string) error {
	for _, domain := range domains {
		if err := Request(ctx, r.Store, domain); err != nil {
			return err
		}
		r.Log.Warn("evacuation written again to a restored store", "event", "evacuation_restored", "domain", domain)
	}
	return nil
}

func (r *Reader) list(ctx context.Context) (Listing, error) {
	l, dropped, err := List(ctx, r.Store, r.Preferred)
	if err == nil && !slices.Equal(dropped, r.dropped) {
		r.dropped = dropped
		if len(dropped) > 0 {
			r.Log.Warn("evacuations ignored", "event", "evacuations_ignored", "count", len(dropped), "first", strings.ToValidUTF8(dropped[0], "?"))
		}
	}
	return l, err
}

// List reads the evacuations in the store. It returns an error that wraps objectstore.ErrUnavailable if the store does not
// state the position of a list. dropped are the names that are invalid or too many.
func List(ctx context.Context, store objectstore.Store, preferred func(string) bool) (l Listing, dropped []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lister, ok := store.(objectstore.PositionLister)
	if !ok {
		return Listing{}, nil, errors.Wrap(objectstore.ErrUnavailable, "evacuation: the store does not state the revision of a list")
	}
	objects, position, err := lister.ListAt(ctx, Prefix)
	if err != nil {
		return Listing{}, nil, err
	}
	names := make([]string, 0, len(objects))
	for _, o := range objects {
		names = append(names, strings.TrimPrefix(o.Key, Prefix))
	}
	kept, dropped := Limit(names, preferred)
	return Listing{Generation: position.Generation, Revision: position.Revision, Domains: kept}, dropped, nil
}

// Request writes the evacuation of a domain to the store. It succeeds if the store has it already.
func Request(ctx context.Context, store objectstore.Store, domain string) error {
	if err := CheckDomain(domain); err != nil {
		return err
	}
	_, err := store.Put(ctx, Prefix+domain, []byte("{}"), objectstore.MustNotExist)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return err
}

// maxEndAttempts limits the tries to delete an evacuation that is written concurrently.
const maxEndAttempts = 3

// End deletes the evacuation of a domain from the store. It succeeds if there is none.
func End(ctx context.Context, store objectstore.Store, domain string) error {
	if err := CheckDomain(domain); err != nil {
		return err
	}
	var err error
	for range maxEndAttempts {
		var o objectstore.Object
		if o, err = store.Get(ctx, Prefix+domain); err == nil {
			err = store.Delete(ctx, o.Key, o.Version)
		}
		if errors.Is(err, objectstore.ErrNotFound) {
			return nil
		}
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
	}
	return err
}
