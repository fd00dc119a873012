// Package engine runs the control loop of a node: a UDP server for probes and membership messages, and a
// periodic tick that updates the member and endpoint tables and publishes snapshots of them.
package engine

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// DefaultTickInterval is the time between two ticks of the control loop.
	DefaultTickInterval = 50 * time.Millisecond
	// inputQueueSize is the maximum number of inputs from request goroutines between two ticks.
	inputQueueSize = 1024
	// maxConcurrentSyncs limits the full-state exchanges that this node has started and not yet finished.
	maxConcurrentSyncs = 2
	// publishIntervalFactor is the minimum delay before the next snapshot as a multiple of the build time of the
	// last one. It limits building snapshots to 1/publishIntervalFactor of a core, unless maxPublishDelay is
	// shorter.
	publishIntervalFactor = 100
	// maxPublishDelay is the longest delay before the next snapshot. It is below the target time in which all
	// nodes stop using the endpoints of a draining node.
	maxPublishDelay = 500 * time.Millisecond
	// changeLogsPerSecond and changeLogBurst limit the log lines about member changes: a region partition causes
	// thousands of them.
	changeLogsPerSecond = 10
	changeLogBurst      = 100
)

// Errors returned by Start.
var (
	ErrAddressInUse   = errors.New("engine: UDP address is in use")
	ErrBadAddress     = errors.New("engine: bad UDP address")
	ErrAlreadyStarted = errors.New("engine: already started")
)

// Config holds the identity, addresses and parameters of the node. Zero durations and rates select the defaults.
type Config struct {
	NodeID string
	// ListenUDP is the address to listen on, such as "10.0.0.5:7946". Port 0 selects a free port; an empty
	// host means all IPv4 addresses.
	ListenUDP string
	// AdvertiseUDP is the address to which other nodes send; empty means the listen address. Port 0 selects
	// the listen port.
	AdvertiseUDP string
	// AdvertisePeer is the TCP address of the node's peer listener.
	AdvertisePeer         string
	FailureDomain, Region string
	StoreAccess           wire.StoreAccess
	TickInterval          time.Duration
	PingInterval          time.Duration // time between two pings
	SyncInterval          time.Duration // time between two anti-entropy exchanges
	BytesPerSecond        int           // budget for sent datagrams, including IP and UDP headers
	Evacuations           bool          // keep and spread the set of evacuated failure domains
	Logger                *slog.Logger  // nil discards log lines
}

// Hooks connect the engine to the rest of the node; nil hooks are skipped. GateLoad, Subset, OnTick and
// PlanProbes run with the engine's lock held: they must not block and must not call the engine. The other hooks
// run without the lock and may call the engine, but must not block for long, except SyncWith.
type Hooks struct {
	// GateLoad returns the load of this node's gate, which is sent in probe replies.
	GateLoad func() *wire.Load
	// OnReport receives the load of an endpoint from a probe reply, or from GateLoad if the endpoint is local.
	OnReport func(endpointID string, load *wire.Load)
	// OnNewerBundle reports a member that has a newer bundle version. Later datagrams repeat the report, at most
	// every 500 ms, until SetBundle is called with that version.
	OnNewerBundle func(version uint64, peerAddr string)
	// OnOwnDepartures receives departures of backend servers on this node's VM that another node knows. known states that
	// it knows all that earlier processes of this node have acknowledged.
	OnOwnDepartures func(departures []*wire.Departure, known bool)
	// OnEvacuations receives each changed set of evacuated failure domains, and the first one that is known.
	OnEvacuations func(evacuation.Set)
	// OnQuarantine receives new and changed quarantine entries.
	OnQuarantine func([]*wire.QuarantineEntry)
	// SyncWith exchanges full state with a peer and passes the reply to HandleSyncReply. It runs on its
	// own goroutine and must apply its own timeout.
	SyncWith func(peerAddr string, request *wire.SyncRequest)
	// Subset selects the endpoints of each service that this node uses; nil selects all.
	Subset system.SubsetFunc
	// OnTick runs on each tick, after membership and the snapshot have been updated.
	OnTick func(now time.Time, snapshot *table.Snapshot)
	// PlanProbes returns the endpoints to probe on this tick. services holds the distinct services passed to
	// RequestProbes since the last tick.
	PlanProbes func(now time.Time, snapshot *table.Snapshot, services []string) []*table.Endpoint
	// OnTokens receives a TokenRequest or TokenGrant of a member.
	OnTokens func(from string, d *wire.Datagram)
}

// Engine is the control loop of one node. Its methods are safe for concurrent use. Request goroutines
// call only RequestProbes and AddQuarantine, which never block; the other methods wait for mu, which is held
// while the engine runs one tick, datagram or call.
type Engine struct {
	cfg       Config
	hooks     Hooks
	publisher *table.Publisher
	log       *slog.Logger
	counters  membership.Counters
	inputs    chan input
	syncSlots chan struct{}
	server    server

	// mu guards the fields below. gnet calls OnTick and OnTraffic on different goroutines.
	mu               sync.Mutex
	node             *membership.Node
	startupCalls     []func(now time.Time)
	pendingHooks     []func() // hooks to call after mu is released
	bundle           *bundle.Bundle
	snapshot         *table.Snapshot
	publishedVersion uint64         // Node.Version at the build of the snapshot
	evacuated        evacuation.Set // at the build of the snapshot
	bundleChanged    bool           // the snapshot does not contain the bundle in force yet
	nextPublish      time.Time
	probes           probeTable
	tokenBudgets     tokenBudgets
	changeLogLimiter *rate.Limiter
	suppressedLogs   int
	stopped          bool
}

