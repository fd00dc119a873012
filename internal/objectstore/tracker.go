package objectstore

import "context"

// Tracker sends the events of one watch and remembers what it has sent, so that a list can close the gap that a cut
// has left. It is not safe for concurrent use.
type Tracker struct {
	events chan Event
	known  map[string]int64 // version of each live object that has been sent
}

// NewTracker returns a tracker that has sent nothing.
func NewTracker() *Tracker {
	return &Tracker{events: make(chan Event), known: map[string]int64{}}
}

// Events is the channel on which the events are sent.
func (t *Tracker) Events() <-chan Event { return t.events }

// Close closes the channel.
func (t *Tracker) Close() { close(t.events) }

// Send sends one event. It reports false when ctx ends first.
func (t *Tracker) Send(ctx context.Context, e Event) bool {
	select {
	case <-ctx.Done():
		return false
	case t.events <- e:
	}
	if e.Deleted {
		delete(t.known, e.Object.Key)
	} else {
		t.known[e.Object.Key] = e.Object.Version
	}
	return true
}

// Resync sends what differs between the objects that exist at a revision and what has been sent: objects changed
// after from, and deletions. It reports false when ctx ends first.
func (t *Tracker) Resync(ctx context.Context, objects []Object, from, revision int64) bool {
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Key] = true
		version, sent := t.known[o.Key]
		unseen := !sent && o.Version > from
		changed := sent && o.Version != version
		if (unseen || changed) && !t.Send(ctx, Event{Object: o}) {
			return false
		}
	}
	for key := range t.known {
		gone := Event{Deleted: true, Object: Object{Key: key, Version: revision}}
		if !listed[key] && !t.Send(ctx, gone) {
			return false
		}
	}
	return true
}
