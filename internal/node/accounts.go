package node

import (
	"fmt"
	"time"

	"dandelionspoke/internal/account"
)

// accountState is the part of a Dump on client accounts. It holds neither keys nor digests.
type accountState struct {
	Accounts int `json:"accounts"`
	Keys     int `json:"keys"`
	// ConfirmedAgeMs is the time since the bundle was last confirmed as the latest; nil if keys do not depend on it or it has
	// not been confirmed.
	ConfirmedAgeMs *int64 `json:"confirmed_age_ms"`
}

// accountIndex returns the index of the accounts that requests use; nil without accounts.
func (n *Node) accountIndex() *account.Index {
	if s := n.snapshots.Load(); s != nil {
		return s.Accounts
	}
	return nil
}

func (n *Node) accountState() accountState {
	index := n.accountIndex()
	state := accountState{Accounts: index.Accounts(), Keys: index.Keys()}
	if age, confirmed := n.confirmation.Age(time.Now()); confirmed && n.settings.Accounts.RequireConfirmation {
		ms := age.Milliseconds()
		state.ConfirmedAgeMs = &ms
	}
	return state
}

// addAccountMetrics adds the metrics of accounts, if the bundle has any.
func (n *Node) addAccountMetrics(m map[string]int64) {
	state := n.accountState()
	if state.Accounts == 0 {
		return
	}
	m["accounts"], m["account_keys"] = int64(state.Accounts), int64(state.Keys)
	if state.ConfirmedAgeMs != nil {
		m["bundle_confirmed_age_ms"] = *state.ConfirmedAgeMs
	}
	m["ingress_unknown_keys"] = n.ingress.Counters.UnknownKeys.Load()
	for reason, byAccount := range n.ingress.AccountRefusals() {
		for name, count := range byAccount {
			m[fmt.Sprintf("ingress_account_refused{reason=%q,account=%q}", reason, name)] = count
		}
	}
}
