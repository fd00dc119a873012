// Package announce is the loopback HTTP interface by which a backend server announces itself to its node.
package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxBodyBytes = 16 << 10
	maxNameBytes = 64
	// Lifetime is the time after which a backend server that has not repeated its announcement is withdrawn.
	Lifetime = 5 * time.Second
)

// Announcement is the body of PUT /v1/backend. A backend server repeats it every second.
type Announcement struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is the IP address and port on which the backend server takes HTTP requests.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`       // 0: the bundle's value
	Connections int    `json:"connections"` // 0: the bundle's value
	// HealthPath and LoadPath are shown to operators. No decision uses their answers, which lag or
	// mislead: the gate's own figures decide.
	HealthPath string `json:"health_path"`
	LoadPath   string `json:"load_path"`
}

// Validate reports the first field that is missing or malformed.
func (a *Announcement) Validate() error {
	if a.ID == "" || len(a.ID) > maxNameBytes {
		return errors.Newf("id: 1 to %d bytes are allowed", maxNameBytes)
	}
	if a.Service == "" || len(a.Service) > maxNameBytes {
		return errors.Newf("service: 1 to %d bytes are allowed", maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Newf("address: an IP address and port are allowed, not %q", a.Address)
	}
	if a.Slots < 0 || a.Connections < 0 {
		return errors.New("slots and connections: 0 or more is allowed")
	}
	return nil
}

// Registry holds the backend server beside the node. It is safe for concurrent use.
type Registry struct {
	// OnChange is called, one call at a time, when the backend server appears, changes, drains or goes.
	// current is nil when none is announced.
	OnChange func(current *Announcement, draining bool)

	changes sync.Mutex // held during a change and its OnChange, so that changes are reported in order
	renewed time.Time  // guarded by changes

	mu       sync.Mutex
	current  *Announcement
	draining bool
}

// Current returns the announced backend server or nil, and whether it drains.
func (r *Registry) Current() (*Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.draining
}

// Expire withdraws a backend server that has not repeated its announcement within Lifetime.
func (r *Registry) Expire(now time.Time) {
	r.changes.Lock()
	defer r.changes.Unlock()
	if r.current != nil && now.Sub(r.renewed) > Lifetime {
		r.set(nil, false)
	}
}

// set is called with changes held.
func (r *Registry) set(a *Announcement, draining bool) {
	r.mu.Lock()
	r.current, r.draining = a, draining
	r.mu.Unlock()
	if r.OnChange != nil {
		r.OnChange(a, draining)
	}
}

func (r *Registry) announce(a *Announcement, now time.Time) {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.renewed = now
	if r.current != nil && *r.current == *a && !r.draining {
		return
	}
	r.set(a, false)
}

func (r *Registry) drain() bool {
	r.changes.Lock()
	defer r.changes.Unlock()
	if r.current == nil {
		return false
	}
	if !r.draining {
		r.set(r.current, true)
	}
	return true
}

func (r *Registry) withdraw() {
	r.changes.Lock()
	defer r.changes.Unlock()
	if r.current != nil {
		r.set(nil, false)
	}
}

// Handler serves PUT /v1/backend, POST /v1/backend/drain, DELETE /v1/backend and GET /v1/backend.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backend", r.handleAnnounce)
	mux.HandleFunc("POST /v1/backend/drain", func(w http.ResponseWriter, _ *http.Request) {
		if !r.drain() {
			http.Error(w, "no backend server is announced", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /v1/backend", func(w http.ResponseWriter, _ *http.Request) {
		r.withdraw()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/backend", func(w http.ResponseWriter, _ *http.Request) {
		current, _ := r.Current()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(current)
	})
	return mux
}

func (r *Registry) handleAnnounce(w http.ResponseWriter, req *http.Request) {
	a := &Announcement{}
	decoder := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.announce(a, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
