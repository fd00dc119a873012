// Package node assembles the ingress, the gate and the control loop of a node.
package node

import (
	"context"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionspoke/internal/account"
	"dandelionspoke/internal/adapter"
	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/claim"
	"dandelionspoke/internal/engine"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/httpconn"
	"dandelionspoke/internal/ingress"
	"dandelionspoke/internal/link"
	"dandelionspoke/internal/metrics"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/steady"
	"dandelionspoke/internal/table"

	"github.com/cockroachdb/errors"
)

// Options configure a node.
type Options struct {
	Settings settings.Settings
	Logger   *slog.Logger // nil discards
	// Store replaces the client that Settings.Store describes.
	Store objectstore.Store
	// Policy is the name of the load balancing policy; empty means balance.Dandelionspoke.
	Policy string
	// LogsDropped returns the number of dropped log lines; if nil, the metric is omitted.
	LogsDropped func() int64
}

// Addresses are the bound addresses of a started node.
type Addresses struct {
	Ingress, Peer, UDP, Admin, Announce string
	Health, Metrics                     string // empty if the listener is not configured
	Heartbeats                          string // named to backend servers for later heartbeats; empty without an adapter for them
}

// Node is one process of the system. Its methods are safe for concurrent use.
type Node struct {
	settings      settings.Settings
	logger        *slog.Logger
	store         objectstore.Store // nil without direct access
	adapter       *adapter.Adapter
	serviceName   atomic.Pointer[string] // backend.service, which Reload may change
	retrySettings atomic.Pointer[settings.Retry]
	logsDropped   func() int64
	metrics       *metrics.Registry
	instance      uint64
	createdAt     time.Time

	snapshots  table.Publisher
	peerPool   *peer.Pool
	gate       *gate.Gate
	ingress    *ingress.Ingress
	registry   *announce.Registry
	engine     *engine.Engine
	peerServer *peer.Server
	quarantine *retry.Quarantine
	trials     trialState
	trialSeed  maphash.Seed
	// quarantineWritePending is set while a write of the quarantine is scheduled, quarantineEnded while a response has ended one
	// that the store may still hold.
	quarantineWritePending, quarantineEnded atomic.Bool
	budget                                  *retry.Budget
	serviceBudgets                          *retry.ServiceBudgets
	linkBudget                              *link.Budget
	probePlanner                            *balance.ProbePlanner
	bundleProvider                          rollout.Provider
	bundles                                 bundleState
	counters                                requestCounters
	claimers                                *claim.ClaimerSet // nil without direct access to the store
	claimRouter                             *claim.Router
	isStoreReader                           atomic.Bool // this node reads the store for its failure domain
	joinAttempted                           atomic.Bool // the first attempt to join other nodes has ended
	departures                              departureState
	limits                                  *ratelimit.Limiter // rate limits of accounts; nil if the settings have no window for them
	fleetList                               fleetList
	confirmation                            account.Confirmation // of the bundle in force
	evacuation                              evacuationState
	restored                                restoreState
	// probePolicyVersion and probeRand are used only by the engine loop.
	probePolicyVersion uint64
	probeRand          *rand.Rand

	addresses       Addresses
	servers         []*http.Server
	ingressListener *httpconn.Listener
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	closeOnce       sync.Once
	draining        atomic.Bool
}