// input is a message from a request goroutine to the control loop: a service to probe or quarantine entries.
type input struct {
	service    string
	quarantine []*wire.QuarantineEntry
}

// New returns an engine that is not started. Method calls before Start take effect in Start.
func New(cfg Config, hooks Hooks, publisher *table.Publisher) *Engine {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Engine{
		cfg: cfg, hooks: hooks, publisher: publisher, log: cfg.Logger,
		inputs:           make(chan input, inputQueueSize),
		syncSlots:        make(chan struct{}, maxConcurrentSyncs),
		probes:           newProbeTable(),
		tokenBudgets:     newTokenBudgets(),
		changeLogLimiter: rate.NewLimiter(changeLogsPerSecond, changeLogBurst),
	}
}

// Start opens the UDP socket and starts the control loop. Its error wraps ErrAddressInUse, ErrBadAddress,
// ErrAlreadyStarted or membership.ErrBadRecord if one of these is the cause.
func (e *Engine) Start() error {
	bound, err := e.server.resolveListenAddr(e.cfg.ListenUDP)
	if err != nil {
		return err
	}
	advertised, err := advertisedAddr(e.cfg.AdvertiseUDP, bound)
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
		Period: e.cfg.PingInterval, SyncInterval: e.cfg.SyncInterval, BytesPerSecond: e.cfg.BytesPerSecond,
		Evacuations: e.cfg.Evacuations,
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	node, err := membership.NewNode(c, now, rng, (*output)(e), &e.counters)
	if err != nil {
		return err
	}
	e.node = node
	for _, f := range e.startupCalls {
		f(now)
	}
	e.startupCalls = nil
	e.publish(now)
	return nil
}

// Stop stops the control loop, waits for it to exit and closes the socket. It doesn't announce that the node
// leaves: SetLeaving does. It must not be called from a hook. The tables stay readable.
func (e *Engine) Stop() {
	e.mu.Lock()
	alreadyStopped := e.stopped || e.node == nil
	e.stopped = true
	e.mu.Unlock()
	if alreadyStopped {
		return
	}
	e.server.stop()
	e.log.Info("engine stopped", "node", e.cfg.NodeID)
}

// update calls f with mu held, then calls the pending hooks without it. Before Start, it stores f for Start to
// call; after Stop, it drops f.
func (e *Engine) update(f func(now time.Time)) {
	e.mu.Lock()
	switch {
	case e.node == nil:
		e.startupCalls = append(e.startupCalls, f)
	case !e.stopped:
		f(time.Now())
	}
	calls := e.pendingHooks
	e.pendingHooks = nil
	e.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// view calls f with mu held, for reading. Before Start, it does nothing.
func (e *Engine) view(f func(node *membership.Node)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.node != nil {
		f(e.node)
	}
}

// tick runs the periodic work: inputs of request goroutines, membership, snapshot, ejection and probes.
func (e *Engine) tick() {
	e.update(func(now time.Time) {
		services := e.drainInputs(now)
		e.node.Tick(now)
		e.publish(now)
		if e.hooks.OnTick != nil {
			e.hooks.OnTick(now, e.snapshot)
		}
		e.sendProbes(now, services)
	})
}

// drainInputs processes the queued inputs of request goroutines and returns the distinct services to probe.
func (e *Engine) drainInputs(now time.Time) []string {
	var services []string
	seen := map[string]bool{}
	for range len(e.inputs) {
		in := <-e.inputs
		if in.quarantine != nil {
			e.node.AddQuarantine(now, in.quarantine)
			continue
		}
		if !seen[in.service] {
			seen[in.service] = true
			services = append(services, in.service)
		}
	}
	return services
}

// publish builds and publishes a snapshot if the members or the bundle have changed. A new bundle is published
// immediately; member changes wait until nextPublish, which limits the CPU time for snapshots in a large system
// with many changes.
func (e *Engine) publish(now time.Time) {
	changed := e.bundleChanged || e.snapshot == nil || e.publishedVersion != e.node.Version()
	if !changed || now.Before(e.nextPublish) && !e.bundleChanged {
		return
	}
	self := system.Self{NodeID: e.cfg.NodeID, FailureDomain: e.cfg.FailureDomain, Region: e.cfg.Region}
	version := uint64(1)
	if e.snapshot != nil {
		version = e.snapshot.Version + 1
	}
	evacuated, _ := e.node.Evacuations()
	prev := e.snapshot
	e.snapshot = system.BuildSnapshot(version, self, system.OutsideOf(evacuated, e.node.Records()), e.bundle, prev, now, e.hooks.Subset)
	system.Retire(prev, evacuated)
	system.Readmit(e.snapshot, prev, e.evacuated, now)
	e.evacuated = evacuated
	e.publishedVersion = e.node.Version()
	e.bundleChanged = false
	e.publisher.Store(e.snapshot)
	e.counters.Snapshots.Add(1)
	e.nextPublish = now.Add(min(maxPublishDelay, publishIntervalFactor*time.Since(now)))
}

// receive decodes and handles one datagram.
func (e *Engine) receive(data []byte) {
	d, err := wire.DecodeDatagram(data)
	if err != nil {
		e.counters.Malformed.Add(1)
		return
	}
	e.counters.Received(d, len(data))
	e.update(func(now time.Time) {
		if err := e.node.Receive(now, d); err != nil {
			return // counted by the node
		}
		e.handleProbeMessage(now, d)
		e.handleTokenMessage(d)
	})
}
