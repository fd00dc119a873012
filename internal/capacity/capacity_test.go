package capacity

import (
	"strings"
	"testing"
	"time"
)

// Guards against rows that are missing, can't be parsed or have no value where one is expected.
func TestRunPrintsRows(t *testing.T) {
	var out strings.Builder
	o := Options{FleetSizes: []int{6}, Seeds: 1, TableSizes: []int{50}, Engines: 3, IdleDuration: 1200 * time.Millisecond,
		Sessions: 4, ChoiceEndpoints: []int{4}, BundleServices: []int{3}, Accounts: 5, AccountNodes: 30, Callers: []int{2}, LoadDuration: 200 * time.Millisecond}
	if err := Run(&out, o); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		for _, pair := range strings.Fields(line) {
			key, value, ok := strings.Cut(pair, "=")
			if !ok || value == "" {
				t.Errorf("malformed pair %q in %q", pair, line)
			}
			if key == "measure" {
				seen[value] = true
			}
			if (key == "msgs_per_s" || key == "heap_bytes" || key == "tick_us") && value == "0" {
				t.Errorf("%s is 0 in %q", key, line)
			}
		}
	}
	for _, name := range []string{
		"start_all", "steady", "leave", "join", "death", "bundle", "region_cut", "region_heal", "table", "engines_idle",
		"bundle", "request_path", "node_idle", "session", "choice",
		"accounts", "account_bundle", "rate_limits", "slow_start", "evacuation", "views",
	} {
		if !seen[name] {
			t.Errorf("no row for %s in:\n%s", name, out.String())
		}
	}
}
