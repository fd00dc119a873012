package rollout

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

const (
	// maxBehind bounds the nodes that a status names.
	maxBehind = 20
	// statusInterval is the least time between two writes of one reader. 30 readers stay below 6 writes/s.
	statusInterval = 5 * time.Second
	// statusRefresh is the age at which an unchanged status is written again, so that a stale one shows.
	statusRefresh = time.Minute
)

// Status is the progress of rollouts in one failure domain. A reader of the domain writes it for all of
// the domain's nodes, because a write for each node and change would exceed the store's write rate.
type Status struct {
	FailureDomain string         `json:"failure_domain"`
	Reader        string         `json:"reader"`
	At            time.Time      `json:"at"` // by the reader's clock
	Nodes         int            `json:"nodes"`
	ByVersion     map[uint64]int `json:"by_version"` // number of nodes by the version in force
	// Behind names up to 20 nodes below the highest version of the domain.
	Behind []string `json:"behind,omitempty"`
}

// Summarize returns the status of one failure domain.
func Summarize(domain, reader string, members []Member, at time.Time) Status {
	s := Status{FailureDomain: domain, Reader: reader, At: at.UTC(), ByVersion: map[uint64]int{}}
	newest := uint64(0)
	for _, m := range members {
		if m.FailureDomain == domain {
			s.Nodes++
			s.ByVersion[m.BundleVersion]++
			newest = max(newest, m.BundleVersion)
		}
	}
	for _, m := range members {
		if m.FailureDomain == domain && m.BundleVersion < newest {
			s.Behind = append(s.Behind, m.NodeID)
		}
	}
	slices.Sort(s.Behind)
	s.Behind = s.Behind[:min(len(s.Behind), maxBehind)]
	return s
}

func (s Status) sameProgress(other Status) bool {
	return s.Nodes == other.Nodes && maps.Equal(s.ByVersion, other.ByVersion)
}

// StatusWriter writes the status of one failure domain. It is not safe for concurrent use.
type StatusWriter struct {
	Store   objectstore.Store
	tried   time.Time
	written Status
}

// Publish writes s if it is due: when the progress changed, at most every 5 s, else every minute. A
// conflict means that the domain's other reader wrote at the same time, which serves as well.
func (w *StatusWriter) Publish(ctx context.Context, s Status) error {
	unchanged := s.sameProgress(w.written) && s.At.Sub(w.written.At) < statusRefresh
	if unchanged || s.At.Sub(w.tried) < statusInterval {
		return nil
	}
	w.tried = s.At
	err := w.write(ctx, s)
	if err == nil {
		w.written = s
	}
	return err
}

func (w *StatusWriter) write(ctx context.Context, s Status) error {
	key := StatusPrefix + s.FailureDomain
	old, err := w.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	if isFresh(old, s) {
		return nil
	}
	value, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "rollout: encode status")
	}
	_, err = w.Store.Put(ctx, key, value, old.Version)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return err
}

// isFresh reports whether the other reader has just written the same progress.
func isFresh(o objectstore.Object, s Status) bool {
	var other Status
	if json.Unmarshal(o.Value, &other) != nil {
		return false
	}
	age := s.At.Sub(other.At)
	return other.sameProgress(s) && age >= 0 && age < statusRefresh
}

// Statuses returns the status of each failure domain, ordered by name.
func Statuses(ctx context.Context, store objectstore.Store) ([]Status, error) {
	objects, err := store.List(ctx, StatusPrefix)
	if err != nil {
		return nil, err
	}
	statuses := make([]Status, len(objects))
	for i, o := range objects {
		if err := json.Unmarshal(o.Value, &statuses[i]); err != nil {
			return nil, errors.Wrap(err, o.Key)
		}
	}
	return statuses, nil
}
