package faulttest

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/engine"
	"dandelionspoke/internal/node"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
)

// Service is the name of the fleet's only service.
const Service = "katalog"

// bundleTemplate takes a version, policy settings, and a timeout by which two bundles of the same version can differ.
const bundleTemplate = `
version = %d
[policy]
%s
[services.katalog]
slots = 12
[[routes]]
name = "short"
service = "katalog"
path_prefix = "/"
timeout = "%s"
[[routes]]
name = "order"
service = "katalog"
path_prefix = "/order"
methods = ["POST"]
idempotent = false
timeout = "4s"
[[routes]]
name = "archive"
service = "katalog"
path_prefix = "/archive"
class = "long"
timeout = "8s"
`

// Options configures a fleet.
type Options struct {
	Size int
	// Domains is the number of failure domains. The first half of them is in region east, the rest in region west; a
	// single one is in east.
	Domains int
	// WithStore is the number of nodes with direct access to the store; 0 means all.
	WithStore int
	// NoBackends leaves out the backend servers, and NoRelays the relays.
	NoBackends, NoRelays bool
	// Policy is TOML text for the policy table of each bundle.
	Policy string
	// Slots is the number of requests that a backend server runs concurrently; 0 means 12.
	Slots int
	Seed  uint64
	Log   *slog.Logger
}

// Fleet is a set of nodes that share a store, with one backend server per node.
type Fleet struct {
	Options        Options
	Network        *Network
	Store          *objectstoretest.Store
	Runs           *backendtest.RunLog
	Members        []*Member
	author         bundle.SigningKey
	approver       bundle.SigningKey
	trusted        bundle.TrustedKeys
	bundleSettings settings.Bundle
}

// Member represents one VM: a node and its backend server.
type Member struct {
	ID, Domain, Region string
	Backend            *backendtest.Server
	fleet              *Fleet
	relay              *relay
	storeAccess        *storeAccess // nil without direct access to the store

	mu       sync.Mutex
	settings settings.Settings
	node     *node.Node // nil while the node is down
}

// Start starts a fleet with bundle version 1 in the store. The caller must close the returned fleet, also after an
// error.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{Options: o, Network: NewNetwork(), Store: objectstoretest.New(), Runs: backendtest.NewRunLog()}
	if err := f.makeKeys(); err != nil {
		return f, err
	}
	if err := f.Rollout(ctx, 1, ""); err != nil {
		return f, err
	}
	for i := range o.Size {
		if err := f.addMember(ctx, i); err != nil {
			return f, errors.Wrapf(err, "member %d", i)
		}
	}
	return f, nil
}

func (f *Fleet) makeKeys() (err error) {
	if f.author, err = bundle.GenerateKey("author"); err != nil {
		return err
	}
	if f.approver, err = bundle.GenerateKey("approver"); err != nil {
		return err
	}
	if f.trusted, err = bundle.ParseTrustedKeys([]string{f.author.Public(), f.approver.Public()}); err != nil {
		return err
	}
	f.bundleSettings = settings.Bundle{
		TrustedKeys:  map[string]ed25519.PublicKey{"author": f.trusted["author"]},
		ApproverKeys: map[string]ed25519.PublicKey{"approver": f.trusted["approver"]},
	}
	return nil
}

// maxSeeds is the number of nodes that the others use as seeds to join.
const maxSeeds = 3

func (f *Fleet) addMember(ctx context.Context, i int) error {
	domains := max(1, f.Options.Domains)
	m := &Member{ID: fmt.Sprintf("node-%02d", i), fleet: f, Domain: fmt.Sprintf("domain-%d", i%domains), Region: "east"}
	if domains > 1 && i%domains >= domains/2 {
		m.Region = "west"
	}
	s := settings.LoopbackDefaults()
	s.NodeID, s.FailureDomain, s.Region, s.Bundle = m.ID, m.Domain, m.Region, f.bundleSettings
	for _, other := range f.Members[:min(len(f.Members), maxSeeds)] {
		s.Seeds = append(s.Seeds, other.settings.Peer.Advertise)
	}
	if !f.Options.NoRelays {
		var err error
		if m.relay, err = newRelay(f.Network, m.ID); err != nil {
			return err
		}
		s.Peer.Advertise, s.Gossip.Advertise = m.relay.peerAddr(), m.relay.udpAddr()
		// UDP uses the port of the peer listener, since node.Addresses reports only the advertised UDP address.
		s.Gossip.Listen = ""
	}
	if f.Options.WithStore == 0 || i < f.Options.WithStore {
		m.storeAccess = newStoreAccess(f.Store)
	}
	m.settings = s
	f.Members = append(f.Members, m)
	if err := m.Start(ctx); err != nil || f.Options.NoBackends {
		return err
	}
	return m.startBackend()
}

func (m *Member) startBackend() (err error) {
	slots := m.fleet.Options.Slots
	if slots == 0 {
		slots = 12
	}
	m.Backend, err = backendtest.Start(backendtest.Options{
		ID: "backend-" + m.ID, Service: Service, Slots: slots, ServiceTime: backendtest.Distribution{Median: 2 * time.Millisecond},
		Announce: m.settings.Announce.Listen, Log: m.fleet.Runs, Seed: m.fleet.Options.Seed,
	})
	return err
}

