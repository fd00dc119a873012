package account

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errNoSource     = errors.New("account: no node is known that reads the store")
	errNotConfirmed = errors.New("account: the node asked has no recent confirmation")
)

// confirmationsPerRevocation is the number of times that a node tries to confirm its bundle within the time after which an
// unconfirmed bundle is no longer used. Up to three nodes pass a confirmation on, each with an age of up to one interval.
const confirmationsPerRevocation = 5

// ConfirmInterval returns the time between two confirmations of a node when a bundle may be used for revocation without one.
func ConfirmInterval(revocation time.Duration) time.Duration {
	return revocation / confirmationsPerRevocation
}

// Confirmation is the latest time at which the bundle in force at this node was known to be the latest one in the store, or
// newer. The version in force never decreases, so that a confirmation stays true for later bundles. Ages are those of the
// process's monotonic clock. It is safe for concurrent use; the zero value has never been confirmed.
type Confirmation struct {
	mu sync.Mutex
	at time.Time
}

// RecordRead records that a read of the store that was sent at sentAt has returned, and that the bundle that it returned has
// been offered to this node.
func (c *Confirmation) RecordRead(sentAt time.Time) { c.RecordReply(sentAt, 0) }

// RecordReply records the reply of another node whose confirmation had the given age. sentAt is the time at which the request
// was sent: the age at that time was lower, so that neither a late reply nor a pause of either process makes the confirmation
// look younger. The bundle of the reply must have been offered to this node.
func (c *Confirmation) RecordReply(sentAt time.Time, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := sentAt.Add(-age); c.at.IsZero() || at.After(c.at) {
		c.at = at
	}
}

// Age returns the time since the latest confirmation; false if there has been none.
func (c *Confirmation) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.at), !c.at.IsZero()
}

// Within reports whether the latest confirmation is at most limit old.
func (c *Confirmation) Within(now time.Time, limit time.Duration) bool {
	age, confirmed := c.Age(now)
	return confirmed && age <= limit
}

// Follower obtains confirmations from other nodes while this node has no recent one of its own reads.
type Follower struct {
	Confirmation *Confirmation
	Revocation   time.Duration // time for which the bundle is used without a confirmation
	// Sources returns the nodes to ask, the preferred one first.
	Sources func() []string
	// Ask requests the confirmation of a source and offers the bundle of the reply to this node. It returns the age of the
	// source's confirmation, and false if the source has none.
	Ask func(ctx context.Context, source string) (age time.Duration, confirmed bool, err error)
	// OnChange is called when the bundle becomes confirmed or unconfirmed, with the state and the error of the latest
	// request, if any.
	OnChange func(confirmed bool, err error)
}

// retryFraction is the part of the interval after which another source is asked when one has failed.
const retryFraction = 4

// Run asks sources until ctx ends, one in each interval. After a failure it asks the next source sooner. While this node's own
// reads succeed, it asks none.
func (f *Follower) Run(ctx context.Context) {
	interval := ConfirmInterval(f.Revocation)
	// Reads are an interval apart, and an answer takes a while.
	ownReadAge := interval + interval/2
	wasConfirmed, failures := false, 0
	var lastErr error
	var nextAsk time.Time
	ticker := time.NewTicker(interval / retryFraction)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if now := time.Now(); !now.Before(nextAsk) && !f.Confirmation.Within(now, ownReadAge) {
			if lastErr = f.askOne(ctx, interval, failures); lastErr != nil {
				failures++
			} else {
				failures, nextAsk = 0, now.Add(interval)
			}
		}
		if confirmed := f.Confirmation.Within(time.Now(), f.Revocation); confirmed != wasConfirmed {
			wasConfirmed = confirmed
			f.OnChange(confirmed, lastErr)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// askOne asks one of the sources, the preferred one if there have been no failures.
func (f *Follower) askOne(ctx context.Context, timeout time.Duration, failures int) error {
	sources := f.Sources()
	if len(sources) == 0 {
		return errNoSource
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	age, confirmed, err := f.Ask(ctx, sources[failures%len(sources)])
	switch {
	case err != nil:
		return err
	case !confirmed:
		return errNotConfirmed
	}
	f.Confirmation.RecordReply(sentAt, age)
	if age > f.Revocation {
		return errNotConfirmed
	}
	return nil
}
