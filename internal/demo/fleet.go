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

// fleet is one store and, for each endpoint of a workload, a node and a test backend server.
type fleet struct {
	workload Workload
	logger   *slog.Logger
	store    *storeServer
	runs     *backendtest.RunLog
	vms      []*vm
}

// vm is one simulated VM: a node and its backend server.
type vm struct {
	fleet   *fleet
	service string
	backend *backendtest.Server

	mu       sync.Mutex
	settings settings.Settings
	node     *node.Node
	// running is true from the start of the node until its drain ends. Only then do callers use its ingress.
	running bool
}

// Properties of the test backend servers.
const (
	connectDelay = time.Millisecond
	coldStart    = 500 * time.Millisecond
	coldFactor   = 2
	loadLag      = 50 * time.Millisecond
)

// seedNodeCount is the number of nodes that the others use as gossip seeds.
const seedNodeCount = 3

// startFleet starts the store, the nodes and the backend servers, and returns when each service responds through each
// ingress.
func startFleet(ctx context.Context, w Workload, seed uint64, logger *slog.Logger) (*fleet, error) {
	f := &fleet{workload: w, logger: logger, runs: backendtest.NewRunLog()}
	var err error
	if f.store, err = startStore(ctx, w); err != nil {
		return f, err
	}
	for i, domain := range w.FailureDomains {
		for _, service := range w.Services {
			if err := f.addVM(ctx, service, domain, i+1, seed); err != nil {
				return f, err
			}
		}
	}
	return f, f.waitReady(ctx)
}

func (f *fleet) addVM(ctx context.Context, service string, domain FailureDomain, number int, seed uint64) error {
	s := settings.LoopbackDefaults()
	s.NodeID = fmt.Sprintf("%s-%d", service, number)
	s.Region, s.FailureDomain = domain.Region, domain.Name
	s.Store.URL = f.store.url
	s.Bundle = f.store.keys
	for _, v := range f.vms[:min(len(f.vms), seedNodeCount)] {
		s.Seeds = append(s.Seeds, v.settings.Peer.Listen)
	}
	v := &vm{fleet: f, service: service, settings: s}
	f.vms = append(f.vms, v)
	if err := v.startNode(ctx); err != nil {
		return err
	}
	var err error
	v.backend, err = backendtest.Start(backendtest.Options{
		ID:           s.NodeID,
		Service:      service,
		Slots:        f.workload.Slots,
		Connections:  f.workload.Connections,
		ConnectDelay: connectDelay,
		ColdStart:    coldStart,
		ColdFactor:   coldFactor,
		LoadLag:      loadLag,
		Announce:     v.settings.Announce.Listen,
		Ingress:      v.settings.Ingress.Listen,
		Log:          f.runs,
		Seed:         seed,
	})
	return err
}

// startNode starts the VM's node. The first start picks free ports, which later starts reuse.
func (v *vm) startNode(ctx context.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, err := node.New(node.Options{Settings: v.settings, Logger: v.fleet.logger.With("node", v.settings.NodeID)})
	if err != nil {
		return errors.Wrapf(err, "node %s", v.settings.NodeID)
	}
	if err := n.Start(ctx); err != nil {
		return errors.Wrapf(err, "start node %s", v.settings.NodeID)
	}
	addrs := n.Addrs()
	v.settings.Ingress.Listen = addrs.Ingress
	v.settings.Peer.Listen = addrs.Peer
	v.settings.Gossip.Listen = addrs.UDP
	v.settings.Admin.Listen = addrs.Admin
	v.settings.Announce.Listen = addrs.Announce
	v.node, v.running = n, true
	return nil
}

// drainNode drains the VM's node and closes it.
func (v *vm) drainNode(ctx context.Context) error {
	v.mu.Lock()
	n := v.node
	v.mu.Unlock()
	err := n.Drain(ctx)
	v.mu.Lock()
	v.running = false
	v.mu.Unlock()
	return errors.CombineErrors(err, n.Close())
}

// ingresses returns the ingress addresses of the running nodes.
func (f *fleet) ingresses() []string {
	var addresses []string
	for _, v := range f.vms {
		v.mu.Lock()
		if v.running {
			addresses = append(addresses, v.settings.Ingress.Listen)
		}
		v.mu.Unlock()
	}
	return addresses
}

// backendsOf returns the addresses of a service's backend servers.
func (f *fleet) backendsOf(service string) []string {
	var addresses []string
	for _, v := range f.vms {
		if v.service == service {
			addresses = append(addresses, v.backend.Addr())
		}
	}
	return addresses
}

// readyTimeout bounds the wait for a ready fleet; readyPollInterval is the time between two checks.
const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// waitReady waits until each service responds through each ingress.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, ingress := range f.ingresses() {
		for _, path := range f.workload.readyPaths() {
			if err := waitForOK(ctx, client, "http://"+ingress+path); err != nil {
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

func waitForOK(ctx context.Context, client *http.Client, url string) error {
	lastErr := errors.New("no attempt")
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
			return errors.Wrapf(lastErr, "the fleet is not ready after %s: %s", readyTimeout, url)
		}
		lastErr = err
		time.Sleep(readyPollInterval)
	}
}

// stop closes the backend servers, the nodes and the store without draining them.
func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.backend != nil {
			v.backend.Thaw()
			v.backend.Close()
		}
	}
	for _, v := range f.vms {
		v.mu.Lock()
		if v.node != nil && v.running {
			_ = v.node.Close()
		}
		v.mu.Unlock()
	}
	if f.store != nil {
		f.store.close()
	}
}
