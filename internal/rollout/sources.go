package rollout

import (
	"cmp"
	"slices"
)

// confirmFanOut is the number of nodes that one node answers when all nodes confirm their bundles. With one reader in a
// failure domain of 1,500 nodes, all but the reader are at most two steps away from it, and a node gets 40 requests per
// interval, about 4 KB; without the bound the reader would get 1,500.
const confirmFanOut = 40

// ConfirmationSources returns the members that self asks whether its bundle is the latest, the preferred one first. In a
// small failure domain it is a reader of that domain. In a larger one it is a member that asks a reader in turn, or one that
// asks such a member. Behind it come the readers of the domain and those of the other domains.
func ConfirmationSources(self string, members []Member, perDomain int) []Member {
	byDomain := map[string][]Member{}
	for _, m := range members {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	domain, found := failureDomainOf(self, members)
	if !found {
		return nil
	}
	local := rankByHash(domain, byDomain[domain])
	rank := slices.IndexFunc(local, func(m Member) bool { return m.NodeID == self })
	var sources []Member
	if rank >= perDomain {
		sources = append(sources, local[(rank-perDomain)/confirmFanOut])
	}
	sources = append(sources, local[:min(perDomain, len(local))]...)
	delete(byDomain, domain)
	sources = append(sources, remoteReaders(self, byDomain, perDomain)...)
	return slices.DeleteFunc(sources, func(m Member) bool { return m.NodeID == self })
}

// remoteReaders returns the readers of the domains, in an order that differs between nodes.
func remoteReaders(self string, byDomain map[string][]Member, perDomain int) []Member {
	var readers []Member
	for domain, members := range byDomain {
		ranked := rankByHash(domain, members)
		readers = append(readers, ranked[:min(perDomain, len(ranked))]...)
	}
	return rankByHash(self, readers)
}

// rankByHash orders members by their rendezvous hash for a name, the highest first, as IsReader does.
func rankByHash(name string, members []Member) []Member {
	type ranked struct {
		hash   uint64
		member Member
	}
	order := make([]ranked, len(members))
	for i, m := range members {
		order[i] = ranked{rendezvousHash(name, m.NodeID), m}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.member.NodeID, b.member.NodeID))
	})
	result := make([]Member, len(order))
	for i, r := range order {
		result[i] = r.member
	}
	return result
}
