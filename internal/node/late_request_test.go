package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// Guards against complete responses that are lost behind a slower one in a drain: because the slower request outlasts the drain, or
// because its response closes the connection although later requests have started.
func TestPipelinedResponsesLeaveBeforeADrainEnds(t *testing.T) {
	const drainTime, short, outlasting = 3 * time.Second, "20ms", "4s"
	// A request that is sent afterDrain must end within the drain.
	tests := map[string]struct {
		afterDrain time.Duration // when the requests are sent, after the start of the drain
		works      []string      // service times
		replyBytes int
	}{
		"first one outlasts the drain":       {-50 * time.Millisecond, []string{outlasting, short, short, short, short, short, short, short}, 200},
		"long responses":                     {-50 * time.Millisecond, []string{outlasting, short, short, short, short, short, short, short}, 30000},
		"one in the middle outlasts it too":  {-50 * time.Millisecond, []string{outlasting, short, short, short, outlasting, short, short, short}, 30000},
		"last one outlasts it":               {-50 * time.Millisecond, []string{short, short, short, outlasting}, 200},
		"alone":                              {-50 * time.Millisecond, []string{outlasting}, 200},
		"first one ends late in the drain":   {-50 * time.Millisecond, []string{"2300ms", short, short, short, short, short, short, short}, 30000},
		"sent in the drain, first ends late": {100 * time.Millisecond, []string{"2s", short, short, short, short, short, short, short}, 200},
		"sent in the drain, first outlasts":  {100 * time.Millisecond, []string{outlasting, short, short, short}, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			f.waitReady()
			conn, err := net.Dial("tcp", f.nodes[0].Addrs().Ingress)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			ctx, cancel := context.WithTimeout(t.Context(), drainTime)
			defer cancel()
			drained := make(chan error, 1)
			drain := func() { go func() { drained <- f.nodes[0].Drain(ctx) }() }
			if test.afterDrain >= 0 {
				drain()
				time.Sleep(test.afterDrain)
			}
			var requests strings.Builder
			for i, work := range test.works {
				fmt.Fprintf(&requests, "GET /preview HTTP/1.1\r\nHost: a\r\n%s: %d\r\n%s: %s\r\n%s: %d\r\n\r\n", backendtest.RequestIDHeader, i,
					backendtest.WorkHeader, work, backendtest.ReplyBytesHeader, test.replyBytes)
			}
			if _, err := io.WriteString(conn, requests.String()); err != nil {
				t.Fatal(err)
			}
			if test.afterDrain < 0 {
				time.Sleep(-test.afterDrain)
				drain()
			}
			_ = conn.SetReadDeadline(time.Now().Add(2 * drainTime))
			reader := bufio.NewReader(conn)
			for i, work := range test.works {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("request %d of %s: no response: %v", i, work, err)
				}
				n, err := io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				answered := resp.StatusCode == http.StatusOK && err == nil && n == int64(test.replyBytes)
				givenUp := resp.StatusCode == http.StatusBadGateway && resp.Header.Get(verdict.Header) == verdict.MayHaveRun.String()
				if work == outlasting && !givenUp || work != outlasting && !answered {
					t.Errorf("request %d of %s: status %d, %d bytes, verdict %q, error %v", i, work, resp.StatusCode, n, resp.Header.Get(verdict.Header), err)
				}
				// A response that was complete before the drain does not close the connection; the drain closes it later.
				last := i == len(test.works)-1
				if resp.Close && !last || !resp.Close && last && test.afterDrain >= 0 {
					t.Errorf("request %d of %d: the response closes the connection: %t", i, len(test.works), resp.Close)
				}
			}
			<-drained
		})
	}
}
