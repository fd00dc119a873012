package faulttest

import (
	"testing"
	"time"
)

// Guards against probes above the budget of the bundle in any second when an idle fleet gets a burst of requests, also
// with faults that make all load reports stale. It logs the number of probes that the relays received next to the
// counter of the sender, to show probes that the counter misses.
func TestProbeBudget(t *testing.T) {
	for _, c := range []struct {
		name, policy string
		fault        string
	}{
		{"defaults", "", "node killed"},
		{"small budget", "probes_per_second = 4\nlink_probes_per_second = 2", "gate frozen"},
		{"byte budget", "probe_bytes_per_second = 400\nlink_probe_bytes_per_second = 200", "backend server frozen"},
		{"regions partitioned", "probes_per_second = 20", "regions partitioned"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, Options{Size: 6, Domains: 2, Seed: 7, Policy: c.policy, Slots: 2})
			for range 2 {
				h.burst(faultByName(t, c.fault))
			}
			for _, m := range h.Members {
				if n := m.Node(); n != nil {
					sent, counted := int64(h.Network.ProbesSent(m.ID)), n.Metrics()["probe_messages"]
					t.Logf("%s: probes on the wire %d, messages counted %d", m.ID, sent, counted)
				}
			}
		})
	}
}

// burst leaves the fleet idle for a second, in which unused budget accumulates, and then sends a burst of requests with
// a fault during it.
func (h *harness) burst(f fault) {
	time.Sleep(time.Second)
	stop := h.load(7, 6*loadWorkers, h.Members)
	time.Sleep(time.Second)
	f.begin(h, h.Members[3])
	time.Sleep(time.Second)
	f.end(h, h.Members[3])
	stop()
}
