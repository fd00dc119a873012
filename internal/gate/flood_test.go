package gate

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	floodSlots = 12
	// maxFloodBytes is the memory that a node may use beyond its idle use while all slots are flooded. The smallest
	// VM gives a node 184 MB.
	maxFloodBytes = 32 << 20
	floodDeadline = 2 * time.Second
	// chunkPause limits the rate at which the callers of all slots together read a body to 1 Gbit/s, the fastest link of a
	// VM.
	chunkPause = floodSlots * wire.MaxChunkBytes * time.Second / (125 << 20)
)

// flood is a response that never ends.
type flood struct {
	start  string        // sent once
	repeat string        // sent until the connection closes
	pause  time.Duration // between two repeats
	// want is the verdict of the request.
	want verdict.Verdict
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

var floods = map[string]flood{
	"header lines":             {start: "HTTP/1.1 200 OK\r\n", repeat: "X-Filler: " + strings.Repeat("a", 1000) + "\r\n", want: verdict.MayHaveRun},
	"one header line":          {start: "HTTP/1.1 200 OK\r\nX-Filler: ", repeat: strings.Repeat("a", 4096), want: verdict.MayHaveRun},
	"status line":              {start: "HTTP/1.1 200 ", repeat: strings.Repeat("a", 4096), want: verdict.MayHaveRun},
	"bytes that are no answer": {repeat: strings.Repeat("\x00\xff", 2048), want: verdict.MayHaveRun},
	"informational responses":  {repeat: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", want: verdict.MayHaveRun},
	"chunk line":               {start: chunkedHead, repeat: strings.Repeat("0", 4096), want: verdict.Ran},
	"chunk extensions":         {start: chunkedHead, repeat: "1;a=" + strings.Repeat("b", 2000) + "\r\nx\r\n", want: verdict.Ran},
	"trailer":                  {start: chunkedHead + "0\r\n", repeat: "X-Filler: " + strings.Repeat("a", 1000) + "\r\n", want: verdict.Ran},
	"body in chunks":           {start: chunkedHead, repeat: "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", want: verdict.Ran},
	"body until close":         {start: "HTTP/1.1 200 OK\r\n\r\n", repeat: strings.Repeat("x", 4096), want: verdict.Ran},
	"header byte by byte":      {start: "HTTP/1.1 200 OK\r\nX-Filler: ", repeat: "a", pause: 10 * time.Millisecond, want: verdict.MayHaveRun},
	"body byte by byte":        {start: "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", repeat: "x", pause: 10 * time.Millisecond, want: verdict.Ran},
}

// floodServer is a backend server that answers each request with a flood while one is set, and with status 204
// otherwise.
type floodServer struct {
	listener net.Listener
	flood    atomic.Pointer[flood]
	done     sync.WaitGroup
}

func newFloodServer(t *testing.T) *floodServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &floodServer{listener: listener}
	s.done.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.done.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.done.Wait()
	})
	return s
}

func (s *floodServer) serve(conn net.Conn) {
	defer conn.Close()
	request := make([]byte, 0, 4096)
	for buf := make([]byte, 1024); !bytes.Contains(request, []byte("\r\n\r\n")); {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		request = append(request, buf[:n]...)
	}
	f := s.flood.Load()
	if f == nil {
		fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
		return
	}
	if _, err := fmt.Fprint(conn, f.start); err != nil {
		return
	}
	// The deadline ends the flood if the gate never closes the connection.
	_ = conn.SetDeadline(time.Now().Add(5 * floodDeadline))
	repeat := []byte(f.repeat)
	for {
		if _, err := conn.Write(repeat); err != nil {
			return
		}
		time.Sleep(f.pause)
	}
}

// answerVerdict reads the frames of a response and returns its verdict: that of the refusal, or Ran if a response has
// begun. An End frame makes it complete.
func answerVerdict(t *testing.T, read func() (*wire.Frame, error)) (v verdict.Verdict, complete bool) {
	t.Helper()
	v = verdict.MayHaveRun
	for {
		f, err := read()
		if err != nil {
			return v, false
		}
		switch k := f.Kind.(type) {
		case *wire.Frame_Refusal:
			return verdict.FromWire(k.Refusal.Verdict), false
		case *wire.Frame_Response:
			v = verdict.Ran
		case *wire.Frame_Chunk:
			time.Sleep(chunkPause)
		case *wire.Frame_End:
			return v, true
		}
	}
}

// Guards against a node that is killed for its memory, or keeps its slots, because a backend server sends bytes without
// end in place of an answer, on all slots at once.
func TestEndlessResponsesAreBounded(t *testing.T) {
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			server := newFloodServer(t)
			g := newGate(t, http.NotFoundHandler())
			b := &bundle.Bundle{Services: map[string]bundle.Service{"katalog": {Slots: floodSlots, LongSlots: floodSlots - 1, QueueShort: 1, QueueLong: 1}}}
			b.SetDefaults()
			g.SetLimits(b.Services["katalog"], b.Policy)
			g.SetBackend(&Backend{ID: "katalog-1", Service: "katalog", Address: server.listener.Addr().String()})
			server.flood.Store(&f)

			before := retainedHeap()
			peak := watchRetainedHeap()
			var pending sync.WaitGroup
			for i := range floodSlots {
				head := requestHead(uint64(i + 1))
				head.DeadlineMs = uint32(floodDeadline.Milliseconds())
				conn := serveAttempt(t, g, head)
				_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
				pending.Go(func() {
					if v, complete := answerVerdict(t, conn.Read); v != f.want || complete {
						t.Errorf("verdict %v, complete %t; want %v of an incomplete response", v, complete, f.want)
					}
				})
			}
			pending.Wait()
			if used := peak() - before; used > maxFloodBytes {
				t.Errorf("the retained heap grew by %d MB, limit %d MB", used>>20, maxFloodBytes>>20)
			}
			waitFor(t, "slots free", func() bool { return g.Load().InFlight == 0 })

			server.flood.Store(nil)
			conn := serveAttempt(t, g, requestHead(100))
			_ = conn.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
			if v, complete := answerVerdict(t, conn.Read); v != verdict.Ran || !complete {
				t.Errorf("request after the flood: verdict %v, complete %t", v, complete)
			}
		})
	}
}

// retainedHeap returns the size of the heap in bytes after a garbage collection. Garbage is not counted, because its amount
// depends on how much processor time the collector gets beside the senders.
func retainedHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// watchRetainedHeap samples the retained heap until the returned function is called, which returns the largest sample.
func watchRetainedHeap() (peak func() int64) {
	stop, result := make(chan struct{}), make(chan int64)
	go func() {
		var largest int64
		for {
			largest = max(largest, retainedHeap())
			select {
			case <-stop:
				result <- largest
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(stop)
		return <-result
	}
}
