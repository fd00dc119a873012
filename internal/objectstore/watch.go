package objectstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Watch implements Store. After an interruption it lists the objects, sends the changes that were missed,
// including deletions of objects that it has sent before, and watches again from the revision of the list. The
// channel closes only when ctx ends.
func (c *Client) Watch(ctx context.Context, prefix string, fromVersion int64) (<-chan Event, error) {
	w := &watch{
		client:  c,
		prefix:  prefix,
		from:    fromVersion,
		tracker: NewTracker(),
	}
	go w.run(ctx)
	return w.tracker.Events(), nil
}

type watch struct {
	client  *Client
	prefix  string
	from    int64 // version up to which changes were sent or listed
	tracker *Tracker
}

func (w *watch) run(ctx context.Context) {
	defer w.tracker.Close()
	for failures := 0; ctx.Err() == nil; failures++ {
		if w.stream(ctx) {
			failures = 0
		}
		if sleepBackoff(ctx, failures) != nil {
			return
		}
		w.resync(ctx)
	}
}

// stream sends the events of one watch request until it ends. It reports whether any line was received.
func (w *watch) stream(ctx context.Context) (delivered bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(w.client.options.WatchIdleTimeout, cancel)
	defer idleTimer.Stop()
	response, generation, err := w.open(ctx)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var line WatchLine
		if decoder.Decode(&line) != nil {
			return delivered
		}
		idleTimer.Reset(w.client.options.WatchIdleTimeout)
		delivered = true
		if line.Key == "" {
			continue
		}
		object := Object{Key: line.Key, Value: line.Value, Version: VersionOf(generation, line.Version), Generation: generation}
		if !w.tracker.Send(ctx, Event{Deleted: line.Deleted, Object: object}) {
			return delivered
		}
		w.from = max(w.from, object.Version)
	}
}

func (w *watch) open(ctx context.Context) (*http.Response, uint64, error) {
	if err := w.client.limiter.Wait(ctx); err != nil {
		return nil, 0, err
	}
	condition, err := w.client.Condition(w.from)
	if err != nil {
		return nil, 0, err
	}
	target := w.client.base.JoinPath(WatchPath)
	query := url.Values{"prefix": {w.prefix}, "from": {strconv.FormatInt(condition.Revision, 10)}}
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, 0, err
	}
	w.client.authorize(request)
	response, err := w.client.http.Do(request)
	if err != nil {
		return nil, 0, err
	}
	generation, err := w.client.Observe(response.Header, GenerationHeader)
	if err == nil && w.from != MustNotExist {
		err = condition.Check(generation)
	}
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("watch: status %d", response.StatusCode)
	}
	if err != nil {
		response.Body.Close()
		return nil, 0, err
	}
	return response, generation, nil
}

// resync lists the objects and sends the changes that were missed since the last event.
func (w *watch) resync(ctx context.Context) {
	objects, revision, err := w.client.listAt(ctx, w.prefix)
	if err != nil {
		return
	}
	if w.tracker.Resync(ctx, objects, w.from, revision) {
		w.from = revision
	}
}
