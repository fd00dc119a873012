package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken.
var cases = map[string]func(rec *record, trouble bool) []string{
	"pipelined-stop":  pipelinedStop,
	"rolling-stop":    rollingStop,
	"far-stop":        farStop,
	"unread-body":     unreadBody,
	"late-heartbeats": lateHeartbeats,
}

const (
	readHost  = "colour.example"
	orderHost = "order.example"
)

// fourMachines starts two machines in each zone of one region; the service farge runs beside the second and the third.
func fourMachines(rec *record, timeoutMS int) *deployment {
	d := newDeployment(rec)
	d.configure(1, []string{"katalog", "farge"}, []rule{
		{"r-colour", readHost, "/colour/", "idempotent", "farge", timeoutMS},
		{"r-order", orderHost, "/order/", "non_idempotent", "farge", timeoutMS},
	})
	d.add("oslo-a", "ostlandet", "katalog")
	d.add("oslo-a", "ostlandet", "farge")
	d.add("oslo-b", "ostlandet", "farge")
	d.add("oslo-b", "ostlandet", "katalog")
	d.run()
	return d
}

// hasRun reports whether an endpoint has run a request to its end and answered it, and when.
func hasRun(rec *record, q *request) (at time.Time, ok bool) {
	for _, r := range rec.runsOf(q.id) {
		if r.what == "ends, 200" {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// pipelinedStop stops a node while a pipelined connection waits for a long answer, behind which short ones are complete.
func pipelinedStop(rec *record, trouble bool) (broken []string) {
	const deadline = 10 * time.Second
	d := fourMachines(rec, 10000)
	defer d.close()
	a := d.machines[0]
	time.Sleep(contactTime)
	// The platform checks each second whether the node is ready; the SIGTERM comes shortly after a check.
	checks := a.watchReadiness()
	<-checks
	time.Sleep(100 * time.Millisecond)
	if trouble {
		a.stop()
	}
	time.Sleep(1500 * time.Millisecond)
	if misses := len(checks); trouble && misses >= 2 {
		fatal("%d readiness checks have failed, the clients get no new work", misses)
	}
	conn, err := dial(rec, a.outbound)
	if err != nil {
		fatal("%v", err)
	}
	requests := []*request{newRequest(http.MethodGet, readHost, "/colour/work-4200/", deadline)}
	for range 4 {
		requests = append(requests, newRequest(http.MethodGet, readHost, "/colour/work-100/", deadline))
	}
	if err := conn.send(requests...); err != nil {
		fatal("%v", err)
	}
	for i, q := range requests {
		got := conn.receive(q)
		if at, ok := hasRun(rec, q); i > 0 && got.err != nil && ok {
			broken = append(broken, fmt.Sprintf("request %s was passed on and answered by its endpoint %d ms after it was sent; %d ms later its connection ended without an answer",
				q.id, at.Sub(q.sentAt).Milliseconds(), got.at.Sub(at).Milliseconds()))
		}
	}
	return broken
}

// rollingStop stops the nodes of two machines one after the other and sends orders to the second one.
func rollingStop(rec *record, trouble bool) (broken []string) {
	const deadline = 8 * time.Second
	d := fourMachines(rec, 8000)
	defer d.close()
	a, b := d.machines[0], d.machines[1]
	time.Sleep(contactTime)
	if trouble {
		ended := b.stop()
		go func() {
			<-ended
			time.Sleep(300 * time.Millisecond)
			b.start()
		}()
	}
	time.Sleep(1300 * time.Millisecond)
	if trouble {
		a.stop()
	}
	stoppedAt := time.Now()
	time.Sleep(400 * time.Millisecond)
	const count = 8
	requests, answers := make([]*request, count), make([]answer, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			requests[i] = newRequest(http.MethodPost, orderHost, "/order/work-3900/", deadline)
			requests[i].body = "one licence"
			conn, err := dial(rec, a.outbound)
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			_ = conn.send(requests[i])
			answers[i] = conn.receive(requests[i])
		})
	}
	wg.Wait()
	for i, q := range requests {
		got := answers[i]
		after := got.at.Sub(stoppedAt)
		ran := len(rec.runsOf(q.id)) > 0
		if !ran || got.err == nil && got.stamp != "" || after >= graceTime*5/6 {
			continue // not passed on, answered by its endpoint, or broken off in the last sixth of the grace time
		}
		broken = append(broken, fmt.Sprintf("request %s was broken off %d ms after the SIGTERM of its machine, while its endpoint was at work; the client got status %d without a stamp (%v)",
			q.id, after.Milliseconds(), got.status, got.err))
	}
	return broken
}

// farStop stops a node that waits for answers from another region.
func farStop(rec *record, trouble bool) (broken []string) {
	const deadline = 8 * time.Second
	d := newDeployment(rec)
	d.configure(1, []string{"katalog", "arkiv"}, []rule{{"r-archive", readHost, "/archive/", "idempotent", "arkiv", 8000}})
	d.add("oslo-a", "ostlandet", "katalog")
	d.add("oslo-b", "ostlandet", "katalog")
	d.add("bergen-a", "vestlandet", "arkiv")
	d.add("bergen-b", "vestlandet", "katalog")
	d.run()
	defer d.close()
	a := d.machines[0]
	time.Sleep(contactTime)
	if trouble {
		a.stop()
	}
	time.Sleep(800 * time.Millisecond)
	const count = 8
	requests, answers := make([]*request, count), make([]answer, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			requests[i] = newRequest(http.MethodGet, readHost, "/archive/work-100/size-350000/", deadline)
			conn, err := dial(rec, a.outbound)
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			_ = conn.send(requests[i])
			answers[i] = conn.receive(requests[i])
		})
	}
	wg.Wait()
	for i, q := range requests {
		if at, ok := hasRun(rec, q); ok && answers[i].err != nil {
			broken = append(broken, fmt.Sprintf("request %s was answered by its endpoint %d ms after it was sent; its connection ended after %d ms with %d bytes of the answer",
				q.id, at.Sub(q.sentAt).Milliseconds(), answers[i].at.Sub(q.sentAt).Milliseconds(), len(answers[i].body)))
		}
	}
	return broken
}

