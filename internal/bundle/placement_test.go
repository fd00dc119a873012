package bundle

import (
	"slices"
	"testing"
	"time"
)

// Guards against a bundle in force whose placement wait is negative, or so long that requests no longer move.
func TestPlacementWaitRange(t *testing.T) {
	for wait, valid := range map[time.Duration]bool{-1: false, 0: true, time.Second: true, time.Second + 1: false} {
		b := &Bundle{Version: 1, Policy: Policy{PlacementWait: Duration(wait)}}
		b.SetDefaults()
		refused := slices.ContainsFunc(b.Validate(), func(e ConfigError) bool { return e.Key == "policy.placement_wait" })
		if refused == valid {
			t.Errorf("placement_wait %v: refused %v", wait, refused)
		}
	}
}
