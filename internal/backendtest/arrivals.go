package backendtest

import (
	"encoding/json"
	"net/http"
	"time"
)

// Arrival describes a request that a server has started to run. Unlike the run log, arrivals written to a file outlive
// the server's process.
type Arrival struct {
	ID       string    `json:"id"`
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
	// Started is when the server started, and Cold reports whether its slow start goes on.
	Started time.Time `json:"started"`
	Cold    bool      `json:"cold"`
	// Accounts are the values of the account header.
	Accounts []string `json:"accounts"`
	// HasKey reports whether the request still carried the caller's key.
	HasKey bool `json:"has_key"`
}

func (s *Server) writeArrival(inst *instance, r *http.Request, id string) {
	if s.opts.Arrivals == nil {
		return
	}
	line, err := json.Marshal(Arrival{
		ID: id, Endpoint: s.opts.ID, At: time.Now(), Started: inst.started, Cold: s.slowStartMs(inst) > 0,
		Accounts: r.Header.Values(accountHeader), HasKey: r.Header.Get("Authorization") != "",
	})
	if err != nil {
		panic(err) // cannot happen: every field of Arrival can be encoded
	}
	// One write per line, so that lines of concurrent requests are not mixed.
	if _, err := s.opts.Arrivals.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}
