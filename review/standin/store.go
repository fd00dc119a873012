package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const hostName = "hulo84.example"

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Rev        int64    `json:"rev"`
		Created    int64    `json:"create_revision"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	addr   string
	server *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	rev     int64
	objects map[string]map[string]object // by kind and name
	events  []event
}

func startStore(r *run, ip string) (*store, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, storePort))
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), rev: 1, changed: make(chan struct{}), objects: map[string]map[string]object{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the time of an answer that the pages state
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name, onlyStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name, onlyStatus)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Rev > from {
				found = append(found, e)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, onlyStatus bool) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if name == "" {
			name = sent.Metadata.Name
		}
	}
	if text := r.URL.Query().Get("rev"); text != "" {
		sent.Metadata.Rev, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method != http.MethodPost && sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		reply(w, http.StatusConflict, old)
		return
	}
	next := old
	switch {
	case onlyStatus:
		next.Status = sent.Status
	case r.Method == http.MethodPost:
		next = sent
	default:
		next.Spec, next.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	reply(w, http.StatusOK, s.apply(kind, name, next, r.Method == http.MethodDelete))
}

// apply stores an object and notifies the watches. It is called with mu held.
func (s *store) apply(kind, name string, o object, deleted bool) object {
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if _, exists := s.objects[kind][name]; !exists {
		o.Metadata.Created = s.rev
	}
	o.Metadata.Name, o.Metadata.Rev = name, s.rev
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.events = append(s.events, event{Object: o, Deleted: deleted, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// configure writes the operator's configuration.
func (s *store) configure(r *run, version int, routes []route, services ...string) {
	rules, clusters := []any{}, []any{}
	for _, x := range routes {
		rules = append(rules, map[string]any{
			"name": "r-" + strings.Trim(x.prefix, "/"), "route_kind": x.kind, "target_latency_ms": x.target, "priority": x.priority,
			"match":  map[string]any{"path_prefix": x.prefix},
			"action": map[string]any{"service": x.service, "timeout_ms": x.timeout, "max_attempts": 2},
		})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 1160, "protocol": "h1", "tls": false})
	}
	spec, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"hostname": hostName, "rules": rules}},
		"clusters":  clusters,
	})
	s.mu.Lock()
	s.apply("config", "main", object{Spec: spec}, false)
	s.mu.Unlock()
	r.log("operator writes configuration %08x: %s", version, spec)
}

// route is a route of the operator's configuration.
type route struct {
	prefix, service, kind string
	target, timeout       int // ms
	priority              int
}

// Routes with the figures of the site pwlc-mesh-grown.
func browseRoute(service string) route {
	return route{"/leny950/", service, "idempotent", 1000, 3000, 2}
}

func reserveRoute(service string) route {
	return route{"/puka111/", service, "non_idempotent", 1200, 4000, 1}
}
