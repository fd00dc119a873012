package retry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/membershiptest"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/wire"
)

const (
	simNodes       = 12
	simServers     = 4 // of each of two services, on the first nodes
	simCrashAfter  = 20 * time.Millisecond
	simServiceTime = 100 * time.Millisecond
	simDown        = 4 * time.Second
	simContact     = 3 * time.Second
	simSpread      = simNodes * 20 * time.Millisecond
)

// simFleet plays requests in virtual time: nodes with the real membership and quarantine, backend servers that crash, and one
// record in the store.
type simFleet struct {
	*membershiptest.Fleet
	t       *testing.T
	rng     *rand.Rand
	tables  []*retry.Quarantine
	startAt []time.Time // of each node
	servers []*simServer
	service int // to which the route leads
	record  []*wire.QuarantineEntry

	crashes        []time.Time // caused by the crashing request
	lateSends      int         // of the crashing request, by nodes in touch, later than simContact after its third crash
	served, failed map[string]int
}

type simServer struct {
	process int
	up      bool
	running map[*simRequest]bool
	trial   *simRequest // in running; nil for none
}

type simRequest struct {
	f       retry.Fingerprint
	name    string
	crashes bool
	trial   bool
	retried bool
	node    int
}

func newSimFleet(t *testing.T, seed uint64) *simFleet {
	s := &simFleet{
		Fleet: membershiptest.New(membershiptest.Options{Nodes: simNodes, Seed: seed, WarmStart: true}),
		t:     t, rng: rand.New(rand.NewPCG(seed, 3)), served: map[string]int{}, failed: map[string]int{},
		tables: make([]*retry.Quarantine, simNodes), startAt: make([]time.Time, simNodes),
	}
	for i := range simNodes {
		s.attach(i)
	}
	for range 2 * simServers {
		s.servers = append(s.servers, &simServer{up: true, running: map[*simRequest]bool{}})
	}
	s.Run(5 * time.Second)
	return s
}

func (s *simFleet) attach(i int) {
	q := retry.NewQuarantine(2, 10*time.Minute)
	q.Merge(s.record, s.Now)
	s.tables[i], s.startAt[i] = q, s.Now
	s.Nodes[i].OnQuarantined = func(entries []*wire.QuarantineEntry) { q.Merge(entries, s.Now) }
}

// restartAll replaces the processes of all nodes, which keep nothing.
func (s *simFleet) restartAll() {
	for i := range simNodes {
		s.Add(i)
		s.attach(i)
	}
}

// offer sends requests with a name until the end, at intervals that vary, at random nodes.
func (s *simFleet) offer(name string, crashes bool, every, until time.Duration) {
	end := s.Now.Add(until)
	var next func()
	next = func() {
		if s.Now.After(end) {
			return
		}
		s.arrive(&simRequest{f: retry.FingerprintOf("GET", name, nil), name: name, crashes: crashes, node: s.rng.IntN(simNodes)})
		s.After(every/2+time.Duration(s.rng.Int64N(int64(every))), next)
	}
	s.After(0, next)
}

func (s *simFleet) arrive(r *simRequest) {
	q := s.tables[r.node]
	if q.Refuses(r.f, s.Now) {
		r.trial = true
		if !s.claimTrial(r) {
			s.failed[r.name]++
			return
		}
	}
	s.send(r)
}

// claimTrial claims a trial in the store, which nodes in group 1 can't reach.
func (s *simFleet) claimTrial(r *simRequest) bool {
	q, fs := s.tables[r.node], []retry.Fingerprint{r.f}
	wait, ok := q.TrialWait(fs, s.Now)
	if !ok || wait+time.Duration(r.node)*simSpread/simNodes > 0 || s.Nodes[r.node].Group != 0 || len(s.candidates(r)) == 0 {
		return false
	}
	planned, ok := q.PlanTrial(s.record, fs, s.Now)
	if !ok {
		return false
	}
	s.record = planned
	q.Merge(planned, s.Now)
	s.Nodes[r.node].AddQuarantine(s.Now, q.EntriesOf(fs, s.Now))
	return true
}

// candidates returns the indexes of the running servers that the request may use.
func (s *simFleet) candidates(r *simRequest) []int {
	var usable []int
	for i := range simServers {
		i += s.service * simServers
		permitted := !s.tables[i].Refuses(r.f, s.Now)
		if r.trial {
			permitted = s.servers[i].trial == nil
		}
		if s.servers[i].up && s.Nodes[i].Group == s.Nodes[r.node].Group && permitted {
			usable = append(usable, i)
		}
	}
	return usable
}

func (s *simFleet) send(r *simRequest) {
	usable := s.candidates(r)
	if len(usable) == 0 {
		s.failed[r.name]++
		return
	}
	i := usable[s.rng.IntN(len(usable))]
	server := s.servers[i]
	server.running[r] = true
	if r.trial {
		server.trial = r
	}
	inTouch := s.Nodes[r.node].Group == 0 && s.Now.Sub(s.startAt[r.node]) > simContact
	if r.crashes && len(s.crashes) >= 3 && s.Now.Sub(s.crashes[2]) > simContact && inTouch {
		s.lateSends++
	}
	took := simServiceTime
	if r.crashes {
		took = simCrashAfter
	}
	s.After(took, func() {
		if !server.running[r] {
			return // the server has crashed
		}
		if r.crashes {
			s.crashes = append(s.crashes, s.Now)
			s.crash(i)
			return
		}
		delete(server.running, r)
		if r.trial {
			server.trial = nil
		}
		s.served[r.name]++
		if q := s.tables[r.node]; q.RecordSuccess(r.f) {
			s.Nodes[r.node].AddQuarantine(s.Now, q.EntriesOf([]retry.Fingerprint{r.f}, s.Now))
			s.store(r.node)
		}
	})
}

