package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["leave-behind-queue"] = leaveBehindQueue }

// Figures of the requests for depot hours on the site pwlc-mesh-grown.
const (
	depotRate     = 3.1 // requests a second for each endpoint
	depotWork     = 1200 * time.Millisecond
	depotDeadline = 25 * time.Second
	noiseShare    = 0.35 // of the time in which work takes noiseFactor times as long
	noiseFactor   = 4
	tailShare     = 0.03 // of the requests that are tailFactor times as long
	tailFactor    = 7
	// The rate follows a wave.
	waveSwing  = 0.55
	wavePeriod = 13 * time.Second
)

// leaveBehindQueue takes away four of ten endpoints of a service, two at a time, while these are slow and many users come at
// once.
func leaveBehindQueue(r *run) ([]string, error) {
	const (
		endpoints  = 10
		slowCount  = 4 // share 0.4
		leaveCount = 2 // at a time; share 0.2
		slowFactor = 5
		slowFor    = 9 * time.Second
		burst      = 1.7
		burstFrom  = time.Second
		burstFor   = 5 * time.Second
		firstLeave = 5 * time.Second
		nextLeave  = 6500 * time.Millisecond
		period     = 14 * time.Second
	)
	for i := range endpoints {
		zone := []string{"regina-a", "saskatoon-b", "moose-jaw-c"}[i%3]
		if _, err := r.addNode(zone, "saskatchewan", "depots"); err != nil {
			return nil, err
		}
	}
	r.store.configure(r, 7, []route{{"/tiye233/", "depots", "idempotent", 3000, 12000, 2}}, "depots")
	if err := r.startAll(); err != nil {
		return nil, err
	}
	var slow atomic.Bool
	for i, n := range r.nodes {
		s, err := r.addServer(n)
		if err != nil {
			return nil, err
		}
		canBeSlow := i < slowCount
		s.setRespond(func(c *serverConn, request *http.Request) bool {
			return c.respondDepot(request, canBeSlow && slow.Load(), slowFactor)
		})
	}
	for _, n := range r.nodes {
		if err := r.warmUp(n, http.MethodGet, "/tiye233/warm"); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime)
	start := time.Now()
	slow.Store(r.trouble)
	time.AfterFunc(slowFor, func() { slow.Store(false) })
	acknowledged := make([]time.Time, 2*leaveCount)
	var leaving sync.WaitGroup
	for i := range acknowledged {
		at := firstLeave
		if i >= leaveCount {
			at = nextLeave
		}
		leaving.Go(func() {
			time.Sleep(time.Until(start.Add(at)))
			s := r.servers[i]
			s.draining.Store(true)
			if s.tell("heartbeat", s.heartbeat("draining")) {
				acknowledged[i] = time.Now()
			}
		})
	}
	var wg sync.WaitGroup
	for elapsed := time.Duration(0); elapsed < period; elapsed = time.Since(start) {
		phase := 2 * math.Pi * float64(elapsed) / float64(wavePeriod)
		rate := depotRate * endpoints * (1 + waveSwing*math.Sin(phase))
		if r.trouble && elapsed > burstFrom && elapsed < burstFrom+burstFor {
			rate *= burst
		}
		n := r.nodes[rand.IntN(len(r.nodes))]
		work := time.Duration(float64(depotWork) * (0.7 + 0.6*rand.Float64()))
		if rand.Float64() < tailShare {
			work *= tailFactor
		}
		wg.Go(func() { r.send(n, http.MethodGet, "/tiye233/2f", work, depotDeadline) })
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
	leaving.Wait()
	wg.Wait()
	var violations []string
	for i, at := range acknowledged {
		if at.IsZero() {
			return nil, fmt.Errorf("the leaving of server %s was not acknowledged", r.servers[i].id)
		}
		violations = append(violations, r.arrivalsAfter(r.servers[i], at, at.Add(drainTime))...)
	}
	return violations, nil
}

// respondDepot runs a request for depot hours on a machine that is shared with others, and stops at its deadline.
func (c *serverConn) respondDepot(request *http.Request, slow bool, slowFactor int) bool {
	id := request.Header.Get("Attempt-Id")
	if id == "" || request.Header.Get("Expected-Instance") != c.server.id {
		return false
	}
	ms, _ := strconv.Atoi(request.Header.Get("Work-Ms"))
	if rand.Float64() < noiseShare {
		ms *= noiseFactor
	}
	if slow {
		ms *= slowFactor
	}
	c.server.run.recordRun(id, c.server.id)
	headers := fmt.Sprintf("Attempt-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\n", id, c.server.id, id)
	if deadline, err := strconv.Atoi(request.Header.Get("Deadline-Ms")); err == nil && deadline < ms {
		time.Sleep(time.Duration(deadline) * time.Millisecond)
		c.answer(http.StatusGatewayTimeout, headers, "")
		return true
	}
	time.Sleep(time.Duration(max(ms, 5)) * time.Millisecond)
	c.answer(http.StatusOK, headers, "done "+id)
	return true
}
