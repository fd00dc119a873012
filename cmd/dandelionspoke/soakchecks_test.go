package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"dandelionspoke/internal/backendtest"
)

// arrivalsFile is written by all backend servers.
const arrivalsFile = "arrivals.jsonl"

// soakFault is an injected fault; until it has ended, its end is zero.
type soakFault struct {
	name       string
	node       int
	start, end time.Time
}

// beginFault records a fault and returns the function that records its end.
func (s *soak) beginFault(name string, node int) func() {
	f := &soakFault{name: name, node: node, start: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.end = time.Now()
	}
}

// deadline returns the time until which the fleet may take to learn of a change that the store acknowledged: within
// the given time, not counting the time in which the store could not be reached or a node was paused.
func (s *soak) deadline(acknowledged time.Time, within time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline, counted := acknowledged.Add(within), acknowledged
	for _, f := range s.faults { // in the order of their starts
		end := f.end
		if end.IsZero() {
			end = time.Now()
		}
		start := f.start
		if start.Before(counted) {
			start = counted
		}
		interrupts := strings.Contains(f.name, "store") || f.name == "pause node"
		if interrupts && start.Before(deadline) && end.After(start) {
			deadline, counted = deadline.Add(end.Sub(start)), end
		}
	}
	return deadline
}

// arrivals returns the requests that ran at any backend server in the order of their times.
func (s *soak) arrivals() []backendtest.Arrival {
	file, err := os.Open(s.path(arrivalsFile))
	if err != nil {
		s.t.Fatal(err)
	}
	defer file.Close()
	var all []backendtest.Arrival
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var a backendtest.Arrival
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			s.t.Fatal(err)
		}
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b backendtest.Arrival) int { return a.At.Compare(b.At) })
	return all
}

func (s *soak) check(h operatorHistory) {
	inForce := s.deadline(h.rolledOut, soakApplyWithin)
	evacuated := s.deadline(h.evacuated, soakEvacuateWithin)
	s.mu.Lock()
	defer s.mu.Unlock()
	arrivals := s.arrivals()
	s.checkRuns(arrivals)
	s.checkAccounts(arrivals, inForce)
	s.checkRateLimit(arrivals, inForce)
	s.checkSlowStarts(arrivals)
	s.checkEvacuation(arrivals, h, evacuated)
	s.t.Logf("complete responses %d, refused as not run %d, runs %d, faults %d, responses %v",
		s.completeResponses, len(s.notRunIDs), len(arrivals), len(s.faults), s.responses)
	if !s.t.Failed() {
		return
	}
	s.t.Logf("rolled out %s, in force %s, evacuated %s to %s to %s, restored %s", clock(h.rolledOut), clock(inForce), clock(h.evacuated),
		clock(evacuated), clock(h.ended), clock(h.restored))
	for _, f := range s.faults {
		s.t.Logf("%s to %s %s %d", clock(f.start), clock(f.end), f.name, f.node)
	}
}

// pausedSince reports whether the backend server of node i was paused later than at the given time.
func (s *soak) pausedSince(i int, t time.Time) bool {
	return slices.ContainsFunc(s.faults, func(f *soakFault) bool {
		return f.name == "pause backend server" && f.node == i && f.end.After(t)
	})
}

// errorf reports a failure, up to maxReports of each kind.
func (s *soak) errorf(format string, args ...any) {
	s.t.Helper()
	if s.reports[format]++; s.reports[format] <= maxReports {
		s.t.Errorf(format, args...)
	}
}

const maxReports = 5

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// checkRuns reports wrong responses, orders that ran more than once and requests that ran although refused as not run.
func (s *soak) checkRuns(arrivals []backendtest.Arrival) {
	for _, response := range s.wrongResponses {
		s.t.Error(response)
	}
	runs := map[string][]backendtest.Arrival{}
	for _, a := range arrivals {
		runs[a.ID] = append(runs[a.ID], a)
	}
	for id, started := range runs {
		if s.sent[id].order && len(started) > 1 {
			s.errorf("order %s was started %d times: %v", id, len(started), started)
		}
	}
	for _, id := range s.notRunIDs {
		if len(runs[id]) > 0 {
			s.errorf("%s was refused as not run, but ran: %v", id, runs[id])
		}
	}
	if s.completeResponses == 0 {
		s.t.Error("no request got a complete response")
	}
}

