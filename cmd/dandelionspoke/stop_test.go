package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
)

const (
	stopRounds         = 3
	stopCallersPerKind = 4
	// maxUnansweredAge is the age at which a request that was sent completely counts as accepted: the connection must not
	// end without an answer to it.
	maxUnansweredAge = 200 * time.Millisecond
)

// stopCaller sends requests on one connection until the node closes it, and records those without a complete response.
type stopCaller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
	name string

	unanswered []string // IDs
	answered   int
	failures   []string
}

func dialStopCaller(t *testing.T, address, name string) *stopCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &stopCaller{t: t, conn: conn, in: bufio.NewReader(conn), name: name}
}

func (c *stopCaller) head(method, path, id string, bodyBytes int) string {
	return fmt.Sprintf("%s /katalog/%s HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: 3000\r\n%s: 40ms\r\nContent-Length: %d\r\n\r\n",
		method, path, backendtest.RequestIDHeader, id, backendtest.ReplyBytesHeader, backendtest.WorkHeader, bodyBytes)
}

// read reads the response to a request that was sent completely at sentAt, and reports whether the connection stays open.
func (c *stopCaller) read(id string, sentAt time.Time) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(processTimeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		c.unanswered = append(c.unanswered, id)
		if age := time.Since(sentAt); age > maxUnansweredAge {
			c.failures = append(c.failures, fmt.Sprintf("%s: no complete response %s after it was sent: %v", id, age, err))
		}
		return false
	}
	c.answered++
	return !resp.Close
}

// run sends requests with exchange until the connection ends.
func (c *stopCaller) run(exchange func(c *stopCaller, id string) bool) {
	for n := 0; exchange(c, fmt.Sprintf("%s-%d", c.name, n)); n++ {
	}
}

// The ways in which callers send requests. Each returns whether the connection can be used further.
var stopExchanges = map[string]func(c *stopCaller, id string) bool{
	"kept": func(c *stopCaller, id string) bool {
		if _, err := io.WriteString(c.conn, c.head("GET", "items", id, 0)); err != nil {
			return false
		}
		return c.read(id, time.Now())
	},
	"pipelined": func(c *stopCaller, id string) bool {
		if _, err := io.WriteString(c.conn, c.head("GET", "items", id+"a", 0)+c.head("GET", "items", id+"b", 0)); err != nil {
			return false
		}
		sentAt := time.Now()
		// A request behind a response that closes the connection counts as not read.
		return c.read(id+"a", sentAt) && c.read(id+"b", sentAt)
	},
	"slow-body": func(c *stopCaller, id string) bool {
		if _, err := io.WriteString(c.conn, c.head("POST", "orders", id, 8)+"half"); err != nil {
			return false
		}
		time.Sleep(150 * time.Millisecond)
		if _, err := io.WriteString(c.conn, "half"); err != nil {
			c.unanswered = append(c.unanswered, id)
			return false
		}
		return c.read(id, time.Now())
	},
}

// Guards against requests that a planned stop cuts off without an answer: requests accepted in the instant of SIGTERM,
// pipelined ones and ones whose body is still arriving; in the last round the node of the gates stops at the same moment.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	for round := range stopRounds {
		t.Run(fmt.Sprint("round ", round), func(t *testing.T) {
			f := startFleet(t, 3)
			var callers []*stopCaller
			var running sync.WaitGroup
			for kind, exchange := range stopExchanges {
				for i := range stopCallersPerKind {
					c := dialStopCaller(t, f.nodes[0].fields["ingress"], fmt.Sprintf("%s-%d", kind, i))
					callers = append(callers, c)
					running.Go(func() { c.run(exchange) })
				}
			}
			time.Sleep(time.Duration(300+70*round) * time.Millisecond)
			stopping := f.nodes[:1]
			if round == stopRounds-1 {
				stopping = f.nodes[:2]
			}
			var stopped sync.WaitGroup
			for _, n := range stopping {
				stopped.Go(func() {
					if code := n.terminate(); code != 0 {
						t.Errorf("exit code %d after SIGTERM", code)
					}
				})
			}
			stopped.Wait()
			running.Wait()
			runs := f.runs()
			answered := 0
			for _, c := range callers {
				answered += c.answered
				for _, failure := range c.failures {
					t.Error(failure)
				}
				for _, id := range c.unanswered {
					if runs[id].Started > 0 {
						t.Errorf("%s ran and got no complete response", id)
					}
				}
			}
			t.Logf("answered %d", answered)
			if answered < len(callers) {
				t.Errorf("%d answers to %d callers", answered, len(callers))
			}
		})
	}
}
