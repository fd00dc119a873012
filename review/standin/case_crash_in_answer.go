package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash-in-answer"] = crashInAnswer }

// crashInAnswer sends a request that crashes each endpoint that runs it. The endpoint crashes while it sends its answer, and
// is back after two seconds. The request comes again once a second, at any machine, with the same path, caller and body.
// Beside it, orders go to the same service.
func crashInAnswer(r *run) ([]string, error) {
	const (
		poison = "/leny950/poison"
		down   = 2 * time.Second
		period = 25 * time.Second
	)
	for _, zone := range []string{"regina-a", "saskatoon-b", "moose-jaw-c", "winnipeg-a"} {
		if _, err := r.addNode(zone, "saskatchewan", "catalogue"); err != nil {
			return nil, err
		}
	}
	r.store.configure(r, 7, []route{browseRoute("catalogue"), reserveRoute("catalogue")}, "catalogue")
	if err := r.startAll(); err != nil {
		return nil, err
	}
	c := &crashes{run: r, path: poison, down: down}
	for _, n := range r.nodes {
		if err := c.addServer(n); err != nil {
			return nil, err
		}
	}
	for _, n := range r.nodes {
		if err := r.warmUp(n, http.MethodGet, "/leny950/warm"); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, orders := 0, 0
	for i, end := 0, time.Now().Add(period); time.Now().Before(end); i++ {
		n := r.nodes[i/10%len(r.nodes)]
		if i%10 == 0 {
			wg.Go(func() { r.send(n, http.MethodGet, poison, 0, 6*time.Second) })
		}
		wg.Go(func() {
			a := r.send(n, http.MethodPost, "/puka111/2f", 300*time.Millisecond, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			orders++
			if a.status != http.StatusOK && len(r.runsOf(a.id)) > 0 {
				lost++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	r.log("orders sent: %d, of these run and without success: %d", orders, lost)
	return c.violations(), nil
}

// crashes are the crashes of the endpoints, each by a request for path.
type crashes struct {
	run  *run
	path string
	down time.Duration

	mu   sync.Mutex
	list []execution // in the order of time
}

// addServer starts an endpoint that crashes while it answers a request for path, if the case has trouble.
func (c *crashes) addServer(n *node) error {
	s, err := c.run.addServer(n)
	if err != nil {
		return err
	}
	s.setRespond(func(conn *serverConn, request *http.Request) bool {
		if request.URL.Path != c.path || !c.run.trouble {
			return false
		}
		id := request.Header.Get("Attempt-Id")
		c.run.recordRun(id, s.id)
		c.mu.Lock()
		c.list = append(c.list, execution{id, s.id, time.Now()})
		c.mu.Unlock()
		text := answerText(200, fmt.Sprintf("Attempt-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\n", id, s.id, id), "done "+id)
		_, _ = io.WriteString(conn, text[:len(text)-10])
		c.run.log("server %s crashes while it answers %s", s.id, id)
		s.close()
		time.AfterFunc(c.down, func() {
			if err := c.addServer(n); err != nil {
				c.run.log("no new server beside %s: %v", n.name, err)
			}
		})
		return true
	})
	return nil
}

// violations returns the sends of the crashing request that reached an endpoint later than contactTime after the third
// crash, if there are more than three.
func (c *crashes) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.run.log("crashes: %d", len(c.list))
	if len(c.list) < 3 {
		return nil
	}
	third := c.list[2].at
	var late []string
	seen := map[string]bool{}
	for _, e := range c.list {
		if e.at.After(third.Add(contactTime)) && !seen[e.request] {
			seen[e.request] = true
			late = append(late, fmt.Sprintf("BUDGET: send %s of the request that crashes endpoints reached server %s %.3f s after the third crash", e.request, e.server, e.at.Sub(third).Seconds()))
		}
	}
	if len(late) <= 3 {
		return nil
	}
	return late
}
