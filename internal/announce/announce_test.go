package announce

import (
	"fmt"
	"testing"
	"time"
)

func heartbeat(id string, incarnation int64, sequence uint64, draining bool) Heartbeat {
	return Heartbeat{
		Announcement: Announcement{ID: id, Service: "katalog", Address: "10.0.0.1:80"},
		Incarnation:  incarnation, Sequence: sequence, Draining: draining,
	}
}

func currentID(r *Registry) string {
	current, draining := r.Current()
	switch {
	case current == nil:
		return ""
	case draining:
		return current.ID + " draining"
	}
	return current.ID
}

// Guards against a delayed heartbeat of a process that has left, applied by a node that has just started, in each order in
// which the heartbeat and the knowledge of the departure may arrive.
func TestHeartbeatsAreHeldUntilDeparturesAreKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	left := []Departure{{ID: "a", Incarnation: 10}}
	tests := map[string]struct {
		steps func(r *Registry)
		want  string
	}{
		"heartbeat of a process that has left, before": {func(r *Registry) {
			r.HandleHeartbeat(heartbeat("a", 10, 5, false), now)
			r.AddDepartures(left)
			r.EndRestore(now, true)
		}, ""},
		"heartbeat of a process that has left, after": {func(r *Registry) {
			r.AddDepartures(left)
			r.EndRestore(now, true)
			r.HandleHeartbeat(heartbeat("a", 10, 5, false), now)
		}, ""},
		"departure learned late": {func(r *Registry) {
			r.EndRestore(now, true)
			r.HandleHeartbeat(heartbeat("a", 10, 5, false), now)
			r.AddDepartures(left)
			r.HandleHeartbeat(heartbeat("a", 10, 6, false), now)
		}, ""},
		"departure learned late, of an earlier process": {func(r *Registry) {
			r.EndRestore(now, true)
			r.HandleHeartbeat(heartbeat("a", 11, 1, false), now)
			r.AddDepartures(left)
		}, "a"},
		"deregistered while held": {func(r *Registry) {
			r.HandleHeartbeat(heartbeat("a", 10, 5, false), now)
			r.Deregister("a", 10, now)
			r.EndRestore(now, true)
		}, ""},
		"drains while held": {func(r *Registry) {
			r.HandleHeartbeat(heartbeat("a", 10, 5, false), now)
			r.HandleHeartbeat(heartbeat("a", 10, 6, true), now)
			r.EndRestore(now, true)
		}, "a draining"},
		"next process, older heartbeat later": {func(r *Registry) {
			r.HandleHeartbeat(heartbeat("a", 11, 1, false), now)
			r.HandleHeartbeat(heartbeat("a", 10, 9, false), now)
			r.AddDepartures(left)
			r.EndRestore(now, true)
		}, "a"},
		"departures unknown": {func(r *Registry) {
			r.HandleHeartbeat(heartbeat("a", 10, 5, false), now)
			r.EndRestore(now, false)
		}, ""},
		"departures unknown, next heartbeat": {func(r *Registry) {
			r.HandleHeartbeat(heartbeat("a", 10, 5, false), now)
			r.EndRestore(now, false)
			r.HandleHeartbeat(heartbeat("a", 10, 6, false), now)
		}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Registry{}
			r.StartRestore(now)
			test.steps(r)
			if got := currentID(r); got != test.want {
				t.Errorf("announced %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a delayed deregistration of an earlier process that withdraws its successor with the same ID, and against
// departures that are not passed on.
func TestDeregistrationOfAnEarlierProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	var departures []Departure
	r := &Registry{OnDeparture: func(d Departure) { departures = append(departures, d) }}
	r.HandleHeartbeat(heartbeat("a", 20, 1, false), now)
	if r.Deregister("a", 10, now) || currentID(r) != "a" {
		t.Errorf("announced %q after the deregistration of an earlier process", currentID(r))
	}
	r.HandleHeartbeat(heartbeat("a", 20, 2, true), now)
	r.HandleHeartbeat(heartbeat("a", 20, 3, true), now)
	if !r.Deregister("a", 20, now) || currentID(r) != "" {
		t.Errorf("announced %q after its deregistration", currentID(r))
	}
	want := "[{a 10} {a 20} {a 20}]"
	if got := fmt.Sprint(departures); got != want {
		t.Errorf("departures %s, want %s", got, want)
	}
}

// Guards against a long-lived node that forgets the latest departure because it has seen many.
func TestLatestDeparturesAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Registry{}
	for i := range int64(3 * maxDeparted) {
		r.Deregister(fmt.Sprint("s", i), 1+i, now)
	}
	for i := int64(2*maxDeparted + 1); i < 3*maxDeparted; i++ {
		if outcome := r.HandleHeartbeat(heartbeat(fmt.Sprint("s", i), 1+i, 9, false), now); outcome != Stale {
			t.Fatalf("heartbeat of s%d, which has left: %s", i, outcome)
		}
	}
	if len(r.departed) > maxDeparted {
		t.Errorf("%d departures in memory", len(r.departed))
	}
}

// Guards against a node that takes a heartbeat for a sign of life although it may have been sent before a departure that
// nobody remembers, and against live servers that wait for their second heartbeat after every start of their node.
func TestProcessesFromBeforeTheStartAreConfirmed(t *testing.T) {
	start := time.Unix(1000, 0)
	const before, after = 900_000, 1_000_001 // start times of processes
	type beat struct {
		at       time.Duration
		born     int64
		sequence uint64
		draining bool
	}
	ms := time.Millisecond
	type test struct {
		beats []beat
		at    time.Duration
		want  string
	}
	tests := map[string]test{
		"live, right away":                        {[]beat{{300 * ms, before, 7, false}}, 310 * ms, "a"},
		"live, right away, second":                {[]beat{{300 * ms, before, 7, false}, {1800 * ms, before, 8, false}}, 2800 * ms, "a"},
		"live, quick retries":                     {[]beat{{300 * ms, before, 7, false}, {500 * ms, before, 8, false}, {2000 * ms, before, 9, false}}, 2800 * ms, "a"},
		"live, second after the provisional time": {[]beat{{1000 * ms, before, 7, false}, {3000 * ms, before, 8, false}}, 3100 * ms, "a"},
		"live, first one late":                    {[]beat{{1400 * ms, before, 7, false}, {2900 * ms, before, 8, false}}, 3000 * ms, "a"},
		"right away, alone":                       {[]beat{{300 * ms, before, 7, false}}, 2800 * ms, ""},
		"late, alone":                             {[]beat{{1400 * ms, before, 7, false}}, 1500 * ms, ""},
		"late, repeated":                          {[]beat{{4000 * ms, before, 7, false}, {5000 * ms, before, 7, false}}, 5000 * ms, ""},
		"late, out of order":                      {[]beat{{4000 * ms, before, 7, false}, {5000 * ms, before, 6, false}}, 5000 * ms, ""},
		"late, in a bunch":                        {[]beat{{4000 * ms, before, 7, false}, {4010 * ms, before, 8, false}, {4100 * ms, before, 9, false}}, 5000 * ms, ""},
		"late, apart":                             {[]beat{{4000 * ms, before, 7, false}, {7000 * ms, before, 8, false}}, 7000 * ms, ""},
		"late, then a new process with its id":    {[]beat{{4000 * ms, before, 7, false}, {4500 * ms, after, 1, false}}, 4500 * ms, "a"},
		"late, after a new process":               {[]beat{{4000 * ms, after, 1, false}, {4500 * ms, before, 7, false}, {6000 * ms, before, 8, false}}, 6000 * ms, "a"},
		"draining":                                {[]beat{{4000 * ms, before, 7, true}}, 4000 * ms, "a draining"},
		"late, then draining, then late":          {[]beat{{300 * ms, before, 6, false}, {700 * ms, before, 9, true}, {2100 * ms, before, 8, false}}, 3000 * ms, "a draining"},
	}
	// No node has stated the departures, so that heartbeats which were all delayed arrive like those of a live server.
	regular := func(from time.Duration, count int) (beats []beat) {
		for i := range count {
			beats = append(beats, beat{from + time.Duration(i)*1500*ms, before, uint64(7 + i), false})
		}
		return beats
	}
	unstated := map[string]test{
		"live, right away":                  {regular(300*ms, 1), 310 * ms, "a"},
		"all delayed, two":                  {regular(3400*ms, 2), 9000 * ms, ""},
		"all delayed, six":                  {regular(3400*ms, 6), 12000 * ms, ""},
		"all delayed, from right away":      {regular(300*ms, 8), 11900 * ms, ""},
		"later than the longest delay, one": {regular(12500*ms, 1), 13000 * ms, ""},
		"later than the longest delay, two": {regular(12500*ms, 2), 14000 * ms, "a"},
		"live, without the offered address": {regular(300*ms, 10), 13900 * ms, "a"},
		"delayed and processed after a pause of the node": {
			[]beat{{20000 * ms, before, 7, false}, {20010 * ms, before, 8, false}, {20020 * ms, before, 9, false}}, 21000 * ms, "",
		},
	}
	run := func(name string, test test, stated bool) {
		t.Run(name, func(t *testing.T) {
			r := &Registry{}
			r.StartRestore(start)
			if stated {
				r.SetDeparturesStated()
			}
			r.EndRestore(start.Add(100*ms), true)
			provisional := true
			endProvisional := func(now time.Duration) {
				if provisional && now >= ProvisionalTime {
					provisional = false
					r.EndProvisional()
				}
			}
			for _, b := range test.beats {
				endProvisional(b.at)
				r.HandleHeartbeat(heartbeat("a", b.born, b.sequence, b.draining), start.Add(b.at))
			}
			endProvisional(test.at)
			if got := currentID(r); got != test.want {
				t.Errorf("announced %q, want %q", got, test.want)
			}
		})
	}
	for name, test := range tests {
		run(name, test, true)
	}
	for name, test := range unstated {
		run("departures not stated: "+name, test, false)
	}
}

// Guards against a live server that waits for the departures although its heartbeat was sent after the start of the node, and
// against such a heartbeat that overrules a departure or a drain.
func TestHeartbeatsSentAfterTheStart(t *testing.T) {
	start := time.Unix(1000, 0)
	const before = 900_000
	sentAfter := func(sequence uint64) Heartbeat {
		h := heartbeat("a", before, sequence, false)
		h.SentAfterStart = true
		return h
	}
	delayed := func(sequence uint64) Heartbeat { return heartbeat("a", before, sequence, false) }
	tests := map[string]struct {
		steps func(r *Registry, at time.Time)
		want  string
	}{
		"while the departures are unknown": {func(r *Registry, at time.Time) { r.HandleHeartbeat(sentAfter(7), at) }, "a"},
		"after a held one": {func(r *Registry, at time.Time) {
			r.HandleHeartbeat(delayed(6), at)
			r.HandleHeartbeat(sentAfter(7), at)
			r.EndRestore(at, true)
		}, "a"},
		"then at the usual address again": {func(r *Registry, at time.Time) {
			r.HandleHeartbeat(sentAfter(7), at)
			r.HandleHeartbeat(delayed(8), at)
			r.EndProvisional()
		}, "a"},
		"withdrawn for its silence, then at the usual address": {func(r *Registry, at time.Time) {
			r.HandleHeartbeat(sentAfter(7), at)
			r.Expire(at.Add(2 * TTL))
			r.EndRestore(at, false)
			r.HandleHeartbeat(delayed(8), at.Add(2*TTL))
		}, "a"},
		"of a process that has left": {func(r *Registry, at time.Time) {
			r.AddDepartures([]Departure{{ID: "a", Incarnation: before}})
			r.HandleHeartbeat(sentAfter(7), at)
		}, ""},
		"departure stated later": {func(r *Registry, at time.Time) {
			r.HandleHeartbeat(sentAfter(7), at)
			r.AddDepartures([]Departure{{ID: "a", Incarnation: before}})
		}, ""},
		"after a drain": {func(r *Registry, at time.Time) {
			r.HandleHeartbeat(heartbeat("a", before, 8, true), at)
			r.HandleHeartbeat(sentAfter(9), at)
		}, "a draining"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Registry{}
			r.StartRestore(start)
			test.steps(r, start.Add(1600*time.Millisecond))
			if got := currentID(r); got != test.want {
				t.Errorf("announced %q, want %q", got, test.want)
			}
		})
	}
}
