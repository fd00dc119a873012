package node

import "fmt"

// addSharingMetrics adds the counts of the gate by account, and that of recognized returning callers. It adds none while no
// request of an account has been seen.
func (n *Node) addSharingMetrics(m map[string]int64) {
	counts := n.gate.AccountCounts()
	for decision, byAccount := range map[string]map[string]int64{
		"admitted": counts.Admitted, "refused": counts.Refused, "waiting": counts.Waiting,
	} {
		for account, value := range byAccount {
			m[fmt.Sprintf("gate_account_%s{account=%q}", decision, account)] = value
		}
	}
	if returning := n.ingress.Counters.Returning.Load(); returning > 0 {
		m["ingress_returning"] = returning
	}
}
