package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["second-copy"] = secondCopy }

// secondCopy lets the only endpoint of a service reject some requests because it is full, and send a second copy of one of these
// answers late, where the next answer on the connection is expected.
func secondCopy(r *run) ([]string, error) {
	const orders = 40
	for i, zone := range []string{"regina-a", "saskatoon-b"} {
		if _, err := r.addNode(zone, "saskatchewan", []string{"catalogue", "reservations"}[i]); err != nil {
			return nil, err
		}
	}
	r.store.configure(r, 7, []route{browseRoute("catalogue"), reserveRoute("reservations")}, "catalogue", "reservations")
	if err := r.startAll(); err != nil {
		return nil, err
	}
	for _, n := range r.nodes {
		if _, err := r.addServer(n); err != nil {
			return nil, err
		}
	}
	client, reservations := r.nodes[0], r.servers[1]
	if err := r.warmUp(client, http.MethodPost, "/puka111/warm"); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	reservations.setRespond(rejectFirst(r, reservations))
	var violations []string
	for range orders {
		a := r.send(client, http.MethodPost, "/puka111/2f", 100*time.Millisecond, 8*time.Second)
		time.Sleep(100 * time.Millisecond)
		runs := r.runsOf(a.id)
		if (a.status == 429 || a.status == 503) && len(runs) > 0 {
			violations = append(violations, fmt.Sprintf("REFUSED: request %s was answered with %d and ran at server %s", a.id, a.status, runs[0].server))
		}
		if len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: request %s ran %d times", a.id, len(runs)))
		}
	}
	return violations, nil
}

// rejectFirst rejects the first arrival of each tenth order as a full server does. If the case has trouble, the second copy
// of one of these answers arrives late on the same connection.
func rejectFirst(r *run, s *server) func(*serverConn, *http.Request) bool {
	const every, copied = 10, 30
	seen := map[string]bool{}
	return func(c *serverConn, request *http.Request) bool {
		id := request.Header.Get("Attempt-Id")
		s.mu.Lock()
		first := id != "" && !seen[id]
		if first {
			seen[id] = true
		}
		number := len(seen)
		s.mu.Unlock()
		if !first || number%every != 0 {
			return false
		}
		headers := "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n"
		r.log("server %s rejects %s on connection %d", s.id, id, c.number)
		c.answer(503, headers, "")
		if r.trouble && number == copied {
			c.extra = answerText(503, headers, "")
		}
		return true
	}
}
