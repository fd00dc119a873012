package node

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/wire"
)

// unresponsiveHandler never replies, like a node whose VM lost power after its sessions had been established.
type unresponsiveHandler struct{}

func (unresponsiveHandler) ServePeer(ctx context.Context, _ *peer.Conn, _ *wire.Frame) { <-ctx.Done() }
func (unresponsiveHandler) Generation() uint64                                         { return 0 }

// Guards against a node that gets a bundle late because the peer that advertised it crashed: the pending fetch from
// that peer blocked all other fetches for 3 s, longer than a bundle may take to be in force.
func TestFetchUsesAnotherPeerWhenOneIsUnresponsive(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer("unresponsive", 1, unresponsiveHandler{}, slog.New(slog.DiscardHandler))
	server.Serve(unresponsive)
	defer server.Close()
	nodes := make([]*Node, 2)
	for i := range nodes {
		s := settings.LoopbackDefaults()
		s.Bundle.Unsigned = true
		if nodes[i], err = New(Options{Settings: s}); err != nil {
			t.Fatal(err)
		}
		if err := nodes[i].Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer nodes[i].Close()
	}
	b := &bundle.Bundle{Version: 7, Services: map[string]bundle.Service{"katalog": {}}}
	envelope, err := bundle.NewEnvelope(b)
	if err != nil {
		t.Fatal(err)
	}
	nodes[0].offerFromStore(envelope)
	go nodes[1].fetchBundle(7, unresponsive.Addr().String())
	start := time.Now()
	for version := uint64(0); version != 7; version, _ = nodes[1].BundleVersion() {
		if time.Since(start) > 2*time.Second {
			t.Fatal("the bundle is not in force after 2 s")
		}
		time.Sleep(50 * time.Millisecond)
		nodes[1].fetchBundle(7, nodes[0].Addrs().Peer)
	}
}
