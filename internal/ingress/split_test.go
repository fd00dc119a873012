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
				ingresses[i] = New(Config{FleetRank: func() (int, bool) { return i, true }})
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

// Guards against first requests that all go to the same part, or to parts by chance, after all nodes of a fleet have
// restarted or a new split is in force: with one request at each node, whatever the order, each part is within one
// request of its weight.
func TestFirstRequestsOfAllNodesKeepTheWeights(t *testing.T) {
	splits := [][]bundle.WeightedService{
		{{Service: "a", Weight: 0.5}, {Service: "b", Weight: 0.5}},
		{{Service: "a", Weight: 0.9}, {Service: "b", Weight: 0.1}},
		{{Service: "a", Weight: 0.2}, {Service: "b", Weight: 0.3}, {Service: "c", Weight: 0.5}},
	}
	for _, nodes := range []int{1, 16, 86, 195, 2000} {
		ingresses := make([]*Ingress, nodes)
		for i := range ingresses {
			ingresses[i] = New(Config{FleetRank: func() (int, bool) { return i, true }})
		}
		for _, split := range splits {
			route := &bundle.Route{Name: "r", Service: "a", Split: split}
			counts := map[string]int{}
			for _, i := range rand.New(rand.NewPCG(uint64(nodes), 1)).Perm(nodes) {
				counts[ingresses[i].destinationService(route)]++
			}
			for _, part := range split {
				if d := float64(counts[part.Service]) - part.Weight*float64(nodes); d < -1 || d > 1 {
					t.Errorf("%d nodes: %d requests to %s with weight %.1f", nodes, counts[part.Service], part.Service, part.Weight)
				}
			}
		}
	}
}

// Guards against a single node that departs from the weights: in any number of successive requests, each of three parts
// is within two requests of its weight, also after the weights have changed.
func TestSplitOfOneNodeKeepsItsWeights(t *testing.T) {
	in := New(Config{})
	for _, weights := range [][]float64{{0.2, 0.3, 0.5}, {90, 9, 1}, {5, 3, 2}} {
		total := weights[0] + weights[1] + weights[2]
		route := &bundle.Route{Name: "r", Split: []bundle.WeightedService{
			{Service: "a", Weight: weights[0]}, {Service: "b", Weight: weights[1]}, {Service: "c", Weight: weights[2]},
		}}
		counts := make([]int, 3)
		for n := 1; n <= 5000; n++ {
			counts[in.destinationService(route)[0]-'a']++
			for i, w := range weights {
				if d := float64(counts[i]) - w/total*float64(n); d < -2 || d > 2 {
					t.Fatalf("weights %v: %d of %d requests to part %d", weights, counts[i], n, i)
				}
			}
		}
	}
	if in.destinationService(&bundle.Route{Service: "a"}) != "a" {
		t.Error("a route without Split does not use Service")
	}
}
