package faulttest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Numbers of steps per seed, each step with two random faults, and the first seed.
const (
	shortRunSteps = 4
	longRunSteps  = 10
	firstSeed     = 1
)

// Guards against the failures of TestEachFault under combinations and sequences of faults that no other test covers.
// With FAULTTEST_SEEDS=n it runs n seeds, with more steps per seed when n > 1.
func TestRandomFaults(t *testing.T) {
	count, steps := seedCount(t), shortRunSteps
	if count > 1 {
		steps = longRunSteps
	}
	for seed := uint64(firstSeed); seed < firstSeed+uint64(count); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			h := start(t, Options{Size: 4, Domains: 4, Seed: seed})
			for step := range steps {
				active, targets := h.randomFaults(rng)
				t.Logf("step %d: %s on %s, %s on %s", step, active[0].name, targets[0].ID, active[1].name, targets[1].ID)
				h.runWithFaults(rng.Uint64(), active, targets)
				if t.Failed() {
					return
				}
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		})
	}
}
