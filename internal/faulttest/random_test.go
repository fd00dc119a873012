package faulttest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Steps of a random run: each draws two faults and two victims.
const (
	steps     = 4
	longSteps = 10
	firstSeed = 1
)

// Guards against faults in combinations and orders that no other test has. With FAULTTEST_SEEDS=n it runs n seeds
// with more steps.
func TestRandomFaults(t *testing.T) {
	count, length := seedCount(t), steps
	if count > 1 {
		length = longSteps
	}
	for seed := uint64(firstSeed); seed < firstSeed+uint64(count); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			h := start(t, Options{Size: 4, Domains: 4, Seed: seed})
			for step := range length {
				acting, victims := h.drawn(rng)
				t.Logf("step %d: %s on %s, %s on %s", step, acting[0].name, victims[0].ID, acting[1].name, victims[1].ID)
				h.suffer(rng.Uint64(), acting, victims)
				if t.Failed() {
					return
				}
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		})
	}
}
