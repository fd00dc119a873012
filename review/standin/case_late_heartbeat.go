package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-heartbeat"] = lateHeartbeat }

// lateHeartbeat lets an endpoint deregister and serve on for some seconds, as the pages say of some endpoints. One of its
// heartbeats, sent before that, arrives seconds late. The node that acknowledged the deregistration is killed and
// started again in between.
func lateHeartbeat(r *run) ([]string, error) {
	const (
		down     = 500 * time.Millisecond  // of the killed process
		lateness = 5500 * time.Millisecond // of the heartbeat
	)
	if err := r.startReservations(); err != nil {
		return nil, err
	}
	leaving, beside := r.servers[0], r.nodes[0]
	leaving.silent.Store(true)
	late := leaving.heartbeat("ready")
	sent := time.Now()
	time.Sleep(100 * time.Millisecond)
	if !leaving.tell("deregister", map[string]any{"born": leaving.born}) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	acknowledged, inTouch := time.Now(), time.Now()
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		beside.signal(syscall.SIGKILL)
		beside.kill()
		time.Sleep(down)
		inTouch = time.Now().Add(contactTime)
		if err := beside.start(); err != nil {
			return nil, err
		}
		if err := r.waitReady(beside); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(sent.Add(lateness)))
	r.log("the late heartbeat arrives")
	leaving.tell("heartbeat", late)
	r.sendOrders(2 * time.Second)
	return r.arrivalsAfter(leaving, acknowledged, later(acknowledged.Add(drainTime), inTouch)), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startReservations starts three nodes with an endpoint of one service each, and waits until all serve.
func (r *run) startReservations() error {
	for _, zone := range []string{"regina-a", "saskatoon-b", "moose-jaw-c"} {
		if _, err := r.addNode(zone, "saskatchewan", "reservations"); err != nil {
			return err
		}
	}
	r.store.configure(r, 7, []route{reserveRoute("reservations")}, "reservations")
	if err := r.startAll(); err != nil {
		return err
	}
	for _, n := range r.nodes {
		if _, err := r.addServer(n); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := r.warmUp(n, http.MethodPost, "/puka111/warm"); err != nil {
			return err
		}
	}
	time.Sleep(contactTime)
	return nil
}

// sendOrders sends orders through all nodes for some time, and waits for the answers.
func (r *run) sendOrders(period time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(period); time.Now().Before(end); {
		for _, n := range r.nodes {
			wg.Go(func() { r.send(n, http.MethodPost, "/puka111/2f", 20*time.Millisecond, 8*time.Second) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

// arrivalsAfter returns the requests that ran at a leaving server after the given time.
func (r *run) arrivalsAfter(s *server, acknowledged, after time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var violations []string
	for _, e := range r.runs {
		if e.server == s.id && e.at.After(after) {
			violations = append(violations, fmt.Sprintf("DRAIN: request %s reached server %s %.3f s after its leaving was acknowledged", e.request, e.server, e.at.Sub(acknowledged).Seconds()))
		}
	}
	return violations
}
