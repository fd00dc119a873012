package admission

import (
	"fmt"
	"testing"
	"time"
)

func recordMany(c *Classifier, route string, n int, runTime time.Duration) {
	for range n {
		c.Record(route, false, runTime)
	}
}

// Guards against long requests on a route declared short that occupy the slots of short requests.
func TestClassifierCorrectsDeclaredClass(t *testing.T) {
	var c Classifier
	recordMany(&c, "browse", 32, 5*time.Millisecond)
	recordMany(&c, "report", minRouteSamples-1, 250*time.Millisecond)
	if c.Long("report", false) {
		t.Fatal("class changed on too few samples")
	}
	recordMany(&c, "report", 1, 250*time.Millisecond)
	if !c.Long("report", false) || c.Long("browse", false) || !c.Long("browse", true) {
		t.Fatal("wrong class after correction")
	}
	recordMany(&c, "report", 32, 30*time.Millisecond)
	if !c.Long("report", false) {
		t.Fatal("class changed back above the lower ratio")
	}
	recordMany(&c, "report", 32, 10*time.Millisecond)
	if c.Long("report", false) {
		t.Fatal("class did not change back")
	}
}

// Guards against a slow backend server whose short routes are all classified as long.
func TestClassifierComparesRoutesWithEachOther(t *testing.T) {
	var c Classifier
	recordMany(&c, "only", 32, 5*time.Millisecond)
	recordMany(&c, "only", 32, 5*time.Second)
	if c.Long("only", false) {
		t.Fatal("a single route was compared with its own earlier run times")
	}
	recordMany(&c, "rare", 32, 5*time.Second)
	if c.Long("rare", false) || c.Long("only", false) {
		t.Fatal("equally slow routes changed class")
	}
}

// Guards against a main route that is classified as long, and paced while slots are free, because a few routes with
// trivial requests have far shorter run times.
func TestClassifierKeepsMainRouteShort(t *testing.T) {
	var c Classifier
	for range 100 {
		recordMany(&c, "browse", 8, 100*time.Millisecond)
		recordMany(&c, "idle-1", 1, 2*time.Millisecond)
		recordMany(&c, "idle-2", 1, 2*time.Millisecond)
		recordMany(&c, "check", 4, 30*time.Millisecond)
		if c.Long("browse", false) || c.Long("check", false) {
			t.Fatal("the main route is classified as long")
		}
	}
}

// Guards against unbounded memory when many bundle versions bring new route names.
func TestClassifierIsBounded(t *testing.T) {
	var c Classifier
	for i := range 2 * maxClassifiedRoutes {
		recordMany(&c, fmt.Sprint("route-", i), 1, time.Millisecond)
	}
	if len(c.routes) != maxClassifiedRoutes {
		t.Fatalf("%d routes kept, limit %d", len(c.routes), maxClassifiedRoutes)
	}
	c.Retain(func(route string) bool { return route == "route-1" })
	if len(c.routes) != 1 {
		t.Fatalf("%d routes kept after Retain", len(c.routes))
	}
}

// Guards against a queue that ignores the corrected class.
func TestQueueUsesCorrectedClass(t *testing.T) {
	q := New(Limits{Slots: 4, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	run := func(route string, runTime time.Duration) {
		ticket, _ := q.Offer(start, Request{Route: route, Deadline: at(9000)})
		q.Release(start, ticket, runTime)
	}
	for range minRouteSamples {
		run("browse", 5*time.Millisecond)
	}
	for range minRouteSamples {
		run("report", 250*time.Millisecond)
	}
	_, first := q.Offer(start, Request{Route: "report", Deadline: at(9000)})
	_, second := q.Offer(start, Request{Route: "report", Deadline: at(9000)})
	if !first.Long || first.State != Admitted || second.State != Queued {
		t.Fatalf("outcomes %+v, %+v", first, second)
	}
}

// Guards against a slow service whose routes are all classified as long because other services are fast.
func TestClassesCompareWithinOneService(t *testing.T) {
	var c Classes
	record := func(service, route string, runTime time.Duration) {
		for range routeSamples {
			c.Record(service, route, false, runTime)
		}
	}
	record("farge", "check", 2*time.Millisecond)
	record("katalog", "browse", 40*time.Millisecond)
	record("katalog", "report", 2*time.Second)
	if c.Long("katalog", "browse", false) || c.Long("farge", "check", false) {
		t.Error("a route was compared with those of another service")
	}
	if !c.Long("katalog", "report", false) || !c.Long("farge", "check", true) {
		t.Error("a long route is classified as short")
	}
	c.Retain(func(service, _ string) bool { return service == "farge" })
	if c.Long("katalog", "report", false) || len(c.services) != 1 {
		t.Error("Retain kept a route that is no longer in the bundle")
	}
}

// Guards against unbounded memory when many bundle versions bring new service names.
func TestClassesAreBounded(t *testing.T) {
	var c Classes
	for i := range 2 * maxClassifiedServices {
		c.Record(fmt.Sprint("service-", i), "route", false, time.Millisecond)
	}
	if len(c.services) != maxClassifiedServices {
		t.Errorf("%d services kept, limit %d", len(c.services), maxClassifiedServices)
	}
}