// maxStartAttempts limits the attempts to start a node. An attempt fails when the UDP port with the number of the peer
// listener's TCP port is in use by another process.
const maxStartAttempts = 5

// Start starts the member's node. Later starts reuse the ports that the first one picked.
func (m *Member) Start(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.startLocked(ctx)
	for attempt := 1; attempt < maxStartAttempts && errors.Is(err, engine.ErrAddressInUse); attempt++ {
		err = m.startLocked(ctx)
	}
	return err
}

func (m *Member) startLocked(ctx context.Context) error {
	o := node.Options{Settings: m.settings, Logger: m.fleet.Options.Log.With("node", m.ID)}
	if m.storeAccess != nil {
		o.Store = m.storeAccess
	}
	n, err := node.New(o)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	addrs := n.Addrs()
	m.settings.Ingress.Listen, m.settings.Announce.Listen = addrs.Ingress, addrs.Announce
	m.node = n
	if m.relay != nil {
		return m.relay.setTarget(addrs.Peer, addrs.Peer)
	}
	m.settings.Peer.Listen, m.settings.Gossip.Listen = addrs.Peer, addrs.UDP
	m.settings.Peer.Advertise = addrs.Peer
	return nil
}

// Node returns the running node, or nil.
func (m *Member) Node() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// Ingress returns the address to which callers send requests.
func (m *Member) Ingress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settings.Ingress.Listen
}

// detachNode marks the node as down and returns it, or nil when it was down before. The relay then closes new
// connections and drops datagrams.
func (m *Member) detachNode() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.node
	m.node = nil
	if m.relay != nil {
		m.relay.clearTarget()
	}
	return n
}

// Kill stops the node without a drain. Its connections break.
func (m *Member) Kill() {
	if n := m.detachNode(); n != nil {
		_ = n.Close()
	}
}

// Drain drains and stops the node.
func (m *Member) Drain(ctx context.Context) error {
	n := m.Node()
	if n == nil {
		return nil
	}
	err := n.Drain(ctx)
	m.detachNode()
	return err
}

// SetStoreDown takes down or restores this member's access to the store.
func (m *Member) SetStoreDown(down bool) {
	if m.storeAccess != nil {
		m.storeAccess.setDown(down)
	}
}

// Version returns the bundle version in force; it is 0 while the node is down or has no bundle.
func (m *Member) Version() uint64 {
	n := m.Node()
	if n == nil {
		return 0
	}
	version, _ := n.BundleVersion()
	return version
}

// IDs returns the node IDs of the members in a region, or all of them when region is empty.
func (f *Fleet) IDs(region string) []string {
	var ids []string
	for _, m := range f.Members {
		if region == "" || m.Region == region {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Envelope returns a signed and approved bundle. Its content depends on the version and the timeout; an empty timeout
// means 4s.
func (f *Fleet) Envelope(version uint64, timeout string) (*bundle.Envelope, error) {
	if timeout == "" {
		timeout = "4s"
	}
	b, errs := bundle.Parse("fleet.toml", fmt.Appendf(nil, bundleTemplate, version, f.Options.Policy, timeout))
	if len(errs) > 0 {
		return nil, errors.Newf("bundle: %v", errs)
	}
	e, err := bundle.NewEnvelope(b)
	if err != nil {
		return nil, err
	}
	e.Sign(f.author)
	return e, e.Approve(f.approver, f.trusted)
}

// Rollout writes the bundle that Envelope returns to the store, as an operator does.
func (f *Fleet) Rollout(ctx context.Context, version uint64, timeout string) error {
	e, err := f.Envelope(version, timeout)
	if err != nil {
		return err
	}
	_, err = rollout.NewOperator(f.Store, f.trusted).Rollout(ctx, e, nil)
	return err
}

// InForce reports whether all running nodes have the version in force.
func (f *Fleet) InForce(version uint64) bool {
	for _, m := range f.Members {
		if m.Node() != nil && m.Version() != version {
			return false
		}
	}
	return true
}

// Ready reports whether each running node has a bundle and knows as many endpoints of the service as there are running
// nodes.
func (f *Fleet) Ready() bool {
	running := 0
	for _, m := range f.Members {
		if m.Node() != nil {
			running++
		}
	}
	for _, m := range f.Members {
		if n := m.Node(); n != nil && (m.Version() == 0 || n.EndpointCount(Service) != running) {
			return false
		}
	}
	return true
}

// Close stops all backend servers, nodes and relays without a drain.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if m.Backend != nil {
			m.Backend.Thaw()
			m.Backend.Close()
		}
	}
	var wg sync.WaitGroup
	for _, m := range f.Members {
		wg.Go(m.Kill)
	}
	wg.Wait()
	for _, m := range f.Members {
		if m.relay != nil {
			m.relay.close()
		}
	}
}
