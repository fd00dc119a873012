package backendtest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dandelionspoke/internal/sleep"
)

// Announcement is the request body with which a backend server announces itself to its node.
type Announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	HealthPath  string `json:"health_path"`
	LoadPath    string `json:"load_path"`
	// SlowStartMs is the remaining slow start in milliseconds, or nil if the server does not state it.
	SlowStartMs *int64 `json:"slow_start_ms,omitempty"`
}

// announceInterval is the time between announcements; announceTimeout bounds each message to the node.
const (
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
	// announceRetryDelay is the delay after a failed announcement, such as one sent before the node is up.
	announceRetryDelay = 100 * time.Millisecond
)

// announce sends the announcement periodically until the instance ends or the server drains.
func (s *Server) announce(ctx context.Context, inst *instance) {
	for !inst.announceStopped.Load() {
		s.waitWhileFrozen(inst)
		wait := announceInterval
		if !s.announceOnce(ctx, inst) {
			wait = announceRetryDelay
		}
		if !sleep.For(ctx, wait) {
			return
		}
	}
}

// announceOnce sends the announcement unless the server is draining or shutting down, since an announcement after the
// drain notice would cancel the drain. It reports false if the node did not accept the announcement.
func (s *Server) announceOnce(ctx context.Context, inst *instance) bool {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	if inst.announceStopped.Load() {
		return true
	}
	return s.send(ctx, http.MethodPut, "/v1/backend", s.announcement(inst))
}

func (s *Server) announcement(inst *instance) []byte {
	a := Announcement{
		ID:          s.opts.ID,
		Service:     s.opts.Service,
		Address:     s.Addr(),
		Slots:       s.opts.Slots,
		Connections: s.opts.Connections,
		HealthPath:  HealthPath,
		LoadPath:    LoadPath,
	}
	if s.opts.StateSlowStart {
		ms := s.slowStartMs(inst)
		a.SlowStartMs = &ms
	}
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // cannot happen: every field of Announcement can be encoded
	}
	return data
}

// slowStartMs returns the remaining slow start in milliseconds, rounded up.
func (s *Server) slowStartMs(inst *instance) int64 {
	remaining := max(0, s.opts.ColdStart-time.Since(inst.started))
	return int64((remaining + time.Millisecond - 1) / time.Millisecond)
}

func (s *Server) announceDrain(ctx context.Context) {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	if s.opts.Announce != "" {
		s.send(ctx, http.MethodPost, "/v1/backend/drain", nil)
	}
}

func (s *Server) withdraw() {
	if s.opts.Announce != "" {
		s.send(context.Background(), http.MethodDelete, "/v1/backend", nil)
	}
}

// send reports whether the node accepted the message. A failure is not an error, since announcements are repeated.
func (s *Server) send(ctx context.Context, method, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.opts.Announce+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}
