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

// Service is the name of the only service.
const Service = "katalog"

// bundleText has a version, a timeout that tells two bundles of one version apart, and a further policy.
const bundleText = `
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

// Options describe a fleet.
type Options struct {
	Size int
	// Domains is the number of failure domains; the first half of them are in region east, the others in west.
	Domains int
	// WithStore is the number of nodes with direct access to the store; 0 means all.
	WithStore int
	// NoBackends leaves out the backend servers, and NoRelays the relays.
	NoBackends, NoRelays bool
	// Policy is TOML text for the policy of each bundle.
	Policy string
	// Slots is the number of requests that a backend server runs at once; 0 means 12.
	Slots int
	Seed  uint64
	Log   *slog.Logger
}

// Fleet is a set of nodes with a store, and a backend server beside each node.
type Fleet struct {
	Options  Options
	Network  *Network
	Store    *objectstoretest.Store
	Runs     *backendtest.RunLog
	Members  []*Member
	author   bundle.SigningKey
	approver bundle.SigningKey
	trusted  bundle.TrustedKeys
	keys     settings.Bundle
}

// Member is one VM: a node and the backend server beside it.
type Member struct {
	ID, Domain, Region string
	Backend            *backendtest.Server
	fleet              *Fleet
	relay              *relay
	access             *access // nil without direct access to the store

	mu       sync.Mutex
	settings settings.Settings
	node     *node.Node // nil while the node is down
}

// Start starts the fleet with bundle version 1 in the store. The caller closes the fleet, also after an error.
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
		if err := f.add(ctx, i); err != nil {
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
	f.keys = settings.Bundle{
		TrustedKeys:  map[string]ed25519.PublicKey{"author": f.trusted["author"]},
		ApproverKeys: map[string]ed25519.PublicKey{"approver": f.trusted["approver"]},
	}
	return nil
}

// seeds is the number of nodes through which the others join.
const seeds = 3

func (f *Fleet) add(ctx context.Context, i int) error {
	domains := max(1, f.Options.Domains)
	m := &Member{ID: fmt.Sprintf("node-%02d", i), fleet: f, Domain: fmt.Sprintf("domain-%d", i%domains), Region: "east"}
	if domains > 1 && i%domains >= domains/2 {
		m.Region = "west"
	}
	s := settings.LoopbackDefaults()
	s.NodeID, s.FailureDomain, s.Region, s.Bundle = m.ID, m.Domain, m.Region, f.keys
	for _, other := range f.Members[:min(len(f.Members), seeds)] {
		s.Seeds = append(s.Seeds, other.settings.Peer.Advertise)
	}
	if !f.Options.NoRelays {
		var err error
		if m.relay, err = newRelay(f.Network, m.ID); err != nil {
			return err
		}
		s.Peer.Advertise, s.Gossip.Advertise = m.relay.peerAddr(), m.relay.udpAddr()
		s.Gossip.Listen = "" // the port of the peer listener, since node.Addresses has the advertised UDP address only
	}
	if f.Options.WithStore == 0 || i < f.Options.WithStore {
		m.access = newAccess(f.Store)
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

// portAttempts bounds the starts of a node whose UDP port, that of its peer listener, is taken.
const portAttempts = 5

// Start starts the member's node. The first start picks the ports that later ones reuse.
func (m *Member) Start(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.startLocked(ctx)
	for attempt := 1; attempt < portAttempts && errors.Is(err, engine.ErrAddressInUse); attempt++ {
		err = m.startLocked(ctx)
	}
	return err
}

func (m *Member) startLocked(ctx context.Context) error {
	o := node.Options{Settings: m.settings, Logger: m.fleet.Options.Log.With("node", m.ID)}
	if m.access != nil {
		o.Store = m.access
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

// Ingress returns the address for callers.
func (m *Member) Ingress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settings.Ingress.Listen
}

func (m *Member) take() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.node
	m.node = nil
	if m.relay != nil {
		m.relay.clearTarget()
	}
	return n
}

// Kill ends the node without a drain. Its connections break.
func (m *Member) Kill() {
	if n := m.take(); n != nil {
		_ = n.Close()
	}
}

// Drain ends the node gracefully.
func (m *Member) Drain(ctx context.Context) error {
	n := m.Node()
	if n == nil {
		return nil
	}
	err := n.Drain(ctx)
	m.take()
	return err
}

// SetStoreDown cuts this member off from the store.
func (m *Member) SetStoreDown(down bool) {
	if m.access != nil {
		m.access.setDown(down)
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

// IDs returns the node IDs of the members in a region; an empty region means all.
func (f *Fleet) IDs(region string) []string {
	var ids []string
	for _, m := range f.Members {
		if region == "" || m.Region == region {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Envelope returns a signed and approved bundle. Different timeouts give different contents.
func (f *Fleet) Envelope(version uint64, timeout string) (*bundle.Envelope, error) {
	if timeout == "" {
		timeout = "4s"
	}
	b, problems := bundle.Parse("fleet.toml", fmt.Appendf(nil, bundleText, version, f.Options.Policy, timeout))
	if len(problems) > 0 {
		return nil, errors.Newf("bundle: %v", problems)
	}
	e, err := bundle.NewEnvelope(b)
	if err != nil {
		return nil, err
	}
	e.Sign(f.author)
	return e, e.Approve(f.approver, f.trusted)
}

// Rollout rolls out a bundle.
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

// Ready reports whether each running node uses as many endpoints of the service as there are running nodes.
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

// Close ends everything at once.
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
