package faulttest

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/wire"
)

// relay is a TCP and UDP proxy for one node. The node advertises the addresses of the relay, and the relay forwards
// only what the network does not block.
type relay struct {
	network *Network
	id      string
	tcp     net.Listener
	udp     *net.UDPConn
	done    chan struct{}
	// received and forwarded count datagrams.
	received, forwarded atomic.Int64
	wg                  sync.WaitGroup

	mu        sync.Mutex
	tcpTarget string // empty while the node is down
	udpTarget netip.AddrPort
	conns     map[net.Conn]struct{}
}

func newRelay(network *Network, id string) (*relay, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.CombineErrors(err, tcp.Close())
	}
	r := &relay{network: network, id: id, tcp: tcp, udp: udp, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	r.wg.Go(r.acceptConnections)
	r.wg.Go(r.forwardDatagrams)
	return r, nil
}

func (r *relay) peerAddr() string { return r.tcp.Addr().String() }
func (r *relay) udpAddr() string  { return r.udp.LocalAddr().String() }

// setTarget sets the addresses that the node listens on.
func (r *relay) setTarget(tcp, udp string) error {
	addr, err := netip.ParseAddrPort(udp)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tcpTarget, r.udpTarget = tcp, addr
	return nil
}

// clearTarget marks the node as down: the relay closes new connections and drops datagrams.
func (r *relay) clearTarget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tcpTarget, r.udpTarget = "", netip.AddrPort{}
}

func (r *relay) target() (string, netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tcpTarget, r.udpTarget
}

// track registers a connection that close closes.
func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

func (r *relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.Close()
}

func (r *relay) close() {
	close(r.done)
	_ = r.tcp.Close()
	_ = r.udp.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *relay) forwardDatagrams() {
	buffer := make([]byte, 2*wire.MaxDatagramBytes)
	for {
		size, _, err := r.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		r.received.Add(1)
		d, err := wire.DecodeDatagram(buffer[:size])
		if err != nil {
			continue
		}
		r.network.countProbe(d)
		blocked, _ := r.network.blocked(link{d.From, r.id})
		if _, target := r.target(); !blocked && target.IsValid() {
			r.forwarded.Add(1)
			_, _ = r.udp.WriteToUDPAddrPort(buffer[:size], target)
		}
	}
}

func (r *relay) acceptConnections() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.track(c)
		r.wg.Go(func() {
			defer r.closeConn(c)
			r.serve(c)
		})
	}
}

// serve connects a session to the node behind the relay and forwards its data in both directions. It takes
// the node ID of the client from the hello of the session.
func (r *relay) serve(client net.Conn) {
	var hello bytes.Buffer
	from, err := readHello(io.TeeReader(client, &hello))
	if err != nil || !r.network.waitUnblocked(link{from, r.id}, r.done) {
		return
	}
	target, _ := r.target()
	if target == "" {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	r.track(server)
	defer r.closeConn(server)
	if _, err := server.Write(hello.Bytes()); err != nil {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forwardStream(server, client, link{from, r.id}) })
	directions.Go(func() { r.forwardStream(client, server, link{r.id, from}) })
	directions.Wait()
}

// forwardStream copies data in one direction and delays it while the link is blocked. It closes both connections when
// it returns.
func (r *relay) forwardStream(to, from net.Conn, l link) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			if !r.network.waitUnblocked(l, r.done) {
				return
			}
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			// A blocked link also delays the close of a connection.
			r.network.waitUnblocked(l, r.done)
			return
		}
	}
}

// Layout of a yamux frame header: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
)

// readHello returns the node ID in the hello, the first message of a session.
func readHello(r io.Reader) (string, error) {
	var data bytes.Buffer
	var header [yamuxHeaderBytes]byte
	for {
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return "", err
		}
		if header[1] != yamuxTypeData {
			continue
		}
		length := int64(binary.BigEndian.Uint32(header[8:]))
		if _, err := io.CopyN(&data, r, length); err != nil {
			return "", err
		}
		frame, err := wire.ReadFrame(bytes.NewReader(data.Bytes()), wire.MaxFrameBytes)
		if err == nil {
			return frame.GetHello().GetNodeId(), nil
		}
	}
}
