package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/node"
	"dandelionspoke/internal/settings"
)

// fleet is a node and a stand-in backend server for each endpoint of a workload, with one store.
type fleet struct {
	workload Workload
	logger   *slog.Logger
	store    *storeServer
	runs     *backendtest.RunLog
	members  []*member
}

// member is one VM: a node and the backend server beside it.
type member struct {
	fleet   *fleet
	service string
	backend *backendtest.Server

	mu       sync.Mutex
	settings settings.Settings
	node     *node.Node
	// up is false while callers cannot know the ingress.
	up bool
}

// Properties of the stand-in backend servers.
const (
	connectDelay = time.Millisecond
	coldStart    = 500 * time.Millisecond
	coldFactor   = 2
	loadLag      = 50 * time.Millisecond
)

// seedNodes is the number of nodes through which the others join.
const seedNodes = 3

// startFleet starts everything and returns when each service answers through each ingress.
func startFleet(ctx context.Context, w Workload, seed uint64, logger *slog.Logger) (*fleet, error) {
	f := &fleet{workload: w, logger: logger, runs: backendtest.NewRunLog()}
	var err error
	if f.store, err = startStore(ctx, w); err != nil {
		return f, err
	}
	for i, domain := range w.Domains {
		for _, service := range w.Services {
			if err := f.addMember(ctx, service, domain, i+1, seed); err != nil {
				return f, err
			}
		}
	}
	return f, f.waitReady(ctx)
}

func (f *fleet) addMember(ctx context.Context, service string, domain Domain, number int, seed uint64) error {
	s := settings.LoopbackDefaults()
	s.NodeID = fmt.Sprintf("%s-%d", service, number)
	s.Region, s.FailureDomain = domain.Region, domain.Name
	s.Store.URL = f.store.url
	s.Bundle = f.store.keys
	for _, m := range f.members[:min(len(f.members), seedNodes)] {
		s.Seeds = append(s.Seeds, m.settings.Peer.Listen)
	}
	m := &member{fleet: f, service: service, settings: s}
	f.members = append(f.members, m)
	if err := m.startNode(ctx); err != nil {
		return err
	}
	var err error
	m.backend, err = backendtest.Start(backendtest.Options{
		ID:           s.NodeID,
		Service:      service,
		Slots:        f.workload.Slots,
		Connections:  f.workload.Connections,
		ConnectDelay: connectDelay,
		ColdStart:    coldStart,
		ColdFactor:   coldFactor,
		LoadLag:      loadLag,
		Announce:     m.settings.Announce.Listen,
		Ingress:      m.settings.Ingress.Listen,
		Log:          f.runs,
		Seed:         seed,
	})
	return err
}

// startNode starts the member's node. The first start picks the ports and later ones reuse them.
func (m *member) startNode(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := node.New(node.Options{Settings: m.settings, Logger: m.fleet.logger.With("node", m.settings.NodeID)})
	if err != nil {
		return errors.Wrapf(err, "node %s", m.settings.NodeID)
	}
	if err := n.Start(ctx); err != nil {
		return errors.Wrapf(err, "start node %s", m.settings.NodeID)
	}
	addrs := n.Addrs()
	m.settings.Ingress.Listen = addrs.Ingress
	m.settings.Peer.Listen = addrs.Peer
	m.settings.Gossip.Listen = addrs.UDP
	m.settings.Admin.Listen = addrs.Admin
	m.settings.Announce.Listen = addrs.Announce
	m.node, m.up = n, true
	return nil
}

// drainNode stops the member's node gracefully.
func (m *member) drainNode(ctx context.Context) error {
	m.mu.Lock()
	n := m.node
	m.mu.Unlock()
	err := n.Drain(ctx)
	m.mu.Lock()
	m.up = false
	m.mu.Unlock()
	return errors.CombineErrors(err, n.Close())
}

// ingresses returns the addresses that callers know.
func (f *fleet) ingresses() []string {
	var addresses []string
	for _, m := range f.members {
		m.mu.Lock()
		if m.up {
			addresses = append(addresses, m.settings.Ingress.Listen)
		}
		m.mu.Unlock()
	}
	return addresses
}

// backendsOf returns the addresses of a service's backend servers.
func (f *fleet) backendsOf(service string) []string {
	var addresses []string
	for _, m := range f.members {
		if m.service == service {
			addresses = append(addresses, m.backend.Addr())
		}
	}
	return addresses
}

// readyTimeout bounds the start of the fleet; readyPoll is the wait between two checks.
const (
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// waitReady returns when each service answers through each ingress.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, ingress := range f.ingresses() {
		for _, path := range f.workload.readyPaths() {
			if err := waitAnswer(ctx, client, "http://"+ingress+path); err != nil {
				return err
			}
		}
	}
	return nil
}

// readyPaths returns one path for each service.
func (w Workload) readyPaths() []string {
	paths := make([]string, 0, len(w.Services))
	for _, service := range w.Services {
		paths = append(paths, "/"+service+"/ready")
	}
	return paths
}

func waitAnswer(ctx context.Context, client *http.Client, url string) error {
	last := errors.New("no attempt")
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.Newf("status %d, %s", resp.StatusCode, resp.Header.Get("Dandelionspoke-Reason"))
		}
		if ctx.Err() != nil {
			return errors.Wrapf(last, "the fleet is not ready after %s: %s", readyTimeout, url)
		}
		last = err
		time.Sleep(readyPoll)
	}
}

// stop closes everything at once.
func (f *fleet) stop() {
	for _, m := range f.members {
		if m.backend != nil {
			m.backend.Thaw()
			m.backend.Close()
		}
	}
	for _, m := range f.members {
		m.mu.Lock()
		if m.node != nil && m.up {
			_ = m.node.Close()
		}
		m.mu.Unlock()
	}
	if f.store != nil {
		f.store.close()
	}
}
