package node

import (
	"net"
	"testing"
	"time"

	"dandelionspoke/internal/settings"
)

// Guards against a node that joins only seconds after its start because the first addresses that it knows belong to
// machines that are gone: a connect to them gets no answer.
func TestJoinGoesAroundSilentAddresses(t *testing.T) {
	first := settings.Default()
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
