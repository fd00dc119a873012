package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionspoke/internal/table"
)

// foreignShare is the part of a subset, as 1/foreignShare, that is kept for endpoints outside the
// own failure domain, so that the loss of the domain leaves choices.
const foreignShare = 3

// ranked is an endpoint with its rendezvous weight for this node.
type ranked struct {
	endpoint *table.Endpoint
	weight   uint64
}

// rendezvous is the weight of an endpoint for a node. Each node orders the endpoints independently,
// which balances them over the fleet, and a change of one endpoint moves no other.
func rendezvous(nodeID, endpointID string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(nodeID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(endpointID)
	return d.Sum64()
}

// Subset returns at most size of the endpoints, nearest locality first and in the order of their
// rendezvous weight within it. Endpoints of the own failure domain come first, but a third of the
// places goes to endpoints elsewhere when there are any, and one of these to another region. A size
// below 1 keeps all endpoints. The input is not modified.
func Subset(nodeID string, endpoints []*table.Endpoint, size int) []*table.Endpoint {
	if size < 1 || size > len(endpoints) {
		size = len(endpoints)
	}
	var byLocality [table.Localities][]ranked
	for _, e := range endpoints {
		byLocality[e.Locality] = append(byLocality[e.Locality], ranked{e, rendezvous(nodeID, e.ID)})
	}
	var available [table.Localities]int
	for l := range byLocality {
		slices.SortFunc(byLocality[l], func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
		})
		available[l] = len(byLocality[l])
	}
	out := make([]*table.Endpoint, 0, size)
	for l, n := range places(available, size) {
		for _, r := range byLocality[l][:n] {
			out = append(out, r.endpoint)
		}
	}
	return out
}

// places divides size places over the localities.
func places(available [table.Localities]int, size int) [table.Localities]int {
	foreign := available[table.SameRegion] + available[table.OtherRegion]
	reserved := min(foreign, (size+foreignShare-1)/foreignShare)
	if size == 1 && available[table.SameDomain] > 0 {
		reserved = 0
	}
	var n [table.Localities]int
	n[table.SameDomain] = min(available[table.SameDomain], size-reserved)
	rest := size - n[table.SameDomain]
	far := 0
	if rest > 1 {
		far = min(available[table.OtherRegion], 1)
	}
	n[table.SameRegion] = min(available[table.SameRegion], rest-far)
	n[table.OtherRegion] = min(available[table.OtherRegion], rest-n[table.SameRegion])
	// Places that the other localities cannot fill fall back to the own failure domain.
	left := size - n[table.SameDomain] - n[table.SameRegion] - n[table.OtherRegion]
	n[table.SameDomain] += min(left, available[table.SameDomain]-n[table.SameDomain])
	return n
}

// LocalityEnds returns the LocalityEnd of a table.Service whose endpoints are sorted by locality.
func LocalityEnds(endpoints []*table.Endpoint) (ends [table.Localities]int) {
	for l := range ends {
		for ends[l] < len(endpoints) && int(endpoints[ends[l]].Locality) <= l {
			ends[l]++
		}
		if l+1 < len(ends) {
			ends[l+1] = ends[l]
		}
	}
	return ends
}
