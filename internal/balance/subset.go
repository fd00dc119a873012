package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionspoke/internal/table"
)

// nonLocalDivisor sets the share of a subset, 1/nonLocalDivisor, that is reserved for endpoints outside the
// local failure domain, so that a node still has endpoints when its failure domain is lost.
const nonLocalDivisor = 3

// weightedEndpoint is an endpoint with its rendezvous hashing weight for this node.
type weightedEndpoint struct {
	endpoint *table.Endpoint
	weight   uint64
}

// rendezvousWeight returns the weight of an endpoint for a node. Each node orders the endpoints independently,
// which spreads them evenly over the nodes, and adding or removing one endpoint does not reorder the others.
func rendezvousWeight(nodeID, endpointID string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(nodeID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(endpointID)
	return d.Sum64()
}

// Subset returns at most size of the endpoints, nearest locality first and by descending rendezvous weight
// within each. Endpoints of the local failure domain have precedence, but a third of the subset is reserved
// for other endpoints when there are any, and one of these for another region. A size below 1 keeps all
// endpoints. The input is not modified.
func Subset(nodeID string, endpoints []*table.Endpoint, size int) []*table.Endpoint {
	if size < 1 || size > len(endpoints) {
		size = len(endpoints)
	}
	var byLocality [table.Localities][]weightedEndpoint
	for _, e := range endpoints {
		byLocality[e.Locality] = append(byLocality[e.Locality], weightedEndpoint{e, rendezvousWeight(nodeID, e.ID)})
	}
	var available [table.Localities]int
	for l := range byLocality {
		slices.SortFunc(byLocality[l], func(a, b weightedEndpoint) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
		})
		available[l] = len(byLocality[l])
	}
	out := make([]*table.Endpoint, 0, size)
	for l, n := range localityQuotas(available, size) {
		for _, weighted := range byLocality[l][:n] {
			out = append(out, weighted.endpoint)
		}
	}
	return out
}

// localityQuotas returns how many endpoints of each locality a subset of the given size has.
func localityQuotas(available [table.Localities]int, size int) [table.Localities]int {
	nonLocal := available[table.SameRegion] + available[table.OtherRegion]
	reserved := min(nonLocal, (size+nonLocalDivisor-1)/nonLocalDivisor)
	if size == 1 && available[table.SameDomain] > 0 {
		reserved = 0
	}
	var n [table.Localities]int
	n[table.SameDomain] = min(available[table.SameDomain], size-reserved)
	remaining := size - n[table.SameDomain]
	reservedRemote := 0
	if remaining > 1 {
		reservedRemote = min(available[table.OtherRegion], 1)
	}
	n[table.SameRegion] = min(available[table.SameRegion], remaining-reservedRemote)
	n[table.OtherRegion] = min(available[table.OtherRegion], remaining-n[table.SameRegion])
	// What the other localities cannot fill goes to the local failure domain.
	unfilled := size - n[table.SameDomain] - n[table.SameRegion] - n[table.OtherRegion]
	n[table.SameDomain] += min(unfilled, available[table.SameDomain]-n[table.SameDomain])
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
