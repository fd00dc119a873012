// Package engine runs the control loop of a node: a UDP server for probes and membership, and a tick
// that runs the systems over the tables and publishes snapshots of them.
package engine

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// DefaultTickInterval is the time between two runs of the systems.
	DefaultTickInterval = 50 * time.Millisecond
	// inputQueue bounds the inputs of request goroutines between two ticks.
	inputQueue = 1024
	// maxSyncs bounds the full-state exchanges that this node runs at a time.
	maxSyncs = 2
	// publishShare is the part of one core that building snapshots may use, as a divisor.
	publishShare = 100
	// maxPublishDelay keeps the delay of a snapshot below the target for departures.
	maxPublishDelay = 500 * time.Millisecond
	// changeLogsPerSecond and changeLogBurst bound the log lines about members, which come by the
	// thousand when a region is cut off.
	changeLogsPerSecond = 10
	changeLogBurst      = 100
)

// Errors of Start.
var (
	ErrAddressInUse   = errors.New("engine: UDP address is in use")
	ErrBadAddress     = errors.New("engine: bad UDP address")
	ErrAlreadyStarted = errors.New("engine: already started")
)

// Config describes the node. Zero durations and rates take the defaults of the constants.
type Config struct {
	NodeID string
	// ListenUDP is the address to bind, such as "10.0.0.5:7946". Port 0 takes any free port; an empty
	// host means all IPv4 addresses.
	ListenUDP string
	// AdvertiseUDP is the address that other nodes send to; empty means the bound address. Port 0
	// takes the bound port.
	AdvertiseUDP string
	// AdvertisePeer is the TCP address of the node's peer listener.
	AdvertisePeer         string
	FailureDomain, Region string
	StoreAccess           wire.StoreAccess
	Tick                  time.Duration
	Period                time.Duration // between two pings
	SyncInterval          time.Duration // between two anti-entropy exchanges
	BytesPerSecond        int           // budget for datagrams, with IP and UDP headers
	Logger                *slog.Logger  // nil discards
}

// Hooks connect the engine to the rest of the node; nil hooks are skipped. GateLoad, Subset, Eject and
// PlanProbes run inside the loop: they must not block and must not call the engine. The others run
// outside it and may call it, but must not block for long, except SyncWith.
type Hooks struct {
	// GateLoad returns the load to answer probes with.
	GateLoad func() *wire.Load
	// OnReport gets the load in a probe reply.
	OnReport func(endpointID string, load *wire.Load)
	// OnNewerBundle reports a member that holds a newer bundle version. It repeats every 500 ms on
	// further datagrams until SetBundle is called with it.
	OnNewerBundle func(version uint64, peerAddr string)
	// OnQuarantine gets entries that are new or have changed.
	OnQuarantine func([]*wire.QuarantineEntry)
	// SyncWith exchanges full state with a peer and passes the reply to HandleSyncReply. It runs on its
	// own goroutine and must end by its own time limit.
	SyncWith func(peerAddr string, request *wire.SyncRequest)
	// Subset chooses the endpoints of each service; nil keeps all.
	Subset system.SubsetFunc
	// Eject runs on each tick over the published endpoints.
	Eject func(now time.Time, snapshot *table.Snapshot)
	// PlanProbes returns the endpoints to probe on this tick. wanted holds the services passed to
	// Freshen since the last tick, each once.
	PlanProbes func(now time.Time, snapshot *table.Snapshot, wanted []string) []*table.Endpoint
}

// Engine is the control loop of one node. Its methods are safe for concurrent use. Request goroutines
// call only Freshen and AddQuarantine, which never wait; the other methods wait for the loop's lock,
// which is held for the time of one step.
type Engine struct {
	cfg       Config
	hooks     Hooks
	publisher *table.Publisher
	log       *slog.Logger
	counters  membership.Counters
	input     chan input
	syncs     chan struct{}
	server    server

	// mu guards the tables. gnet runs its tick and its reads on two goroutines.
	mu        sync.Mutex
	node      *membership.Node
	early     []func(now time.Time)
	calls     []func() // hooks to run after mu is released
	bundle    *bundle.Bundle
	snapshot  *table.Snapshot
	published uint64 // Node.Version of the snapshot
	stale     bool   // the snapshot does not reflect the bundle in force
	notBefore time.Time
	probes    probeTable
	logLimit  *rate.Limiter
	logLost   int
	stopped   bool
}

// input is what a request goroutine hands to the loop.
type input struct {
	service    string
	quarantine []*wire.QuarantineEntry
}

// New returns an engine that has not been started. Calls before Start take effect in Start.
func New(cfg Config, hooks Hooks, publisher *table.Publisher) *Engine {
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTickInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Engine{
		cfg: cfg, hooks: hooks, publisher: publisher, log: cfg.Logger,
		input:    make(chan input, inputQueue),
		syncs:    make(chan struct{}, maxSyncs),
		probes:   newProbeTable(),
		logLimit: rate.NewLimiter(changeLogsPerSecond, changeLogBurst),
	}
}

