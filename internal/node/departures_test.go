package node

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"dandelionspoke/internal/adapter"
	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/settings"
)

// departureFleet is a set of nodes that are ended without notice and started again under their node IDs.
type departureFleet struct {
	t     *testing.T
	store *objectstoretest.Store
	nodes []*Node
}

func newDepartureFleet(t *testing.T, size int) *departureFleet {
	f := &departureFleet{t: t, store: objectstoretest.New(), nodes: make([]*Node, size)}
	for i := range f.nodes {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.nodes {
			f.kill(i)
		}
	})
	f.waitFor("all nodes know each other", func() bool {
		for _, n := range f.nodes {
			if len(n.liveMembers()) < size {
				return false
			}
		}
		return true
	})
	return f
}

func (f *departureFleet) start(i int) {
	f.t.Helper()
	s := settings.LoopbackDefaults()
	s.NodeID = fmt.Sprintf("node-%d", i)
	s.FailureDomain = "local-a"
	for _, other := range f.nodes {
		if other != nil {
			s.Seeds = append(s.Seeds, other.Addrs().Peer)
		}
	}
	n, err := New(Options{Settings: s, Store: f.store})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.nodes[i] = n
}

func (f *departureFleet) kill(i int) {
	if f.nodes[i] != nil {
		_ = f.nodes[i].Close()
		f.nodes[i] = nil
	}
}

func (f *departureFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not reached within 10s", what)
		}
	}
}

func (f *departureFleet) current(i int) string {
	current, _ := f.nodes[i].registry.Current()
	if current == nil {
		return ""
	}
	return current.ID
}

func (f *departureFleet) heartbeat(i int, incarnation int64, sequence uint64) announce.Outcome {
	return f.send(i, incarnation, sequence, false)
}

func (f *departureFleet) send(i int, incarnation int64, sequence uint64, draining bool) announce.Outcome {
	return f.nodes[i].registry.HandleHeartbeat(testHeartbeat(incarnation, sequence, draining), time.Now())
}

// heartbeatAtOffer sends a heartbeat of a backend server that uses the address which the node has offered.
func (f *departureFleet) heartbeatAtOffer(i int, incarnation int64, sequence uint64) {
	h := testHeartbeat(incarnation, sequence, false)
	h.SentAfterStart = true
	f.nodes[i].registry.HandleHeartbeat(h, time.Now())
}

func testHeartbeat(incarnation int64, sequence uint64, draining bool) announce.Heartbeat {
	return announce.Heartbeat{
		Announcement: announce.Announcement{ID: "katalog-1", Service: "katalog", Address: "127.0.0.1:1"},
		Incarnation:  incarnation, Sequence: sequence, Draining: draining,
	}
}

