package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// scriptedGates answers each attempt in place of the gates: refuse returns the reason of a refusal, or "" for a response.
type scriptedGates struct {
	refuse func(endpoint string, head *wire.RequestHead) verdict.Reason

	mu       sync.Mutex
	attempts []string // endpoints, in the order of the attempts
}

func (s *scriptedGates) Open(_ context.Context, ep *table.Endpoint, _ peer.SessionClass) (*peer.Conn, error) {
	client, server := peer.Pipe(&peer.Remote{Instance: 1})
	go func() {
		defer server.Close()
		f, err := server.Read()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.attempts = append(s.attempts, ep.ID)
		s.mu.Unlock()
		if reason := s.refuse(ep.ID, f.GetRequest()); reason != "" {
			refusal := &wire.Refusal{Verdict: wire.Verdict_NOT_RUN, Reason: string(reason), Load: &wire.Load{}}
			_ = server.Write(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: refusal}})
			return
		}
		_ = server.WriteAll(
			&wire.Frame{Kind: &wire.Frame_Response{Response: &wire.ResponseHead{Status: http.StatusOK}}},
			&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}},
		)
	}()
	return client, nil
}

// Guards against a request that is sent again to the endpoint whose backend server has refused it, although others have
// only been busy: the second refusal uses up its attempts.
func TestRefusedRequestIsNotSentToTheSameEndpoint(t *testing.T) {
	const refusing = "katalog-0"
	gates := &scriptedGates{refuse: func(endpoint string, head *wire.RequestHead) verdict.Reason {
		switch {
		case endpoint == refusing:
			return verdict.BackendRefused
		case head.MaxWaitUs > 0:
			return verdict.Busy
		}
		return ""
	}}
	notIdempotent := false
	b := &bundle.Bundle{
		Services: map[string]bundle.Service{"katalog": {Slots: 2}},
		Routes: []bundle.Route{{
			Name: "order", Service: "katalog", PathPrefix: "/", MaxBodyBytes: 1 << 20, Idempotent: &notIdempotent, Timeout: bundle.Duration(3 * time.Second),
		}},
	}
	b.SetDefaults()
	service := &table.Service{Name: "katalog", Config: b.Services["katalog"], LocalityEnd: [table.Localities]int{4, 4, 4}}
	for i := range 4 {
		service.Endpoints = append(service.Endpoints, &table.Endpoint{ID: fmt.Sprint("katalog-", i), Service: "katalog", Slots: 2, Stats: &table.Stats{}})
	}
	snapshots := &table.Publisher{}
	snapshots.Store(&table.Snapshot{Version: 1, Bundle: b, Services: map[string]*table.Service{"katalog": service}})
	picker, err := balance.New(balance.Random)
	if err != nil {
		t.Fatal(err)
	}
	in := New(Config{
		Snapshots: snapshots, Opener: gates, Chooser: NewChooser(picker), Logger: slog.New(slog.DiscardHandler),
		Budget: retry.NewBudget(time.Now(), 1, 1000),
	})
	for n := range 200 {
		gates.attempts = nil
		w := httptest.NewRecorder()
		in.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
		sent := 0
		for _, endpoint := range gates.attempts {
			if endpoint == refusing {
				sent++
			}
		}
		if sent > 1 || w.Code != http.StatusOK {
			t.Fatalf("request %d: status %d, sent to %v", n, w.Code, gates.attempts)
		}
	}
}
