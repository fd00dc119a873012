package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"

	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/wire"
)

// closeStreams is a peer.Handler that ends each stream at once.
type closeStreams struct{}

func (closeStreams) ServePeer(context.Context, *peer.Conn, *wire.Frame) {}
func (closeStreams) Generation() uint64                                 { return 1 }

// sessionRows measures the memory of idle peer sessions. Both ends of a session are in this process, so one
// end accounts for half of the growth.
func sessionRows(count int) ([]row, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := peer.NewServer("server", 1, closeStreams{}, slog.New(slog.DiscardHandler))
	server.Serve(listener)
	defer server.Close()
	heap, stack := heapBytes(), stackBytes()
	for i := range count {
		pool := peer.NewPool(fmt.Sprint("client-", i), 2)
		defer pool.Close()
		conn, err := pool.Open(context.Background(), listener.Addr().String(), peer.SessionShort)
		if err != nil {
			return nil, err
		}
		if err := conn.Close(); err != nil {
			return nil, err
		}
	}
	const ends = 2
	r := row{"measure=session", fmt.Sprintf("sessions=%d", count)}
	return []row{r.with("heap_bytes_per_end", (int64(heapBytes())-int64(heap))/int64(ends*count)).
		with("stack_bytes_per_end", (int64(stackBytes())-int64(stack))/int64(ends*count))}, nil
}

func stackBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.StackInuse
}
