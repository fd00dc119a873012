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
	restartHost    = "shop.example"
	restartTimeout = 2500 * time.Millisecond
	restartWork    = 100 * time.Millisecond
	restartServers = 4
	// restartEvery is the time between two requests of a route.
	restartEvery = 12 * time.Millisecond
	// restartDown is the time for which the backend servers are down, restartSettle the time after which all machines count as
	// undisturbed again, and restartMeasured the time in which requests are counted then.
	restartDown     = 4500 * time.Millisecond
	restartSettle   = 10 * time.Second
	restartMeasured = 30 * time.Second
	// minAddedShare is the least share of the first route's rate at which a route that was added later is to be served.
	minAddedShare = 0.25
)

// allCrash plays a crash of all backend servers of a service, which are back after some seconds. The rule is broken if
// requests on a route that was added later are then served less than a quarter as often as those on the first route.
func allCrash(r *recorder, f *fleet, trouble bool) (bool, error) {
	services := []string{"front", "front"}
	for range restartServers {
		services = append(services, "shop")
	}
	if err := f.addMachines(services...); err != nil {
		return false, err
	}
	first := route{host: restartHost, prefix: "/item/", service: "shop", idempotent: true, timeout: restartTimeout}
	added := route{host: restartHost, prefix: "/home/", service: "shop", idempotent: true, timeout: restartTimeout}
	if err := f.configure(7, []route{first}); err != nil {
		return false, err
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	serve := func(e *endpoint, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		time.Sleep(restartWork)
		_, err := fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", e.head(req))
		return err == nil
	}
	var servers []*endpoint
	for i := range restartServers {
		e, err := startEndpoint(f.machines[2+i], fmt.Sprintf("i-shop%d", i), serve)
		if err != nil {
			return false, err
		}
		servers = append(servers, e)
	}
	time.Sleep(2 * time.Second)
	if err := f.configure(8, []route{first, added}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all nodes are in touch and have the configuration
	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	items, homes := newTally(), newTally()
	for i, m := range f.machines[:2] {
		clients.Go(func() {
			repeat(done, restartEvery, func(n int) {
				id := fmt.Sprintf("item-%d-%d", i, n)
				status := get(m.outbound, restartHost, "/item/"+id, id, restartTimeout)
				mu.Lock()
				defer mu.Unlock()
				items.add(status)
			})
		})
		clients.Go(func() {
			repeat(done, restartEvery, func(n int) {
				status := get(m.outbound, restartHost, "/home/", fmt.Sprintf("home-%d-%d", i, n), restartTimeout)
				mu.Lock()
				defer mu.Unlock()
				homes.add(status)
			})
		})
	}
	report := func(title string) (itemShare, homeShare float64) {
		mu.Lock()
		defer mu.Unlock()
		r.printf("%s: answers on the first route by status %v, on the added route %v", title, items.byStatus, homes.byStatus)
		itemShare, homeShare = items.share(http.StatusOK), homes.share(http.StatusOK)
		items, homes = newTally(), newTally()
		return itemShare, homeShare
	}
	time.Sleep(2 * time.Second)
	report("before")
	if trouble {
		for _, e := range servers {
			e.crash()
			r.printf("%s has crashed", e.id)
		}
		time.Sleep(restartDown)
		for i, e := range servers {
			if _, err := startEndpoint(e.machine, fmt.Sprintf("i-shop%d-2", i), serve); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(restartSettle)
	report("during the crash and until all is calm")
	time.Sleep(restartMeasured)
	itemShare, homeShare := report("after that")
	close(done)
	clients.Wait()
	r.printf("share served: first route %.3f, added route %.3f", itemShare, homeShare)
	return homeShare >= minAddedShare*itemShare, nil
}

// repeat calls send in goroutines of their own at an interval until done is closed, and waits for them.
func repeat(done chan struct{}, every time.Duration, send func(n int)) {
	var requests sync.WaitGroup
	defer requests.Wait()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-ticker.C:
			requests.Go(func() { send(n) })
		}
	}
}

// tally counts answers by status; 0 stands for none.
type tally struct{ byStatus map[int]int }

func newTally() *tally { return &tally{byStatus: map[int]int{}} }

func (t *tally) add(status int) { t.byStatus[status]++ }

// share returns the share of the answers with a status.
func (t *tally) share(status int) float64 {
	sum := 0
	for _, n := range t.byStatus {
		sum += n
	}
	return float64(t.byStatus[status]) / float64(max(sum, 1))
}
