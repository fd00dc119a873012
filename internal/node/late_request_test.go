package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

// Guards against requests whose body arrives late in a drain, that are sent to a backend server and are cut off without a
// response when the drain ends. A request that must end before the drain does is still served.
func TestRequestsLateInADrainAreNotCutOff(t *testing.T) {
	const drainTime = 3 * time.Second
	f := newFleet(t, 2)
	f.waitReady()
	for _, b := range f.backends {
		b.SetSlowdown(3000) // 6 s per request: none ends within the drain
	}
	type caller struct {
		conn       net.Conn
		path, id   string
		deadline   time.Duration
		wantStatus int
		wantRun    bool
	}
	callers := []*caller{
		{path: "/order", id: "late order", deadline: time.Minute, wantStatus: http.StatusServiceUnavailable},
		{path: "/preview", id: "late read", deadline: time.Minute, wantStatus: http.StatusServiceUnavailable},
		{path: "/preview", id: "late call", deadline: 2 * time.Second, wantStatus: http.StatusGatewayTimeout, wantRun: true},
	}
	for _, c := range callers {
		conn, err := net.Dial("tcp", f.nodes[0].Addrs().Ingress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		c.conn = conn
		head := "POST %s HTTP/1.1\r\nHost: a\r\n%s: %s\r\nDandelionspoke-Deadline-Ms: %d\r\nContent-Length: 8\r\n\r\nhalf"
		if _, err := fmt.Fprintf(conn, head, c.path, backendtest.RequestIDHeader, c.id, c.deadline.Milliseconds()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), drainTime)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- f.nodes[0].Drain(ctx) }()
	time.Sleep(drainTime / 2)
	for _, c := range callers {
		if _, err := io.WriteString(c.conn, "half"); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range callers {
		_ = c.conn.SetReadDeadline(time.Now().Add(drainTime))
		resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
		if err != nil {
			t.Errorf("%s: cut off without a response: %v", c.id, err)
			continue
		}
		resp.Body.Close()
		ran := f.log.Get(c.id).Started > 0
		notRun := resp.Header.Get(verdict.Header) == verdict.NotRun.String()
		if resp.StatusCode != c.wantStatus || ran != c.wantRun || notRun == c.wantRun {
			t.Errorf("%s: status %d, verdict %q, ran %t", c.id, resp.StatusCode, resp.Header.Get(verdict.Header), ran)
		}
	}
	<-drained
}
