package backendtest

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Run counts the runs of one request ID.
type Run struct {
	// Started counts the times a server started to run the request.
	Started int `json:"started"`
	// Completed counts the runs whose response was written in full.
	Completed int `json:"completed"`
	// NonIdempotent is set for requests that must not run twice.
	NonIdempotent bool `json:"non_idempotent"`
}

// RunLog records runs by request ID. It is safe for concurrent use.
type RunLog struct {
	mu   sync.Mutex
	runs map[string]Run
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog { return &RunLog{runs: map[string]Run{}} }

func (l *RunLog) start(id string, nonIdempotent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	r.Started++
	r.NonIdempotent = r.NonIdempotent || nonIdempotent
	l.runs[id] = r
}

func (l *RunLog) complete(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	r.Completed++
	l.runs[id] = r
}

// Get returns the runs of a request ID; the zero value means that it never ran.
func (l *RunLog) Get(id string) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Duplicates returns the IDs of non-idempotent requests that ran more than once.
func (l *RunLog) Duplicates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, r := range l.runs {
		if r.NonIdempotent && r.Started > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Len returns the number of request IDs in the log.
func (l *RunLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// ServeHTTP writes the log as a JSON object that maps request IDs to Runs.
func (l *RunLog) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	data, err := json.Marshal(l.runs)
	l.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