// New returns a node; Start starts it.
func New(o Options) (*Node, error) {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Policy == "" {
		o.Policy = balance.Dandelionspoke
	}
	picker, err := balance.New(o.Policy)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: o.Settings, logger: o.Logger, store: o.Store, instance: rand.Uint64(), createdAt: time.Now(), trialSeed: maphash.MakeSeed(),
		registry: &announce.Registry{}, logsDropped: o.LogsDropped, metrics: metrics.NewRegistry(),
	}
	n.serviceName.Store(&o.Settings.Backend.Service)
	n.retrySettings.Store(&o.Settings.Retry)
	n.adapter, err = adapter.New(o.Settings.Adapter, o.Settings, func() string { return *n.serviceName.Load() }, o.Logger)
	if err != nil {
		return nil, err
	}
	if n.adapter.Configure != nil {
		n.adapter.Configure(&n.settings)
	}
	if n.store == nil {
		n.store = n.adapter.Store
	}
	if n.store == nil && o.Settings.Store.URL != "" {
		if n.store, err = newStoreClient(o.Settings.Store); err != nil {
			return nil, err
		}
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.bundles.acceptor = bundle.NewAcceptorByRole(o.Settings.Bundle.TrustedKeys, o.Settings.Bundle.ApproverKeys)
	if o.Settings.Bundle.Unsigned {
		n.bundles.acceptor = bundle.NewUnsignedAcceptor()
	}
	n.assemble(picker)
	return n, nil
}

func newStoreClient(s settings.Store) (objectstore.Store, error) {
	return objectstore.NewClient(objectstore.Options{
		BaseURL: s.URL, Token: s.Token, CallTimeout: s.Timeout, CallsPerSecond: s.CallsPerSecond,
	})
}

// assemble creates the components that do not depend on a bound address. The default policy applies until a bundle is
// in force.
func (n *Node) assemble(picker balance.Picker) {
	defaults := &bundle.Bundle{}
	defaults.SetDefaults()
	policy := defaults.Policy
	n.quarantine = retry.NewQuarantine(policy.QuarantineDeaths, policy.QuarantineFor.D())
	n.budget = retry.NewBudget(n.createdAt, policy.RetryShare, policy.RetryMinPerSecond)
	n.serviceBudgets = retry.NewServiceBudgets()
	n.probePlanner = balance.NewProbePlanner(steady.Nanos(n.createdAt), policy, probeExchangeBytes)
	n.probeRand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.linkBudget = link.NewBudget(policy)
	n.gate = gate.New(n.instance, n.logger)
	n.gate.SetMaxResponseHeaderBytes(n.settings.Backend.MaxResponseHeaderBytes)
	if n.adapter.BackendProtocol != nil {
		n.gate.SetProtocol(n.adapter.BackendProtocol)
	}
	n.gate.ServiceTime = n.metrics.Histogram("gate_service_seconds")
	n.gate.QueueTime = n.metrics.Histogram("gate_queue_seconds")
	n.gate.IsQuarantined = n.isQuarantined
	n.gate.OnCrash = n.onBackendCrash
	n.gate.QuarantineEntries = n.quarantineEntries
	n.gate.WriteLimiter = n.writeLimiter
	if n.settings.RateLimit.Window > 0 {
		n.limits = ratelimit.New(n.instance)
		n.gate.OnPause = n.onPause
	}
	n.registry.OnChange = n.onBackendChange
	n.registry.OnDeparture = n.onDeparture
	n.registry.OnSlowStart = n.gate.StateSlowStart
	n.gate.SetSlowStart(n.settings.SlowStart)
	n.registry.StartRestore(n.createdAt)
	n.holdForEvacuations()
	n.ingress = ingress.New(ingress.Config{
		Snapshots: &n.snapshots, Opener: n, Chooser: ingress.NewChooser(picker), Budget: n.budget, ServiceBudgets: n.serviceBudgets,
		Logger: n.logger, Protocol: n.adapter.CallerProtocol, Latency: n.metrics.Histogram("ingress_request_seconds"), Region: n.settings.Region, MaxBodyBytes: n.settings.Ingress.MaxBodyBytes,
		IsQuarantined: n.isQuarantined, MergeQuarantine: n.mergeQuarantine, ClaimTrial: n.claimTrial, ReturnTrial: n.returnTrial, OnRequest: n.onIngressRequest, OnSuccess: n.onRequestSuccess,
		Limits:          n.limits,
		ClaimsFor:       func(service string) claim.KeyClaimer { return n.claimRouter.For(service) },
		BundleConfirmed: n.bundleConfirmed(),
		FleetRank:       n.fleetRank,
	})
}

