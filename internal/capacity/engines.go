package capacity

import (
	"fmt"
	"runtime"
	"runtime/pprof"
	"sync"
	"syscall"
	"time"

	"dandelionspoke/internal/engine"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
)

// loopbackFleet is a set of engines in this process. They gossip over loopback sockets, but their full-state
// exchanges are function calls.
type loopbackFleet struct {
	engines    []*engine.Engine
	publishers []*table.Publisher
	mu         sync.Mutex
	byPeerAddr map[string]*engine.Engine
}

func (l *loopbackFleet) peer(addr string) *engine.Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byPeerAddr[addr]
}

func (l *loopbackFleet) addEngine(i int) error {
	addr := fmt.Sprintf("10.0.%d.%d:7947", i>>8, i&0xff)
	var e *engine.Engine
	hooks := engine.Hooks{
		SyncWith: func(peerAddr string, request *wire.SyncRequest) {
			if peer := l.peer(peerAddr); peer != nil {
				e.HandleSyncReply(peerAddr, peer.HandleSync(request))
			}
		},
	}
	cfg := engine.Config{
		NodeID: fmt.Sprintf("node-%03d", i), ListenUDP: "127.0.0.1:0", AdvertisePeer: addr,
		FailureDomain: "domain", Region: "region",
	}
	publisher := &table.Publisher{}
	e = engine.New(cfg, hooks, publisher)
	l.mu.Lock()
	l.byPeerAddr[addr] = e
	l.mu.Unlock()
	l.engines = append(l.engines, e)
	l.publishers = append(l.publishers, publisher)
	if err := e.SetLocalEndpoints([]*wire.EndpointRecord{{Id: cfg.NodeID, Service: "katalog", Slots: 12}}); err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	if i > 0 {
		seed := l.engines[0]
		e.HandleSyncReply("10.0.0.0:7947", seed.HandleSync(e.SyncRequest()))
	}
	return nil
}

func (l *loopbackFleet) converged() bool {
	for _, p := range l.publishers {
		service := p.Load().Service("katalog")
		if service == nil || len(service.Endpoints) != len(l.engines) {
			return false
		}
	}
	return true
}

func (l *loopbackFleet) stop() {
	for _, e := range l.engines {
		e.Stop()
	}
}

// engineRows starts engines on loopback and measures them while idle.
func engineRows(n int, idle time.Duration) ([]row, error) {
	before := heapBytes()
	goroutines := runtime.NumGoroutine()
	l := &loopbackFleet{byPeerAddr: map[string]*engine.Engine{}}
	defer l.stop()
	for i := range n {
		if err := l.addEngine(i); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	for !l.converged() {
		if time.Since(start) > convergenceTimeout {
			return nil, errors.Wrapf(errNotConverged, "%d engines on loopback", n)
		}
		time.Sleep(engine.DefaultTickInterval)
	}
	r := newRow("engines_idle", n).with("joined_ms", time.Since(start))
	// Wait for the gossip of the joins to end: each node sends an update about λ·log10(n) times, which takes a few
	// seconds. λ is the retransmission factor of package membership.
	time.Sleep(idle)
	cpu, measuredFrom := processTime(), time.Now()
	messages, bytes := l.sent()
	time.Sleep(idle)
	elapsed := time.Since(measuredFrom).Seconds()
	endMessages, endBytes := l.sent()
	nodeSeconds := elapsed * float64(n)
	threads := pprof.Lookup("threadcreate").Count()
	r = r.with("cpu_percent_of_core", 100*(processTime()-cpu).Seconds()/nodeSeconds).
		with("msgs_per_s", float64(endMessages-messages)/nodeSeconds).
		with("bytes_per_s", float64(endBytes-bytes)/nodeSeconds).
		with("heap_bytes", (heapBytes()-before)/uint64(n)).
		with("goroutines", float64(runtime.NumGoroutine()-goroutines)/float64(n)).
		with("process_threads", threads)
	return []row{r}, nil
}

func (l *loopbackFleet) sent() (messages, bytes uint64) {
	for _, e := range l.engines {
		m, b := e.Counters().Totals()
		messages += m
		bytes += b
	}
	return messages, bytes
}

// processTime returns the user and system processor time of this process.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