// checkAccounts reports forwarded keys, wrong account headers, runs outside the allowed regions, and runs with a key
// that was withdrawn before they were sent.
func (s *soak) checkAccounts(arrivals []backendtest.Arrival, withdrawn time.Time) {
	for _, a := range arrivals {
		sent, known := s.sent[a.ID]
		if !known {
			continue // a request of waitReady
		}
		if got := strings.Join(a.Accounts, ","); got != sent.caller.account {
			s.errorf("%s ran with account header %q, want %q", a.ID, got, sent.caller.account)
		}
		if a.HasKey {
			s.errorf("%s ran with the caller's key", a.ID)
		}
		if at := s.placeOf(a); sent.caller.account == regionalAccount && at.region != soakPlaces[1].region {
			s.errorf("%s ran in region %s", a.ID, at.region)
		}
		if sent.caller.name == withdrawnCaller && sent.at.After(withdrawn) {
			s.errorf("%s ran at %s with a key that was withdrawn for all nodes at %s", a.ID, clock(a.At), clock(withdrawn))
		}
	}
	for _, want := range []string{withdrawnCaller + " 401", "kept 200", "regional0 200", "open0 200", "hot0 429"} {
		if s.responses[want] == 0 {
			s.t.Errorf("no response %q", want)
		}
	}
}

func (s *soak) placeOf(a backendtest.Arrival) place {
	for i := range soakPlaces {
		if a.Endpoint == endpointID(i) {
			return soakPlaces[i]
		}
	}
	return place{}
}

// checkRateLimit reports windows in which more requests of the hot account ran than its limit permits, and than its
// lowered limit permits after that is in force.
func (s *soak) checkRateLimit(arrivals []backendtest.Arrival, lowered time.Time) {
	var all, later []time.Time
	counted := map[string]bool{} // retries take no further token
	for _, a := range arrivals {
		if s.sent[a.ID].caller.account != hotAccount || counted[a.ID] {
			continue
		}
		counted[a.ID] = true
		all = append(all, a.At)
		if a.At.After(lowered) {
			later = append(later, a.At)
		}
	}
	s.checkWindows("requests of the limited account", all, soakWindow, limitOf(hotRate))
	s.checkWindows("requests of the limited account after its limit was lowered", later, soakWindow, limitOf(hotRateLowered))
}

func limitOf(rate float64) float64 {
	return (rate*soakWindow.Seconds()+rate)*(1+soakWindowTolerance) + soakWindowSlack
}

// checkWindows reports the largest number of events in any window if it is above the limit.
func (s *soak) checkWindows(what string, at []time.Time, window time.Duration, limit float64) {
	most, first := 0, 0
	var from time.Time
	for i := range at {
		for at[i].Sub(at[first]) >= window {
			first++
		}
		if n := i + 1 - first; n > most {
			most, from = n, at[first]
		}
	}
	s.t.Logf("%s: %d, at most %d in %s, limit %.1f", what, len(at), most, window, limit)
	if float64(most) > limit {
		s.t.Errorf("%s: %d in the %s from %s, limit %.1f", what, most, window, clock(from), limit)
	}
}

// checkSlowStarts reports cold backend servers that got more requests in a second than their ramp permits.
func (s *soak) checkSlowStarts(arrivals []backendtest.Arrival) {
	cold := map[string][]time.Time{} // by process
	for _, a := range arrivals {
		if a.Cold {
			process := fmt.Sprintf("%s started at %s", a.Endpoint, clock(a.Started))
			cold[process] = append(cold[process], a.At)
		}
	}
	for process, at := range cold {
		s.checkWindows("requests to cold "+process, at, time.Second, soakRamp*soakRampTolerance+soakRampSlack)
	}
}

// checkEvacuation reports requests that were sent after the evacuation had to be known everywhere, and ran in the
// evacuated failure domain. It ends when the operator ends the evacuation.
func (s *soak) checkEvacuation(arrivals []backendtest.Arrival, h operatorHistory, known time.Time) {
	for _, a := range arrivals {
		if a.Endpoint != endpointID(h.domain) || !a.At.After(known) || !a.At.Before(h.ended) {
			continue
		}
		if !s.sent[a.ID].at.After(known) && s.pausedSince(h.domain, h.evacuated) {
			continue // the paused backend server may have got it in time
		}
		s.errorf("%s, sent at %s, ran at %s in the failure domain %s", a.ID, clock(s.sent[a.ID].at), clock(a.At), s.placeOf(a).domain)
	}
}

// checkReturn waits until the evacuated failure domain gets requests again.
func (s *soak) checkReturn(h operatorHistory) {
	for deadline := time.Now().Add(soakRecoveryTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if slices.ContainsFunc(s.arrivals(), func(a backendtest.Arrival) bool {
			return a.Endpoint == endpointID(h.domain) && a.At.After(h.ended)
		}) {
			return
		}
	}
	s.t.Errorf("failure domain %s gets no requests within %s after its evacuation", soakPlaces[h.domain].domain, soakRecoveryTimeout)
}