// Addrs returns the bound addresses. They are empty before Start.
func (n *Node) Addrs() Addresses { return n.addresses }

// ID returns the node's identifier.
func (n *Node) ID() string { return n.settings.NodeID }

// Start binds all listeners and joins the fleet in the background. If it fails, it closes all listeners.
func (n *Node) Start(ctx context.Context) error {
	err := n.start(ctx)
	if err != nil {
		_ = n.Close()
	}
	return err
}

func (n *Node) start(ctx context.Context) error {
	peerListener, err := listen(ctx, "peer", n.settings.Peer.Listen)
	if err != nil {
		return err
	}
	n.addresses.Peer = peerListener.Addr().String()
	if n.settings.Peer.Advertise == "" {
		n.settings.Peer.Advertise = n.addresses.Peer
	}
	if n.settings.NodeID == "" {
		n.settings.NodeID = n.settings.Peer.Advertise
	}
	n.peerPool = peer.NewPool(n.settings.NodeID, n.instance)
	n.peerServer = peer.NewServer(n.settings.NodeID, n.instance, n, n.logger)
	n.claimRouter = n.newClaimRouter()
	n.engine = engine.New(n.engineConfig(), n.engineHooks(), &n.snapshots)
	if err := n.engine.Start(); err != nil {
		_ = peerListener.Close()
		return err
	}
	n.addresses.UDP = n.engine.UDPAddr()
	n.peerServer.Serve(peerListener)
	if err := n.startHTTP(ctx); err != nil {
		return err
	}
	n.background(n.runMaintenance)
	n.background(n.join)
	n.background(n.awaitDepartures)
	n.background(n.endProvisional)
	if n.limits != nil {
		n.background(n.runRateLimits)
	}
	if n.settings.Backend.PortCheck > 0 {
		n.background(n.checkHealth)
	}
	if n.settings.Accounts.RequireConfirmation {
		n.background(n.confirmBundle)
	}
	if n.store != nil {
		if n.evacuationEnabled() {
			n.background(n.readEvacuations)
		}
		n.background(n.readFirstBundle)
		n.background(n.followStore)
		n.background(n.followGeneration)
	}
	n.logger.Info("node started", "event", "node_started", "node", n.settings.NodeID, "ingress", n.addresses.Ingress,
		"peer", n.addresses.Peer, "udp", n.addresses.UDP, "admin", n.addresses.Admin, "announce", n.addresses.Announce)
	return nil
}

func (n *Node) background(run func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		run()
	}()
}

func listen(ctx context.Context, name, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "%s.listen", name)
}

