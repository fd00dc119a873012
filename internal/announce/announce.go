// Package announce tracks the backend server on the node's VM and provides the loopback HTTP interface on which it
// announces itself.
package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	maxBodyBytes = 16 << 10
	maxNameBytes = 64
	// TTL is the time without a heartbeat after which a backend server is withdrawn.
	TTL = 5 * time.Second
)

// Announcement is the body of PUT /v1/backend. A backend server repeats it every second.
type Announcement struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is the IP address and port on which the backend server accepts HTTP requests.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`       // 0 means the value in the bundle
	Connections int    `json:"connections"` // 0 means the value in the bundle
	// HealthPath and LoadPath are shown to operators. No decision uses the responses, which may be outdated or
	// wrong: decisions use the gate's own statistics.
	HealthPath string `json:"health_path"`
	LoadPath   string `json:"load_path"`
}

// Validate reports the first field that is missing or malformed.
func (a *Announcement) Validate() error {
	if a.ID == "" || len(a.ID) > maxNameBytes || !utf8.ValidString(a.ID) {
		return errors.Newf("id: 1 to %d bytes of UTF-8 are allowed", maxNameBytes)
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

// Heartbeat is one heartbeat of a backend server.
type Heartbeat struct {
	Announcement
	// Incarnation is the start time of the process in Unix milliseconds, which orders the processes of backend
	// servers at one address. It is 0 if the interface does not provide it; heartbeats are then applied in the
	// order of their arrival.
	Incarnation int64
	// Sequence orders the heartbeats of one incarnation.
	Sequence uint64
	Draining bool
	// SentAfterStart is set if the heartbeat was sent after the start of this process of the node; see Channel.
	SentAfterStart bool
	// SlowStart is the remaining slow start at the time of receipt; 0 means that the backend server is warm, nil that the
	// heartbeat does not state it.
	SlowStart *time.Duration
}

// MaxSlowStart limits the slow start that a heartbeat may state.
const MaxSlowStart = 10 * time.Minute

// SlowStartOf returns the slow start of a heartbeat that states it in milliseconds, at most MaxSlowStart. It returns nil if ms
// is nil or negative.
func SlowStartOf(ms *int64) *time.Duration {
	if ms == nil || *ms < 0 {
		return nil
	}
	remaining := time.Duration(min(*ms, MaxSlowStart.Milliseconds())) * time.Millisecond
	return &remaining
}

// Outcome is the result of a heartbeat.
type Outcome string

// Outcomes of heartbeats. Accepted means that the state of the backend server has changed.
const (
	Accepted Outcome = "accepted"
	// Renewed means that only the sequence number and the time of the last heartbeat have changed.
	Renewed Outcome = "renewed"
	// Stale means that the heartbeat was ignored because a later one is known or its process has left.
	Stale Outcome = "stale"
	// Held means that the heartbeat is applied when EndRestore is called, unless its process has left.
	Held Outcome = "held"
	// Unconfirmed means that the heartbeat was ignored because its process may have left before the node started. Later
	// heartbeats confirm the process; see confirmation.
	Unconfirmed Outcome = "unconfirmed"
)

// serverState is the last known state of the backend server.
type serverState struct {
	current      *Announcement // nil if no backend server is announced
	draining     bool
	incarnation  int64 // newest known; kept after a withdrawal
	sequence     uint64
	deregistered bool // the newest incarnation has deregistered
}

// apply returns the state after a heartbeat. An incarnation that drains never becomes active again, so that a delayed
// heartbeat does not direct requests to a backend server that is about to exit.
func (s serverState) apply(h Heartbeat) (serverState, Outcome) {
	if h.Incarnation != 0 && s.incarnation != 0 {
		sameProcess := h.Incarnation == s.incarnation
		if h.Incarnation < s.incarnation || sameProcess && (s.deregistered || h.Sequence <= s.sequence) {
			return s, Stale
		}
		h.Draining = h.Draining || sameProcess && s.draining
	}
	next := serverState{current: &h.Announcement, draining: h.Draining, incarnation: h.Incarnation, sequence: h.Sequence}
	if s.current != nil && *s.current == h.Announcement && s.draining == h.Draining && s.incarnation == h.Incarnation {
		next.current = s.current
		return next, Renewed
	}
	return next, Accepted
}

// Registry holds the state of the backend server on the node's VM. It is safe for concurrent use.
type Registry struct {
	// OnChange is called when the backend server is announced, changes, drains or is withdrawn. Calls do not
	// overlap. current is nil if no backend server is announced; incarnation is that of its latest heartbeat.
	OnChange func(current *Announcement, incarnation int64, draining bool)
	// OnDeparture is called after a process has announced that it leaves, and before HandleHeartbeat or Deregister returns.
	// It may block for a short time. Set it before the first heartbeat; nil disables the call.
	OnDeparture func(Departure)

	// OnSlowStart is called for each applied heartbeat that states its slow start, after OnChange. received is the time of its
	// receipt. Set it before the first heartbeat; nil disables the call.
	OnSlowStart func(id string, incarnation int64, remaining time.Duration, received time.Time)

	changeMu      sync.Mutex // held during a change and its OnChange call, so that OnChange sees the changes in order
	lastHeartbeat time.Time  // guarded by changeMu

	mu    sync.Mutex
	state serverState

	// departed maps the IDs of servers to the newest of their processes that has left. It includes servers that this node
	// did not know, because a delayed heartbeat may arrive after the deregistration. Guarded by changeMu.
	departed map[string]int64
	// restoring is set until the departures from before the start of the node are known. Guarded by changeMu.
	restoring bool
	held      *Heartbeat // newest heartbeat received while restoring; guarded by changeMu
	heldAt    time.Time  // receipt of held; guarded by changeMu
	// confirmation is that of the newest process from before the start of the node. Guarded by changeMu.
	confirmation confirmation
}

// Departure identifies a process of a backend server that has announced that it leaves.
type Departure struct {
	ID string `json:"id"`
	// Incarnation is the start time of the process in Unix milliseconds, or an upper limit of it.
	Incarnation int64 `json:"incarnation"`
}

// maxDeparted limits the entries of Registry.departed.
const maxDeparted = 64

// hasDeparted reports whether a heartbeat comes from a process that has left. A new process with the same ID has started
// later and therefore has a higher incarnation.
func (r *Registry) hasDeparted(heartbeat Heartbeat) bool {
	newest, ok := r.departed[heartbeat.ID]
	return ok && heartbeat.Incarnation != 0 && heartbeat.Incarnation <= newest
}

// recordDeparture adds an entry to departed. If the map is full, it removes the entry with the oldest process. changeMu must
// be held.
func (r *Registry) recordDeparture(d Departure) {
	if r.departed == nil {
		r.departed = map[string]int64{}
	}
	r.departed[d.ID] = max(r.departed[d.ID], d.Incarnation)
	if len(r.departed) <= maxDeparted {
		return
	}
	oldest := d.ID
	for id, incarnation := range r.departed {
		if incarnation < r.departed[oldest] {
			oldest = id
		}
	}
	delete(r.departed, oldest)
}

// StartRestore makes the registry hold heartbeats of active servers until EndRestore is called: the node has started at the
// given time, and a delayed heartbeat may come from a process whose departure an earlier process of the node has
// acknowledged. A process from before the start must also be confirmed, before it is announced or, if its first heartbeat
// arrives within firstHeartbeatTime, until EndProvisional is called. Heartbeats that were sent after the start confirm their process and
// are not held. Those without an incarnation are neither held nor confirmed, since nothing tells a delayed one.
func (r *Registry) StartRestore(nodeStart time.Time) {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	r.restoring = true
	r.confirmation.nodeStart = nodeStart
}

// AddDepartures adds departures that earlier processes of the node have acknowledged. It withdraws the current backend
// server if it is among them.
func (r *Registry) AddDepartures(departures []Departure) {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	for _, d := range departures {
		r.recordDeparture(d)
		s := r.state
		if s.current != nil && s.current.ID == d.ID && s.incarnation != 0 && s.incarnation <= d.Incarnation && !s.draining {
			r.withdrawLocked(true)
		}
	}
}

// EndRestore ends the hold. known tells whether all departures have been added; the newest heartbeat held is then applied.
// Otherwise it is dropped unless its process is confirmed, since it may have been delayed.
func (r *Registry) EndRestore(now time.Time, known bool) {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	r.restoring = false
	if r.held != nil && (known || r.confirmation.isConfirmed(r.held.ID, r.held.Incarnation)) {
		r.applyLocked(*r.held, now, r.heldAt)
	}
	r.held = nil
}

// Current returns the announced backend server, or nil, and whether it is draining.
func (r *Registry) Current() (*Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.current, r.state.draining
}

// Expire withdraws the backend server if its last heartbeat is older than TTL.
func (r *Registry) Expire(now time.Time) {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	if r.state.current != nil && now.Sub(r.lastHeartbeat) > TTL {
		r.withdrawLocked(false)
	}
}

// setState stores the state and calls OnChange if notify is set. changeMu must be held.
func (r *Registry) setState(next serverState, notify bool) {
	r.mu.Lock()
	r.state = next
	r.mu.Unlock()
	if notify && r.OnChange != nil {
		r.OnChange(next.current, next.incarnation, next.draining)
	}
}

// HandleHeartbeat applies a heartbeat. If the state changes, HandleHeartbeat returns after OnChange, and OnDeparture if the
// server drains, have returned.
func (r *Registry) HandleHeartbeat(heartbeat Heartbeat, now time.Time) Outcome {
	r.changeMu.Lock()
	if r.restoring && !heartbeat.Draining && !heartbeat.SentAfterStart && heartbeat.Incarnation != 0 {
		defer r.changeMu.Unlock()
		return r.hold(heartbeat, now)
	}
	wasDraining := r.state.draining && r.state.incarnation == heartbeat.Incarnation
	outcome := r.applyLocked(heartbeat, now, now)
	r.changeMu.Unlock()
	if outcome == Accepted && heartbeat.Draining && heartbeat.Incarnation != 0 && !wasDraining && r.OnDeparture != nil {
		r.OnDeparture(Departure{ID: heartbeat.ID, Incarnation: heartbeat.Incarnation})
	}
	return outcome
}

// hold keeps the newest heartbeat until EndRestore. changeMu must be held.
func (r *Registry) hold(heartbeat Heartbeat, now time.Time) Outcome {
	if r.hasDeparted(heartbeat) {
		return Stale
	}
	if h := r.held; h != nil && (heartbeat.Incarnation < h.Incarnation ||
		heartbeat.Incarnation == h.Incarnation && heartbeat.Sequence < h.Sequence) {
		return Stale
	}
	r.confirmation.observe(heartbeat, now)
	r.held, r.heldAt = &heartbeat, now
	return Held
}

// applyLocked applies a heartbeat, received at the given time, to the state. changeMu must be held.
func (r *Registry) applyLocked(heartbeat Heartbeat, now, received time.Time) Outcome {
	if r.hasDeparted(heartbeat) {
		return Stale
	}
	next, outcome := r.state.apply(heartbeat)
	if outcome == Stale {
		return outcome
	}
	r.confirmation.observe(heartbeat, received)
	if heartbeat.SentAfterStart && r.held != nil && r.held.Incarnation <= heartbeat.Incarnation {
		r.held = nil // it was sent earlier
	}
	if !r.isAnnounced(heartbeat) && !r.confirmation.permits(heartbeat, received) {
		return Unconfirmed
	}
	r.lastHeartbeat = now
	r.setState(next, outcome == Accepted)
	if heartbeat.SlowStart != nil && r.OnSlowStart != nil {
		r.OnSlowStart(heartbeat.ID, heartbeat.Incarnation, *heartbeat.SlowStart, received)
	}
	return outcome
}

// isAnnounced reports whether the process that sent a heartbeat is the announced one. changeMu must be held.
func (r *Registry) isAnnounced(h Heartbeat) bool {
	s := r.state
	return s.current != nil && s.current.ID == h.ID && s.incarnation == h.Incarnation
}

// Deregister deregisters the backend server with this ID: it withdraws the server and ignores later heartbeats of its
// process. incarnation is that of the process, or 0 if the deregistration doesn't state it; the deregistration then applies
// to every process that has started before now. Deregister reports whether that server was announced. It returns after
// OnChange and OnDeparture have returned.
func (r *Registry) Deregister(id string, incarnation int64, now time.Time) bool {
	r.changeMu.Lock()
	isCurrent := r.state.current != nil && r.state.current.ID == id &&
		(incarnation == 0 || r.state.incarnation == 0 || r.state.incarnation <= incarnation)
	switch {
	case incarnation != 0:
	case isCurrent && r.state.incarnation != 0:
		incarnation = r.state.incarnation
	default:
		incarnation = now.UnixMilli()
	}
	d := Departure{ID: id, Incarnation: incarnation}
	r.recordDeparture(d)
	if isCurrent {
		r.withdrawLocked(true)
	}
	r.changeMu.Unlock()
	if r.OnDeparture != nil {
		r.OnDeparture(d)
	}
	return isCurrent
}

func (r *Registry) drain() bool {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	if r.state.current == nil {
		return false
	}
	if !r.state.draining {
		next := r.state
		next.draining = true
		r.setState(next, true)
	}
	return true
}

func (r *Registry) withdraw() {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	if r.state.current != nil {
		r.withdrawLocked(false)
	}
}

// withdrawLocked removes the announced backend server and keeps its incarnation. changeMu must be held.
func (r *Registry) withdrawLocked(deregistered bool) {
	r.setState(serverState{
		incarnation: r.state.incarnation, sequence: r.state.sequence, draining: r.state.draining, deregistered: deregistered,
	}, true)
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
	var body struct {
		Announcement
		// SlowStartMs is the remaining slow start in milliseconds. It is needed for services with a ramp.
		SlowStartMs *int64 `json:"slow_start_ms"`
	}
	a := &body.Announcement
	decoder := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if body.SlowStartMs != nil && *body.SlowStartMs < 0 {
		http.Error(w, "slow_start_ms: 0 or more is allowed", http.StatusBadRequest)
		return
	}
	r.HandleHeartbeat(Heartbeat{Announcement: *a, SlowStart: SlowStartOf(body.SlowStartMs)}, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
