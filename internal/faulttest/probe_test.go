package faulttest

import (
	"testing"
	"time"
)

// Guards against probes above the bundle's budget in any second when a quiet fleet gets a burst, with faults that
// make every figure stale, and against probes that the counters miss.
func TestProbeBudget(t *testing.T) {
	for _, c := range []struct {
		name, policy string
		fault        string
	}{
		{"defaults", "", "node killed"},
		{"small budget", "probes_per_second = 4\nlink_probes_per_second = 2", "gate frozen"},
		{"byte budget", "probe_bytes_per_second = 400\nlink_probe_bytes_per_second = 200", "backend server frozen"},
		{"regions cut", "probes_per_second = 20", "regions cut"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, Options{Size: 6, Domains: 2, Seed: 7, Policy: c.policy, Slots: 2})
			for range 2 {
				h.burst(named(t, c.fault))
			}
			for _, m := range h.Members {
				if n := m.Node(); n != nil {
					sent, counted := int64(h.Network.Probes(m.ID)), n.Metrics()["probe_messages"]
					t.Logf("%s: probes on the wire %d, messages counted %d", m.ID, sent, counted)
				}
			}
		})
	}
}

// burst is a quiet second, in which unused budget adds up, and a burst with a fault.
func (h *harness) burst(f fault) {
	time.Sleep(time.Second)
	stop := h.load(7, 6*workers, h.Members)
	time.Sleep(time.Second)
	f.begin(h, h.Members[3])
	time.Sleep(time.Second)
	f.end(h, h.Members[3])
	stop()
}
