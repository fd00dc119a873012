package ingress

import (
	"testing"

	"dandelionspoke/internal/bundle"
)

// Guards against a node that ignores ingress.max_body_bytes, or uses it to raise the limit of a route.
func TestSmallerBodyLimitApplies(t *testing.T) {
	tests := []struct{ node, route, want int64 }{{0, 10, 10}, {5, 10, 5}, {20, 10, 10}}
	for _, tt := range tests {
		in := New(Config{MaxBodyBytes: tt.node})
		if got := in.bodyLimit(&bundle.Route{MaxBodyBytes: tt.route}); got != tt.want {
			t.Errorf("node %d, route %d: limit %d, want %d", tt.node, tt.route, got, tt.want)
		}
	}
}