// Start binds the UDP socket and starts the loop. Errors wrap ErrAddressInUse, ErrBadAddress,
// ErrAlreadyStarted or membership.ErrBadRecord.
func (e *Engine) Start() error {
	bound, err := e.server.bind(e.cfg.ListenUDP)
	if err != nil {
		return err
	}
	advertised, err := advertise(e.cfg.AdvertiseUDP, bound)
	if err != nil {
		return err
	}
	if err := e.createNode(advertised); err != nil {
		return err
	}
	if err := e.server.run(e, bound, e.cfg.Logger); err != nil {
		e.mu.Lock()
		e.node = nil
		e.mu.Unlock()
		return err
	}
	e.log.Info("engine started", "node", e.cfg.NodeID, "udp", bound.String(), "advertised", advertised)
	return nil
}

func (e *Engine) createNode(advertised string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.node != nil {
		return ErrAlreadyStarted
	}
	now := time.Now()
	c := membership.Config{
		NodeID: e.cfg.NodeID, UDPAddr: advertised, PeerAddr: e.cfg.AdvertisePeer,
		FailureDomain: e.cfg.FailureDomain, Region: e.cfg.Region, StoreAccess: e.cfg.StoreAccess,
		Period: e.cfg.Period, SyncInterval: e.cfg.SyncInterval, BytesPerSecond: e.cfg.BytesPerSecond,
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	node, err := membership.NewNode(c, now, rng, (*output)(e), &e.counters)
	if err != nil {
		return err
	}
	e.node = node
	for _, f := range e.early {
		f(now)
	}
	e.early = nil
	e.publish(now)
	return nil
}

// Stop ends the loop, waits for it and closes the socket. It does not announce a departure, and must not
// be called from a hook. The tables stay readable.
func (e *Engine) Stop() {
	e.mu.Lock()
	already := e.stopped || e.node == nil
	e.stopped = true
	e.mu.Unlock()
	if already {
		return
	}
	e.server.stop()
	e.log.Info("engine stopped", "node", e.cfg.NodeID)
}

// locked runs f inside the loop, then the hooks that it caused. Before Start, f is kept for Start.
func (e *Engine) locked(f func(now time.Time)) {
	e.mu.Lock()
	switch {
	case e.node == nil:
		e.early = append(e.early, f)
	case !e.stopped:
		f(time.Now())
	}
	calls := e.calls
	e.calls = nil
	e.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// read runs f on the tables, if they exist.
func (e *Engine) read(f func(node *membership.Node)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.node != nil {
		f(e.node)
	}
}

// tick runs the systems once.
func (e *Engine) tick() {
	e.locked(func(now time.Time) {
		wanted := e.drain(now)
		e.node.Tick(now)
		e.publish(now)
		if e.hooks.Eject != nil {
			e.hooks.Eject(now, e.snapshot)
		}
		e.sendProbes(now, wanted)
	})
}

// drain takes the inputs of request goroutines and returns the services to freshen.
func (e *Engine) drain(now time.Time) []string {
	var wanted []string
	seen := map[string]bool{}
	for range len(e.input) {
		in := <-e.input
		if in.quarantine != nil {
			e.node.AddQuarantine(now, in.quarantine)
			continue
		}
		if !seen[in.service] {
			seen[in.service] = true
			wanted = append(wanted, in.service)
		}
	}
	return wanted
}

// publish builds a snapshot when the members or the bundle have changed. In a large system with many
// changes it waits so that building takes at most one part in publishShare of a core.
func (e *Engine) publish(now time.Time) {
	changed := e.stale || e.snapshot == nil || e.published != e.node.Version()
	if !changed || now.Before(e.notBefore) && !e.stale {
		return
	}
	self := system.Self{NodeID: e.cfg.NodeID, FailureDomain: e.cfg.FailureDomain, Region: e.cfg.Region}
	version := uint64(1)
	if e.snapshot != nil {
		version = e.snapshot.Version + 1
	}
	e.snapshot = system.BuildSnapshot(version, self, e.node.Records(), e.bundle, e.snapshot, now, e.hooks.Subset)
	e.published = e.node.Version()
	e.stale = false
	e.publisher.Store(e.snapshot)
	e.counters.Snapshots.Add(1)
	e.notBefore = now.Add(min(maxPublishDelay, publishShare*time.Since(now)))
}

// receive handles one datagram.
func (e *Engine) receive(data []byte) {
	d, err := wire.DecodeDatagram(data)
	if err != nil {
		e.counters.Malformed.Add(1)
		return
	}
	e.counters.Received(d, len(data))
	e.locked(func(now time.Time) {
		if err := e.node.Receive(now, d); err != nil {
			return // counted by the node
		}
		e.receiveProbe(now, d)
	})
}
