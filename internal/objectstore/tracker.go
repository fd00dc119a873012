package objectstore

import "context"

// Tracker sends the events of one watch and records the versions that it has sent. After an interruption, the caller
// lists the objects and Resync sends the changes that were missed. A Tracker is not safe for concurrent use.
type Tracker struct {
	events       chan Event
	sentVersions map[string]int64 // versions of the sent objects that have not been deleted since, by key
}

// NewTracker returns a Tracker that has not sent any events.
func NewTracker() *Tracker {
	return &Tracker{events: make(chan Event), sentVersions: map[string]int64{}}
}

// Events returns the channel on which the events are sent.
func (t *Tracker) Events() <-chan Event { return t.events }

// Close closes the channel returned by Events.
func (t *Tracker) Close() { close(t.events) }

// Send sends one event. It returns false if ctx ends first.
func (t *Tracker) Send(ctx context.Context, e Event) bool {
	select {
	case <-ctx.Done():
		return false
	case t.events <- e:
	}
	if e.Deleted {
		delete(t.sentVersions, e.Object.Key)
	} else {
		t.sentVersions[e.Object.Key] = e.Object.Version
	}
	return true
}

// Resync sends the differences between objects, a list taken at the given revision, and the events sent so far:
// objects that have changed since they were sent, unsent objects with a version above from, and deletions. It
// returns false if ctx ends first.
func (t *Tracker) Resync(ctx context.Context, objects []Object, from, revision int64) bool {
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Key] = true
		version, sent := t.sentVersions[o.Key]
		unsent := !sent && o.Version > from
		changed := sent && o.Version != version
		if (unsent || changed) && !t.Send(ctx, Event{Object: o}) {
			return false
		}
	}
	for key := range t.sentVersions {
		deletion := Event{Deleted: true, Object: Object{Key: key, Version: revision}}
		if !listed[key] && !t.Send(ctx, deletion) {
			return false
		}
	}
	return true
}
