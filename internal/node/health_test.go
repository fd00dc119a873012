package node

import "testing"

// Guards against marking a working server down after a few refused connects, and against not detecting a crashed
// server.
func TestHealthCheckNeedsFailuresWithoutResponses(t *testing.T) {
	type step struct {
		listening bool
		ran       int64
		want      bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"down after three failures without responses", []step{{false, 5, false}, {false, 5, false}, {false, 5, true}, {true, 5, false}}},
		{"responses contradict the closed port", []step{{false, 5, false}, {false, 6, false}, {false, 7, false}, {false, 8, false}}},
		{"failures must be consecutive", []step{{false, 5, false}, {false, 5, false}, {true, 5, false}, {false, 5, false}}},
		{"a response clears the down state", []step{{false, 5, false}, {false, 5, false}, {false, 5, true}, {false, 6, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h healthCheck
			for i, s := range tt.steps {
				if got := h.observe(s.listening, s.ran); got != s.want {
					t.Errorf("step %d: down is %v, want %v", i, got, s.want)
				}
			}
		})
	}
}
