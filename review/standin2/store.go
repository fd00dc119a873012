package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, with the calls that nodes make.
type store struct {
	address string

	mu      sync.Mutex
	down    bool          // answers 503
	changed chan struct{} // closed at the next change
	rev     int64
	objects map[string]*object // by kind/name
	history []event
}

type object struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type objectMetadata struct {
	Name           string   `json:"name"`
	Rev            int64    `json:"rev"`
	CreateRevision int64    `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type event struct {
	kind    string
	rev     int64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), changed: make(chan struct{}), rev: 1, objects: map[string]*object{}}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// setDown makes the store answer 503 to nodes while it is down.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes an object unconditionally, as the operator does.
func (s *store) put(kind, name string, spec any) error {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
	return nil
}

// write stores an object. It is called with mu held.
func (s *store) write(kind, name string, spec json.RawMessage) *object {
	s.rev++
	o := &object{Metadata: objectMetadata{Name: name, Rev: s.rev, CreateRevision: s.rev, Finalizers: []string{}}, Spec: spec}
	if old := s.objects[kind+"/"+name]; old != nil {
		o.Metadata.CreateRevision = old.Metadata.CreateRevision
	}
	s.objects[kind+"/"+name] = o
	s.record(event{kind: kind, rev: s.rev, Object: *o})
	return o
}

// record adds a change to the history and wakes the watches. It is called with mu held.
func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name, body)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []*object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, o)
		}
	}
	asOf := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b *object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > from {
				events = append(events, e)
			}
		}
		asOf, changed, down := s.rev, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// change handles the calls that write.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var o object
	if len(body) > 0 && json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Rev
	if text := r.URL.Query().Get("rev"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && old != nil, old != nil && expected != 0 && expected != old.Metadata.Rev:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && old == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.rev++
		delete(s.objects, kind+"/"+name)
		s.record(event{kind: kind, rev: s.rev, Object: *old, Deleted: true})
		reply(w, http.StatusOK, old)
	case r.Method != http.MethodPost && string(o.Spec) == string(old.Spec):
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}
