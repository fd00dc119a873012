// Package ratelimit enforces the rate limits of accounts over all nodes together. Nodes deposit the time for which they
// are entitled to their part of the rates with pool nodes, and obtain tokens from them that are valid for a short time.
// Tokens are created only by time at each node and otherwise only moved, so that lost messages, partitions and failed
// nodes never create any. docs/design/rate-limits.md works out the bound.
package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// GrantValidity is how long granted tokens may be spent, counted from the time at which they were requested.
	GrantValidity = 250 * time.Millisecond
	// returnWithin is how long after their request unused tokens may be returned to a pool.
	returnWithin = 400 * time.Millisecond
	// returnBefore is the remaining validity below which tokens are returned with a request that asks for new ones.
	returnBefore = 60 * time.Millisecond
	// depositInterval is the longest time between two deposits of a node in fleets of up to depositNodes nodes. It grows in
	// proportion to larger fleets, so that a pool node gets at most a few hundred deposits per second.
	depositInterval = 500 * time.Millisecond
	depositNodes    = 1000
	// depositWindow is the period whose deposits determine the share of its accounts' capacity that a pool may hold.
	depositWindow = 2 * time.Second
	// ParticipationDelay is the time from joining to the first entitlement, in which other nodes learn to count the node. A node
	// that they count already, such as a restarted one, needs none.
	ParticipationDelay = 2 * time.Second
	// exchangeInterval is the time between two requests to a pool node while accounts have steady demand. It is below
	// GrantValidity, so that the tokens of a grant last until the next one.
	exchangeInterval = 200 * time.Millisecond
	// exchangesPerSecond, exchangeBurst and exchangeGap limit the requests to a pool node that waiting callers cause.
	exchangesPerSecond = 10
	exchangeBurst      = 4
	exchangeGap        = 25 * time.Millisecond
	// A pool node that sends no reply within replyTimeout to lostReplies requests in a row counts as unreachable, and another
	// one is used for avoidFor. A single lost datagram would otherwise move a node's deposits and so split the pools.
	replyTimeout = GrantValidity
	lostReplies  = 2
	avoidFor     = 2 * time.Second
	// A pool node whose replies take slowReply or longer slowReplies times in a row is used only if no other can be, for
	// demoteFor: requests wait for its replies, and VMs with little processor time reply late when they are busy.
	slowReply   = 50 * time.Millisecond
	slowReplies = 3
	demoteFor   = 15 * time.Second
	// MaxWait is how long a request may wait for tokens.
	MaxWait = 100 * time.Millisecond
	// transferInterval is the minimum time between two requests of a pool to the pool of another region. An account that
	// got nothing there asks again after transferInterval, which doubles up to maxTransferBackoff.
	transferInterval   = 200 * time.Millisecond
	maxTransferBackoff = 1600 * time.Millisecond
	transferTimeout    = returnWithin
	// maxAmounts and maxAmountBytes limit the accounts in one message, so that it fits into a datagram.
	maxAmounts     = 40
	maxAmountBytes = 900
	// minPoolTokens is what a pool may hold of an account however small its share of the capacity is. Otherwise regions with
	// few nodes could never hold a token of a small account. extraPools is the number of pools in addition to one for each
	// region that the bound allows for, while nodes disagree on the pool node.
	minPoolTokens = 1
	extraPools    = poolCandidates - 1
	// minCapacity is the time for which a pool may store the rate of an account if the bound leaves less room. It is the
	// least with which tokens can be passed on between two exchanges.
	minCapacity = 100 * time.Millisecond
	// pauseThreshold is the time without a call of Advance after which the process counts as paused.
	pauseThreshold = time.Second
)

// Limit is the rate limit of an account.
type Limit struct {
	Rate  float64 // requests per second, above 0
	Burst float64 // requests
}

// Bounds is what the limits permit: in any Window, at most (Rate*Window + Burst)*(1 + Tolerance) + Slack requests.
type Bounds struct {
	Window    time.Duration
	Tolerance float64
	Slack     float64 // in requests
}

// Permitted returns the highest number of requests in any window.
func (b Bounds) Permitted(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Tolerance) + b.Slack
}

// Capacity returns the number of tokens that all pools of an account may store together, in a fleet of so many regions.
//
// The tokens spent in a window are at most those created in it, rate*Window, plus those that exist at its start: time that
// nodes have not deposited yet (depositInterval), tokens that have left a pool and may still be spent or come back
// (returnWithin), and the stocks of pools. These are at most the capacity times the time that nodes can have deposited in a
// depositWindow, relative to that window, and minPoolTokens in each pool.
//
// If the bound leaves room for less than the lowest useful capacity, that one applies, and Rate makes room for it.
func (b Bounds) Capacity(l Limit, regions int) float64 {
	return math.Max(lowestCapacity(l), min(l.Burst+b.Slack/2, b.spare(l, l.Rate, regions)/capacityOverlap))
}

// Rate returns the rate at which tokens are created: the account's, or less if the bound would leave too little room for the
// lowest capacity, but at least minRateShare of it.
func (b Bounds) Rate(l Limit, regions int) float64 {
	room := b.spare(l, 0, regions) - capacityOverlap*lowestCapacity(l)
	return min(max(room/(b.Window+outsidePools).Seconds(), minRateShare*l.Rate), l.Rate)
}

const (
	// outsidePools is the age up to which time and tokens exist outside pools.
	outsidePools = depositInterval + returnWithin
	// capacityOverlap is the highest sum of the shares of all pools of an account.
	capacityOverlap = 1 + float64(depositInterval)/float64(depositWindow)
	// minRateShare is the part of its rate that an account must be able to use, 0.9, with a margin for exchanges.
	minRateShare = 0.92
)

// spare returns what the bound leaves for the stocks of pools when tokens are created at the given rate.
func (b Bounds) spare(l Limit, rate float64, regions int) float64 {
	return b.Permitted(l) - rate*(b.Window+outsidePools).Seconds() -
		minPoolTokens*float64(max(regions, 1)-1+extraPools)
}

// lowestCapacity is the least useful capacity: two tokens, so that two requests may arrive together, or minCapacity.
func lowestCapacity(l Limit) float64 { return min(l.Burst, max(2, l.Rate*minCapacity.Seconds())) }

// depositPeriod returns the longest time between two deposits in a fleet of size nodes.
func depositPeriod(size int) time.Duration {
	return depositInterval * time.Duration(max(1, (size+depositNodes-1)/depositNodes))
}

// hashOf returns the hash that selects the shard of an account. All nodes compute the same.
func hashOf(account string) uint64 { return xxhash.Sum64String(account) }
