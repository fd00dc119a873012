package objectstoretest

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstore"
)

// ServeHTTP serves the object API over HTTP. It closes the connection of a write that returns ErrUnknownOutcome,
// without a response.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isObject := strings.CutPrefix(r.URL.Path, objectstore.ObjectsPath+"/")
	switch {
	case isObject && r.Method == http.MethodGet:
		s.serveGet(w, r, key)
	case isObject && r.Method == http.MethodPut:
		s.servePut(w, r, key)
	case isObject && r.Method == http.MethodDelete:
		s.serveDelete(w, r, key)
	case r.URL.Path == objectstore.ObjectsPath && r.Method == http.MethodGet:
		s.serveList(w, r)
	case r.URL.Path == objectstore.WatchPath && r.Method == http.MethodGet:
		s.serveWatch(w, r)
	case r.URL.Path == CopyPath && r.Method == http.MethodPost:
		s.keepCopy()
	case r.URL.Path == RestorePath && r.Method == http.MethodPost:
		s.restoreKept()
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	o, err := s.Get(r.Context(), key)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeVersion(w, o)
	_, _ = w.Write(o.Value) // the client detects a broken connection
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, key string) {
	ifVersion, err := objectstore.ParsePrecondition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := s.PutRevision(r.Context(), key, value, ifVersion)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeVersion(w, o)
}

// writeVersion sets the headers that state the revision of an object and the generation of the store that returned it.
func writeVersion(w http.ResponseWriter, o objectstore.Object) {
	revision, _ := objectstore.RevisionOf(o.Version, o.Generation)
	w.Header().Set("ETag", objectstore.FormatETag(revision))
	writeGeneration(w, o.Generation)
}

func writeGeneration(w http.ResponseWriter, generation uint64) {
	w.Header().Set(objectstore.GenerationHeader, strconv.FormatUint(generation, 10))
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	ifVersion, err := objectstore.ParsePrecondition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	generation, err := s.DeleteRevision(r.Context(), key, ifVersion)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeGeneration(w, generation)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	objects, version, generation, err := s.listAt(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		s.writeError(w, err)
		return
	}
	revision, _ := objectstore.RevisionOf(version, generation)
	list := objectstore.ListResponse{Revision: revision}
	for _, o := range objects {
		revision, _ := objectstore.RevisionOf(o.Version, generation)
		list.Objects = append(list.Objects, objectstore.ListObject{Key: o.Key, Value: o.Value, Version: revision})
	}
	writeGeneration(w, generation)
	_ = json.NewEncoder(w).Encode(list) // the client detects a broken connection
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	generation, _, _ := s.Generation()
	if from > s.Revision() {
		writeGeneration(w, generation)
		http.Error(w, "the store does not have this revision", http.StatusGone)
		return
	}
	events, err := s.Watch(r.Context(), query.Get("prefix"), objectstore.VersionOf(generation, from))
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeGeneration(w, generation)
	streamEvents(w, events, generation)
}

// streamEvents writes the events as lines of JSON. It starts with a heartbeat, which tells the client that the watch
// is established, and ends at an event of another generation than the one that the header states.
func streamEvents(w http.ResponseWriter, events <-chan objectstore.Event, generation uint64) {
	heartbeat := time.NewTicker(objectstore.HeartbeatInterval)
	defer heartbeat.Stop()
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	line := objectstore.WatchLine{}
	for {
		if encoder.Encode(line) != nil || flusher.Flush() != nil {
			return
		}
		select {
		case e, open := <-events:
			if !open || e.Object.Generation != generation {
				return
			}
			revision, _ := objectstore.RevisionOf(e.Object.Version, e.Object.Generation)
			line = objectstore.WatchLine{Key: e.Object.Key, Version: revision, Value: e.Object.Value, Deleted: e.Deleted}
		case <-heartbeat.C:
			line = objectstore.WatchLine{}
		}
	}
}

func (s *Store) writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, objectstore.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler)
	}
	generation, _, _ := s.Generation()
	writeGeneration(w, generation)
	http.Error(w, err.Error(), errorStatus(err))
}

func errorStatus(err error) int {
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, objectstore.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, objectstore.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, objectstore.ErrInvalidKey):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
