package node

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/steady"
)

// Guards against accounts that are refused for seconds after a restart of all nodes, although the list in the store holds the
// nodes, and against a new node that takes part before others count it: one that isn't listed, or is only because it has
// introduced itself.
func TestListedNodeTakesPartAtOnce(t *testing.T) {
	for name, c := range map[string]struct{ listed, introduced, atOnce bool }{
		"listed": {true, false, true}, "not listed": {false, false, false}, "introduced itself": {true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := l.Addr().String()
			l.Close()
			list := domainMembers{FailureDomain: "other", Region: "other", PeerAddresses: []string{"127.0.0.1:1", "127.0.0.1:2"}}
			if c.listed {
				list.PeerAddresses = append(list.PeerAddresses, address)
			}
			value, err := json.Marshal(list)
			if err != nil {
				t.Fatal(err)
			}
			store := objectstoretest.New()
			if _, err := store.Put(t.Context(), membersPrefix+"other", value, objectstore.MustNotExist); err != nil {
				t.Fatal(err)
			}
			s := settings.LoopbackDefaults()
			s.Peer.Listen = address
			s.NodeID = lateWriterID()
			s.RateLimit = settings.RateLimit{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}
			n, err := New(Options{Settings: s, Store: store})
			if err != nil {
				t.Fatal(err)
			}
			n.fleetList.introduced.Store(c.introduced)
			if err := n.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			started := time.Now()
			var state ratelimit.State
			for !state.Entitled && time.Since(started) < ratelimit.ParticipationDelay/2 {
				time.Sleep(10 * time.Millisecond)
				state = n.limits.Dump(steady.Now(), 0)
			}
			if state.Entitled != c.atOnce || state.FleetSize != len(list.PeerAddresses) {
				t.Errorf("takes part: %t, want %t; fleet size %d", state.Entitled, c.atOnce, state.FleetSize)
			}
		})
	}
}

// lateWriterID returns the ID of a node that writes its address to the store only after ratelimit.ParticipationDelay/2.
func lateWriterID() string {
	for i := 0; ; i++ {
		n := &Node{settings: settings.Settings{NodeID: fmt.Sprint("node-", i)}}
		if n.bootstrapDelay() > max(ratelimit.ParticipationDelay/2, bootstrapWindow*3/4) {
			return n.settings.NodeID
		}
	}
}

// Guards against a list in the store that shrinks while all nodes restart, so that those that start later count too few nodes
// or are refused a part in the rate limits; and against a change of deployments without them.
func TestStartingNodeKeepsTheList(t *testing.T) {
	for name, limited := range map[string]bool{"with rate limits": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			s := settings.LoopbackDefaults()
			if limited {
				s.RateLimit = settings.RateLimit{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}
			}
			store, key := objectstoretest.New(), membersPrefix+s.FailureDomain
			listed := []string{"127.0.0.1:1", "127.0.0.1:2"}
			value, err := json.Marshal(domainMembers{FailureDomain: s.FailureDomain, Region: s.Region, PeerAddresses: listed})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := store.Put(t.Context(), key, value, objectstore.MustNotExist); err != nil {
				t.Fatal(err)
			}
			n, err := New(Options{Settings: s, Store: store})
			if err != nil {
				t.Fatal(err)
			}
			if err := n.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			var list domainMembers
			for started := time.Now(); !slices.Contains(list.PeerAddresses, n.Addrs().Peer); time.Sleep(10 * time.Millisecond) {
				if time.Since(started) > 10*time.Second {
					t.Fatal("the node is not listed after 10 s")
				}
				o, err := store.Get(t.Context(), key)
				if err != nil {
					t.Fatal(err)
				}
				list, _ = n.decodeMembers(key, o.Value)
			}
			if kept := slices.Contains(list.PeerAddresses, listed[0]) && slices.Contains(list.PeerAddresses, listed[1]); kept != limited {
				t.Errorf("listed: %v", list.PeerAddresses)
			}
		})
	}
}

// Guards against a draining node that hashes all members for its view of the fleet 20 times a second, without any change of
// them.
func TestDrainingNodeUpdatesItsViewAtTheUsualInterval(t *testing.T) {
	s := settings.LoopbackDefaults()
	s.RateLimit = settings.RateLimit{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}
	n, err := New(Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	now := time.Now()
	var view fleetView
	n.updateFleetView(now, &view)
	n.engine.SetLeaving()
	n.updateFleetView(now, &view)
	now = now.Add(leavingSpends + time.Second)
	n.updateFleetView(now, &view)
	if now = view.next.Add(time.Hour); !view.due(now) || view.due(now.Add(fleetInterval-time.Millisecond)) {
		t.Errorf("the next update is due after %v, want %v", view.next.Sub(now), fleetInterval)
	}
}

// Guards against a restarted node that is refused a part in the rate limits for seconds although its neighbour tells it that
// the others count it.
func TestNodeThatANeighbourCountsTakesPartAtOnce(t *testing.T) {
	start := func(id string, seeds ...string) *Node {
		s := settings.LoopbackDefaults()
		s.NodeID, s.Seeds = id, seeds
		s.RateLimit = settings.RateLimit{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}
		n, err := New(Options{Settings: s})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		return n
	}
	entitledAfter := func(n *Node) time.Duration {
		started := time.Now()
		for !n.limits.Dump(steady.Now(), 0).Entitled && time.Since(started) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		return time.Since(started)
	}
	neighbour := start("neighbour").Addrs().Peer
	first := start("node", neighbour)
	if took := entitledAfter(first); took < ratelimit.ParticipationDelay/2 {
		t.Errorf("a new node takes part after %v", took)
	}
	time.Sleep(time.Second)
	_ = first.Close()
	if took := entitledAfter(start("node", neighbour)); took > ratelimit.ParticipationDelay/2 {
		t.Errorf("a restarted node takes part after %v", took)
	}
}