// unreadBody sends orders with a long body, which the endpoint reads after its work, to a node that is stopped.
func unreadBody(rec *record, trouble bool) (broken []string) {
	const deadline = 8 * time.Second
	d := fourMachines(rec, 8000)
	defer d.close()
	a := d.machines[0]
	time.Sleep(contactTime)
	if trouble {
		a.stop()
	}
	stoppedAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	const count = 4
	requests, answers := make([]*request, count), make([]answer, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			requests[i] = newRequest(http.MethodPost, orderHost, "/order/work-3600/", deadline)
			requests[i].body = strings.Repeat("one licence ", 25000)
			conn, err := dial(rec, a.outbound)
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			_ = conn.send(requests[i])
			answers[i] = conn.receive(requests[i])
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	for i, q := range requests {
		got := answers[i]
		after := got.at.Sub(stoppedAt)
		if !trouble {
			continue // the rule binds around planned work
		}
		if len(rec.runsOf(q.id)) == 0 || got.err == nil && got.stamp != "" || after >= graceTime*5/6 {
			continue // not passed on, answered by its endpoint, or broken off in the last sixth of the grace time
		}
		broken = append(broken, fmt.Sprintf("request %s was broken off %d ms after it was sent, while its endpoint was at work; the client got status %d without a stamp (%v)",
			q.id, got.at.Sub(q.sentAt).Milliseconds(), got.status, got.err))
	}
	return broken
}

// lateHeartbeats lets an endpoint deregister while the store is away, kills all nodes, and delivers the last heartbeats of the
// endpoint late.
func lateHeartbeats(rec *record, trouble bool) (broken []string) {
	const (
		deadline   = 2 * time.Second
		drainTime  = 2500 * time.Millisecond
		outage     = 4500 * time.Millisecond
		lateness   = 4800 * time.Millisecond
		servesOn   = 15 * time.Second // after its deregistration
		beforeKill = 800 * time.Millisecond
	)
	d := fourMachines(rec, 2000)
	defer d.close()
	leaving := d.machines[1].endpoint
	time.Sleep(contactTime)

	begin := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	var backAt, stableAt time.Time
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			rec.write("the store is silent")
			d.store.setSilent(true)
			at(outage)
			rec.write("the store is back")
			d.store.setSilent(false)
		})
	}
	stableAt = begin.Add(outage)
	// The last two heartbeats are sent at their usual distance and arrive late.
	leaving.left.Store(true)
	for i := range 2 {
		sent := time.Duration(i) * heartbeatInterval
		body := leaving.heartbeat()
		wg.Go(func() {
			at(sent)
			rec.write("endpoint %s sends a heartbeat, which will arrive late", leaving.id)
			at(sent + lateness)
			ok := leaving.deliver("instances.heartbeat", body)
			rec.write("the late heartbeat of endpoint %s arrives, acknowledged: %v", leaving.id, ok)
		})
	}
	at(heartbeatInterval + 100*time.Millisecond)
	if !leaving.deliver("instances.deregister", nil) {
		fatal("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	rec.write("the deregistration of endpoint %s is acknowledged", leaving.id)
	time.Sleep(beforeKill)
	if trouble {
		for _, m := range d.machines {
			m.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.machines {
			m.start()
		}
	}
	backAt = time.Now()
	inTouch := stableAt
	if backAt.After(inTouch) {
		inTouch = backAt
	}
	inTouch = inTouch.Add(contactTime)

	sent := make(chan *request, 10000)
	for _, m := range d.machines {
		wg.Go(func() {
			for time.Since(acknowledged) < servesOn {
				q := newRequest(http.MethodGet, readHost, "/colour/work-20/", deadline)
				conn, err := dial(rec, m.outbound)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				_ = conn.send(q)
				conn.receive(q)
				_ = conn.conn.Close()
				sent <- q
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	close(sent)
	late := 0
	var last time.Duration
	for q := range sent {
		for _, r := range rec.runsOf(q.id) {
			if r.endpoint == leaving.id && r.at.Sub(acknowledged) > drainTime && q.sentAt.After(inTouch) {
				late++
				last = max(last, r.at.Sub(acknowledged))
				break
			}
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d requests of machines in touch reached endpoint %s later than %v after its deregistration was acknowledged, the last one after %v",
			late, leaving.id, drainTime, last.Round(time.Millisecond)))
	}
	return broken
}
