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

// Report is one heartbeat of a backend server over an interface that orders heartbeats.
type Heartbeat struct {
	Announcement
	// Incarnation orders the processes of backend servers at one address: the start in unix milliseconds. Zero
	// means that the interface states none; reports are then taken in the order of their arrival.
	Incarnation int64
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	Draining bool
}

// Outcome says what became of a report.
type Outcome string

// Outcomes of reports.
const (
	Accepted Outcome = "accepted"
	// Renewed means that nothing but the time of the last report has changed.
	Renewed Outcome = "renewed"
	// Stale means that a later report or incarnation was known.
	Stale Outcome = "stale"
)

// state is what the registry knows of the backend server at its address.
type state struct {
	current     *Announcement // nil when none is announced
	draining    bool
	incarnation int64 // newest known, also after the server has gone
	sequence    uint64
	gone        bool // the newest incarnation has left
}

// apply returns the state after a report. A drain is final for an incarnation: a report that was delayed on
// its way must not bring work to a server that is about to exit.
func (s state) apply(r Heartbeat) (state, Outcome) {
	if r.Incarnation != 0 && s.incarnation != 0 {
		sameProcess := r.Incarnation == s.incarnation
		if r.Incarnation < s.incarnation || sameProcess && (s.gone || r.Sequence <= s.sequence) {
			return s, Stale
		}
		r.Draining = r.Draining || sameProcess && s.draining
	}
	next := state{current: &r.Announcement, draining: r.Draining, incarnation: r.Incarnation, sequence: r.Sequence}
	if s.current != nil && *s.current == r.Announcement && s.draining == r.Draining && s.incarnation == r.Incarnation {
		next.current = s.current
		return next, Renewed
	}
	return next, Accepted
}

// Registry holds the backend server beside the node. It is safe for concurrent use.
type Registry struct {
	// OnChange is called, one call at a time, when the backend server appears, changes, drains or goes.
	// current is nil when none is announced.
	OnChange func(current *Announcement, draining bool)

	changes sync.Mutex // held during a change and its OnChange, so that changes are reported in order
	renewed time.Time  // guarded by changes

	mu    sync.Mutex
	state state

	// left holds the newest possible incarnation of each server that announced its end, by ID. Servers that this
	// process has not heard of before are among them, since their delayed reports may follow. Guarded by changes.
	left map[string]int64
}

// maxLeft bounds the memory of servers that have left.
const maxLeft = 64

// hasLeft reports whether a report is of a process that has announced its end. A server that starts again under its
// old ID was born after that.
func (r *Registry) hasLeft(report Heartbeat) bool {
	at, left := r.left[report.ID]
	return left && report.Incarnation != 0 && report.Incarnation <= at
}

// rememberLeft is called with changes held. The process that leaves was born before at, or at the known time.
func (r *Registry) rememberLeft(id string, at int64) {
	if r.state.current != nil && r.state.current.ID == id && r.state.incarnation != 0 {
		at = r.state.incarnation
	}
	if r.left == nil || len(r.left) >= maxLeft {
		r.left = map[string]int64{}
	}
	r.left[id] = at
}

// Current returns the announced backend server or nil, and whether it drains.
func (r *Registry) Current() (*Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.current, r.state.draining
}

// Expire withdraws a backend server that has not repeated its announcement within Lifetime.
func (r *Registry) Expire(now time.Time) {
	r.changes.Lock()
	defer r.changes.Unlock()
	if r.state.current != nil && now.Sub(r.renewed) > Lifetime {
		r.withdrawLocked(false)
	}
}

// set is called with changes held.
func (r *Registry) set(next state, report bool) {
	r.mu.Lock()
	r.state = next
	r.mu.Unlock()
	if report && r.OnChange != nil {
		r.OnChange(next.current, next.draining)
	}
}

// Report takes a heartbeat. OnChange has returned when it returns.
func (r *Registry) HandleHeartbeat(report Heartbeat, now time.Time) Outcome {
	r.changes.Lock()
	defer r.changes.Unlock()
	if r.hasLeft(report) {
		return Stale
	}
	next, outcome := r.state.apply(report)
	if outcome == Stale {
		return outcome
	}
	r.renewed = now
	r.set(next, outcome == Accepted)
	return outcome
}

// Leave takes the notice that the backend server with this ID leaves for good. It reports whether that server
// was announced.
func (r *Registry) Deregister(id string, now time.Time) bool {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.rememberLeft(id, now.UnixMilli())
	if r.state.current == nil || r.state.current.ID != id {
		return false
	}
	r.withdrawLocked(true)
	return true
}

func (r *Registry) drain() bool {
	r.changes.Lock()
	defer r.changes.Unlock()
	if r.state.current == nil {
		return false
	}
	if !r.state.draining {
		next := r.state
		next.draining = true
		r.set(next, true)
	}
	return true
}

func (r *Registry) withdraw() {
	r.changes.Lock()
	defer r.changes.Unlock()
	if r.state.current != nil {
		r.withdrawLocked(false)
	}
}

// withdrawLocked is called with changes held.
func (r *Registry) withdrawLocked(gone bool) {
	r.set(state{incarnation: r.state.incarnation, sequence: r.state.sequence, draining: r.state.draining, gone: gone}, true)
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
	r.HandleHeartbeat(Heartbeat{Announcement: *a}, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
