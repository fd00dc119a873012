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

// Announcement is the body with which a backend server announces itself to its node.
type Announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	HealthPath  string `json:"health_path"`
	LoadPath    string `json:"load_path"`
}

// announceEvery is the time between announcements; announceTimeout bounds one.
const (
	announceEvery   = time.Second
	announceTimeout = 2 * time.Second
	// announceRetry is the time until the next attempt after a failed announcement, such as before the node is up.
	announceRetry = 100 * time.Millisecond
)

// announce repeats the announcement until the life ends or the server drains.
func (s *Server) announce(ctx context.Context, l *life) {
	for !l.leaving.Load() {
		s.waitThawed(l)
		wait := announceEvery
		if !s.announceOnce(ctx, l) {
			wait = announceRetry
		}
		if !sleep.For(ctx, wait) {
			return
		}
	}
}

// announceOnce sends the announcement unless the server is leaving, since an announcement would take back a drain.
func (s *Server) announceOnce(ctx context.Context, l *life) bool {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	if l.leaving.Load() {
		return true
	}
	return s.send(ctx, http.MethodPut, "/v1/backend", s.announcement())
}

func (s *Server) announcement() []byte {
	data, err := json.Marshal(Announcement{
		ID:          s.opts.ID,
		Service:     s.opts.Service,
		Address:     s.Addr(),
		Slots:       s.opts.Slots,
		Connections: s.opts.Connections,
		HealthPath:  HealthPath,
		LoadPath:    LoadPath,
	})
	if err != nil {
		panic(err) // the type has no field that fails to encode
	}
	return data
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

// send reports whether the node accepted the message. Announcements are repeated, so a lost one is not an error.
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
