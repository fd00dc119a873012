package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainHost    = "report.example"
	drainTimeout = 2500 * time.Millisecond
	drainWork    = 700 * time.Millisecond
	// drainAnswer is the length of the answer to the first request of a connection, drainBody that of the body of the second.
	drainAnswer  = 1 << 20
	drainBody    = 150 << 10
	drainClients = 8
	drainRounds  = 3
	// termAfter is the time after the requests at which the node gets SIGTERM.
	termAfter = 200 * time.Millisecond
	// drainReadPiece bytes are read each drainReadPause, about 250 Mbit/s.
	drainReadPiece = 64 << 10
	drainReadPause = 2 * time.Millisecond
)

// plannedStop plays clients that send a second idempotent request before the first has been answered, and a SIGTERM of the
// machine that takes them. The rule is broken if a first request, which has reached its backend server, gets no complete
// answer.
func plannedStop(r *recorder, f *fleet, trouble bool) (bool, error) {
	if err := f.addMachines("front", "front", "report", "report"); err != nil {
		return false, err
	}
	if err := f.configure(7, []route{{host: drainHost, prefix: "/report/", service: "report", idempotent: true, timeout: drainTimeout}}); err != nil {
		return false, err
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answered := map[string]bool{} // by the backend server, completely
	serve := func(e *endpoint, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
		id := req.Header.Get("Attempt-Id")
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		time.Sleep(drainWork)
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", e.head(req), drainAnswer, strings.Repeat("a", drainAnswer))
		mu.Lock()
		answered[id] = err == nil
		mu.Unlock()
		r.printf("%s has answered %s, error: %v", e.id, id, err)
		return err == nil
	}
	for i, m := range f.machines[2:] {
		if _, err := startEndpoint(m, fmt.Sprintf("i-report%d", i), serve); err != nil {
			return false, err
		}
	}
	lost := 0
	for round := range drainRounds {
		time.Sleep(4 * time.Second) // all nodes are in touch
		m := f.machines[round%2]
		var clients sync.WaitGroup
		for i := range drainClients {
			id := fmt.Sprintf("report-%d-%d", round, i)
			clients.Go(func() {
				n, err := readReport(m.outbound, id)
				mu.Lock()
				defer mu.Unlock()
				r.printf("client of %s got %d of %d bytes, error: %v", id, n, drainAnswer, err)
				if err != nil || n != drainAnswer {
					if answered[id] {
						r.printf("%s: its backend server has answered completely, and its connection ended without a complete answer", id)
						lost++
					}
				}
			})
		}
		if trouble {
			time.Sleep(termAfter)
			m.signal(syscall.SIGTERM)
			clients.Wait()
			<-m.exited
			r.printf("node %s has ended", m.name)
			if err := m.start(); err != nil {
				return false, err
			}
			if err := m.awaitReady(15 * time.Second); err != nil {
				return false, err
			}
		}
		clients.Wait()
	}
	mu.Lock()
	defer mu.Unlock()
	r.printf("%d of %d first requests were lost", lost, drainRounds*drainClients)
	return lost == 0, nil
}

var errStatus = errors.New("status other than 200")

// readReport sends a request and, before it is answered, a second one with a body on the same connection. It returns the
// length of the answer to the first. A complete answer to the first that closes the connection ends the second.
func readReport(address, id string) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * drainTimeout))
	go fmt.Fprintf(c, "GET /report/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n"+
		"POST /report/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-second\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, drainHost, id, drainTimeout.Milliseconds(), id, drainHost, id, 2*drainTimeout.Milliseconds(), drainBody, strings.Repeat("x", drainBody))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	n := 0
	for {
		got, err := io.CopyN(io.Discard, resp.Body, drainReadPiece)
		n += int(got)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return n, err
		}
		time.Sleep(drainReadPause)
	}
	if resp.StatusCode != http.StatusOK {
		return n, errStatus
	}
	if !resp.Close {
		if second, err := http.ReadResponse(in, nil); err == nil {
			_, _ = io.Copy(io.Discard, second.Body)
		}
	}
	return n, nil
}
