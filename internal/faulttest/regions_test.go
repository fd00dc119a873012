package faulttest

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// eastRoutes restricts reads and orders under /east to region east. The text precedes the other routes of the bundle.
const eastRoutes = `
[[routes]]
name = "east-read"
service = "katalog"
path_prefix = "/east"
timeout = "2s"
hedge = true
objective = "50ms"
allowed_regions = ["east"]
[[routes]]
name = "east-order"
service = "katalog"
path_prefix = "/east/order"
methods = ["POST"]
idempotent = false
timeout = "2s"
allowed_regions = ["east"]
`

// Guards against requests, through real nodes and connections, that reach a backend server outside the regions that their
// route allows, also while nodes of these regions fail and after all of them are lost, and against a refusal that comes late.
func TestRestrictedRequestsStayInTheirRegion(t *testing.T) {
	h := start(t, Options{Size: 4, Domains: 4, Policy: eastRoutes})
	west := h.Members[2:]
	if west[0].Region != "west" || west[1].Region != "west" {
		t.Fatal("the last two members are not in region west")
	}
	send := func(round string, number int) (answered int) {
		for i := range number {
			o := Operation{ID: fmt.Sprint(round, "-", i), Method: "GET", Path: "/east/item", Work: time.Duration(i%3) * 30 * time.Millisecond}
			if i%2 == 1 {
				o.Method, o.Path, o.Keyed = "POST", "/east/order", i%4 == 1
			}
			r := h.callers.Send(context.Background(), west[i%2], o)
			if r.Outcome == Answered {
				answered++
				if !strings.HasSuffix(r.Endpoint, h.Members[0].ID) && !strings.HasSuffix(r.Endpoint, h.Members[1].ID) {
					t.Errorf("answered by %s", r.Endpoint)
				}
			}
		}
		return answered
	}
	if answered := send("usual", 40); answered != 40 {
		t.Errorf("%d of 40 requests were answered", answered)
	}
	h.Members[0].Kill()
	send("one lost", 20)
	h.Members[1].Kill()
	h.waitFor(readyBound, "the region's endpoints are gone", func() bool { return west[0].Node().EndpointCount(Service) == 2 })
	started := time.Now()
	r := h.callers.Send(context.Background(), west[0], Operation{ID: "lost", Method: "GET", Path: "/east/item"})
	if r.Outcome != NotRun || !strings.Contains(r.Detail, "no-allowed-region") || time.Since(started) > 500*time.Millisecond {
		t.Errorf("the allowed region is lost: %v", r)
	}
	for _, m := range west {
		if ran := m.Node().Metrics()["gate_ran"]; ran != 0 {
			t.Errorf("%s ran %d requests", m.ID, ran)
		}
	}
}