// startHTTP starts the ingress listener, and those of the announce, admin, health and metrics listeners that have an
// address in the settings.
func (n *Node) startHTTP(ctx context.Context) error {
	if err := n.startIngress(ctx); err != nil {
		return err
	}
	announcements := n.registry.Handler()
	if n.adapter.Announcements != nil {
		announcements = n.adapter.Announcements(n.registry, announce.Channel{LaterAddress: n.listenForHeartbeats(ctx)})
	}
	listeners := []struct {
		name, listen string
		bound        *string
		handler      http.Handler
	}{
		{"announce", n.settings.Announce.Listen, &n.addresses.Announce, announcements},
		{"admin", n.settings.Admin.Listen, &n.addresses.Admin, n.adminHandler()},
		{"health", n.settings.Health.Listen, &n.addresses.Health, n.healthHandler()},
		{"metrics", n.settings.Metrics.Listen, &n.addresses.Metrics, n.metricsHandler()},
	}
	for _, l := range listeners {
		if l.listen == "" {
			continue
		}
		if err := n.serveHTTP(ctx, l.name, l.listen, l.bound, n.newHTTPServer(l.handler)); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) newHTTPServer(handler http.Handler) *http.Server {
	timeout := n.settings.Ingress.HeaderTimeout
	return &http.Server{Handler: handler, ReadHeaderTimeout: timeout, ReadTimeout: timeout}
}

// healthHandler returns the adapter's health handler, if any. Otherwise it returns one that responds on any path, with
// 200 while the node accepts new requests and 503 at other times.
func (n *Node) healthHandler() http.Handler {
	if n.adapter.Health != nil {
		return n.adapter.Health(n.Ready)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Ready reports whether callers should send new requests to this node.
func (n *Node) Ready() bool { return n.bundles.inForce.Load() != nil && !n.draining.Load() }

func (n *Node) startIngress(ctx context.Context) error {
	in := n.settings.Ingress
	l, err := httpconn.ListenConfig().Listen(ctx, "tcp", in.Listen)
	if err != nil {
		return errors.Wrap(err, "ingress.listen")
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return errors.Newf("ingress.listen: %T is not a TCP listener", l)
	}
	n.ingressListener = httpconn.NewListener(tcp, n.logger)
	n.addresses.Ingress = l.Addr().String()
	n.serveOn(n.ingressListener, "ingress", &http.Server{
		Handler: n.ingress, ReadHeaderTimeout: in.HeaderTimeout, IdleTimeout: in.IdleTimeout, MaxHeaderBytes: in.MaxHeaderBytes,
		ConnState: n.ingressListener.TrackState, ConnContext: httpconn.Context,
		// Otherwise net/http answers "OPTIONS *" itself, with a status that no backend server has given.
		DisableGeneralOptionsHandler: true,
	})
	return nil
}

func (n *Node) serveHTTP(ctx context.Context, name, address string, bound *string, server *http.Server) error {
	l, err := listen(ctx, name, address)
	if err != nil {
		return err
	}
	*bound = l.Addr().String()
	n.serveOn(l, name, server)
	return nil
}

func (n *Node) serveOn(l net.Listener, name string, server *http.Server) {
	server.ErrorLog = slog.NewLogLogger(n.logger.With("listener", name).Handler(), slog.LevelDebug)
	n.servers = append(n.servers, server)
	n.background(func() {
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.logger.Error("listener failed", "event", "listener_failed", "listener", name, "error", err)
		}
	})
}

// Open implements ingress.Opener. Streams to this node's own gate use an in-memory pipe instead of a peer session.
func (n *Node) Open(ctx context.Context, ep *table.Endpoint, class peer.SessionClass) (*peer.Conn, error) {
	if ep.NodeID != n.settings.NodeID {
		conn, err := n.peerPool.Open(ctx, ep.PeerAddr, class)
		if err == nil && class != peer.SessionControl {
			conn.SetWriteLimiter(n.limitWrites(ctx, ep.Region, class == peer.SessionLong, link.Priority(ctx)))
		}
		return conn, err
	}
	remote := &peer.Remote{Instance: n.instance}
	remote.RecordGeneration(n.gate.Generation())
	client, server := peer.Pipe(remote)
	go n.serveLocal(server)
	return client, nil
}

// writeLimiter implements gate.Gate.WriteLimiter. Its writes end with the node, so that responses that are ready are
// delivered after the deadline too.
func (n *Node) writeLimiter(region string, long bool, priority int) func(bytes int) error {
	return n.limitWrites(n.ctx, region, long, priority)
}

// limitWrites returns a function that delays writes to another region to stay within this node's share of the billed
// inter-region bandwidth, or nil for the local region. The function fails when ctx ends.
func (n *Node) limitWrites(ctx context.Context, region string, long bool, priority int) func(bytes int) error {
	if region == n.settings.Region {
		return nil
	}
	return func(bytes int) error { return n.linkBudget.Wait(ctx, bytes, long, priority) }
}

func (n *Node) serveLocal(conn *peer.Conn) {
	defer conn.Close()
	first, err := conn.Read()
	if err != nil {
		return
	}
	n.ServePeer(n.ctx, conn, first)
}
