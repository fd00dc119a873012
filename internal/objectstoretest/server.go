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
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	o, err := s.Get(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", objectstore.FormatETag(o.Version))
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
	o, err := s.Put(r.Context(), key, value, ifVersion)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", objectstore.FormatETag(o.Version))
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	ifVersion, err := objectstore.ParsePrecondition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Delete(r.Context(), key, ifVersion); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := s.listAt(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	list := objectstore.ListResponse{Revision: revision}
	for _, o := range objects {
		list.Objects = append(list.Objects, objectstore.ListObject{Key: o.Key, Value: o.Value, Version: o.Version})
	}
	_ = json.NewEncoder(w).Encode(list) // the client detects a broken connection
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events, err := s.Watch(r.Context(), query.Get("prefix"), from)
	if err != nil {
		writeError(w, err)
		return
	}
	streamEvents(w, events)
}

// streamEvents writes the events as lines of JSON. It starts with a heartbeat, which tells the client that the watch
// is established.
func streamEvents(w http.ResponseWriter, events <-chan objectstore.Event) {
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
			if !open {
				return
			}
			line = objectstore.WatchLine{Key: e.Object.Key, Version: e.Object.Version, Value: e.Object.Value, Deleted: e.Deleted}
		case <-heartbeat.C:
			line = objectstore.WatchLine{}
		}
	}
}

func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, objectstore.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler)
	}
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
