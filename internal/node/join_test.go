package node

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"dandelionspoke/internal/settings"
)

// Guards against a node that joins only seconds after its start because the first addresses that it knows belong to
// machines that are gone: a connect to them gets no answer.
func TestJoinGoesAroundSilentAddresses(t *testing.T) {
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
		silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never answers
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		second.Seeds = append(second.Seeds, silent.Addr().String())
	}
	second.Seeds = append(second.Seeds, peer.Addrs().Peer)
	n, err := New(Options{Settings: second})
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	for n.alone() {
		if time.Since(began) > 2*time.Second {
			t.Fatal("not joined after 2 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a start of all nodes that sends the lists of all members over the paid link many times, and against
// regions that never meet.
func TestJoinOrderKeepsMostlyToTheRegion(t *testing.T) {
	addresses := func(region string, n int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("%s-%d", region, i))
		}
		return out
	}
	const starts = 1000
	for _, c := range []struct {
		near, far   int
		least, most float64 // of the nodes that join through another region first, per node of the own region
	}{
		{43, 43, 4, 13},
		{600, 600, 2, 18},
		{3, 3, 3, 3},
		{0, 5, 1, 1},
		{5, 0, 0, 0},
	} {
		first := 0
		for range starts {
			order := joinOrder(addresses("near", c.near), addresses("far", c.far))
			if len(order) != c.near+c.far {
				t.Fatalf("%+v: %d addresses", c, len(order))
			}
			if strings.HasPrefix(order[0], "far") {
				first++
			}
			if c.far > 0 && !slices.ContainsFunc(order[:joinContacts+1], func(a string) bool { return strings.HasPrefix(a, "far") }) {
				t.Fatalf("%+v: nobody of another region among the first in %v", c, order)
			}
			for _, a := range order[1:max(1, min(joinContacts, c.near))] {
				if strings.HasPrefix(a, "far") {
					t.Fatalf("%+v: order %v", c, order[:joinContacts])
				}
			}
		}
		if joins := float64(first) / starts * float64(max(c.near, 1)); joins < c.least || joins > c.most {
			t.Errorf("%+v: %.1f joins between regions", c, joins)
		}
	}
}
