package ingress

import (
	"math/rand/v2"
	"testing"

	"dandelionspoke/internal/bundle"
)

// Guards against parts of a split route whose shares differ from their weights, because each of many nodes handles only a
// few requests of the route: at most 0.1 in any 200 successive requests over all nodes.
func TestSplitKeepsItsWeightsOverManyNodes(t *testing.T) {
	const (
		window       = 200
		maxDeviation = 0.1
		requests     = 3000
	)
	for _, nodes := range []int{1, 16, 86, 195} {
		for _, weight := range []float64{0.5, 0.9, 0.2} {
			route := &bundle.Route{Name: "r", Service: "a", Split: []bundle.WeightedService{{Service: "a", Weight: weight}, {Service: "b", Weight: 1 - weight}}}
			ingresses := make([]*Ingress, nodes)
			for i := range ingresses {
				ingresses[i] = New(Config{})
			}
			rng := rand.New(rand.NewPCG(uint64(nodes), uint64(100*weight)))
			var toFirst []int
			inWindow := 0
			for i := range requests {
				hit := 0
				if ingresses[rng.IntN(nodes)].destinationService(route) == "a" {
					hit = 1
				}
				toFirst = append(toFirst, hit)
				inWindow += hit
				if i < window-1 {
					continue
				}
				if share := float64(inWindow) / window; share < weight-maxDeviation || share > weight+maxDeviation {
					t.Fatalf("%d nodes, weight %.1f: share %.3f of the %d requests up to request %d", nodes, weight, share, window, i)
				}
				inWindow -= toFirst[i-window+1]
			}
		}
	}
}
