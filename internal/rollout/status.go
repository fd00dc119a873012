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
	// maxBehindNodes is the maximum number of nodes in Status.Behind.
	maxBehindNodes = 20
	// statusInterval is the minimum time between two writes of one reader. With it, 30 readers make at most 6
	// writes/s.
	statusInterval = 5 * time.Second
	// statusRefresh is the age at which an unchanged status is written again, so that the age of a status shows
	// whether it is still maintained.
	statusRefresh = time.Minute
)

// Status is the progress of rollouts in one failure domain. A reader of the domain writes it for all nodes of the
// domain, because a write for each node and each change would exceed the store's write rate.
type Status struct {
	FailureDomain string         `json:"failure_domain"`
	Reader        string         `json:"reader"`
	At            time.Time      `json:"at"` // by the reader's clock
	Nodes         int            `json:"nodes"`
	ByVersion     map[uint64]int `json:"by_version"` // number of nodes by the version in force
	// Behind holds the identifiers of up to 20 nodes whose version is below the highest one in the domain.
	Behind []string `json:"behind,omitempty"`
}

// Summarize returns the status of the nodes of a failure domain among members.
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
	s.Behind = s.Behind[:min(len(s.Behind), maxBehindNodes)]
	return s
}

func (s Status) sameProgress(other Status) bool {
	return s.Nodes == other.Nodes && maps.Equal(s.ByVersion, other.ByVersion)
}

// StatusWriter writes the status of one failure domain. It is not safe for concurrent use.
type StatusWriter struct {
	Store       objectstore.Store
	lastAttempt time.Time
	lastWritten Status
}

// Publish writes s if it is due: at most every 5 s when the progress has changed, else every minute. It ignores a
// conflict, because the domain's other reader has then written a status at the same time.
func (w *StatusWriter) Publish(ctx context.Context, s Status) error {
	unchanged := s.sameProgress(w.lastWritten) && s.At.Sub(w.lastWritten.At) < statusRefresh
	if unchanged || s.At.Sub(w.lastAttempt) < statusInterval {
		return nil
	}
	w.lastAttempt = s.At
	err := w.write(ctx, s)
	if err == nil {
		w.lastWritten = s
	}
	return err
}

func (w *StatusWriter) write(ctx context.Context, s Status) error {
	key := StatusPrefix + s.FailureDomain
	old, err := w.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	if isAlreadyWritten(old, s) {
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

// isAlreadyWritten reports whether o is a status with the same progress as s that was written less than statusRefresh
// before s, for example by the domain's other reader.
func isAlreadyWritten(o objectstore.Object, s Status) bool {
	var other Status
	if json.Unmarshal(o.Value, &other) != nil {
		return false
	}
	age := s.At.Sub(other.At)
	return other.sameProgress(s) && age >= 0 && age < statusRefresh
}

// Statuses returns the status of each failure domain, ordered by domain name.
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
