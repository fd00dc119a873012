package demo

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// The default worker pool of ants, which gnet imports, runs two goroutines until the process exits.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// Guards against wrong or truncated responses, duplicate runs and request kinds without any successful response, with
// and without injected faults.
func TestRun(t *testing.T) {
	tests := []struct {
		workload string
		faults   bool
	}{
		{"nordlys", false},
		{"prairie", false},
		{"nordlys", true},
		{"prairie", true},
	}
	for _, tt := range tests {
		name := tt.workload
		if tt.faults {
			name += " with faults"
		}
		t.Run(name, func(t *testing.T) {
			s, err := Run(context.Background(), Options{
				Workload: tt.workload, Duration: 4 * time.Second, Seed: 1, Rate: 150, Faults: tt.faults,
			})
			if err != nil {
				t.Fatal(err)
			}
			if s.Failed() {
				t.Errorf("guarantees to callers were violated: %+v", s)
			}
			if s.LightSamples == 0 || s.P99 <= 0 {
				t.Errorf("no latency was recorded: %+v", s)
			}
			if tt.faults && len(s.Faults) != 5 {
				t.Errorf("injected %v, want 5 faults", s.Faults)
			}
			w, _ := FindWorkload(tt.workload)
			for _, k := range w.Kinds {
				if c := s.Kinds[k.Name]; c.AnsweredOK == 0 {
					t.Errorf("no request of kind %s succeeded: %+v", k.Name, c)
				}
			}
			t.Logf("%+v", s)
		})
	}
}

// Guards against a run that succeeds without doing anything because the workload is unknown.
func TestRunUnknownWorkload(t *testing.T) {
	if _, err := Run(context.Background(), Options{Workload: "other", Duration: time.Second}); err == nil {
		t.Error("unknown workload: got no error")
	}
}