// Guards against a delayed heartbeat that announces a backend server again after its departure has been acknowledged and
// nodes have restarted: the node itself, with neighbours that have restarted since, and all at once, with the store away at
// the departure, at the restart or both.
func TestDepartureOutlivesRestarts(t *testing.T) {
	const born = 1000
	tests := []struct {
		name                           string
		downAtDeparture, downAtRestart bool
		restartNeighbours, restartAll  bool
		storeReturns                   time.Duration // after the restart; 0 leaves it down
		wantSuccessor                  time.Duration // within which a new process is announced
	}{
		{name: "node", wantSuccessor: time.Second},
		{name: "node, store away at the departure", downAtDeparture: true, wantSuccessor: time.Second},
		{name: "node, store away at the restart", downAtRestart: true, wantSuccessor: 2 * time.Second},
		{name: "node, store away", downAtDeparture: true, downAtRestart: true, wantSuccessor: 2 * time.Second},
		{name: "node, then neighbours, store away", downAtDeparture: true, downAtRestart: true, restartNeighbours: true, wantSuccessor: 2 * time.Second},
		{name: "all at once", restartAll: true, wantSuccessor: 2 * time.Second},
		{name: "all at once, store away at the restart", restartAll: true, downAtRestart: true, storeReturns: time.Second, wantSuccessor: 10 * time.Second},
		{name: "all at once, store away", restartAll: true, downAtDeparture: true, downAtRestart: true, storeReturns: time.Second, wantSuccessor: 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newDepartureFleet(t, 3)
			f.waitFor("the server is announced", func() bool {
				f.heartbeat(0, born, 1)
				return f.current(0) == "katalog-1"
			})
			f.store.SetDown(test.downAtDeparture)
			acknowledged := time.Now()
			f.nodes[0].registry.Deregister("katalog-1", born, time.Now())
			if took := time.Since(acknowledged); took > 900*time.Millisecond {
				t.Errorf("the acknowledgement took %v", took)
			}
			f.kill(0)
			f.store.SetDown(test.downAtRestart)
			if test.restartAll {
				f.kill(1)
				f.kill(2)
			}
			f.start(0)
			if test.restartAll {
				f.start(1)
				f.start(2)
			}
			if test.restartNeighbours {
				f.waitFor("the node has restored the departures", func() bool { return f.heartbeat(0, born, 3) == announce.Stale })
				for i := 1; i < 3; i++ {
					f.kill(i)
					f.start(i)
					f.waitFor("the neighbour has joined", func() bool { return len(f.nodes[i].liveMembers()) == 3 })
				}
				f.kill(0)
				f.start(0)
			}
			restarted, returned := time.Now(), false
			for sequence := uint64(4); time.Since(restarted) < 2*time.Second; sequence++ {
				if test.storeReturns > 0 && !returned && time.Since(restarted) > test.storeReturns {
					f.store.SetDown(false)
					returned = true
				}
				f.heartbeat(0, born, sequence)
				if id := f.current(0); id != "" {
					t.Fatalf("%s is announced %v after the restart", id, time.Since(restarted))
				}
				time.Sleep(20 * time.Millisecond)
			}
			for sequence := uint64(1); f.current(0) != "katalog-1"; sequence++ {
				if time.Since(restarted) > 2*time.Second+test.wantSuccessor {
					t.Fatal("a new process of the server is not announced")
				}
				// It started before the node, so that only heartbeats at the offered address show soon that it lives.
				f.heartbeatAtOffer(0, born+1, sequence)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// Guards against delayed heartbeats that announce a backend server again after its departure was acknowledged while the store
// was away and all nodes were killed, so that neither the store nor another node knows it.
func TestLateHeartbeatsAfterAForgottenDeparture(t *testing.T) {
	const (
		born = 1000
		// inTouch is the time after its start from which a node counts as undisturbed.
		inTouch = 3 * time.Second
	)
	tests := map[string]struct {
		drains   bool            // the server reports that it drains, and does not deregister
		arrivals []time.Duration // after the start of the node
	}{
		"alone":                     {arrivals: []time.Duration{2 * time.Second}},
		"alone, of a drain":         {drains: true, arrivals: []time.Duration{2 * time.Second}},
		"alone, right away":         {arrivals: []time.Duration{300 * time.Millisecond}},
		"right away, of a drain":    {drains: true, arrivals: []time.Duration{300 * time.Millisecond}},
		"in a bunch":                {arrivals: []time.Duration{2 * time.Second, 2050 * time.Millisecond, 2100 * time.Millisecond}},
		"some right away, one late": {arrivals: []time.Duration{300 * time.Millisecond, 400 * time.Millisecond, 3500 * time.Millisecond}},
		"two, at their interval":    {arrivals: atInterval(2*time.Second, 2)},
		"six, at their interval":    {arrivals: atInterval(2*time.Second, 6)},
		"six, from right away":      {arrivals: atInterval(300*time.Millisecond, 6)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrivals := test.arrivals
			f := newDepartureFleet(t, 3)
			f.waitFor("the server is announced", func() bool {
				f.heartbeat(0, born, 1)
				return f.current(0) == "katalog-1"
			})
			f.store.SetDown(true)
			if test.drains {
				f.send(0, born, 100, true)
			} else {
				f.nodes[0].registry.Deregister("katalog-1", born, time.Now())
			}
			for i := range f.nodes {
				f.kill(i)
			}
			f.store.SetDown(false)
			for i := range f.nodes {
				f.start(i)
			}
			started := f.nodes[0].createdAt
			for sequence := uint64(2); len(arrivals) > 0 || time.Since(started) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
				if len(arrivals) > 0 && time.Since(started) >= arrivals[0] {
					f.heartbeat(0, born, sequence)
					sequence++
					arrivals = arrivals[1:]
				}
				if id := f.current(0); id != "" && time.Since(started) > inTouch {
					t.Fatalf("%s is announced %v after the start", id, time.Since(started))
				}
			}
		})
	}
}

// atInterval returns the arrivals of heartbeats at the interval of a live server.
func atInterval(first time.Duration, count int) (arrivals []time.Duration) {
	for i := range count {
		arrivals = append(arrivals, first+time.Duration(i)*1500*time.Millisecond)
	}
	return arrivals
}

// Guards against live servers that wait for the store after a restart of all nodes, although a heartbeat at the address that the
// node has offered shows that they live.
func TestOfferedAddressNeedsNoStore(t *testing.T) {
	const born = 1000
	f := newDepartureFleet(t, 2)
	f.store.SetDown(true)
	for i := range f.nodes {
		f.kill(i)
	}
	for i := range f.nodes {
		f.start(i)
	}
	f.heartbeat(0, born, 7)
	f.heartbeatAtOffer(0, born, 8)
	if id := f.current(0); id != "katalog-1" {
		t.Errorf("announced %q after a heartbeat at the offered address", id)
	}
}

// Guards against a node that offers an address which an earlier process of it may have offered, at which delayed heartbeats
// arrive.
func TestOfferedAddressIsNew(t *testing.T) {
	const runs = 8
	name := fmt.Sprint("test-heartbeats-", time.Now().UnixNano()) // a name can be registered once in a process
	channels := make(chan announce.Channel, 2*runs)
	adapter.Register(name, func(settings.Settings, func() string, *slog.Logger) (*adapter.Adapter, error) {
		return &adapter.Adapter{Announcements: func(_ *announce.Registry, c announce.Channel) http.Handler {
			channels <- c
			return http.NotFoundHandler()
		}}, nil
	})
	offered := map[string]bool{}
	for range runs {
		s := settings.LoopbackDefaults()
		s.FailureDomain, s.Adapter = "local-a", name
		n, err := New(Options{Settings: s})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		later, usual := <-channels, <-channels
		address := n.Addrs().Heartbeats
		if !later.SentAfterStart || usual.SentAfterStart || later.LaterAddress != address || usual.LaterAddress != address {
			t.Errorf("channels %+v and %+v, offered %q", later, usual, address)
		}
		if response, err := http.Get("http://" + address); err != nil {
			t.Error(err)
		} else if _ = response.Body.Close(); response.StatusCode != http.StatusNotFound {
			t.Errorf("status %d at the offered address", response.StatusCode)
		}
		_ = n.Close()
		host, _, _ := net.SplitHostPort(address)
		if offered[host] {
			t.Errorf("host %s offered twice", host)
		}
		offered[host] = true
	}
}
