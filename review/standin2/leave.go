package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	leaveHost    = "order.example"
	leaveTimeout = 5 * time.Second
	leaveWork    = time.Second
	// leaveBytes is the length of a body, more than what a node reads ahead of a request that waits, and few enough that the
	// whole request and the close of its connection have reached the machine of the node.
	leaveBytes  = 150 << 10
	leaveRounds = 5
	// leavePerRound requests are sent at once; each third client leaves after leaveAfter.
	leavePerRound = 40
	leaveEach     = 10
	leaving       = 3 // of leaveEach
	leaveAfter    = 250 * time.Millisecond
	leaveSlack    = 500 * time.Millisecond
	maxLateLeft   = 5
)

// clientsLeave plays clients that leave while their requests with long bodies wait for a busy backend server. The rule is
// broken if more than a few of these requests reach the backend server over half a second later.
func clientsLeave(r *recorder, f *fleet, trouble bool) (bool, error) {
	if err := f.addMachines("front", "order"); err != nil {
		return false, err
	}
	if err := f.configure(7, []route{{host: leaveHost, prefix: "/order/", service: "order", timeout: leaveTimeout}}); err != nil {
		return false, err
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrived, left := map[string]time.Time{}, map[string]time.Time{}
	serve := func(e *endpoint, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
		id := req.Header.Get("Attempt-Id")
		mu.Lock()
		arrived[id] = time.Now()
		mu.Unlock()
		n, err := io.Copy(io.Discard, req.Body)
		r.printf("%s runs %s, body of %d bytes, error: %v", e.id, id, n, err)
		if err != nil {
			return false
		}
		time.Sleep(leaveWork)
		_, err = fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", e.head(req))
		return err == nil
	}
	if _, err := startEndpoint(f.machines[1], "i-order", serve); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all nodes are in touch
	var clients sync.WaitGroup
	for round := range leaveRounds {
		for i := range leavePerRound {
			id := fmt.Sprintf("order-%d-%d", round, i)
			leaves := trouble && i%leaveEach < leaving
			clients.Go(func() {
				status, err := order(f.machines[0].outbound, id, leaves)
				if leaves && errors.Is(err, os.ErrDeadlineExceeded) {
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
					r.printf("client of %s has left", id)
					return
				}
				r.printf("client of %s: status %d, error: %v", id, status, err)
			})
		}
		clients.Wait()
	}
	time.Sleep(leaveTimeout)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, at := range left {
		if run, ok := arrived[id]; ok && run.Sub(at) > leaveSlack {
			r.printf("%s reached the backend server %.3f s after its client had left", id, run.Sub(at).Seconds())
			late++
		}
	}
	r.printf("%d clients left; the requests of %d of them reached the backend server over half a second later", len(left), late)
	return late <= maxLateLeft, nil
}

// order sends a request and returns the status of the answer. A client that leaves closes its connection after leaveAfter.
func order(address, id string, leaves bool) (status int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	limit := leaveTimeout + time.Second
	if leaves {
		limit = leaveAfter
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err = fmt.Fprintf(c, "POST /order/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, leaveHost, id, leaveTimeout.Milliseconds(), leaveBytes, strings.Repeat("x", leaveBytes))
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
