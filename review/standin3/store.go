package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store: objects by kind and name, with one revision counter, lists and watches.
type store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	revision int64
	objects  map[string]map[string]*object // by kind and name
	history  []event
	silent   bool // calls get no answer
}

type object struct {
	Metadata struct {
		Name           string   `json:"name"`
		Rev            int64    `json:"rev"`
		CreateRevision int64    `json:"create_revision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 1, objects: map[string]map[string]*object{}}
}

func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		fatal("encode %s/%s: %v", kind, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text, nil)
}

// write creates or replaces an object. mu must be held.
func (s *store) write(kind, name string, spec, status json.RawMessage) *object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := object{}
	if old := s.objects[kind][name]; old != nil {
		o = *old
	} else {
		o.Metadata.Name, o.Metadata.CreateRevision, o.Metadata.Finalizers = name, s.revision, []string{}
	}
	o.Metadata.Rev = s.revision
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	s.objects[kind][name] = &o
	s.record(event{kind: kind, Object: o})
	return &o
}

// record adds an event and wakes the watches. mu must be held.
func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent makes the store answer no calls, nor those that wait, until it is set back.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		_, _ = io.Copy(io.Discard, r.Body) // net/http notices a closed connection only after the body
		<-r.Context().Done()
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, r, kind, name, isStatus)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, *o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Rev > from {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && old != nil:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case old != nil && sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		reply(w, http.StatusConflict, old)
		return
	case old != nil && !isStatus && string(old.Spec) == string(sent.Spec):
		reply(w, http.StatusOK, old)
		return
	}
	if isStatus {
		reply(w, http.StatusOK, s.write(kind, name, nil, sent.Status))
		return
	}
	reply(w, http.StatusOK, s.write(kind, name, sent.Spec, nil))
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	rev, _ := strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64)
	switch {
	case old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case rev != 0 && rev != old.Metadata.Rev:
		reply(w, http.StatusConflict, old)
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *old
	gone.Metadata.Rev = s.revision
	s.record(event{kind: kind, Object: gone, Deleted: true})
	reply(w, http.StatusOK, gone)
}
