package node

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dandelionspoke/internal/settings"
)

// Guards against a node that joins only seconds after its start because the first addresses that it knows belong to
// VMs that no longer exist: connects to them hang.
func TestJoinSkipsUnresponsiveAddresses(t *testing.T) {
	first := settings.LoopbackDefaults()
	first.Bundle.Unsigned = true
	peer, err := New(Options{Settings: first})
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	second := first
	for range 5 {
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never replies
		if err != nil {
			t.Fatal(err)
		}
		defer unresponsive.Close()
		second.Seeds = append(second.Seeds, unresponsive.Addr().String())
	}
	second.Seeds = append(second.Seeds, peer.Addrs().Peer)
	n, err := New(Options{Settings: second})
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	for n.knowsNoOtherNode() {
		if time.Since(start) > 2*time.Second {
			t.Fatal("not joined after 2 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against two failures when all nodes start at the same time: sending the full member list over the billed
// inter-region link too often, and regions that never learn of each other.
func TestJoinOrderPrefersLocalRegion(t *testing.T) {
	addresses := func(region string, n int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("%s-%d", region, i))
		}
		return out
	}
	const trials = 1000
	for _, c := range []struct {
		local, remote      int
		minJoins, maxJoins float64 // bounds of the number of nodes per region that join through another region first
	}{
		{43, 43, 4, 13},
		{600, 600, 2, 18},
		{3, 3, 3, 3},
		{0, 5, 1, 1},
		{5, 0, 0, 0},
	} {
		remoteFirst := 0
		for range trials {
			order := joinOrder(addresses("local", c.local), addresses("remote", c.remote))
			if len(order) != c.local+c.remote {
				t.Fatalf("%+v: %d addresses", c, len(order))
			}
			if strings.HasPrefix(order[0], "remote") {
				remoteFirst++
			}
			if c.remote > 0 && !slices.ContainsFunc(order[:joinContacts+1], func(a string) bool { return strings.HasPrefix(a, "remote") }) {
				t.Fatalf("%+v: no address of another region among the first in %v", c, order)
			}
			for _, a := range order[1:max(1, min(joinContacts, c.local))] {
				if strings.HasPrefix(a, "remote") {
					t.Fatalf("%+v: order %v", c, order[:joinContacts])
				}
			}
		}
		if joins := float64(remoteFirst) / trials * float64(max(c.local, 1)); joins < c.minJoins || joins > c.maxJoins {
			t.Errorf("%+v: %.1f nodes joined through another region first", c, joins)
		}
	}
}

// Guards against a members object of another writer that keeps nodes from joining: addresses that no node can have take
// the place of others in each attempt, and a list of any length would be read and shuffled.
func TestOddMembersObjects(t *testing.T) {
	many := make([]string, maxDomainAddresses+1)
	for i := range many {
		many[i] = fmt.Sprintf("10.%d.%d.7:7070", i>>8, i&255)
	}
	tooMany, err := json.Marshal(domainMembers{PeerAddresses: many})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, value string
		want        []string // nil means an error
		dropped     int
	}{
		{"valid", `{"peer_addresses":["10.0.0.1:7070","[fd00::1]:7070"]}`, []string{"10.0.0.1:7070", "[fd00::1]:7070"}, 0},
		{"port out of range", `{"peer_addresses":["10.0.0.1:70700","10.0.0.2:7070","10.0.0.3:0","10.0.0.4:-1"]}`, []string{"10.0.0.2:7070"}, 3},
		{"no IP address", `{"peer_addresses":["store.example:80","","10.0.0.2","10.0.0.2:7070"]}`, []string{"10.0.0.2:7070"}, 3},
		{"address of no node", `{"peer_addresses":["0.0.0.0:7070","224.0.0.1:7070","10.0.0.2:7070"]}`, []string{"10.0.0.2:7070"}, 2},
		{"wrong type", `{"peer_addresses":{"a":1}}`, nil, 0},
		{"number", `{"peer_addresses":[7070]}`, nil, 0},
		{"deeply nested", `{"peer_addresses":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`, nil, 0},
		{"too many", string(tooMany), nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, dropped, err := decodeDomainMembers([]byte(test.value))
			if err != nil {
				if test.want != nil {
					t.Fatal(err)
				}
				return
			}
			if diff := cmp.Diff(test.want, d.PeerAddresses); diff != "" || dropped != test.dropped {
				t.Errorf("%d dropped, want %d; addresses:\n%s", dropped, test.dropped, diff)
			}
		})
	}
}
