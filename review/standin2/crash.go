package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	crashHost    = "shop.example"
	crashPrefix  = "/shop/"
	crashPath    = "/shop/crash"
	crashTimeout = 2500 * time.Millisecond
	// crashDelay is the time after which the request crashes a backend server that runs it, and crashBackAfter the time
	// after which the backend server is back.
	crashDelay     = 20 * time.Millisecond
	crashBackAfter = 3 * time.Second
	// crashEvery is the time between two of the requests that crash backend servers.
	crashEvery = 500 * time.Millisecond
	// crashMoveEvery is the time between two configurations that move the route.
	crashMoveEvery = 6 * time.Second
	crashFronts    = 2
	crashServers   = 2 // of each service
	contactTime    = 3 * time.Second
	maxLateRuns    = 3
)

var crashServices = []string{"shop-a", "shop-b", "shop-c", "shop-d", "shop-e"}

// crashingRequest plays a request that crashes each backend server that begins to run it and that comes again at several
// machines, while configurations move its route to other services. The rule is broken if it reaches backend servers more
// than three times later than contact_ms after it has crashed the third.
func crashingRequest(r *recorder, f *fleet, trouble bool) (bool, error) {
	var services []string
	for range crashFronts {
		services = append(services, "front")
	}
	for _, service := range crashServices {
		for range crashServers {
			services = append(services, service)
		}
	}
	if err := f.addMachines(services...); err != nil {
		return false, err
	}
	routeTo := func(service string) []route {
		return []route{{host: crashHost, prefix: crashPrefix, service: service, idempotent: true, timeout: crashTimeout}}
	}
	if err := f.configure(7, routeTo(crashServices[0])); err != nil {
		return false, err
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	var serve serveFunc
	serve = func(e *endpoint, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		if req.URL.Path != crashPath {
			_, err := fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", e.head(req))
			return err == nil
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(crashDelay)
		mu.Lock()
		crashes = append(crashes, time.Now())
		number := len(crashes)
		mu.Unlock()
		e.crash()
		r.printf("%s of %s began to run %s and has crashed, crash %d", e.id, e.machine.service, req.Header.Get("Attempt-Id"), number)
		time.AfterFunc(crashBackAfter, func() {
			if _, err := startEndpoint(e.machine, e.id+"'", serve); err != nil {
				r.printf("%s does not come back: %v", e.id, err)
			}
		})
		return false
	}
	for i, m := range f.machines[crashFronts:] {
		if _, err := startEndpoint(m, fmt.Sprintf("i-%d", i), serve); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // all nodes are in touch
	var clients sync.WaitGroup
	start, moves := time.Now(), 0
	for i := 0; time.Since(start) < time.Duration(len(crashServices))*crashMoveEvery; i++ {
		if next := int(time.Since(start) / crashMoveEvery); trouble && next > moves {
			moves = next
			if err := f.configure(7+moves, routeTo(crashServices[moves])); err != nil {
				return false, err
			}
		}
		id := fmt.Sprintf("crash-%d", i)
		m := f.machines[i%crashFronts]
		clients.Go(func() {
			status := get(m.outbound, crashHost, crashPath, id, crashTimeout)
			r.printf("client sent %s at %s: status %d", id, m.name, status)
		})
		time.Sleep(crashEvery)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.printf("the request reached backend servers %d times and crashed %d", len(arrivals), len(crashes))
	if len(crashes) < 3 {
		return true, nil
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	r.printf("it reached them %d times later than contact_ms after it had crashed the third; allowed are %d", late, maxLateRuns)
	return late <= maxLateRuns, nil
}

// get sends a request on a new connection and returns the status; 0 without an answer.
func get(address, host, path, id string, deadline time.Duration) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nConnection: close\r\n\r\n", path, host, id, deadline.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
