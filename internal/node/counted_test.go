package node

import (
	"encoding/json"
	"net"
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
