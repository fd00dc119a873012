// Package admin implements a node's administration API: health, metrics, state dump, drain, evacuations and bundle status, as JSON
// over HTTP.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/evacuation"
)

// Health is the response body of GET /v1/health, POST /v1/drain and POST /v1/undrain.
type Health struct {
	// Status is "ok", "draining", or "starting" while no bundle is in force.
	Status        string `json:"status"`
	NodeID        string `json:"node_id"`
	BundleVersion uint64 `json:"bundle_version"`
	LiveMembers   int    `json:"live_members"`
}

// BundleStatus is the response body of GET /v1/bundle.
type BundleStatus struct {
	Version uint64 `json:"version"`
	// Refused is the reason why the newest bundle offered is not in force. It is empty if that bundle is in force.
	Refused string `json:"refused,omitempty"`
	// Nodes maps each member to the bundle version in force there, as known to this node.
	Nodes map[string]uint64 `json:"nodes"`
}

// Evacuations is the response body of GET /v1/evacuations, and of PUT and DELETE /v1/evacuations/DOMAIN.
type Evacuations struct {
	Enabled bool `json:"enabled"`
	// Known is false while the node has not learned the set from the store or another node.
	Known bool `json:"known"`
	evacuation.Set
	// Here is "evacuated" if the node's own failure domain is, "unknown" while the gate waits for the set, else "none".
	Here string `json:"here"`
}

// evacuationTimeout limits the time for which a request waits for the store.
const evacuationTimeout = 5 * time.Second

// handleEvacuation returns the handler that requests or ends the evacuation of the domain in the path.
func handleEvacuation(n Node, evacuated bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), evacuationTimeout)
		defer cancel()
		err := n.SetEvacuated(ctx, r.PathValue("domain"), evacuated)
		switch {
		case err == nil:
			writeJSON(w, http.StatusOK, n.Evacuations())
		case errors.Is(err, evacuation.ErrInvalid):
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

// Node is the interface of the node that the administration API serves. Its methods must be safe for concurrent use.
type Node interface {
	Health() Health
	BundleStatus() BundleStatus
	// Dump returns the whole state of the node as a value that encoding/json can marshal.
	Dump() any
	// Metrics returns the values of counters and gauges by name.
	Metrics() map[string]int64
	// SetLeaving starts the drain of the node, which then refuses new work, or ends the drain. It does not end the
	// process.
	SetLeaving(leaving bool)
	Evacuations() Evacuations
	// SetEvacuated requests or ends the evacuation of a failure domain. It returns nil once the store has acknowledged it.
	SetEvacuated(ctx context.Context, domain string, evacuated bool) error
}

// New returns the handler of the admin listener. If token is not empty, each request must carry it as a bearer token.
func New(n Node, token string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		h := n.Health()
		status := http.StatusOK
		if h.Status != "ok" {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, h)
	})
	mux.HandleFunc("GET /v1/bundle", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.BundleStatus())
	})
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.Dump())
	})
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		n.SetLeaving(true)
		writeJSON(w, http.StatusOK, n.Health())
	})
	mux.HandleFunc("POST /v1/undrain", func(w http.ResponseWriter, _ *http.Request) {
		n.SetLeaving(false)
		writeJSON(w, http.StatusOK, n.Health())
	})
	mux.HandleFunc("GET /v1/evacuations", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.Evacuations())
	})
	mux.HandleFunc("PUT /v1/evacuations/{domain}", handleEvacuation(n, true))
	mux.HandleFunc("DELETE /v1/evacuations/{domain}", handleEvacuation(n, false))
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, r *http.Request) { serveVars(w, n) })
	return authenticate(mux, token)
}

// serveVars writes the variables of package expvar and, under the key "node", the metrics of this node. The node's
// metrics are not published through expvar, because one process may run several nodes.
func serveVars(w http.ResponseWriter, n Node) {
	vars := new(expvar.Map)
	for name, value := range n.Metrics() {
		v := new(expvar.Int)
		v.Set(value)
		vars.Set(name, v)
	}
	all := map[string]json.RawMessage{"node": json.RawMessage(vars.String())}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	writeJSON(w, http.StatusOK, all)
}

func authenticate(next http.Handler, token string) http.Handler {
	if token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "a bearer token is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
