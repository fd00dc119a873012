package node

import "testing"

// Guards against a short refusal taking a working server out, and against a dead server staying in.
func TestHealthCheckNeedsSilence(t *testing.T) {
	type step struct {
		listening bool
		ran       int64
		want      bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"down after three failures without answers", []step{{false, 5, false}, {false, 5, false}, {false, 5, true}, {true, 5, false}}},
		{"answers contradict the closed port", []step{{false, 5, false}, {false, 6, false}, {false, 7, false}, {false, 8, false}}},
		{"failures must be in a row", []step{{false, 5, false}, {false, 5, false}, {true, 5, false}, {false, 5, false}}},
		{"an answer ends the state", []step{{false, 5, false}, {false, 5, false}, {false, 5, true}, {false, 6, false}}},
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