// crash ends the process of a server. Its node reports all requests that were there; each is sent once more.
func (s *simFleet) crash(i int) {
	server, q := s.servers[i], s.tables[i]
	victim := fmt.Sprintf("server-%d@%d", i, server.process)
	requests := server.running
	server.up, server.running, server.trial = false, map[*simRequest]bool{}, nil
	server.process++
	s.After(60*time.Millisecond, func() {
		var fs []retry.Fingerprint
		for r := range requests {
			q.RecordCrash(r.f, victim, s.Now)
			fs = append(fs, r.f)
		}
		s.Nodes[i].AddQuarantine(s.Now, q.EntriesOf(fs, s.Now))
		s.After(300*time.Millisecond, func() { s.store(i) })
		sorted := make([]*simRequest, 0, len(requests))
		for r := range requests {
			sorted = append(sorted, r)
		}
		slices.SortFunc(sorted, func(a, b *simRequest) int { return slices.Compare(a.f.Bytes(), b.f.Bytes()) })
		for _, r := range sorted {
			if r.retried || r.trial || s.tables[r.node].Refuses(r.f, s.Now) {
				s.failed[r.name]++
				continue
			}
			r.retried = true
			s.send(r)
		}
	})
	s.After(simDown, func() { server.up = true })
}

// store writes what a node holds in quarantine to the record.
func (s *simFleet) store(i int) {
	if s.Nodes[i].Group == 0 {
		s.tables[i].Merge(s.record, s.Now)
		s.record = s.tables[i].RefusedEntries(s.Now)
	}
}

func (s *simFleet) crashAll() {
	for i := range simServers {
		s.crash(s.service*simServers + i)
	}
}

// share returns the share of the requests with a name that are served in the given time.
func (s *simFleet) share(name string, in time.Duration) float64 {
	served, failed := s.served[name], s.failed[name]
	s.Run(in)
	served, failed = s.served[name]-served, s.failed[name]-failed
	return float64(served) / float64(max(served+failed, 1))
}

// Guards against a popular path that stays refused after crashes that it did not cause, and against a request that crashes
// backend servers and runs again and again, with one or both of them, while the route moves, nodes are cut off or all restart.
func TestQuarantineOfAFleet(t *testing.T) {
	const popular, crashing = "example /home", "example /crash"
	tests := map[string]struct {
		popular, crashing bool
		play              func(s *simFleet)
	}{
		"all servers crash once": {true, false, func(s *simFleet) { s.crashAll() }},
		"all servers crash three times": {true, false, func(s *simFleet) {
			for range 3 {
				s.crashAll()
				s.Run(9 * time.Second)
			}
		}},
		"three of four crash": {true, false, func(s *simFleet) { s.crash(0); s.crash(1); s.crash(2) }},
		"crashing request":    {false, true, func(s *simFleet) { s.Run(90 * time.Second) }},
		"both":                {true, true, func(s *simFleet) { s.Run(5 * time.Second); s.crashAll(); s.Run(20 * time.Second) }},
		"both, route moves": {true, true, func(s *simFleet) {
			for range 6 {
				s.Run(5 * time.Second)
				s.service = 1 - s.service
			}
		}},
		"both, a third of the nodes cut off": {true, true, func(s *simFleet) {
			for i, h := range s.Nodes {
				if i%3 == 2 {
					h.Group = 1
				}
			}
			s.Run(12 * time.Second)
			for i, h := range s.Nodes {
				h.Group, s.startAt[i] = 0, s.Now
			}
			s.Run(20 * time.Second)
		}},
		"both, all nodes restart": {true, true, func(s *simFleet) {
			s.Run(8 * time.Second)
			s.restartAll()
			s.Run(8 * time.Second)
			s.restartAll()
			s.Run(8 * time.Second)
			s.restartAll()
			s.Run(8 * time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lowest, mostCrashes, mostLate := 1.0, 0, 0
			for seed := uint64(1); seed <= 8; seed++ {
				s := newSimFleet(t, seed)
				for i := range 20 {
					s.offer(fmt.Sprint("example /other/", i), false, 100*time.Millisecond, time.Minute)
				}
				if test.popular {
					s.offer(popular, false, 5*time.Millisecond, time.Minute)
				}
				s.Run(2 * time.Second)
				if test.crashing {
					s.offer(crashing, true, 30*time.Millisecond, 2*time.Minute)
				}
				s.Run(time.Second)
				test.play(s)
				s.Run(simDown + 10*time.Second)
				if test.popular {
					share := s.share(popular, 5*time.Second)
					lowest = min(lowest, share)
				}
				mostCrashes, mostLate = max(mostCrashes, len(s.crashes)), max(mostLate, s.lateSends)
			}
			t.Logf("least share of the popular path 10 s after the return: %.3f; most crashes %d, late sends %d", lowest, mostCrashes, mostLate)
			if test.popular && lowest < 0.9 {
				t.Errorf("share %.3f of the popular path is served 10 s after the return of the servers, want 0.9", lowest)
			}
			if mostLate > 3 {
				t.Errorf("%d sends of the crashing request later than %v after its third crash, allowed are 3", mostLate, simContact)
			}
		})
	}
}
