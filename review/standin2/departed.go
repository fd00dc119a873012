package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	departHost    = "catalogue.example"
	departPath    = "/catalogue/a"
	departTimeout = 2500 * time.Millisecond
	departEvery   = 5 * time.Millisecond
	departWork    = 50 * time.Millisecond
	// drainTime is drain_ms, after which no more requests may reach a backend server that has left.
	drainTime = 2500 * time.Millisecond
	// The store is down from storeDownBefore before the deregistration until storeBackAfter after it, and all nodes are killed
	// killAfter after it.
	storeDownBefore = 500 * time.Millisecond
	killAfter       = 1200 * time.Millisecond
	storeBackAfter  = 1700 * time.Millisecond
	// startAfter is the time from the kill to the start of the nodes.
	startAfter = 800 * time.Millisecond
	// beatAfter is the time after the deregistration at which a heartbeat arrives that was sent before it.
	beatAfter = 4 * time.Second
	// servesOn is the time for which the backend server goes on serving after its deregistration.
	servesOn = 11 * time.Second
)

// departedServer plays a backend server that deregisters while the store is down, a kill of all nodes at the same moment before
// the store is back, and a heartbeat that arrives late. The rule is broken if requests reach the backend server later than
// drain_ms after the acknowledgement, sent on by machines in touch.
func departedServer(r *recorder, f *fleet, trouble bool) (bool, error) {
	if err := f.addMachines("front", "catalogue", "front", "catalogue", "front", "catalogue"); err != nil {
		return false, err
	}
	if err := f.configure(7, []route{{host: departHost, prefix: "/catalogue/", service: "catalogue", idempotent: true, timeout: departTimeout}}); err != nil {
		return false, err
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Time{} // by backend server
	serve := func(e *endpoint, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		mu.Lock()
		arrivals[e.id] = append(arrivals[e.id], time.Now())
		mu.Unlock()
		time.Sleep(departWork)
		_, err := fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", e.head(req))
		return err == nil
	}
	var servers []*endpoint
	for i := 1; i < len(f.machines); i += 2 {
		e, err := startEndpoint(f.machines[i], fmt.Sprintf("i-%d", i), serve)
		if err != nil {
			return false, err
		}
		servers = append(servers, e)
	}
	time.Sleep(6 * time.Second) // all nodes are in touch
	done := make(chan struct{})
	var clients sync.WaitGroup
	answers := newTally()
	clients.Go(func() {
		repeat(done, departEvery, func(n int) {
			status := get(f.machines[n%3*2].outbound, departHost, departPath, fmt.Sprintf("read-%d", n), departTimeout)
			mu.Lock()
			defer mu.Unlock()
			answers.add(status)
		})
	})
	time.Sleep(time.Second)
	leaving := servers[0]
	if trouble {
		r.printf("the store is down")
		f.store.setDown(true)
	}
	time.Sleep(storeDownBefore)
	close(leaving.done)
	late := leaving.nextSequence() // of the heartbeat that is on its way
	if !leaving.machine.deregister(leaving.id, leaving.born) {
		return false, errors.New("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	r.printf("the deregistration of %s is acknowledged", leaving.id)
	inTouch := acknowledged
	if trouble {
		time.Sleep(killAfter)
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Until(acknowledged.Add(storeBackAfter)))
		f.store.setDown(false)
		r.printf("the store is back")
		time.Sleep(time.Until(acknowledged.Add(killAfter + startAfter)))
		for _, m := range f.machines {
			<-m.exited
			if err := m.start(); err != nil {
				return false, err
			}
		}
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(acknowledged.Add(beatAfter)))
	r.printf("a heartbeat of %s that was sent before arrives, acknowledged: %t", leaving.id, leaving.machine.heartbeat(leaving.id, leaving.born, late, "ready"))
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	lateCount, after := 0, max(drainTime, inTouch.Sub(acknowledged))
	var last time.Duration
	for _, at := range arrivals[leaving.id] {
		if since := at.Sub(acknowledged); since > after {
			lateCount++
			last = since
		}
	}
	r.printf("answers by status: %v", answers.byStatus)
	r.printf("%d requests reached %s later than %.1f s after the acknowledgement, when all nodes were in touch again; the last after %.1f s",
		lateCount, leaving.id, after.Seconds(), last.Seconds())
	return lateCount == 0, nil
}
